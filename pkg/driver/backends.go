package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Values of CallError.Step.
const (
	stepPrefill = "prefill"
	stepImport  = "import"
	stepDecode  = "decode"
	stepCall    = "call"
	stepOrder   = "order"
)

type errGap struct{ want, got int }

func (e errGap) Error() string {
	return fmt.Sprintf("gap in token stream: got offset %d, want %d", e.got, e.want)
}

var errExpired = errors.New("deadline passed before the call was sent")

// callError converts the error of a failed call into the form that the reducer
// handles.
func callError(step string, err error) *node.CallError {
	if err == nil {
		return nil
	}
	out := &node.CallError{Step: step, Reason: err.Error(), NotRun: errors.Is(err, errExpired)}
	var e *engine.Error
	if errors.As(err, &e) {
		out.NotRun = e.NotRun
		out.Responded = e.Refused()
		out.Stalled = e.Code == engine.CodeTimeout
	}
	return out
}

func (d *Driver) prefill(e node.Prefill) {
	c := d.call(e.Ref.Request)
	if c == nil {
		return
	}
	res, err := d.runPrefill(c, e)
	d.post(node.PrefillEnded{Ref: e.Ref, Result: res, Err: callError(stepPrefill, err)})
}

func (d *Driver) runPrefill(c *Call, e node.Prefill) (engine.PrefillResult, error) {
	ctx, cancel := context.WithDeadline(c.attemptContext(d.ctx, e.Ref.Attempt), e.Deadline)
	defer cancel()
	if expired(e.Deadline) {
		return engine.PrefillResult{}, errExpired
	}
	return d.backends.Engine(e.Engine.Addr).Prefill(ctx, engine.PrefillRequest{
		Ref:     e.Ref,
		Model:   e.Engine.Model,
		Version: e.Engine.Version,
		Adapter: e.Adapter,
		Prompt:  c.completion.Prompt,
		Output:  c.outputUntil(e.Resume),
	})
}

func (d *Driver) importKV(e node.Import) {
	c := d.call(e.Ref.Request)
	if c == nil {
		return
	}
	res, err := d.runImport(c, e)
	d.post(node.ImportEnded{Ref: e.Ref, Result: res, Err: callError(stepImport, err)})
}

func (d *Driver) runImport(c *Call, e node.Import) (engine.ImportResult, error) {
	ctx, cancel := context.WithDeadline(c.attemptContext(d.ctx, e.Ref.Attempt), e.Deadline)
	defer cancel()
	if expired(e.Deadline) {
		return engine.ImportResult{}, errExpired
	}
	res, err := d.backends.Engine(e.Decode.Addr).Import(ctx, engine.ImportRequest{
		Ref:      e.Ref,
		Model:    e.Decode.Model,
		Version:  e.Decode.Version,
		Adapter:  e.Adapter,
		Source:   e.Source.Addr,
		Checksum: e.Checksum,
		Bytes:    e.Bytes,
	})
	if err != nil {
		return res, err
	}
	if res.Checksum != e.Checksum {
		return res, fmt.Errorf("KV cache checksum mismatch: decode engine %s has %x, prefill engine %s sent %x",
			e.Decode.ID, res.Checksum, e.Source.ID, e.Checksum)
	}
	return res, nil
}

func (d *Driver) decode(e node.Decode) {
	c := d.call(e.Ref.Request)
	if c == nil {
		return
	}
	err := d.runDecode(c, e)
	d.post(node.DecodeEnded{
		Ref:       e.Ref,
		Delivered: c.delivered(),
		Err:       callError(stepDecode, err),
	})
}

func (d *Driver) runDecode(c *Call, e node.Decode) error {
	ctx := c.attemptContext(d.ctx, e.Ref.Attempt)
	defer c.cancelAttempt(e.Ref.Attempt)
	if expired(e.Deadline) {
		return errExpired
	}
	started := false
	request := engine.DecodeRequest{
		Ref:       e.Ref,
		Model:     e.Engine.Model,
		Version:   e.Engine.Version,
		Offset:    e.Offset,
		MaxTokens: e.MaxTokens,
	}
	return d.backends.Engine(e.Engine.Addr).Decode(ctx, request, func(ch engine.Chunk) error {
		if !started && len(ch.Tokens) > 0 {
			started = true
			d.post(node.DecodeStarted{Ref: e.Ref})
		}
		if ch.Done {
			c.setFinish(ch.Finish)
		}
		return c.deliver(ctx, ch.Offset, ch.Tokens, d.cfg.CallerTimeout)
	})
}

func (d *Driver) callService(e node.CallService) {
	c := d.call(e.Ref.Request)
	if c == nil {
		return
	}
	res, err := d.runService(c, e)
	end := node.ServiceEnded{Ref: e.Ref, Err: callError(stepCall, err)}
	if err == nil {
		c.setResponse(res)
		end.Status = res.Status
		if e.KeepBody {
			end.Body = res.Body
		}
	}
	d.post(end)
}

func (d *Driver) runService(c *Call, e node.CallService) (*Response, error) {
	ctx, cancel := context.WithDeadline(c.attemptContext(d.ctx, e.Ref.Attempt), e.Deadline)
	defer cancel()
	if expired(e.Deadline) {
		return nil, errExpired
	}
	return d.backends.Forward(ctx, e.Backend.Addr, e.Ref, c.service)
}

// maxCancelAttempts limits how often a cancel is sent. An allocation that remains
// after that is found by the pool owner in the engine's report.
const maxCancelAttempts = 3

// cancel frees the engine memory held by an attempt. It may run after the request
// has ended, so it does not use the request's context.
func (d *Driver) cancel(e node.CancelBackend) {
	for range maxCancelAttempts {
		ctx, stop := context.WithTimeout(d.ctx, d.cfg.CallTimeout)
		err := d.backends.Engine(e.Backend.Addr).Cancel(ctx, e.Ref)
		stop()
		if err == nil {
			return
		}
		d.log.Warn("driver: cancel failed",
			zap.String("request", string(e.Ref.Request)),
			zap.String("step", "cancel"),
			zap.String("peer", string(e.Backend.ID)),
			zap.Error(err))
	}
}

// pollState tracks the polling of one engine's report and cache events.
type pollState struct {
	inFlight      bool
	lastSequence  uint64
	lastRequested time.Time
}

// prunePolls removes the state of engines that are no longer polled.
func (d *Driver) prunePolls(now time.Time) {
	for id, p := range d.polls {
		if !p.inFlight && now.Sub(p.lastRequested) > clientIdleTimeout {
			delete(d.polls, id)
		}
	}
}

// pollEngine reads an engine's report and cache events. At most one poll per
// engine runs at a time.
func (d *Driver) pollEngine(info engine.Info) {
	d.mu.Lock()
	p := d.polls[info.ID]
	now := time.Now()
	if p == nil {
		d.prunePolls(now)
		p = &pollState{}
		d.polls[info.ID] = p
	}
	p.lastRequested = now
	busy := p.inFlight
	p.inFlight = true
	d.mu.Unlock()
	if busy {
		return
	}
	d.spawn(func() {
		d.runPoll(info, p)
		d.mu.Lock()
		p.inFlight = false
		d.mu.Unlock()
	})
}

func (d *Driver) runPoll(info engine.Info, p *pollState) {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.CallTimeout)
	defer cancel()
	e := d.backends.Engine(info.Addr)
	report, err := e.Report(ctx)
	if err != nil {
		d.post(node.EngineUnreachable{ID: info.ID})
		return
	}
	d.post(node.EngineReported{Report: report})
	events, err := e.Events(ctx, p.lastSequence)
	if err != nil || len(events) == 0 {
		return
	}
	p.lastSequence = events[len(events)-1].Sequence
	d.post(node.EngineCacheChanged{ID: info.ID, Events: events})
}

// order sends an order to an engine without retrying, and only before its
// deadline.
func (d *Driver) order(e node.SendOrder) {
	err := d.runOrder(e)
	var engineErr *engine.Error
	d.post(node.OrderEnded{
		Pool:       e.Pool,
		ID:         e.ID,
		StaleFence: errors.As(err, &engineErr) && engineErr.Code == engine.CodeStaleFence,
		Err:        callError(stepOrder, err),
	})
}

func (d *Driver) runOrder(e node.SendOrder) error {
	if expired(e.Deadline) {
		return errExpired
	}
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	return d.backends.Engine(e.Backend.Addr).Order(ctx, e.Order)
}
