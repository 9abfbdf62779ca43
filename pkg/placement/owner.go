package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// fallbackTime is how long a fallback owner keeps a pool after the last Book or Handover
// for it.
const fallbackTime = 2 * time.Second

// onBook handles a request for a booking as owner or fallback owner.
func (p *Placer) onBook(now time.Time, b *Book) {
	if origin(b.Ref) == "" {
		return // the request id names no host to answer
	}
	pl := p.poolFor(now, b)
	if pl == nil {
		return
	}
	if p.released.covers(b.Ref, b.Round) {
		return
	}
	p.suspectExcluded(now, pl, b.Exclude)
	if old, ok := pl.bookings[b.Ref]; ok {
		if p.repeatBooked(now, pl, old, b) {
			return
		}
	}
	if t, ok := pl.queue.Get(b.Ref); ok {
		p.refreshQueued(now, pl, t, b)
		return
	}
	p.enqueue(now, pl, b)
}

// refreshQueued handles a repeated Book for a queued request, which keeps its place.
func (p *Placer) refreshQueued(now time.Time, pl *pool, t *queuedRequest, b *Book) {
	if b.Round >= t.book.Round {
		t.book.Round = b.Round
		t.book.Exclude = b.Exclude
		t.book.Wait = b.Wait
	}
	p.tracker.Renew(now, b.Ref)
	p.recheckQueue(now, pl)
	p.dispatch(now, pl)
	p.sendQueued(pl, b)
}

// sendQueued tells the origin that its request is queued, unless it was decided.
func (p *Placer) sendQueued(pl *pool, b *Book) {
	if pl.queue.Has(b.Ref) {
		p.send(origin(b.Ref), Message{Queued: &Queued{Ref: b.Ref, Round: b.Round}})
	}
}

// repeatBooked answers a repeated Book for a booked request. When the origin has
// excluded an engine of the booking, it removes the booking and returns false.
func (p *Placer) repeatBooked(now time.Time, pl *pool, old *booking, b *Book) bool {
	if old.prefill == nil || old.decode == nil {
		return true // known from a report only: the attempt already runs
	}
	for _, id := range b.Exclude {
		if b.Round > old.round && (id == old.prefill.info.ID || id == old.decode.info.ID) {
			pl.remove(now, b.Ref)
			return false
		}
	}
	old.round = max(old.round, b.Round)
	p.tracker.Renew(now, b.Ref)
	p.sendBooked(old)
	return true
}

// poolFor returns the pool to book in, or nil when the message was forwarded to the
// owner or refused.
func (p *Placer) poolFor(now time.Time, b *Book) *pool {
	owner := p.ownerOf(b.Pool)
	if owner != p.cfg.Self.Host && owner != "" && !b.Fallback && !b.Forwarded {
		forward := *b
		forward.Forwarded = true
		p.send(owner, Message{Book: &forward})
		return nil
	}
	if !p.mayOwn(b.Pool) || p.draining {
		p.refuse(b, ReasonNoEngine, p.cfg.OwnerTimeout)
		return nil
	}
	pl := p.pool(b.Pool)
	if owner != p.cfg.Self.Host {
		pl.fallbackUntil = now.Add(fallbackTime)
	}
	return pl
}

// pool returns the owner's state of a pool and creates it if needed.
func (p *Placer) pool(key Pool) *pool {
	pl, ok := p.pools[key]
	if !ok {
		pl = newPool(&p.cfg, key)
		pl.syncEngines(&p.cfg, p.fleet.pools[key])
		p.pools[key] = pl
	}
	return pl
}

// enqueue admits a request to the queue or refuses it.
func (p *Placer) enqueue(now time.Time, pl *pool, b *Book) {
	t := &queuedRequest{book: *b, deadline: now.Add(b.Budget - p.cfg.Margin)}
	pl.demand.add(b)
	if reason := p.filter.rejectReason(pl.infos(), t.constraints()); reason != "" {
		p.refuse(b, reason, p.cfg.DownTime)
		return
	}
	expected := pl.predictFirstToken(p, now, b)
	if late := expected - b.firstTokenLimit() + p.cfg.Margin; late > 0 && !b.Wait {
		p.refuse(b, ReasonDeadline, late)
		return
	}
	if pl.queue.Len() >= p.cfg.QueueLimit && !p.evictQueued(pl, b, expected) {
		return
	}
	pl.queue.Push(fairqueue.Item[ident.BackendRef, *queuedRequest]{
		Key:          b.Ref,
		Organisation: b.Organisation,
		Weight:       b.Weight,
		Cost:         b.cost(),
		Priority:     b.Priority,
		Value:        t,
	})
	p.tracker.Renew(now, b.Ref)
	p.dispatch(now, pl)
	p.sendQueued(pl, b)
}

// evictQueued refuses the newest queued request of the organisation with the largest
// backlog, to admit b. When b is of that organisation, b itself is refused.
func (p *Placer) evictQueued(pl *pool, b *Book, expected time.Duration) bool {
	last, ok := pl.queue.DropCandidate()
	if !ok || last.Organisation == b.Organisation {
		p.refuse(b, ReasonQueueFull, expected)
		return false
	}
	pl.queue.Remove(last.Key)
	p.refuse(&last.Value.book, ReasonQueueFull, expected)
	return true
}

// dispatch books queued requests while engines can start them.
func (p *Placer) dispatch(now time.Time, pl *pool) {
	if pl.queue.Len() == 0 {
		return
	}
	skipped := 0
	pl.queue.Scan(func(it fairqueue.Item[ident.BackendRef, *queuedRequest]) fairqueue.Decision {
		d := p.tryBook(now, pl, it.Value)
		if d == fairqueue.Skip {
			skipped++
		}
		if skipped > maxSkipped {
			return fairqueue.Stop
		}
		return d
	})
}

// maxSkipped limits the organisations that one dispatch skips because their first
// request waits for a particular engine. It bounds the time of a dispatch.
const maxSkipped = 128

func (p *Placer) tryBook(now time.Time, pl *pool, t *queuedRequest) fairqueue.Decision {
	c := pl.capacity(p, now)
	if c.freeSlots == 0 || c.prefillEngines == 0 || c.minBacklog > p.cfg.PrefillAhead {
		return fairqueue.Stop
	}
	best, ok := pl.bestPlan(p, now, t)
	if !ok {
		return fairqueue.Skip
	}
	if late := best.firstToken.Sub(t.deadline); late > 0 && !t.book.Wait {
		p.refuse(&t.book, ReasonDeadline, late)
		return fairqueue.Drop
	}
	p.grant(now, pl, t, best)
	return fairqueue.Take
}

// grant books the prefill, the link and the decode slot together.
func (p *Placer) grant(now time.Time, pl *pool, t *queuedRequest, best plan) {
	b := &booking{
		ref:          t.book.Ref,
		round:        t.book.Round,
		organisation: t.book.Organisation,
		tokens:       t.book.promptTokens() - best.prefill.prefixHit,
		maxTokens:    t.book.MaxTokens,
		prefixHit:    best.prefill.prefixHit,
		prefill:      best.prefill.engine,
		decode:       best.decode,
		bookedAt:     now,
		prefillTime:  best.prefill.work,
	}
	pl.insert(now, b)
	until := best.transferStart.Add(best.transferTime)
	b.prefill.linkBusyUntil = until
	b.decode.linkBusyUntil = until
	for _, block := range t.book.Prefix {
		b.prefill.cache.add(block)
	}
	pl.prefillPerCost.observe(best.prefill.work, t.book.cost())
	p.tracker.Renew(now, b.ref)
	p.sendBooked(b)
}

func (p *Placer) sendBooked(b *booking) {
	p.send(origin(b.ref), Message{Booked: &Booked{
		Ref:       b.ref,
		Round:     b.round,
		Prefill:   b.prefill.info.ID,
		Decode:    b.decode.info.ID,
		Version:   b.prefill.info.Version,
		PrefixHit: b.prefixHit,
	}})
}

func (p *Placer) refuse(b *Book, reason Reason, after time.Duration) {
	p.tracker.Release(p.now, b.Ref)
	p.send(origin(b.Ref), Message{Refused: &Refused{
		Ref:        b.Ref,
		Round:      b.Round,
		Reason:     reason,
		RetryAfter: after,
	}})
}

// findBooking returns the booking of an attempt and its pool, or nil.
func (p *Placer) findBooking(ref ident.BackendRef) (*pool, *booking) {
	for _, pl := range p.pools {
		if b, ok := pl.bookings[ref]; ok {
			return pl, b
		}
	}
	return nil, nil
}

// onPrefilled records the end of a prefill at its engine.
func (p *Placer) onPrefilled(now time.Time, m *Prefilled) {
	pl, b := p.findBooking(m.Ref)
	if b == nil || !b.prefilledAt.IsZero() {
		return
	}
	b.prefilledAt = now
	if b.prefill != nil {
		b.prefill.finishJob(now, b, true)
		b.prefill.retainCache(now, p.scorer.transferTimeOf(b.tokens+b.prefixHit))
	}
	p.tracker.Renew(now, m.Ref)
	p.dispatch(now, pl)
}

// onRelease ends a request in any state. A release of an earlier round does not
// affect a later round.
func (p *Placer) onRelease(now time.Time, m *Release) {
	p.released.add(now, m.Ref, m.Round)
	for _, pl := range p.pools {
		if t, ok := pl.queue.Get(m.Ref); ok {
			if t.book.Round > m.Round {
				return
			}
			pl.queue.Remove(m.Ref)
		}
	}
	pl, b := p.findBooking(m.Ref)
	if b != nil && b.round > m.Round {
		return
	}
	p.tracker.Release(now, m.Ref)
	if b != nil {
		pl.remove(now, m.Ref)
		p.recordUsage(now, pl, b, m.Output)
		p.dispatch(now, pl)
	}
}

// recordUsage updates the predictions with the actual usage of an ended booking and
// credits unused tokens to its organisation.
func (p *Placer) recordUsage(now time.Time, pl *pool, b *booking, output int) {
	if output < 0 {
		pl.queue.Charge(b.organisation, -float64(b.tokens+b.prefixHit+b.maxTokens))
		return
	}
	pl.queue.Charge(b.organisation, float64(output-b.maxTokens))
	pl.slotHoldTime.observe(now.Sub(b.bookedAt), 1)
}

// usable reports whether an engine may get work of a request now.
func (p *Placer) usable(now time.Time, e *engineState, w constraints) bool {
	return !e.suspect && !p.fleet.isDown(now, e.info.ID) && p.filter.allows(e.info, w)
}

// refuseLate refuses queued requests that can no longer meet their target.
func (p *Placer) refuseLate(now time.Time, pl *pool) {
	if pl.queue.Len() == 0 {
		return
	}
	var late []ident.BackendRef
	least := pl.capacity(p, now).minBacklog
	slowest := pl.slowestPrefillRate()
	pl.queue.Each(func(it fairqueue.Item[ident.BackendRef, *queuedRequest]) {
		b := &it.Value.book
		if b.Wait {
			return
		}
		left := it.Value.deadline.Sub(now) - least - p.scorer.transferTime(b) - p.cfg.DecodePerToken
		if left >= seconds(slowest*float64(b.promptTokens())) {
			return // in time even on the slowest engine, so no check of each engine is needed
		}
		if left < pl.shortestPrefill(p, now, b) {
			late = append(late, it.Key)
		}
	})
	for _, ref := range late {
		it, _ := pl.queue.Remove(ref)
		b := &it.Value.book
		p.refuse(b, ReasonDeadline, pl.predictFirstToken(p, now, b))
	}
}

// Free returns the free decode slots of the pools that this host owns.
func (p *Placer) Free() []PoolFree {
	var out []PoolFree
	for _, pl := range p.sortedPools() {
		if p.ownerOf(pl.key) != p.cfg.Self.Host {
			continue
		}
		c := pl.capacity(p, p.now)
		free := max(0, c.freeSlots-pl.queue.Len())
		if c.prefillEngines == 0 || c.totalBacklog/time.Duration(max(1, c.prefillEngines)) > p.cfg.FirstTokenTarget/2 {
			free = 0
		}
		out = append(out, PoolFree{Domain: pl.key.Domain, Model: pl.key.Model, Free: free})
	}
	return out
}

// PolledEngines returns the engines whose reports this host must read as pool owner.
func (p *Placer) PolledEngines() []engine.Info {
	var out []engine.Info
	for _, pl := range p.sortedPools() {
		for _, e := range pl.sortedEngines {
			out = append(out, e.listed)
		}
	}
	return out
}
