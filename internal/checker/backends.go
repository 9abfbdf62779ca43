package checker

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// checkLeaving finds new work that reached a leaving or removed server after the
// bound, and work on a recalled batch.
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
			if late := x.Time.Sub(left); ok && startsNewWork(x) && late > r.cfg.LeaveBound {
				out = append(out, Violation{
					Invariant: 8, Time: x.Time, Subject: x.Server,
					Detail: fmt.Sprintf("received %s %v after it started leaving", x.Step, late),
				})
			}
		}
		out = append(out, r.recalledWork(x)...)
	}
	return out
}

// startsNewWork excludes decode calls, which continue an attempt that the engine
// already holds.
func startsNewWork(x Record) bool {
	return x.Step == "prefill" || x.Step == "import" || x.Step == "call"
}

// recalledWork finds work on a recalled batch and loads of one. No step may start on
// a recalled batch, so decode calls count too.
func (r *run) recalledWork(x Record) []Violation {
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
				Detail: fmt.Sprintf("received %s %v after its batch was recalled", step, late),
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
