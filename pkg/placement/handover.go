package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// createOwnedPools creates the state of the pools that this host owns, so that
// their engines are polled before the first request.
func (p *Placer) createOwnedPools(now time.Time) {
	for _, key := range p.fleet.sortedPools {
		if p.ownerOf(key) == p.cfg.Self.Host {
			p.pool(key)
		}
	}
}

// handOverLostPools hands over the pools that another host owns now.
func (p *Placer) handOverLostPools(now time.Time) {
	for _, pl := range p.sortedPools() {
		if p.ownerOf(pl.key) != p.cfg.Self.Host && !now.Before(pl.fallbackUntil) {
			p.handOver(now, pl)
		}
	}
	p.createOwnedPools(now)
}

// handOver sends the queue and bookings of a pool to its owner and deletes the
// pool.
func (p *Placer) handOver(now time.Time, pl *pool) {
	h := &Handover{Pool: pl.key}
	pl.queue.Each(func(it fairqueue.Item[ident.BackendRef, *queuedRequest]) {
		b := it.Value.book
		b.Budget = it.Value.deadline.Add(p.cfg.Margin).Sub(now)
		h.Queue = append(h.Queue, b)
		p.tracker.Release(now, b.Ref)
	})
	for _, ref := range sortedKeys(pl.bookings, compareRefs) {
		h.Bookings = append(h.Bookings, pl.bookings[ref].toHeld(now))
		p.tracker.Release(now, ref)
	}
	for _, e := range pl.sortedEngines {
		p.tracker.Forget(e.listed.ID)
	}
	delete(p.pools, pl.key)
	if owner := p.ownerOf(pl.key); owner != "" && len(h.Queue)+len(h.Bookings) > 0 {
		p.send(owner, Message{Handover: h})
	}
}

// onHandover imports the queue and bookings of a pool. Entries that are already
// known are kept.
func (p *Placer) onHandover(now time.Time, h *Handover) {
	if !p.mayOwn(h.Pool) || p.draining {
		return
	}
	pl := p.pool(h.Pool)
	if p.ownerOf(h.Pool) != p.cfg.Self.Host {
		pl.fallbackUntil = now.Add(fallbackTime)
	}
	for _, held := range h.Bookings {
		p.importBooking(now, pl, held)
	}
	for _, b := range h.Queue {
		b.Fallback = true
		p.onBook(now, &b)
	}
}

// importBooking records a booking made by another owner. A booking known only from
// an engine's report is completed. A request that is queued here is still undecided
// for its host and will get a booking from this owner.
func (p *Placer) importBooking(now time.Time, pl *pool, h Held) {
	if p.released.covers(h.Ref, h.Round) || pl.queue.Has(h.Ref) {
		return
	}
	old, known := pl.bookings[h.Ref]
	if known && old.prefill != nil {
		return
	}
	b := &booking{
		ref:          h.Ref,
		round:        h.Round,
		organisation: h.Organisation,
		tokens:       h.Tokens,
		maxTokens:    h.MaxTokens,
		prefill:      pl.engines[h.Prefill],
		decode:       pl.engines[h.Decode],
		bookedAt:     now.Add(-h.Age),
	}
	if known {
		b.reported = old.reported
		pl.remove(now, h.Ref)
	}
	if h.Prefilled || b.reported {
		b.prefilledAt = now
	}
	if b.prefill != nil {
		b.prefillTime = b.prefill.prefillRate.estimate(float64(b.tokens))
	}
	pl.insert(now, b)
	p.tracker.Renew(now, h.Ref)
}

// reassignRequests registers this host's bookings with new owners, and then asks
// again for requests whose host has stopped.
func (p *Placer) reassignRequests(now time.Time) {
	p.registerLeases(now)
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		a := p.pending[ref]
		if p.processStopped(ident.Process{Host: a.host}, a.pool) {
			a.unresponsive = nil
			p.askNext(now, a)
		}
	}
}

// processStopped reports whether a process that answered for a pool no longer runs.
// An unknown host counts as stopped in the local domain only, where this host knows
// every host.
func (p *Placer) processStopped(q ident.Process, key Pool) bool {
	if q.Host == p.cfg.Self.Host {
		return false
	}
	h, known := p.hosts[q.Host]
	if !known {
		return key.Domain == p.cfg.Domain
	}
	return !h.Live || q.Incarnation != 0 && q.Incarnation != h.Process.Incarnation
}

// registerLeases sends this host's bookings to owners that cannot know them,
// because the owner that made them has stopped or no longer owns the pool, or
// because they were made without an owner.
func (p *Placer) registerLeases(now time.Time) {
	moved := map[Pool]*Handover{}
	for _, ref := range sortedKeys(p.leases, compareRefs) {
		l := p.leases[ref]
		owner := p.ownerOf(l.pool)
		if owner == "" || l.owner.Host == owner && !p.processStopped(l.owner, l.pool) {
			continue
		}
		if l.owner.Host != "" && l.pool.Domain != p.cfg.Domain && !p.processStopped(l.owner, l.pool) {
			continue
		}
		l.owner = p.processOf(owner)
		m := moved[l.pool]
		if m == nil {
			m = &Handover{Pool: l.pool}
			moved[l.pool] = m
		}
		m.Bookings = append(m.Bookings, l.toHeld(now))
	}
	for _, key := range sortedKeys(moved, comparePools) {
		p.send(p.ownerOf(key), Message{Handover: moved[key]})
	}
}

func (l *lease) toHeld(now time.Time) Held {
	return Held{
		Ref:          l.booking.Ref,
		Round:        l.round,
		Organisation: l.req.Organisation,
		Prefill:      l.booking.Prefill.ID,
		Decode:       l.booking.Decode.ID,
		Tokens:       l.req.PromptTokens + l.req.Offset - l.booking.PrefixHit,
		MaxTokens:    l.req.MaxTokens,
		Prefilled:    l.prefilled,
		Age:          now.Sub(l.bookedAt),
	}
}

// Drain hands queues and bookings over to the next hosts in rendezvous order. This
// host then owns no pool; its own requests continue.
func (p *Placer) Drain(now time.Time) Result {
	p.begin(now)
	p.draining = true
	clear(p.rankCache)
	for _, pl := range p.sortedPools() {
		p.handOver(now, pl)
	}
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		if a := p.pending[ref]; a.host == p.cfg.Self.Host {
			p.askNext(now, a)
		}
	}
	p.registerLeases(now)
	return p.finish(now)
}

// Resumed resets the state after a pause of the process. As an owner, this host
// discards its bookings, since others may have booked in the meantime. As a client,
// it asks again for undecided requests and returns bookings whose prefill had not
// ended.
func (p *Placer) Resumed(now time.Time) Result {
	p.begin(now)
	clear(p.pools)
	clear(p.freeByPool)
	clear(p.fleet.down)
	p.inbox = nil
	p.tracker.Resumed(now)
	p.createOwnedPools(now)
	for _, ref := range sortedKeys(p.leases, compareRefs) {
		if l := p.leases[ref]; !l.prefilled {
			p.voidLease(l, ReasonLeaseVoid, minRetryAfter)
		}
	}
	p.resumePending(now)
	return p.finish(now)
}

// resumePending asks again for the requests that can still meet their target and
// refuses the others.
func (p *Placer) resumePending(now time.Time) {
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		a := p.pending[ref]
		if !a.req.Wait && !now.Before(a.deadline) {
			a.reason, a.retryAfter = ReasonDeadline, minRetryAfter
			p.rejectPending(a)
			continue
		}
		a.unresponsive = nil
		p.askNext(now, a)
	}
}
