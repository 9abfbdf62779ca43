package relayhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Config holds the settings and dependencies of a host.
type Config struct {
	Relay   relay.Config
	Follow  follow.Config
	Dialect Dialect
	Decoder Decoder
	Source  follow.Source
	Prefix  string // of the store keys to follow
	// EntryPrefix is the prefix of the keys of backend servers' entries.
	EntryPrefix string
	// Retention is how long the store keeps its changes for reads from an earlier revision.
	// If it is 0, such reads prove something only if they reach back to the store's creation.
	Retention time.Duration
	// ValueBytes is the longest value that the store accepts; 0 if it is unknown.
	ValueBytes int64

	CallerAddr  string // IP:port for callers
	ReadyAddr   string // IP:port for the load balancer's readiness check
	PeerAddr    string // IP:port for other hosts, UDP and TCP
	MetricsAddr string // IP:port for metrics; empty for none

	ReadyPath   string
	MetricsPath string

	// Grace is the time from the stop signal until the platform kills the process.
	Grace time.Duration
	// MemoryBytes is the memory limit of the process; 0 means none.
	MemoryBytes int64
	// MaxFDs is the limit of open descriptors of the process; 0 means none.
	MaxFDs int
	// Ingress limits what callers may make the process hold.
	Ingress  ingress.Settings
	LogLevel zapcore.Level
	// Reload reads the settings again and returns the seeds. If it is nil, settings
	// are not reloaded.
	Reload func() (seeds []string, err error)
}

// Host runs the relay of one entry host.
type Host struct {
	cfg      Config
	ctx      context.Context
	calls    context.Context // of calls for requests; it ends before the grace period does
	log      *zap.Logger
	core     *core
	dialect  Dialect
	decoder  Decoder
	clients  *clients
	peers    *peerSocket
	mirror   *follow.Mirror
	follower *follow.Follower
	metrics  *hostMetrics
	seeds    []string // currently in use
	guard    *ingress.Guard
	active   *activeConns
}

// memoryLimitShare is the share of the memory limit that is set as the soft limit of the Go
// runtime. The rest covers memory that the runtime does not count, such as received
// bytes that have not been read yet.
const memoryLimitShare = 0.7

// New creates a host and opens its socket for messages from other hosts.
func New(cfg Config) (*Host, error) {
	h := &Host{
		cfg:     cfg,
		log:     newLogger(os.Stdout, cfg.LogLevel, string(cfg.Relay.Roster.Self.ID)),
		dialect: cfg.Dialect,
		decoder: cfg.Decoder,
		clients: newClients(cfg.MemoryBytes, cfg.Dialect.EchoHeader()),
		metrics: newHostMetrics(),
		seeds:   cfg.Relay.Roster.Seeds,
		active:  newActiveConns(),
	}
	h.guard = ingress.New(ingress.Config{
		Settings: cfg.Ingress, MemoryBytes: cfg.MemoryBytes, MaxFDs: cfg.MaxFDs, Log: h.log, Metrics: h.metrics.set,
	})
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryLimitShare))
	}
	peers, err := listenPeers(cfg.PeerAddr, h.log)
	if err != nil {
		return nil, err
	}
	h.peers = peers
	h.mirror = follow.NewMirror(&storeSink{host: h}, mirrorBytes(cfg.MemoryBytes, cfg.ValueBytes), boottime.Now)
	h.metrics.gaugeMirror(h.mirror)
	cfg.Relay.DrainTime = cfg.drainTime()
	h.core = newCore(relay.New(cfg.Relay, boottime.Now()), h.log, h.metrics, h.executeHostEffect)
	source := newSharedSource(h.core, cfg.Source, h.log)
	h.follower = follow.New(cfg.Follow, source, h.mirror, cfg.Prefix, boottime.Now)
	return h, nil
}

// Run serves until the platform signals the process to stop and every request has been
// answered, or the grace period is over. startReload, which may be nil, holds a SIGHUP that has
// arrived before.
func (h *Host) Run(startReload <-chan os.Signal) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	select {
	case s := <-startReload:
		signals <- s
	default:
	}
	return h.RunUntil(signals)
}

// RunUntil is like Run but takes the signals from a channel. Closing the channel stops
// the host immediately.
func (h *Host) RunUntil(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.ctx = ctx
	calls, abortCalls := context.WithCancelCause(ctx)
	defer abortCalls(nil)
	h.calls = calls
	g, ctx := errgroup.WithContext(ctx)
	servers, err := h.serve(g)
	if err != nil {
		return err
	}
	g.Go(func() error { return h.core.run(ctx) })
	g.Go(func() error { return h.guard.Run(ctx) })
	g.Go(func() error {
		return h.peers.receive(func(m relay.Message) { h.core.step(relay.MessageReceived{Message: m}) })
	})
	g.Go(func() error { return h.follower.Run(ctx) })
	g.Go(func() error {
		defer cancel()
		h.waitForStop(ctx, signals, servers[0], abortCalls)
		for _, s := range servers {
			_ = s.Close()
		}
		h.peers.close()
		h.clients.close()
		return nil
	})
	h.log.Info("relayhost: started",
		zap.String("callers", h.cfg.CallerAddr), zap.String("peers", h.cfg.PeerAddr),
		zap.Strings("seeds", h.cfg.Relay.Roster.Seeds))
	err = g.Wait()
	h.log.Info("relayhost: stopped", zap.Error(err))
	_ = h.log.Sync()
	return err
}

const (
	// firstByteTimeout limits the time for which a new connection may send nothing. A caller
	// may open it long before its first request.
	firstByteTimeout = 15 * time.Second
	// idleTimeout closes idle connections of callers. It is longer than the operators'
	// limits, so that a connection that a caller may still reuse is not closed.
	idleTimeout = 90 * time.Second
)

// serve opens the listeners and serves them.
func (h *Host) serve(g *errgroup.Group) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(h.cfg.ReadyPath, h.serveReady)
	type service struct {
		addr    string
		role    ingress.Role
		handler http.Handler
	}
	mirror := newMirrorServer(h.mirror, h.cfg.MemoryBytes, h.metrics, h.log)
	list := []service{
		{h.cfg.CallerAddr, ingress.Callers, ingress.Handler(h)},
		{h.cfg.ReadyAddr, ingress.Readiness, ingress.WithoutBody(ready)},
		{h.cfg.PeerAddr, ingress.Peers, h.guard.WithBody(maxReadRequest, mirror.handler())},
	}
	if h.cfg.MetricsAddr != "" {
		mux := http.NewServeMux()
		mux.HandleFunc(h.cfg.MetricsPath, func(w http.ResponseWriter, _ *http.Request) { h.metrics.write(w) })
		list = append(list, service{h.cfg.MetricsAddr, ingress.Metrics, ingress.WithoutBody(mux)})
	}
	var servers []*http.Server
	for _, l := range list {
		ln, err := listen(l.addr)
		if err != nil {
			return nil, err
		}
		s := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: firstByteTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    h.cfg.Ingress.HeaderBytes,
			ConnContext:       ingress.ConnContext,
			ConnState:         ingress.ConnState,
			ErrorLog:          zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zapcore.ErrorLevel))),
		}
		if l.role == ingress.Callers {
			s.ConnState = func(c net.Conn, state http.ConnState) {
				ingress.ConnState(c, state)
				h.active.connState(c, state)
			}
		}
		servers = append(servers, s)
		g.Go(func() error {
			if err := s.Serve(h.guard.Listen(ln, l.role, false)); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("relayhost: serve on %s: %w", l.addr, err)
			}
			return nil
		})
	}
	return servers, nil
}

// listen opens a listener with TCP keep-alive, which detects callers that disappear
// without closing their connection.
func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     2 * time.Second,
		Interval: time.Second,
		Count:    3,
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("relayhost: listen on %s: %w", addr, err)
	}
	return ln, nil
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.core.ready() {
		writeStatus(w, http.StatusServiceUnavailable, 0)
		return
	}
	writeStatus(w, http.StatusOK, 0)
}

const (
	// exitMargin is how long before the end of the grace period the process exits by itself.
	exitMargin = 150 * time.Millisecond
	// answerMargin is how long before that calls are aborted, so that their callers still get
	// an answer.
	answerMargin = 200 * time.Millisecond
)

// drainTime returns the time from a stop signal until calls are aborted. Of a grace period that
// is shorter than the margins, it is a half.
func (c Config) drainTime() time.Duration {
	return max(c.Grace/2, c.Grace-exitMargin-answerMargin)
}

var errStopping = errors.New("process stops")

// waitForStop reloads settings and handles signals until the process may exit: every
// request has been answered, or the grace period is over.
func (h *Host) waitForStop(ctx context.Context, signals <-chan os.Signal, callerServer *http.Server, abortCalls context.CancelCauseFunc) {
	var graceOver <-chan struct{}
	grace := ctx
	settings := time.NewTicker(reloadInterval)
	defer settings.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.core.exit:
			// Closes the listener; the answers of the last requests are still being written.
			go func() { _ = callerServer.Shutdown(grace) }()
			h.active.wait(grace)
			return
		case <-graceOver:
			h.log.Warn("relayhost: grace period over, aborting requests")
			return
		case <-settings.C:
			h.reload()
		case s, ok := <-signals:
			if !ok {
				return
			}
			if s == syscall.SIGHUP {
				h.reload()
				continue
			}
			h.log.Info("relayhost: stopping", zap.Stringer("signal", s))
			if graceOver == nil {
				var cancel context.CancelFunc
				grace, cancel = context.WithTimeout(ctx, h.cfg.Grace-exitMargin)
				defer cancel()
				graceOver = grace.Done()
				// Closes idle connections, and the others after their next answer, so that
				// callers switch to other hosts.
				callerServer.SetKeepAlivesEnabled(false)
				h.core.step(relay.Drain{})
				abort := time.AfterFunc(h.cfg.drainTime(), func() {
					h.core.step(relay.Tick{}) // refuses what no server has got
					abortCalls(errStopping)
				})
				defer abort.Stop()
			}
		}
	}
}

func (h *Host) reload() {
	if h.cfg.Reload == nil {
		return
	}
	seeds, err := h.cfg.Reload()
	if err != nil {
		h.log.Error("relayhost: reloading settings failed, keeping the old ones", zap.Error(err))
		return
	}
	if slices.Equal(seeds, h.seeds) {
		return
	}
	h.seeds = seeds
	h.core.step(relay.SeedsChanged{Seeds: seeds})
	h.log.Info("relayhost: settings reloaded", zap.Strings("seeds", seeds))
}

// reloadInterval is the interval for rereading settings, which may change without a signal.
const reloadInterval = 5 * time.Second

// executeHostEffect executes the effects that belong to no request.
func (h *Host) executeHostEffect(e relay.Effect) {
	switch e := e.(type) {
	case relay.Send:
		h.peers.send(e)
	case relay.ReleaseReservation:
		h.callInBackground(h.ctx, e.To, func(req *fasthttp.Request) { h.dialect.ReleaseReservation(req, e.Hold) }, ignoreResult)
	case relay.ReleasePrefill:
		write := func(req *fasthttp.Request) { h.dialect.ReleasePrefill(req, e.Handle) }
		h.callInBackground(h.withHandleCheck(h.ctx, e.To, e.Expiry, nil), e.To, write, ignoreResult)
	case relay.RoleOrder:
		h.sendRoleOrder(e)
	case relay.ReadHistory:
		go func() { h.core.step(h.readHistory()) }()
	case relay.RetryRead:
		h.follower.RetryNow()
	default:
		h.log.Error("relayhost: unknown effect", zap.String("type", fmt.Sprintf("%T", e)))
	}
}

// ignoreResult is for calls whose failure needs no handling: the backend server's own time
// limits free the memory, and the failure has already been logged.
func ignoreResult(Answer, error) {}

func (h *Host) sendRoleOrder(e relay.RoleOrder) {
	write := func(req *fasthttp.Request) {
		h.dialect.RoleOrder(req, e.To.ID, e.Stage, h.cfg.Relay.Roster.Self.ID, e.FencingToken)
	}
	h.callInBackground(h.ctx, e.To, write, func(a Answer, err error) {
		ok := err == nil && h.dialect.ClassifyCall(a) == relay.Succeeded
		h.core.step(relay.RoleOrderAnswered{Backend: e.To.ID, OK: ok, Status: a.Status})
	})
}
