package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// actingTime is how long a stand-in owner follows a pool after its last Book.
const actingTime = 2 * time.Second

// onBook handles a request for a booking as owner or stand-in.
func (p *Placer) onBook(now time.Time, b *Book) {
	if origin(b.Ref) == "" {
		return // no host to answer
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
		if p.answerBooked(now, pl, old, b) {
			return
		}
	}
	if t, ok := pl.queue.Get(b.Ref); ok {
		p.requeue(now, pl, t, b)
		return
	}
	p.enqueue(now, pl, b)
}

// requeue takes a repeated Book for a request that is queued. The request keeps
// its place.
func (p *Placer) requeue(now time.Time, pl *pool, t *ticket, b *Book) {
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

// sendQueued tells the origin that its request waits, unless it was decided.
func (p *Placer) sendQueued(pl *pool, b *Book) {
	if pl.queue.Has(b.Ref) {
		p.send(origin(b.Ref), Message{Queued: &Queued{Ref: b.Ref, Round: b.Round}})
	}
}

// answerBooked repeats the answer to a repeated Book. It returns false when the
// origin has excluded an engine of the booking, and drops the booking.
func (p *Placer) answerBooked(now time.Time, pl *pool, old *booking, b *Book) bool {
	if old.prefill == nil || old.decode == nil {
		return true // seen in a report: the attempt already runs
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

// poolFor returns the pool to book in, or nil when the message was passed on.
func (p *Placer) poolFor(now time.Time, b *Book) *pool {
	owner := p.ownerOf(b.Pool)
	if owner != p.cfg.Self.Host && owner != "" && !b.Acting && !b.Forwarded {
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
		pl.actingUntil = now.Add(actingTime)
	}
	return pl
}

// pool returns the owner's state of a pool and creates it when needed.
func (p *Placer) pool(key Pool) *pool {
	pl, ok := p.pools[key]
	if !ok {
		pl = newPool(&p.cfg, key)
		pl.sync(&p.cfg, p.fleet.pools[key])
		p.pools[key] = pl
	}
	return pl
}

// enqueue admits a request to the queue or refuses it.
func (p *Placer) enqueue(now time.Time, pl *pool, b *Book) {
	t := &ticket{book: *b, deadline: now.Add(b.Budget - p.cfg.Margin)}
	pl.asked.add(b)
	if reason := p.filter.check(pl.infos(), t.wanted()); reason != "" {
		p.refuse(b, reason, p.cfg.DownTime)
		return
	}
	expected := pl.predict(p, now, b)
	if late := expected - b.limit() + p.cfg.Margin; late > 0 && !b.Wait {
		p.refuse(b, ReasonDeadline, late)
		return
	}
	if pl.queue.Len() >= p.cfg.QueueLimit && !p.makeRoom(pl, b, expected) {
		return
	}
	pl.queue.Push(fairqueue.Item[ident.BackendRef, *ticket]{
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

// makeRoom drops the newest request of the organisation with the largest backlog.
// When that is the one that asks, the request itself is refused.
func (p *Placer) makeRoom(pl *pool, b *Book, expected time.Duration) bool {
	last, ok := pl.queue.Longest()
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
	pl.queue.Scan(func(it fairqueue.Item[ident.BackendRef, *ticket]) fairqueue.Decision {
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

// maxSkipped bounds the organisations that one dispatch passes over because their
// first request waits for a certain engine. It bounds the time of a dispatch.
const maxSkipped = 128

func (p *Placer) tryBook(now time.Time, pl *pool, t *ticket) fairqueue.Decision {
	c := pl.capacity(p, now)
	if c.free == 0 || c.prefill == 0 || c.least > p.cfg.PrefillAhead {
		return fairqueue.Stop
	}
	best, ok := pl.choose(p, now, t)
	if !ok {
		return fairqueue.Skip
	}
	if late := best.first.Sub(t.deadline); late > 0 && !t.book.Wait {
		p.refuse(&t.book, ReasonDeadline, late)
		return fairqueue.Drop
	}
	p.grant(now, pl, t, best)
	return fairqueue.Take
}

// grant books prefill, link and decode slot together.
func (p *Placer) grant(now time.Time, pl *pool, t *ticket, best plan) {
	b := &booking{
		ref:          t.book.Ref,
		round:        t.book.Round,
		organisation: t.book.Organisation,
		tokens:       t.book.prompt() - best.prefill.hit,
		maxTokens:    t.book.MaxTokens,
		hit:          best.prefill.hit,
		prefill:      best.prefill.engine,
		decode:       best.decode,
		at:           now,
		duration:     best.prefill.work,
	}
	pl.insert(now, b)
	until := best.linkFrom.Add(best.transfer)
	b.prefill.linkUntil = until
	b.decode.linkUntil = until
	for _, block := range t.book.Prefix {
		b.prefill.cache.add(block)
	}
	pl.perCost.observe(best.prefill.work, t.book.cost())
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
		PrefixHit: b.hit,
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

// booked returns the pool and the booking of an attempt.
func (p *Placer) booked(ref ident.BackendRef) (*pool, *booking) {
	for _, pl := range p.pools {
		if b, ok := pl.bookings[ref]; ok {
			return pl, b
		}
	}
	return nil, nil
}

// onPrefilled corrects the books of a prefill engine.
func (p *Placer) onPrefilled(now time.Time, m *Prefilled) {
	pl, b := p.booked(m.Ref)
	if b == nil || !b.prefilled.IsZero() {
		return
	}
	b.prefilled = now
	if b.prefill != nil {
		b.prefill.finishJob(now, b, true)
		b.prefill.keep(now, p.scorer.transferOf(b.tokens+b.hit))
	}
	p.tracker.Renew(now, m.Ref)
	p.dispatch(now, pl)
}

// onRelease ends a request in any state. A release of an earlier round leaves a
// later one as it is.
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
	pl, b := p.booked(m.Ref)
	if b != nil && b.round > m.Round {
		return
	}
	p.tracker.Release(now, m.Ref)
	if b != nil {
		pl.remove(now, m.Ref)
		p.learn(now, pl, b, m.Output)
		p.dispatch(now, pl)
	}
}

// learn takes the actual use of a finished booking into the predictions and
// returns unused tokens to the organisation's share.
func (p *Placer) learn(now time.Time, pl *pool, b *booking, output int) {
	if output < 0 {
		pl.queue.Charge(b.organisation, -float64(b.tokens+b.hit+b.maxTokens))
		return
	}
	pl.queue.Charge(b.organisation, float64(output-b.maxTokens))
	pl.slotTime.observe(now.Sub(b.at), 1)
}

// usable tells whether an engine may get new work of a request now.
func (p *Placer) usable(now time.Time, e *engineState, w wanted) bool {
	return !e.suspect && !p.fleet.isDown(now, e.info.ID) && p.filter.allows(e.info, w)
}

// sweep refuses queued requests that can no longer meet their target.
func (p *Placer) sweep(now time.Time, pl *pool) {
	if pl.queue.Len() == 0 {
		return
	}
	var late []ident.BackendRef
	least := pl.capacity(p, now).least
	slowest := pl.slowestPrefill()
	pl.queue.Each(func(it fairqueue.Item[ident.BackendRef, *ticket]) {
		b := &it.Value.book
		if b.Wait {
			return
		}
		left := it.Value.deadline.Sub(now) - least - p.scorer.transfer(b) - p.cfg.DecodePerToken
		if left >= seconds(slowest*float64(b.prompt())) {
			return // in time on any engine, without a look at each
		}
		if left < pl.leastWork(p, now, b) {
			late = append(late, it.Key)
		}
	})
	for _, ref := range late {
		it, _ := pl.queue.Remove(ref)
		b := &it.Value.book
		p.refuse(b, ReasonDeadline, pl.predict(p, now, b))
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
		free := max(0, c.free-pl.queue.Len())
		if c.prefill == 0 || c.backlog/time.Duration(max(1, c.prefill)) > p.cfg.FirstTokenTarget/2 {
			free = 0
		}
		out = append(out, PoolFree{Domain: pl.key.Domain, Model: pl.key.Model, Free: free})
	}
	return out
}

// Polls returns the engines whose reports this host must read as pool owner.
func (p *Placer) Polls() []engine.Info {
	var out []engine.Info
	for _, pl := range p.sortedPools() {
		for _, e := range pl.order {
			out = append(out, e.listed)
		}
	}
	return out
}
