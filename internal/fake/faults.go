package fake

import (
	"fmt"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// Faults are the faults of a backend server that can be switched at run time.
type Faults struct {
	StallTransfer bool    // imports wait until the fault ends
	SilentStream  bool    // streams stay open and say nothing
	Silent        bool    // no request is answered
	CorruptKV     bool    // imported KV caches differ from the exported ones
	DropAnswer    bool    // a service runs the call and then drops the connection
	Slow          float64 // factor on all times; 0 is none
}

// reason returns the faults as text, empty for none.
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
	e.note(record.Record{Kind: record.FaultSet, Reason: f.reason()})
	for _, h := range e.held {
		h.notify()
	}
}

// awaitFault waits until the faults allow something. It returns false when the
// request is gone or the engine has crashed.
func (e *Engine) awaitFault(h *held, allowed func(Faults) bool) bool {
	for {
		e.mu.Lock()
		ok, gone, changed := allowed(e.faults), h.gone, h.changed
		e.mu.Unlock()
		if ok || gone {
			return ok
		}
		select {
		case <-changed:
		case <-h.life.done:
			return false
		}
	}
}

// Crash closes all connections and loses all state.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.endLifeLocked()
	e.resetLocked()
	e.endLifeLocked()
	e.down = true
	e.note(record.Record{Kind: record.Crash})
	e.mu.Unlock()
	e.srv.close()
}

// Restart starts a crashed engine at its address, with the version and role that
// it was configured with.
func (e *Engine) Restart() error {
	e.mu.Lock()
	addr := e.info.Addr
	e.info = e.cfg.Info
	e.info.Addr = addr
	e.resetLocked()
	e.down = false
	e.note(record.Record{Kind: record.Restart})
	e.mu.Unlock()
	return e.srv.listen()
}

// SetLeaving makes the engine refuse new work and finish what it has.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Leaving = leaving
}

// SetRole gives the engine another role at once.
func (e *Engine) SetRole(r engine.Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Role = r
}
