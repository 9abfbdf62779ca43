package entryhost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/frontend"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
)

// Host is an entry host whose listeners are open.
type Host struct {
	settings Settings
	log      *zap.Logger
	level    zap.AtomicLevel

	caller, peer, admin net.Listener
	platform            *platform.Client
	transport           *peer.Client
	peerTLS             *tls.Config
	driver              *driver.Driver
	frontend            *frontend.Server
	meter               *meter
	guard               *ingress.Guard
}

// Open validates the settings and opens the listeners.
func Open(s Settings) (*Host, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	h := &Host{settings: s}
	if err := h.openLog(); err != nil {
		return nil, err
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.buildComponents(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) openLog() error {
	level, err := zap.ParseAtomicLevel(h.settings.LogLevel)
	if err != nil {
		return fmt.Errorf("entryhost: log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = level
	cfg.DisableStacktrace = true
	log, err := cfg.Build()
	if err != nil {
		return fmt.Errorf("entryhost: open log: %w", err)
	}
	h.level = level
	h.log = log.With(zap.String("host", h.settings.Host))
	return nil
}

func (h *Host) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{h.settings.Listen, &h.caller},
		{h.settings.PeerListen, &h.peer},
		{h.settings.AdminListen, &h.admin},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("entryhost: listen on %s: %w", l.addr, err)
		}
		*l.to = ln
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, ln := range []net.Listener{h.caller, h.peer, h.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (h *Host) buildComponents() error {
	callerTLS, err := h.settings.callerTLS()
	if err != nil {
		return fmt.Errorf("entryhost: caller TLS: %w", err)
	}
	serverTLS, clientTLS, err := h.settings.peerTLS()
	if err != nil {
		return fmt.Errorf("entryhost: peer TLS: %w", err)
	}
	h.peerTLS = serverTLS
	h.meter = newMeter(slo.Config{FirstTokenTarget: h.settings.FirstTokenTarget})
	h.guard = ingress.New(ingress.Config{
		Settings: h.settings.ingress(), MemoryBytes: int64(h.settings.MemoryMB) << 20, MaxFDs: h.settings.MaxFDs,
		Log: h.log, Metrics: h.meter.set,
	})
	if h.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(h.settings.MemoryMB<<20) * memoryLimitShare))
	}
	h.caller = h.guard.Listen(h.caller, ingress.Callers, callerTLS != nil)
	h.peer = h.guard.Listen(h.peer, ingress.Peers, serverTLS != nil)
	h.admin = h.guard.Listen(h.admin, ingress.Readiness, false)
	cfg := driver.DefaultConfig(h.nodeConfig())
	h.platform = platform.New(h.settings.Platform, platform.Options{})
	h.transport = peer.NewClient(clientTLS)
	backends := driver.NewHTTPBackends(enginehttp.Options{ChunkTimeout: cfg.ChunkTimeout})
	h.driver = driver.New(cfg, h.log, h.transport, backends, driver.HTTPPlatform{Client: h.platform})
	h.frontend = frontend.New(frontend.DefaultConfig(), h.log, h.driver, h.meter, h.guard)
	if callerTLS != nil {
		h.caller = tls.NewListener(h.caller, callerTLS)
	}
	return nil
}

// memoryLimitShare is the share of the memory limit that is set as the soft limit of the Go
// runtime. The rest covers memory that the runtime does not count, such as received bytes that
// have not been read yet.
const memoryLimitShare = 0.7

func (h *Host) nodeConfig() node.Config {
	s := h.settings
	addr := s.PeerAddr
	if addr == "" {
		addr = h.peer.Addr().String()
	}
	cfg := node.DefaultConfig(s.process(time.Now()), addr, ident.FailureDomain(s.Domain), ident.Slot(s.Slot))
	cfg.FirstTokenTarget = s.FirstTokenTarget
	cfg.Placement.FirstTokenTarget = s.FirstTokenTarget
	cfg.Limits.Quarantine = s.SlotQuarantine
	cfg.RoleOrders = s.RoleOrders
	cfg.DrainLinger = s.DrainLinger
	return cfg
}

// Addrs holds the listen addresses of a host.
type Addrs struct{ Caller, Peer, Admin string }

// Addrs returns the actual listen addresses, with the ports that the kernel chose
// for port 0.
func (h *Host) Addrs() Addrs {
	return Addrs{
		Caller: h.caller.Addr().String(),
		Peer:   h.peer.Addr().String(),
		Admin:  h.admin.Addr().String(),
	}
}

var errSecondSignal = errors.New("received a second signal during graceful shutdown")

// Run serves until a graceful shutdown, started by SIGTERM or SIGINT, is complete.
// A second signal or the drain limit ends the shutdown immediately.
func (h *Host) Run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return h.RunUntil(signals)
}

// RunUntil is like Run but receives the signals from the given channel.
func (h *Host) RunUntil(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	peers := peer.NewServer(h.driver, h.peerTLS)
	admin := h.adminServer()
	h.guard.Protect(peers, peer.MaxMessageBytes)
	h.guard.Protect(admin, maxAdminBody)
	g.Go(func() error { return h.driver.Run(ctx) })
	g.Go(func() error { return h.guard.Run(ctx) })
	g.Go(func() error { return h.frontend.Serve(h.caller) })
	g.Go(func() error { return servePeers(peers, h.peer, h.peerTLS != nil) })
	g.Go(func() error { return serveAdmin(admin, h.admin) })
	g.Go(func() error {
		defer cancel()
		err := h.waitForShutdown(ctx, signals)
		h.closeServers(peers, admin)
		return err
	})
	a := h.Addrs()
	h.log.Info("entryhost: serving", zap.String("callers", a.Caller), zap.String("peers", a.Peer), zap.String("admin", a.Admin))
	return g.Wait()
}

// waitForShutdown waits for a signal and then for the end of the graceful
// shutdown.
func (h *Host) waitForShutdown(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		h.log.Info("entryhost: graceful shutdown started", zap.Stringer("signal", s))
		h.driver.Shutdown()
	case <-h.driver.Exited():
		return nil
	}
	limit := time.NewTimer(h.settings.DrainLimit)
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-h.driver.Exited():
		h.log.Info("entryhost: graceful shutdown complete")
		return nil
	case <-signals:
		return errSecondSignal
	case <-limit.C:
		return fmt.Errorf("graceful shutdown took longer than --drain-limit %s", h.settings.DrainLimit)
	}
}

// shutdownTimeout limits the time for closing the caller server at exit.
const shutdownTimeout = 2 * time.Second

func (h *Host) closeServers(peers, admin *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := h.frontend.Shutdown(ctx); err != nil {
		h.log.Warn("entryhost: closing the caller server failed", zap.Error(err))
	}
	_ = peers.Close()
	_ = admin.Close()
	h.transport.Close()
	h.platform.Close()
	_ = h.log.Sync()
}

func servePeers(s *http.Server, ln net.Listener, secure bool) error {
	serve := s.Serve
	if secure {
		serve = func(ln net.Listener) error { return s.ServeTLS(ln, "", "") }
	}
	if err := serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("entryhost: serve peers on %s: %w", ln.Addr(), err)
	}
	return nil
}

func serveAdmin(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("entryhost: serve operators on %s: %w", ln.Addr(), err)
	}
	return nil
}
