package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// checkStops finds answers that broke on a host while it was stopping gracefully. A
// crash of the host ends the graceful stop, and an answer whose backend server
// failed may have broken for that reason, so neither counts.
func checkStops(r *run) []Violation {
	var out []Violation
	stopping := map[ident.HostID]time.Time{}
	calls := map[string]*call{}
	for _, c := range r.calls {
		calls[c.sent.Call] = c
	}
	for _, x := range r.records {
		switch x.Kind {
		case record.Stopping:
			stopping[x.Host] = x.Time
		case record.Crash, record.Restart:
			delete(stopping, x.Host)
		case record.Broken:
			c := calls[x.Call]
			if c == nil || r.revokedBefore(c, x.Time) || r.backendFailed(c.sent, x.Time) {
				continue
			}
			since, ok := stopping[c.sent.Host]
			after := x.Time.Sub(since)
			if ok && (r.cfg.StopLimit == 0 || after < r.cfg.StopLimit) {
				out = append(out, Violation{
					Invariant: 9, Time: x.Time, Subject: x.Call,
					Detail: fmt.Sprintf("answer broke %v after host %s began to stop: %s", after, c.sent.Host, x.Reason),
				})
			}
		}
	}
	return out
}

// revokedBefore reports whether, before the given time, the key of a call had been
// withdrawn or a batch that worked on it recalled. The router breaks such answers
// visibly.
func (r *run) revokedBefore(c *call, at time.Time) bool {
	if k := r.cfg.Keys[c.sent.Key]; !k.Withdrawn.IsZero() && k.Withdrawn.Before(at) {
		return true
	}
	for _, x := range r.records {
		if x.Kind != record.Arrival || r.content(x) != c.sent.Content {
			continue
		}
		for _, recall := range r.cfg.Recalls {
			if recall.Time.Before(at) && recall.covers(x) {
				return true
			}
		}
	}
	return false
}

// backendFailed reports whether a server that worked on a call crashed or had a
// fault between the sending of the call and the given time.
func (r *run) backendFailed(sent Record, until time.Time) bool {
	worked := map[string]bool{}
	for _, x := range r.records {
		if x.Kind == record.Arrival && r.content(x) == sent.Content {
			worked[x.Server] = true
		}
	}
	faulty := map[string]bool{}
	for _, x := range r.records {
		if x.Time.After(until) {
			break
		}
		during := !x.Time.Before(sent.Time)
		switch {
		case x.Kind == record.Crash && during && worked[x.Server]:
			return true
		case x.Kind == record.FaultSet && during && worked[x.Server] && (x.Reason != "" || faulty[x.Server]):
			return true
		case x.Kind == record.FaultSet:
			faulty[x.Server] = x.Reason != ""
		}
	}
	for server := range worked {
		if faulty[server] {
			return true
		}
	}
	return false
}

// checkConfig finds hosts that applied a configuration late or reverted to an older
// one.
func checkConfig(r *run) []Violation {
	out := r.reverts()
	for _, x := range r.records {
		if x.Kind != record.Published || slices.Contains(r.cfg.Rejected, x.Revision) {
			continue
		}
		for _, h := range r.cfg.Hosts {
			out = append(out, r.lateConfig(x, h)...)
		}
	}
	return out
}

// reverts finds hosts that reverted to an older revision. A restarted process
// reports revision 0, and serves no requests, until it has read its first
// configuration.
func (r *run) reverts() []Violation {
	var out []Violation
	highest := map[ident.HostID]ident.Revision{}
	fresh := map[ident.HostID]bool{}
	for _, x := range r.records {
		if x.Kind == record.Restart {
			fresh[x.Host] = true
		}
		if x.Kind != record.InForce || x.Revision == 0 && fresh[x.Host] {
			continue
		}
		fresh[x.Host] = false
		if top := highest[x.Host]; x.Revision < top {
			out = append(out, Violation{
				Invariant: 10, Time: x.Time, Subject: string(x.Host),
				Detail: fmt.Sprintf("reverted from revision %d to %d", top, x.Revision),
			})
		}
		highest[x.Host] = max(highest[x.Host], x.Revision)
	}
	return out
}

// lateConfig checks that the first revision which a host reports after the due time
// is at least the published one.
func (r *run) lateConfig(published Record, h ident.HostID) []Violation {
	due := r.due(published.Time, h)
	for _, x := range r.records {
		if x.Kind != record.InForce || x.Host != h || !x.Time.After(due) {
			continue
		}
		if x.Revision >= published.Revision {
			return nil
		}
		return []Violation{{
			Invariant: 10, Time: x.Time, Subject: string(h),
			Detail: fmt.Sprintf("has revision %d %v after %d was published", x.Revision, x.Time.Sub(published.Time), published.Revision),
		}}
	}
	return nil
}

// due returns the time by which a host must have applied a configuration: the bound
// after its publication, or after the end of the last outage that overlaps this
// period.
func (r *run) due(published time.Time, h ident.HostID) time.Time {
	due := published.Add(r.cfg.ConfigBound)
	outages := slices.Clone(r.cfg.Outages)
	slices.SortFunc(outages, func(a, b Outage) int { return a.From.Compare(b.From) })
	for _, o := range outages {
		overlaps := (o.Host == "" || o.Host == h) && o.From.Before(due) && o.To.After(published)
		if after := o.To.Add(r.cfg.ConfigBound); overlaps && after.After(due) {
			due = after
		}
	}
	return due
}
