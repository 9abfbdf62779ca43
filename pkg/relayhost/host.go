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
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Config is what a host needs to run.
type Config struct {
	Relay   relay.Config
	Follow  follow.Config
	Dialect Dialect
	Decoder Decoder
	Source  follow.Source
	Prefix  string // of the keys to follow

	Front   string // IP:port for callers
	Ready   string // IP:port for the load balancer's question
	Peers   string // IP:port for other hosts, datagrams and TCP
	Metrics string // IP:port for metrics; empty for none

	ReadyPath   string
	MetricsPath string

	// Grace is the time from the order to stop until the platform kills the process.
	Grace time.Duration
	// MemoryBytes is the memory that the process may use; 0 is no limit.
	MemoryBytes int64
	LogLevel    zapcore.Level
	// Reload reads the settings again and returns the seeds; nil if there are none.
	Reload func() (seeds []string, err error)
}

// Host is a running host.
type Host struct {
	cfg      Config
	ctx      context.Context
	log      *zap.Logger
	core     *core
	dialect  Dialect
	decoder  Decoder
	clients  *clients
	beats    *beats
	mirror   *follow.Mirror
	follower *follow.Follower
	metrics  *meters
	seeds    []string // in force
	bodies   *bodyRoom
}

// memoryShare is the part of the allowed memory that the runtime aims for. The rest
// is for what it does not count, as received bytes that are not read yet.
const memoryShare = 0.7

// New prepares a host and opens its socket for other hosts.
func New(cfg Config) (*Host, error) {
	h := &Host{
		cfg:     cfg,
		log:     newLogger(os.Stdout, cfg.LogLevel, string(cfg.Relay.Roster.Self.ID)),
		dialect: cfg.Dialect,
		decoder: cfg.Decoder,
		clients: newClients(),
		metrics: newMeters(),
		bodies:  newBodyRoom(cfg.MemoryBytes),
		seeds:   cfg.Relay.Roster.Seeds,
	}
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryShare))
	}
	b, err := listenBeats(cfg.Peers, h.log)
	if err != nil {
		return nil, err
	}
	h.beats = b
	h.mirror = follow.NewMirror(&storeSink{host: h}, boottime.Now)
	h.core = newCore(relay.New(cfg.Relay, boottime.Now()), h.log, h.metrics, h.outside)
	source := newSharedSource(h.core, cfg.Source, h.log)
	h.follower = follow.New(cfg.Follow, source, h.mirror, cfg.Prefix, boottime.Now)
	return h, nil
}

// Run serves until the platform has asked the process to stop and every request has
// its answer.
func (h *Host) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return h.RunUntil(signals)
}

// RunUntil is Run with the signals given by the caller. A closed channel ends the
// host at once.
func (h *Host) RunUntil(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.ctx = ctx
	g, ctx := errgroup.WithContext(ctx)
	servers, err := h.serve(g)
	if err != nil {
		return err
	}
	g.Go(func() error { return h.core.run(ctx) })
	g.Go(func() error {
		return h.beats.receive(func(m relay.Message) { h.core.step(relay.Heard{Message: m}) })
	})
	g.Go(func() error { return h.follower.Run(ctx) })
	g.Go(func() error {
		defer cancel()
		h.untilStopped(ctx, signals, servers[0])
		for _, s := range servers {
			_ = s.Close()
		}
		h.beats.close()
		h.clients.close()
		return nil
	})
	h.log.Info("relayhost: started",
		zap.String("callers", h.cfg.Front), zap.String("peers", h.cfg.Peers),
		zap.Strings("seeds", h.cfg.Relay.Roster.Seeds))
	err = g.Wait()
	h.log.Info("relayhost: stopped", zap.Error(err))
	_ = h.log.Sync()
	return err
}

const (
	// headerTimeout bounds the time for a request's header. It is longer than any
	// limit that operators set, and frees connections of callers that went silent.
	headerTimeout = 15 * time.Second
	// idleTimeout closes connections that callers do not use. It is longer than
	// operators' limits, so that no caller finds a connection closed that it may use.
	idleTimeout = 90 * time.Second
	// headerBytes bounds a request's header above operators' limits.
	headerBytes = 64 << 10
)

// serve opens the listeners and serves them.
func (h *Host) serve(g *errgroup.Group) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(h.cfg.ReadyPath, h.answerReady)
	list := []struct {
		addr    string
		handler http.Handler
	}{
		{h.cfg.Front, h},
		{h.cfg.Ready, ready},
		{h.cfg.Peers, sharingHandler(h.mirror)},
	}
	if h.cfg.Metrics != "" {
		mux := http.NewServeMux()
		mux.HandleFunc(h.cfg.MetricsPath, func(w http.ResponseWriter, _ *http.Request) { h.metrics.write(w) })
		list = append(list, struct {
			addr    string
			handler http.Handler
		}{h.cfg.Metrics, mux})
	}
	var servers []*http.Server
	for _, l := range list {
		ln, err := listen(l.addr)
		if err != nil {
			return nil, err
		}
		s := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headerBytes,
			ErrorLog:          zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zapcore.ErrorLevel))),
		}
		servers = append(servers, s)
		g.Go(func() error {
			if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("relayhost: serve on %s: %w", l.addr, err)
			}
			return nil
		})
	}
	return servers, nil
}

// listen opens a listener whose connections are probed, so that a caller that
// vanished without a word is noticed.
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

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !h.core.ready() {
		writeStatus(w, http.StatusServiceUnavailable, 0)
		return
	}
	writeStatus(w, http.StatusOK, 0)
}

// exitMargin is how long before the end of the grace the process ends by itself.
const exitMargin = 150 * time.Millisecond

// untilStopped returns once the process may end.
func (h *Host) untilStopped(ctx context.Context, signals <-chan os.Signal, front *http.Server) {
	var limit <-chan time.Time
	settings := time.NewTicker(reloadEvery)
	defer settings.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.core.exit:
			return
		case <-limit:
			h.log.Warn("relayhost: grace is over, requests are broken off")
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
			if limit == nil {
				limit = time.After(h.cfg.Grace - exitMargin)
				// Idle connections are closed, and the others after their next answer, so
				// that callers turn to other hosts.
				front.SetKeepAlivesEnabled(false)
				h.core.step(relay.Drain{})
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
		h.log.Error("relayhost: settings not reloaded, the old ones stay in force", zap.Error(err))
		return
	}
	if slices.Equal(seeds, h.seeds) {
		return
	}
	h.seeds = seeds
	h.core.step(relay.SeedsChanged{Seeds: seeds})
	h.log.Info("relayhost: settings reloaded", zap.Strings("seeds", seeds))
}

// reloadEvery is the pause between looks at settings that changed without a signal.
const reloadEvery = 5 * time.Second

// outside carries out the effects that belong to no request.
func (h *Host) outside(e relay.Effect) {
	switch e := e.(type) {
	case relay.Send:
		h.beats.send(e)
	case relay.Unreserve:
		h.send(e.To, func(req *fasthttp.Request) { h.dialect.Unreserve(req, e.Hold) }, ignore)
	case relay.FreePrefill:
		h.send(e.To, func(req *fasthttp.Request) { h.dialect.FreePrefill(req, e.Handle) }, ignore)
	case relay.Order:
		h.order(e)
	case relay.ReadAgain:
		h.follower.Hurry()
	default:
		h.log.Error("relayhost: effect not known", zap.String("type", fmt.Sprintf("%T", e)))
	}
}

// ignore is for calls whose failure the backend server's own time limits mend. The
// failure itself has been logged.
func ignore(Answer, error) {}

func (h *Host) order(e relay.Order) {
	write := func(req *fasthttp.Request) {
		h.dialect.Order(req, e.To.ID, e.Stage, h.cfg.Relay.Roster.Self.ID, e.Fence)
	}
	h.send(e.To, write, func(a Answer, err error) {
		ok := err == nil && h.dialect.JudgeCall(a) == relay.Whole
		h.core.step(relay.Ordered{Backend: e.To.ID, OK: ok, Status: a.Status})
	})
}
