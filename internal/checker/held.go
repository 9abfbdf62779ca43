package checker

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// holdKey identifies the memory of one attempt on one server.
type holdKey struct {
	server string
	ref    ident.BackendRef
}

// checkHeld finds memory that stays allocated for longer than the bound after the
// end of its call.
func checkHeld(r *run) []Violation {
	var out []Violation
	open := map[holdKey]Record{}
	for _, x := range r.records {
		switch x.Kind {
		case record.Hold:
			open[holdKey{x.Server, *x.Ref}] = x
		case record.Free:
			key := holdKey{x.Server, *x.Ref}
			if hold, ok := open[key]; ok {
				out = append(out, r.checkHoldEnd(hold, x.Time)...)
				delete(open, key)
			}
		case record.Crash:
			for key, hold := range open {
				if key.server == x.Server {
					out = append(out, r.checkHoldEnd(hold, x.Time)...)
					delete(open, key)
				}
			}
		}
	}
	for _, hold := range open {
		out = append(out, r.checkHoldEnd(hold, r.cfg.End)...)
	}
	return out
}

// checkHoldEnd compares the end of a hold with the end of the last call for its
// content.
func (r *run) checkHoldEnd(hold Record, end time.Time) []Violation {
	callEnd, ok := r.lastCallEnd(r.content(hold))
	if !ok {
		return nil
	}
	if hold.Time.After(callEnd) {
		callEnd = hold.Time
	}
	late := end.Sub(callEnd)
	if late <= r.cfg.HoldBound {
		return nil
	}
	return []Violation{{
		Invariant: 1,
		Time:      callEnd,
		Subject:   fmt.Sprintf("%s at %s", hold.Ref.Request, hold.Server),
		Detail:    fmt.Sprintf("%s memory held %v after the end of its call, bound %v", hold.Step, late, r.cfg.HoldBound),
	}}
}

// lastCallEnd returns when the last call for a content ended. It returns false if
// a call is still open or there is none.
func (r *run) lastCallEnd(content string) (time.Time, bool) {
	var callEnd time.Time
	for _, c := range r.callsByContent[content] {
		end := c.endTime()
		if end.IsZero() {
			return time.Time{}, false
		}
		if end.After(callEnd) {
			callEnd = end
		}
	}
	return callEnd, !callEnd.IsZero()
}
