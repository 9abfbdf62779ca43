package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// checkStops finds answers that broke at a host while it stopped gracefully. A
// host that crashed meanwhile is no graceful stop any more, and an answer whose
// backend server failed may have broken for that reason.
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
			if c == nil || r.mustBreak(c, x.Time) || r.backendFailed(c.sent, x.Time) {
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

// mustBreak says that the key of a call had been withdrawn before a time, or that
// a batch which worked on it had been recalled. Such answers end visibly.
func (r *run) mustBreak(c *call, at time.Time) bool {
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

// backendFailed says that a server which worked on a call crashed or had a fault
// between its sending and a time.
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

// checkConfig finds hosts that applied a configuration late or went back.
func checkConfig(r *run) []Violation {
	out := r.reverts()
	for _, x := range r.records {
		if x.Kind != record.Published || slices.Contains(r.cfg.Rejected, x.Revision) {
			continue
		}
		for _, h := range r.cfg.Hosts {
			out = append(out, r.late(x, h)...)
		}
	}
	return out
}

// reverts finds hosts that went back. A process that has replaced another reports
// revision 0 until it has its first configuration, and serves nothing till then.
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
				Detail: fmt.Sprintf("went back from revision %d to %d", top, x.Revision),
			})
		}
		highest[x.Host] = max(highest[x.Host], x.Revision)
	}
	return out
}

// late judges the first report of a host after the configuration was due.
func (r *run) late(published Record, h ident.HostID) []Violation {
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

// due returns when a host must have a configuration: the bound after it was
// published and after the last outage that touches this time.
func (r *run) due(published time.Time, h ident.HostID) time.Time {
	due := published.Add(r.cfg.ConfigBound)
	outages := slices.Clone(r.cfg.Outages)
	slices.SortFunc(outages, func(a, b Outage) int { return a.From.Compare(b.From) })
	for _, o := range outages {
		touches := (o.Host == "" || o.Host == h) && o.From.Before(due) && o.To.After(published)
		if after := o.To.Add(r.cfg.ConfigBound); touches && after.After(due) {
			due = after
		}
	}
	return due
}
