package driver

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// execute starts an effect. It never blocks.
func (d *Driver) execute(effect node.Effect) {
	switch e := effect.(type) {
	case node.Send:
		d.enqueue(e)
	case node.Prefill:
		d.spawn(func() { d.prefill(e) })
	case node.Import:
		d.spawn(func() { d.importKV(e) })
	case node.Decode:
		d.spawn(func() { d.decode(e) })
	case node.CallService:
		d.spawn(func() { d.callService(e) })
	case node.StopCall:
		if c := d.call(e.Ref.Request); c != nil {
			c.cancelAttempt(e.Ref.Attempt)
		}
	case node.CancelBackend:
		d.spawn(func() { d.cancel(e) })
	case node.Complete:
		d.end(e.ID, End{Complete: true})
	case node.Respond:
		d.respond(e)
	case node.Refuse:
		d.refuse(e)
	case node.PollEngine:
		d.pollEngine(e.Engine)
	case node.SendOrder:
		d.spawn(func() { d.order(e) })
	case node.ReadConfig:
		d.spawn(func() { d.readConfig(e.Read) })
	case node.ReadHosts:
		d.spawn(func() { d.readHosts(e) })
	case node.RulesInForce:
		d.rules.Store(&Rules{Rules: e.Rules, Revision: e.Revision})
		d.log.Info("configuration: new generation in force", zap.Uint64("revision", uint64(e.Revision)))
	case node.SetReady:
		d.ready.Store(e.Ready)
		d.log.Info("node: readiness changed", zap.Bool("ready", e.Ready))
	case node.Alarm:
		d.log.Warn(e.Part+": "+e.Detail, zap.String("alarm", e.Part))
	case node.Exit:
		d.exitOnce.Do(func() { close(d.exited) })
	}
}

func (d *Driver) respond(e node.Respond) {
	if e.Stored {
		d.end(e.ID, End{Response: &Response{Status: e.Status, Body: e.Body}})
		return
	}
	c := d.call(e.ID)
	if c == nil {
		return
	}
	c.mu.Lock()
	r := c.response
	c.mu.Unlock()
	d.end(e.ID, End{Response: r})
}

func (d *Driver) refuse(e node.Refuse) {
	d.log.Info("node: request refused",
		zap.String("request", string(e.ID)),
		zap.String("organisation", string(d.organisation(e.ID))),
		zap.String("code", string(e.Code)),
		zap.String("ran", string(e.Ran)),
		zap.String("detail", e.Detail))
	d.end(e.ID, End{Refusal: &e})
}

// organisation returns the organisation of a request; it is empty on open routes.
func (d *Driver) organisation(id ident.RequestID) ident.Organisation {
	c := d.call(id)
	switch {
	case c == nil:
		return ""
	case c.completion != nil:
		return c.completion.Organisation
	}
	return c.service.Organisation
}

// end ends a call and releases its resources.
func (d *Driver) end(id ident.RequestID, e End) {
	c := d.call(id)
	if c == nil {
		return
	}
	d.removeCall(c)
	c.setEnd(e)
	// The contexts of ended attempts stay registered with their parent until they
	// are cancelled.
	c.cancelAll()
}

// expired reports whether the deadline of an effect has passed, so that the
// effect must not be executed. A zero deadline never expires.
func expired(deadline time.Time) bool {
	return !deadline.IsZero() && time.Now().After(deadline)
}
