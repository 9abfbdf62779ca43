package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// reportLag is how long after its release a request may still appear in reports,
// which lag, before it counts as held.
const reportLag = 300 * time.Millisecond

// hintHoldOff is how long failure hints of other hosts are ignored after a report
// from an engine under suspicion, so that one host with a broken network cannot take
// engines out of use.
const hintHoldOff = 2 * time.Second

// findEngine returns the owner's state of an engine and its pool, or nil when this
// host does not hold the pool.
func (p *Placer) findEngine(id ident.BackendID) (*pool, *engineState) {
	info, ok := p.fleet.engines[id]
	if !ok {
		return nil, nil
	}
	pl, ok := p.pools[poolOf(info)]
	if !ok {
		return nil, nil
	}
	return pl, pl.engines[id]
}

// Report processes an engine's report. It corrects the owner's bookings and keeps
// those that are newer than the report.
func (p *Placer) Report(now time.Time, r engine.Report) Result {
	p.begin(now)
	pl, e := p.findEngine(r.ID)
	if e != nil && !e.stale(r) {
		delete(p.fleet.down, r.ID)
		if e.suspect {
			e.ignoreHintsUntil = now.Add(hintHoldOff)
		}
		before := e.info
		e.apply(r)
		p.tracker.Observe(now, r.ID, r.Held)
		if e.info.Role == engine.Decode {
			p.reconcile(now, pl, e, r)
		}
		if e.info != before {
			pl.infoCache = nil
			p.recheckQueue(now, pl)
		}
		p.dispatch(now, pl)
	}
	return p.finish(now)
}

// reconcile compares the booked slots with the requests that the engine holds, and
// frees the bookings of requests that it no longer holds.
func (p *Placer) reconcile(now time.Time, pl *pool, e *engineState, r engine.Report) {
	held := make(map[ident.BackendRef]bool, len(r.Held))
	e.unbooked = 0
	for _, h := range r.Held {
		held[h.Ref] = true
		p.observeHeld(now, pl, e, h)
	}
	for _, ref := range sortedKeys(e.slots, compareRefs) {
		b := e.slots[ref]
		if b.reported && !held[ref] {
			// The request has ended or was lost with the engine's process.
			pl.remove(now, ref)
			p.released.add(now, ref, b.round)
			p.tracker.Release(now, ref)
		}
	}
	// An engine may count requests that it does not list.
	e.unbooked = max(e.unbooked, r.Running+r.Queued-max(len(r.Held), len(e.slots)))
}

// observeHeld matches one held request with its booking. A request without a
// booking was booked by an earlier owner or placed without one; it occupies a slot.
func (p *Placer) observeHeld(now time.Time, pl *pool, e *engineState, h engine.HeldRequest) {
	if b, ok := pl.bookings[h.Ref]; ok {
		if b.decode != e && b.moved {
			e.unbooked++ // a stalled transfer that is not cancelled yet
			return
		}
		if b.decode != e {
			if b.decode != nil {
				delete(b.decode.slots, h.Ref)
			}
			b.decode = e
			e.slots[h.Ref] = b
		}
		b.reported = true
		return
	}
	if age, ok := p.released.since(now, h.Ref); ok {
		if age > reportLag {
			e.unbooked++
		}
		return
	}
	pl.insert(now, &booking{
		ref:         h.Ref,
		decode:      e,
		bookedAt:    now.Add(-h.Age),
		prefilledAt: now,
		reported:    true,
	})
}

// Unreachable takes an engine out of use for Config.DownTime, or until its next
// report if this host reads its reports.
func (p *Placer) Unreachable(now time.Time, id ident.BackendID) Result {
	p.begin(now)
	p.fleet.down[id] = now.Add(p.cfg.DownTime)
	if pl, e := p.findEngine(id); e != nil {
		p.dispatch(now, pl)
	}
	return p.finish(now)
}

// suspectExcluded takes engines that a request excludes, because they failed for its
// host, out of use until their next report.
func (p *Placer) suspectExcluded(now time.Time, pl *pool, ids []ident.BackendID) {
	for _, id := range ids {
		if e := pl.engines[id]; e != nil && e.reported && !now.Before(e.ignoreHintsUntil) {
			e.suspect = true
		}
	}
}

// ApplyCacheEvents processes cache events of a prefill engine.
func (p *Placer) ApplyCacheEvents(now time.Time, id ident.BackendID, evs []engine.CacheEvent) {
	p.now = now
	if _, e := p.findEngine(id); e != nil {
		e.cache.apply(evs)
	}
}
