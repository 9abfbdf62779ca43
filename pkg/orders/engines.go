package orders

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// member is an engine of the pool.
type member struct {
	info          engine.Info
	report        engine.Report
	reportedAt    time.Time
	previousStart uint64 // Start of the process before the one that reports now
	adapters      []ident.Version

	pending  *pending
	retryAt  time.Time
	failures int
	// outcomeUnknown is set when it is not known whether an order was carried out.
	// An engine that ignores fencing tokens gets no further order until that order
	// can no longer arrive and the engine has reported after that time.
	outcomeUnknown bool
	inFlightUntil  time.Time // time after which the order can no longer arrive
}

// pending is an order whose effect no report has confirmed yet.
type pending struct {
	id       uint64
	order    engine.Order
	sentAt   time.Time
	deadline time.Time
	accepted bool
}

// SetEngines updates the engines of the pool from the platform's list.
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
			at, _ := slices.BinarySearch(o.engineIDs, i.ID)
			o.engineIDs = slices.Insert(o.engineIDs, at, i.ID)
		}
		m.info = i
	}
	o.engineIDs = slices.DeleteFunc(o.engineIDs, func(id ident.BackendID) bool {
		if !seen[id] {
			delete(o.engines, id)
		}
		return !seen[id]
	})
}

// Report records an engine's report. Reports lag and may arrive out of order, so the
// highest fencing token counts even if the rest of a report is outdated.
func (o *Orders) Report(now time.Time, r engine.Report) {
	o.highestFence = max(o.highestFence, r.Fence)
	m := o.engines[r.ID]
	if m == nil || r.Start == m.previousStart && r.Start != m.report.Start {
		return
	}
	restarted := r.Start != m.report.Start
	if !restarted && r.Sequence <= m.report.Sequence {
		return
	}
	if restarted {
		m.resetAfterRestart()
	}
	m.report, m.reportedAt = r, now
	if now.After(m.inFlightUntil) {
		m.outcomeUnknown = false
	}
	if p := m.pending; p != nil && p.accepted && p.confirmedBy(r) {
		m.pending, m.failures = nil, 0
	}
}

// resetAfterRestart clears the adapters and the accepted order of an engine's earlier
// process.
func (m *member) resetAfterRestart() {
	m.previousStart = m.report.Start
	m.adapters = nil
	if m.pending != nil && m.pending.accepted {
		m.pending = nil
	}
}

// confirmedBy reports whether a report shows that the order was carried out.
func (p *pending) confirmedBy(r engine.Report) bool {
	switch p.order.Kind {
	case engine.OrderLoadVersion:
		return r.Version == p.order.Version
	case engine.OrderChangeRole:
		return r.Role == p.order.Role
	}
	return true
}

// markAccepted records that the engine has accepted an order. Reports do not name
// adapters, so an accepted adapter counts as loaded.
func (m *member) markAccepted(now time.Time) {
	m.pending.accepted = true
	if m.pending.order.Kind == engine.OrderLoadAdapter {
		m.adapters = append(m.adapters, m.pending.order.Version)
		m.pending, m.failures = nil, 0
	}
}

// recordFailure delays the next order with exponential back-off.
func (m *member) recordFailure(now time.Time, cfg Config) {
	delay := min(cfg.RetryMax, cfg.RetryMin<<min(m.failures, 16))
	m.failures++
	m.retryAt = now.Add(delay)
	if !m.pending.accepted {
		m.outcomeUnknown = true
		m.inFlightUntil = m.pending.deadline.Add(cfg.InFlight)
	}
	m.pending = nil
}

func (m *member) leaving() bool { return m.info.Leaving || m.report.Leaving }

func (m *member) load() int { return m.report.Running + m.report.Queued }

// loading reports whether the engine has a pending load of a version or an adapter.
func (m *member) loading() bool {
	return m.pending != nil && m.pending.order.Kind != engine.OrderChangeRole
}
