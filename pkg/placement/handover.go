package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// adoptPools creates the state of pools that this host owns now, so that their
// engines are polled before the first request.
func (p *Placer) adoptPools(now time.Time) {
	for _, key := range p.fleet.order {
		if p.ownerOf(key) == p.cfg.Self.Host {
			p.pool(key)
		}
	}
}

// movePools hands over the pools that belong to another host now.
func (p *Placer) movePools(now time.Time) {
	for _, pl := range p.sortedPools() {
		if p.ownerOf(pl.key) != p.cfg.Self.Host && !now.Before(pl.actingUntil) {
			p.handOver(now, pl)
		}
	}
	p.adoptPools(now)
}

// handOver sends queue and bookings of a pool to its owner and forgets the pool.
func (p *Placer) handOver(now time.Time, pl *pool) {
	h := &Handover{Pool: pl.key}
	pl.queue.Each(func(it fairqueue.Item[ident.BackendRef, *ticket]) {
		b := it.Value.book
		b.Budget = it.Value.deadline.Add(p.cfg.Margin).Sub(now)
		h.Queue = append(h.Queue, b)
		p.tracker.Release(now, b.Ref)
	})
	for _, ref := range sortedKeys(pl.bookings, compareRefs) {
		h.Bookings = append(h.Bookings, pl.bookings[ref].held(now))
		p.tracker.Release(now, ref)
	}
	for _, e := range pl.order {
		p.tracker.Forget(e.listed.ID)
	}
	delete(p.pools, pl.key)
	if owner := p.ownerOf(pl.key); owner != "" && len(h.Queue)+len(h.Bookings) > 0 {
		p.send(owner, Message{Handover: h})
	}
}

// onHandover takes over queue and bookings. What is known already stays.
func (p *Placer) onHandover(now time.Time, h *Handover) {
	if !p.mayOwn(h.Pool) || p.draining {
		return
	}
	pl := p.pool(h.Pool)
	if p.ownerOf(h.Pool) != p.cfg.Self.Host {
		pl.actingUntil = now.Add(actingTime)
	}
	for _, held := range h.Bookings {
		p.takeBooking(now, pl, held)
	}
	for _, b := range h.Queue {
		b.Acting = true
		p.onBook(now, &b)
	}
}

// takeBooking enters a booking of another owner. One that a report has shown
// already gets its details. A request that is queued here is still undecided for
// its host and gets a booking of its own.
func (p *Placer) takeBooking(now time.Time, pl *pool, h Held) {
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
		at:           now.Add(-h.Age),
	}
	if known {
		b.seen = old.seen
		pl.remove(now, h.Ref)
	}
	if h.Prefilled || b.seen {
		b.prefilled = now
	}
	if b.prefill != nil {
		b.duration = b.prefill.prefill.of(float64(b.tokens))
	}
	pl.insert(now, b)
	p.tracker.Renew(now, h.Ref)
}

// moveRequests tells new owners of this host's bookings, and then asks again for
// requests whose host is gone.
func (p *Placer) moveRequests(now time.Time) {
	p.registerLeases(now)
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		a := p.pending[ref]
		if p.gone(ident.Process{Host: a.to}, a.pool) {
			a.silent = nil
			p.askNext(now, a)
		}
	}
}

// gone tells whether a process that answered for a pool does not run any more.
// Only of the own domain does this host know every host.
func (p *Placer) gone(q ident.Process, key Pool) bool {
	if q.Host == p.cfg.Self.Host {
		return false
	}
	h, known := p.hosts[q.Host]
	if !known {
		return key.Domain == p.cfg.Domain
	}
	return !h.Live || q.Incarnation != 0 && q.Incarnation != h.Process.Incarnation
}

// registerLeases sends this host's bookings to owners that cannot know them: the
// owner that made them is gone or has handed the pool over, or there was none.
func (p *Placer) registerLeases(now time.Time) {
	moved := map[Pool]*Handover{}
	for _, ref := range sortedKeys(p.leases, compareRefs) {
		h := p.leases[ref]
		owner := p.ownerOf(h.pool)
		if owner == "" || h.owner.Host == owner && !p.gone(h.owner, h.pool) {
			continue
		}
		if h.owner.Host != "" && h.pool.Domain != p.cfg.Domain && !p.gone(h.owner, h.pool) {
			continue
		}
		h.owner = p.process(owner)
		m := moved[h.pool]
		if m == nil {
			m = &Handover{Pool: h.pool}
			moved[h.pool] = m
		}
		m.Bookings = append(m.Bookings, h.held(now))
	}
	for _, key := range sortedKeys(moved, comparePools) {
		p.send(p.ownerOf(key), Message{Handover: moved[key]})
	}
}

func (h *lease) held(now time.Time) Held {
	return Held{
		Ref:          h.booking.Ref,
		Round:        h.round,
		Organisation: h.req.Organisation,
		Prefill:      h.booking.Prefill.ID,
		Decode:       h.booking.Decode.ID,
		Tokens:       h.req.PromptTokens + h.req.Offset - h.booking.PrefixHit,
		MaxTokens:    h.req.MaxTokens,
		Prefilled:    h.prefilled,
		Age:          now.Sub(h.at),
	}
}

// Drain hands queues and bookings to the next hosts in rendezvous order. The host
// owns no pool afterwards; its own requests go on.
func (p *Placer) Drain(now time.Time) Result {
	p.begin(now)
	p.draining = true
	clear(p.ranks)
	for _, pl := range p.sortedPools() {
		p.handOver(now, pl)
	}
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		if a := p.pending[ref]; a.to == p.cfg.Self.Host {
			p.askNext(now, a)
		}
	}
	p.registerLeases(now)
	return p.finish(now)
}

// Resumed voids all leases after a pause. As an owner, this host forgets its
// books, since others have booked in the meantime. As a client, it asks again for
// undecided requests and gives back bookings whose prefill had not ended.
func (p *Placer) Resumed(now time.Time) Result {
	p.begin(now)
	clear(p.pools)
	clear(p.free)
	clear(p.fleet.down)
	p.inbox = nil
	p.tracker.Resumed(now)
	p.adoptPools(now)
	for _, ref := range sortedKeys(p.leases, compareRefs) {
		if h := p.leases[ref]; !h.prefilled {
			p.voidLease(h, ReasonLeaseVoid, minRetryAfter)
		}
	}
	p.resumePending(now)
	return p.finish(now)
}

// resumePending asks again for the requests that can still meet their target.
func (p *Placer) resumePending(now time.Time) {
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		a := p.pending[ref]
		if !a.req.Wait && !now.Before(a.deadline) {
			a.reason, a.retry = ReasonDeadline, minRetryAfter
			p.rejectPending(a)
			continue
		}
		a.silent = nil
		p.askNext(now, a)
	}
}
