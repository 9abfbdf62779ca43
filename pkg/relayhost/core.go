package relayhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// core passes events to the relay one at a time and dispatches the resulting effects.
type core struct {
	mu       sync.Mutex
	relay    *relay.Relay
	jobs     map[relay.ID]*job
	lastID   relay.ID
	timer    *time.Timer
	timerDue time.Time // when timer fires; zero if it has fired
	// serverLimits reports whether any backend server is known to have named a limit.
	serverLimits atomic.Bool
	// evacuations reports whether any failure domain is evacuated.
	evacuations atomic.Bool

	log        *zap.Logger
	metrics    *hostMetrics
	hostEffect func(relay.Effect) // executes effects that belong to no request
	exit       chan struct{}
}

// job connects the core with the goroutine of a request.
type job struct {
	id      relay.ID
	effects chan relay.Effect
}

// effectQueueSize is the number of effects that may be queued for a request's
// goroutine. A request has one call at a time, so two would be enough.
const effectQueueSize = 8

func newCore(r *relay.Relay, log *zap.Logger, m *hostMetrics, hostEffect func(relay.Effect)) *core {
	return &core{
		relay:      r,
		jobs:       map[relay.ID]*job{},
		timer:      time.NewTimer(0),
		log:        log,
		metrics:    m,
		hostEffect: hostEffect,
		exit:       make(chan struct{}),
	}
}

// register registers a new request.
func (c *core) register() *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	j := &job{id: c.lastID, effects: make(chan relay.Effect, effectQueueSize)}
	c.jobs[j.id] = j
	return j
}

func (c *core) unregister(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, j.id)
}

// step passes an event to the relay and dispatches its effects.
func (c *core) step(e relay.Event) {
	c.mu.Lock()
	effects := c.relay.Step(boottime.Now(), e)
	var rest []relay.Effect
	for _, eff := range effects {
		if id, ok := requestOf(eff); ok {
			c.dispatch(id, eff)
			continue
		}
		rest = append(rest, eff)
	}
	c.serverLimits.Store(c.relay.KnowsServerLimits())
	c.evacuations.Store(c.relay.HasEvacuations())
	c.arm()
	c.mu.Unlock()
	for _, eff := range rest {
		switch eff := eff.(type) {
		case relay.Decision:
			logDecision(c.log, eff)
			c.metrics.countDecision(eff)
		case relay.Exit:
			close(c.exit)
		default:
			c.hostEffect(eff)
		}
	}
}

// requestOf returns the request that an effect belongs to.
func requestOf(e relay.Effect) (relay.ID, bool) {
	switch e := e.(type) {
	case relay.Refuse:
		return e.ID, true
	case relay.Deliver:
		return e.ID, true
	case relay.AbortAnswer:
		return e.ID, true
	case relay.Call:
		return e.ID, true
	case relay.Reserve:
		return e.ID, true
	case relay.Prefill:
		return e.ID, true
	case relay.Decode:
		return e.ID, true
	case relay.RelayStream:
		return e.ID, true
	}
	return 0, false
}

func (c *core) dispatch(id relay.ID, e relay.Effect) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	select {
	case j.effects <- e:
	default:
		c.log.Error("relayhost: effect dropped, queue of the request is full", zap.Uint64("request", uint64(id)))
	}
}

// arm sets the timer to when the relay next needs a tick.
func (c *core) arm() {
	next := c.relay.Next()
	if next.Equal(c.timerDue) {
		return
	}
	c.timerDue = next
	c.timer.Reset(max(minTickInterval, next.Sub(boottime.Now())))
}

// minTickInterval limits the rate of ticks.
const minTickInterval = time.Millisecond

// run sends ticks to the relay until ctx ends.
func (c *core) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.timer.C:
			c.mu.Lock()
			c.timerDue = time.Time{}
			c.mu.Unlock()
			c.step(relay.Tick{})
		}
	}
}

func (c *core) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Ready()
}

// reader returns the host through which the platform is read, if there is one.
func (c *core) reader() (relay.Reader, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Reader(boottime.Now())
}

// readWait limits how long a read of the platform may wait for changes.
func (c *core) readWait(wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.ReadWait(boottime.Now(), wait)
}

func (c *core) readerAnswered(id ident.HostID, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.ReaderAnswered(boottime.Now(), id, age)
}

func (c *core) readerFailed(id ident.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.ReaderFailed(boottime.Now(), id)
}

func (c *core) directReadFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.DirectReadFailed(boottime.Now())
}

// isolated reports whether this host cannot read the platform while another host can, so
// that callers should use another host for their next request.
func (c *core) isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Isolated()
}

// handleValid reports whether a KV cache handle of a prefill engine may be sent now.
func (c *core) handleValid(source backends.Target, expiry time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.HandleValid(boottime.Now(), source, expiry)
}

// evacuated reports whether the failure domain of a backend server is evacuated.
func (c *core) evacuated(t backends.Target) bool {
	if !c.evacuations.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Evacuated(t)
}

func (c *core) limits() (catalog.Limits, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Limits()
}

// refusedFromHead returns the refusal of a request whose body has not been read.
func (c *core) refusedFromHead(spec relay.RequestSpec) (relay.Refuse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.RefusedFromHead(spec)
}
