package checker

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// holding is the memory of one attempt at one server.
type holding struct {
	server string
	ref    ident.BackendRef
}

// checkHeld finds memory that stays held after its caller is gone.
func checkHeld(r *run) []Violation {
	var out []Violation
	open := map[holding]Record{}
	for _, x := range r.records {
		switch x.Kind {
		case record.Hold:
			open[holding{x.Server, *x.Ref}] = x
		case record.Free:
			key := holding{x.Server, *x.Ref}
			if hold, ok := open[key]; ok {
				out = append(out, r.judgeHold(hold, x.Time)...)
				delete(open, key)
			}
		case record.Crash:
			for key, hold := range open {
				if key.server == x.Server {
					out = append(out, r.judgeHold(hold, x.Time)...)
					delete(open, key)
				}
			}
		}
	}
	for _, hold := range open {
		out = append(out, r.judgeHold(hold, r.cfg.End)...)
	}
	return out
}

// judgeHold compares the end of a hold with the time when the last caller of its
// content was gone.
func (r *run) judgeHold(hold Record, end time.Time) []Violation {
	gone, ok := r.goneAt(r.content(hold))
	if !ok {
		return nil
	}
	if hold.Time.After(gone) {
		gone = hold.Time
	}
	late := end.Sub(gone)
	if late <= r.cfg.HoldBound {
		return nil
	}
	return []Violation{{
		Invariant: 1,
		Time:      gone,
		Subject:   fmt.Sprintf("%s at %s", hold.Ref.Request, hold.Server),
		Detail:    fmt.Sprintf("%s memory held %v after the caller was gone, bound %v", hold.Step, late, r.cfg.HoldBound),
	}}
}

// goneAt returns when the last caller of a content was gone. It is false while one
// waits, and without any caller.
func (r *run) goneAt(content string) (time.Time, bool) {
	var gone time.Time
	for _, c := range r.contents[content] {
		end := c.endTime()
		if end.IsZero() {
			return time.Time{}, false
		}
		if end.After(gone) {
			gone = end
		}
	}
	return gone, !gone.IsZero()
}
