package driver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// Rules is the active rule set, against which the front end verifies keys.
type Rules struct {
	Rules    *ruleset.Rules
	Revision ident.Revision
}

// Transport delivers batches to other entry hosts.
type Transport interface {
	// Deliver sends a batch to addr. It does not retry.
	Deliver(ctx context.Context, addr string, b node.Batch) error
}

// Backends gives access to backend servers.
type Backends interface {
	// Engine returns the engine at addr.
	Engine(addr string) engine.Engine
	// Forward sends a request to a plain service without retrying. An error with
	// NotRun set means that the service certainly did not start the request.
	Forward(ctx context.Context, addr string, ref ident.BackendRef, r *ServiceRequest) (*Response, error)
}

// Driver runs the reducer of one entry host and performs its I/O.
type Driver struct {
	cfg       Config
	log       *zap.Logger
	node      *node.Node
	transport Transport
	backends  Backends
	platform  Platform
	group     *errgroup.Group
	ctx       context.Context
	events    chan node.Event
	queries   chan func(*node.Node)
	exited    chan struct{}
	exitOnce  sync.Once

	rules      atomic.Pointer[Rules]
	ready      atomic.Bool
	requestSeq atomic.Uint64

	mu       sync.Mutex
	calls    map[ident.RequestID]*Call
	outboxes map[ident.HostID]*outbox
	polls    map[ident.BackendID]*pollState
}

// New returns a driver that has not started.
func New(cfg Config, log *zap.Logger, t Transport, b Backends, p Platform) *Driver {
	return &Driver{
		cfg:       cfg,
		log:       log,
		transport: t,
		backends:  b,
		platform:  p,
		events:    make(chan node.Event, 4096),
		queries:   make(chan func(*node.Node)),
		exited:    make(chan struct{}),
		calls:     map[ident.RequestID]*Call{},
		outboxes:  map[ident.HostID]*outbox{},
		polls:     map[ident.BackendID]*pollState{},
	}
}

// Run runs the node until ctx is done or a graceful shutdown is complete.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.group, d.ctx = errgroup.WithContext(ctx)
	d.node = node.New(d.cfg.Node, time.Now())
	d.group.Go(d.loop)
	select {
	case <-d.exited:
	case <-d.ctx.Done():
	}
	cancel()
	return d.group.Wait()
}

// Exited returns a channel that is closed when a graceful shutdown is complete.
func (d *Driver) Exited() <-chan struct{} { return d.exited }

// Shutdown starts a graceful shutdown.
func (d *Driver) Shutdown() { d.post(node.Shutdown{}) }

// Ready reports whether the host accepts new requests.
func (d *Driver) Ready() bool { return d.ready.Load() }

// Rules returns the active rules, or nil before the first generation is loaded.
func (d *Driver) Rules() *Rules { return d.rules.Load() }

// Receive processes a batch of messages from another entry host.
func (d *Driver) Receive(b node.Batch) {
	for _, m := range b.Messages {
		d.post(node.PeerMessage{From: b.From.Host, Message: m})
	}
}

var errStopped = errors.New("the host has stopped")

// Inspect runs query between two steps of the reducer. The query must not retain
// the node.
func (d *Driver) Inspect(ctx context.Context, query func(n *node.Node)) error {
	done := make(chan struct{})
	run := func(n *node.Node) {
		defer close(done)
		query(n)
	}
	select {
	case d.queries <- run:
		<-done
		return nil
	case <-ctx.Done():
		return fmt.Errorf("driver: inspect: %w", ctx.Err())
	case <-d.exited:
		return fmt.Errorf("driver: inspect: %w", errStopped)
	}
}

// Status returns the state of the host and its view of its peers.
func (d *Driver) Status(ctx context.Context) (status.Status, error) {
	var s status.Status
	err := d.Inspect(ctx, func(n *node.Node) { s = n.Status(time.Now()) })
	return s, err
}

func (d *Driver) loop() error {
	ticker := time.NewTicker(d.cfg.TickInterval)
	defer ticker.Stop()
	d.step(node.Tick{})
	for {
		select {
		case <-d.ctx.Done():
			d.abandonCalls()
			return nil
		case ev := <-d.events:
			d.step(ev)
		case q := <-d.queries:
			q(d.node)
		case <-ticker.C:
			d.step(node.Tick{})
		}
	}
}

func (d *Driver) step(ev node.Event) {
	for _, e := range d.node.Step(time.Now(), ev) {
		d.execute(e)
	}
}

// post queues an event for the reducer. It blocks while the queue is full, which
// applies backpressure to the event sources instead of dropping events.
func (d *Driver) post(ev node.Event) {
	select {
	case d.events <- ev:
	case <-d.exited:
	case <-d.ctx.Done():
	}
}

// spawn runs f in the driver's errgroup.
func (d *Driver) spawn(f func()) {
	d.group.Go(func() error {
		f()
		return nil
	})
}

// Complete starts a completion request.
func (d *Driver) Complete(r *Completion) *Call {
	c := d.newCall()
	c.completion = r
	d.post(node.CompletionArrived{
		ID:           c.id,
		Key:          r.Key,
		Organisation: r.Organisation,
		Model:        r.Model,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.Prefix,
	})
	return c
}

// Call starts a request to a plain service.
func (d *Driver) Call(r *ServiceRequest) *Call {
	c := d.newCall()
	c.service = r
	d.post(node.ServiceArrived{
		ID:             c.id,
		Key:            r.Key,
		Organisation:   r.Organisation,
		Path:           r.Path,
		IdempotencyKey: r.IdempotencyKey,
		BodyDigest:     r.BodyDigest,
		WallTime:       c.arrived,
	})
	return c
}

func (d *Driver) newCall() *Call {
	c := &Call{
		id:      ident.NewRequestID(d.cfg.Node.Self, d.requestSeq.Add(1)),
		arrived: time.Now(),
		done:    make(chan struct{}),
		tokens:  make(chan []string, 64),
		driver:  d,
		cancels: map[ident.Attempt]context.CancelFunc{},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c.id] = c
	return c
}

func (d *Driver) call(id ident.RequestID) *Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[id]
}

func (d *Driver) removeCall(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.id)
}

// abandonCalls ends all open calls with a refusal when the process stops.
func (d *Driver) abandonCalls() {
	d.mu.Lock()
	calls := make([]*Call, 0, len(d.calls))
	for _, c := range d.calls {
		calls = append(calls, c)
	}
	d.mu.Unlock()
	for _, c := range calls {
		d.end(c.id, End{Refusal: &node.Refuse{
			ID:     c.id,
			Code:   node.CodeShuttingDown,
			Ran:    node.RanUnknown,
			Detail: "this host stopped before the request ended",
		}})
	}
}
