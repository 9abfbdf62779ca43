package checker

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// checkLeaving finds new work that reached a leaving or removed server after the
// bound, or a recalled one.
func checkLeaving(r *run) []Violation {
	var out []Violation
	since := map[string]time.Time{}
	for _, x := range r.records {
		switch x.Kind {
		case record.Leaving, record.Removed:
			since[x.Server] = x.Time
		case record.Restart:
			delete(since, x.Server)
		case record.Arrival:
			left, ok := since[x.Server]
			if late := x.Time.Sub(left); ok && newWork(x) && late > r.cfg.LeaveBound {
				out = append(out, Violation{
					Invariant: 8, Time: x.Time, Subject: x.Server,
					Detail: fmt.Sprintf("got %s %v after it began to leave", x.Step, late),
				})
			}
		}
		out = append(out, r.recalled(x)...)
	}
	return out
}

// newWork excludes a decode call, which goes on with an attempt that the engine
// already holds.
func newWork(x Record) bool {
	return x.Step == "prefill" || x.Step == "import" || x.Step == "call"
}

// recalled finds work and loads on a recalled batch. Nothing of it may start, so
// decode calls count too.
func (r *run) recalled(x Record) []Violation {
	load := x.Kind == record.Order && x.Reason == "load_version"
	if x.Kind != record.Arrival && !load {
		return nil
	}
	for _, c := range r.cfg.Recalls {
		late := x.Time.Sub(c.Time)
		if late > r.cfg.ConfigBound && c.covers(x) && (c.Ended.IsZero() || x.Time.Before(c.Ended)) {
			step := x.Step
			if load {
				step = "a load"
			}
			return []Violation{{
				Invariant: 8, Time: x.Time, Subject: x.Server,
				Detail: fmt.Sprintf("got %s %v after its batch was recalled", step, late),
			}}
		}
	}
	return nil
}

func (c Recall) covers(x Record) bool {
	return (c.Model == "" || c.Model == x.Model) &&
		(c.Version == "" || c.Version == x.Version) &&
		(c.Group == "" || c.Group == x.Group)
}
