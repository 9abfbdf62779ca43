package orders

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// member is an engine of the pool.
type member struct {
	info       engine.Info
	report     engine.Report
	reportedAt time.Time
	earlier    uint64 // Start of the process before the reported one
	adapters   []ident.Version

	pending  *pending
	retryAt  time.Time
	failures int
	// uncertain is set when an order ended without an outcome. An engine that
	// ignores fencing numbers gets no other order until that one can no longer
	// arrive and a report has come since.
	uncertain bool
	certainAt time.Time // from then on the order cannot arrive
}

// pending is an order whose effect is not yet seen.
type pending struct {
	id       uint64
	order    engine.Order
	sentAt   time.Time
	deadline time.Time
	accepted bool
}

// SetEngines takes the engines of the pool from the platform's list.
func (o *Orders) SetEngines(infos []engine.Info) {
	seen := map[ident.BackendID]bool{}
	for _, i := range infos {
		if i.Model != o.cfg.Model || i.Role == engine.Service {
			continue
		}
		seen[i.ID] = true
		m := o.engines[i.ID]
		if m == nil {
			m = &member{report: engine.Report{Role: i.Role, Version: i.Version}}
			o.engines[i.ID] = m
			at, _ := slices.BinarySearch(o.order, i.ID)
			o.order = slices.Insert(o.order, at, i.ID)
		}
		m.info = i
	}
	o.order = slices.DeleteFunc(o.order, func(id ident.BackendID) bool {
		if !seen[id] {
			delete(o.engines, id)
		}
		return !seen[id]
	})
}

// Report takes an engine's report. Reports lag and may come out of order; the
// highest fencing number counts whatever the order.
func (o *Orders) Report(now time.Time, r engine.Report) {
	o.fence = max(o.fence, r.Fence)
	m := o.engines[r.ID]
	if m == nil || r.Start == m.earlier && r.Start != m.report.Start {
		return
	}
	restarted := r.Start != m.report.Start
	if !restarted && r.Sequence <= m.report.Sequence {
		return
	}
	if restarted {
		m.restarted()
	}
	m.report, m.reportedAt = r, now
	if now.After(m.certainAt) {
		m.uncertain = false
	}
	if p := m.pending; p != nil && p.accepted && p.seenIn(r) {
		m.pending, m.failures = nil, 0
	}
}

// restarted forgets what an engine's earlier process had loaded or was doing.
func (m *member) restarted() {
	m.earlier = m.report.Start
	m.adapters = nil
	if m.pending != nil && m.pending.accepted {
		m.pending = nil
	}
}

// seenIn reports whether a report shows the effect of an order.
func (p *pending) seenIn(r engine.Report) bool {
	switch p.order.Kind {
	case engine.OrderLoadVersion:
		return r.Version == p.order.Version
	case engine.OrderChangeRole:
		return r.Role == p.order.Role
	}
	return true
}

// accepted notes that the engine has taken an order. Reports do not name adapters,
// so that accepting one counts as having it.
func (m *member) accepted(now time.Time) {
	m.pending.accepted = true
	if m.pending.order.Kind == engine.OrderLoadAdapter {
		m.adapters = append(m.adapters, m.pending.order.Version)
		m.pending, m.failures = nil, 0
	}
}

// failed delays the next order, longer with each failure.
func (m *member) failed(now time.Time, cfg Config) {
	delay := min(cfg.RetryMax, cfg.RetryMin<<min(m.failures, 16))
	m.failures++
	m.retryAt = now.Add(delay)
	if !m.pending.accepted {
		m.uncertain = true
		m.certainAt = m.pending.deadline.Add(cfg.InFlight)
	}
	m.pending = nil
}

func (m *member) leaving() bool { return m.info.Leaving || m.report.Leaving }

func (m *member) load() int { return m.report.Running + m.report.Queued }

// loading reports whether an engine loads a version or an adapter.
func (m *member) loading() bool {
	return m.pending != nil && m.pending.order.Kind != engine.OrderChangeRole
}
