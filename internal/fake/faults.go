package fake

import (
	"fmt"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// Faults are the faults that can be injected into a backend server at run time.
type Faults struct {
	StallTransfer bool    // imports wait until the fault ends
	SilentStream  bool    // streams stay open without any output
	Silent        bool    // requests are accepted but not answered
	CorruptKV     bool    // imported KV caches differ from the exported ones
	DropAnswer    bool    // a service runs the call, then closes the connection without an answer
	Slow          float64 // factor on all durations; 0 means 1
}

// reason formats the faults for a record. It returns an empty string for none.
func (f Faults) reason() string {
	if f == (Faults{}) {
		return ""
	}
	return fmt.Sprintf("%+v", f)
}

func (f Faults) slowFactor() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}

// SetFaults replaces the faults of the engine.
func (e *Engine) SetFaults(f Faults) {
	e.srv.setSilent(f.Silent)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.recordEvent(record.Record{Kind: record.FaultSet, Reason: f.reason()})
	for _, h := range e.held {
		h.notify()
	}
}

// awaitFaultClear waits until allowed returns true for the current faults. It
// returns false if the request is released or the engine crashes first.
func (e *Engine) awaitFaultClear(h *heldRequest, allowed func(Faults) bool) bool {
	for {
		e.mu.Lock()
		ok, released, changed := allowed(e.faults), h.released, h.changed
		e.mu.Unlock()
		if ok || released {
			return ok
		}
		select {
		case <-changed:
		case <-h.incarnation.done:
			return false
		}
	}
}

// Crash closes all connections and discards all state.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.endIncarnationLocked()
	e.resetLocked()
	e.endIncarnationLocked()
	e.crashed = true
	e.recordEvent(record.Record{Kind: record.Crash})
	e.mu.Unlock()
	e.srv.close()
}

// Restart starts a crashed engine at the same address, with the version and role
// from its configuration.
func (e *Engine) Restart() error {
	e.mu.Lock()
	addr := e.info.Addr
	e.info = e.cfg.Info
	e.info.Addr = addr
	e.resetLocked()
	e.crashed = false
	e.recordEvent(record.Record{Kind: record.Restart})
	e.mu.Unlock()
	return e.srv.listen()
}

// SetLeaving makes the engine reject new work and finish the work it has.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Leaving = leaving
}

// SetRole changes the role of the engine immediately.
func (e *Engine) SetRole(r engine.Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Role = r
}
