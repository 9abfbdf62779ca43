package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pending is the client's record of a request without a decision.
type pending struct {
	req      Request
	deadline time.Time
	pool     Pool
	round    uint32
	to       ident.HostID
	waiting  bool // the host said that the request is queued
	repeated bool // the question was sent again without an answer
	heard    time.Time
	sent     time.Time
	silent   []ident.HostID          // of this pool, did not answer
	asked    map[ident.HostID]uint32 // latest round by host
	tried    []Pool
	rejected int  // bookings that named a recalled or unknown engine
	spills   bool // another domain has room for it
	last     bool // the final attempt, at the first pool again
	reason   Reason
	retry    time.Duration
}

// lease is the client's record of a booked request until its release.
type lease struct {
	booking   Booking
	req       Request
	pool      Pool
	owner     ident.Process // zero for a local choice
	round     uint32
	at        time.Time
	prefilled bool
	moving    bool // another decode engine was asked for
}

// standIns is how many hosts of a pool a client asks before it chooses locally:
// the owner and the next one.
const standIns = 2

// maxRejected is how many bookings on unusable engines a client returns before it
// gives up on a pool.
const maxRejected = 3

// Book asks for engines. The result comes now or from a later call.
func (p *Placer) Book(now time.Time, r Request) Result {
	p.begin(now)
	if p.pending[r.Ref] == nil && p.leases[r.Ref] == nil {
		p.startPending(now, r)
	}
	return p.finish(now)
}

func (p *Placer) startPending(now time.Time, r Request) {
	if r.Budget <= 0 {
		r.Budget = p.cfg.FirstTokenTarget
	}
	a := &pending{req: r, deadline: now.Add(r.Budget), asked: map[ident.HostID]uint32{}}
	p.pending[r.Ref] = a
	home, ok := p.homePool(r)
	if !ok {
		a.reason = p.whyNone(r)
		a.retry = p.cfg.DownTime
		p.rejectPending(a)
		return
	}
	p.askPool(now, a, home)
}

// homePool returns the pool of the own domain, or the one with the most free
// capacity when the own domain has no engine for the request.
func (p *Placer) homePool(r Request) (Pool, bool) {
	home := Pool{Model: r.Model, Domain: p.cfg.Domain}
	if p.filter.mayServe(p.fleet.pools[home], r.wanted()) {
		return home, true
	}
	return p.spillPool(r, nil, true)
}

// spillPool returns the pool of another domain with the most free capacity. With
// any set, pools without news of free capacity count too.
func (p *Placer) spillPool(r Request, tried []Pool, any bool) (Pool, bool) {
	var best Pool
	bestFree := -1
	for _, key := range p.fleet.byModel[r.Model] {
		if key.Domain == p.cfg.Domain || slices.Contains(tried, key) {
			continue
		}
		free := p.free[key]
		if free <= 0 && !any || free <= bestFree {
			continue
		}
		if p.filter.mayServe(p.fleet.pools[key], r.wanted()) {
			best, bestFree = key, free
		}
	}
	return best, bestFree >= 0
}

// whyNone returns why no pool of any domain can take the request.
func (p *Placer) whyNone(r Request) Reason {
	for _, key := range p.fleet.byModel[r.Model] {
		if p.filter.check(p.fleet.pools[key], r.wanted()) == ReasonRecalled {
			return ReasonRecalled
		}
	}
	return ReasonNoEngine
}

func (r Request) wanted() wanted {
	return wanted{versions: r.Versions, adapter: r.Adapter, exclude: r.Exclude}
}

func (p *Placer) askPool(now time.Time, a *pending, key Pool) {
	a.pool = key
	a.silent = nil
	a.tried = append(a.tried, key)
	p.askNext(now, a)
}

// askNext asks the first host of the pool that has not been silent. When the owner
// and its stand-in were, it chooses locally; a silent pool of another domain counts
// as full.
func (p *Placer) askNext(now time.Time, a *pending) {
	for _, h := range p.rank(a.pool) {
		if len(a.silent) < standIns && !slices.Contains(a.silent, h) {
			p.askHost(now, a, h)
			return
		}
	}
	if a.pool != a.tried[0] {
		p.afterRefusal(now, a, ReasonDeadline, p.cfg.ClaimInterval)
		return
	}
	p.chooseLocally(now, a)
}

// askHost sends the question to a host under a new round.
func (p *Placer) askHost(now time.Time, a *pending, to ident.HostID) {
	a.round++
	a.to = to
	a.asked[to] = a.round
	a.waiting = false
	a.repeated = false
	a.sent = now
	p.sendBook(now, a)
}

func (p *Placer) sendBook(now time.Time, a *pending) {
	a.heard = now
	r := a.req
	_, other := p.spillPool(r, a.tried, false)
	a.spills = other && !a.last && len(a.tried) <= p.cfg.Spills
	p.send(a.to, Message{Book: &Book{
		Pool:         a.pool,
		Round:        a.round,
		Ref:          r.Ref,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Versions:     r.Versions,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.Prefix,
		Offset:       r.Offset,
		Priority:     r.Priority,
		Budget:       a.deadline.Sub(now),
		Wait:         r.Wait && !a.spills,
		Spills:       a.spills,
		Exclude:      r.Exclude,
		Acting:       len(a.silent) > 0,
	}})
}

// onQueued notes that a request waits at a host, which need not be the one asked.
func (p *Placer) onQueued(now time.Time, from ident.HostID, m *Queued) {
	if h := p.leases[m.Ref]; h != nil && h.owner.Host == from {
		return // overtaken by the booking
	}
	a := p.pending[m.Ref]
	if a == nil {
		p.sendRelease(from, m.Ref, m.Round, unused)
		return
	}
	if m.Round != a.round {
		return
	}
	if a.to != from {
		a.asked[from] = a.round
		a.to = from
	}
	a.waiting = true
	a.heard = now
}

// onBooked takes a booking, from whichever host grants it first.
func (p *Placer) onBooked(now time.Time, from ident.HostID, m *Booked) {
	if h := p.leases[m.Ref]; h != nil {
		if h.owner.Host != from {
			p.sendRelease(from, m.Ref, m.Round, unused)
			return
		}
		p.onMoved(h, m)
		return
	}
	a := p.pending[m.Ref]
	if a == nil {
		p.sendRelease(from, m.Ref, m.Round, unused)
		return
	}
	prefill, okPrefill := p.resolve(m.Prefill, m.Version, a.req)
	decode, okDecode := p.resolve(m.Decode, m.Version, a.req)
	if !okPrefill || !okDecode {
		p.rejectBooking(now, from, a, m)
		return
	}
	delete(p.pending, m.Ref)
	key := poolOf(prefill)
	for _, h := range sortedKeys(a.asked, compareHosts) {
		if h != from {
			p.sendRelease(h, m.Ref, a.asked[h], unused)
		}
	}
	p.addLease(&lease{
		booking: Booking{Ref: m.Ref, Prefill: prefill, Decode: decode, PrefixHit: m.PrefixHit},
		req:     a.req,
		pool:    key,
		owner:   p.process(from),
		round:   m.Round,
		at:      now,
	})
}

// resolve finds an engine that a booking names. It fails for an engine that this
// host does not know or, by its own recall, may not use.
func (p *Placer) resolve(id ident.BackendID, v ident.Version, r Request) (engine.Info, bool) {
	e, ok := p.fleet.engines[id]
	if !ok {
		return engine.Info{}, false
	}
	if v != "" {
		e.Version = v
	}
	w := r.wanted()
	return e, w.version(e.Version) && !p.filter.recalled(e)
}

// rejectBooking returns a booking on an engine that this host must not use, and
// asks again without the engines that the owner does not know to be unusable.
func (p *Placer) rejectBooking(now time.Time, from ident.HostID, a *pending, m *Booked) {
	p.sendRelease(from, m.Ref, m.Round, unused)
	if m.Round != a.round {
		return
	}
	a.rejected++
	a.req.Exclude = slices.Clone(a.req.Exclude)
	for _, e := range p.fleet.pools[a.pool] {
		if p.filter.recalled(e) && !slices.Contains(a.req.Exclude, e.ID) {
			a.req.Exclude = append(a.req.Exclude, e.ID)
		}
	}
	for _, id := range []ident.BackendID{m.Prefill, m.Decode} {
		if _, ok := p.resolve(id, m.Version, a.req); !ok && !slices.Contains(a.req.Exclude, id) {
			a.req.Exclude = append(a.req.Exclude, id)
		}
	}
	if a.rejected > maxRejected {
		p.afterRefusal(now, a, ReasonRecalled, p.cfg.DownTime)
		return
	}
	p.askHost(now, a, from)
}

// onRefused takes a refusal of a queued request, or the end of a booking.
func (p *Placer) onRefused(now time.Time, from ident.HostID, m *Refused) {
	if h := p.leases[m.Ref]; h != nil {
		if m.Booked && h.owner.Host == from {
			p.voidLease(h, m.Reason, m.RetryAfter)
		}
		return
	}
	if a := p.pending[m.Ref]; a != nil && a.round == m.Round {
		delete(a.asked, from)
		p.afterRefusal(now, a, m.Reason, m.RetryAfter)
	}
}

// afterRefusal tries another domain with free capacity. After that it asks the
// first pool again, which refused early, or may queue the request now.
func (p *Placer) afterRefusal(now time.Time, a *pending, reason Reason, retry time.Duration) {
	if a.reason == "" || retry < a.retry {
		a.reason, a.retry = reason, retry
	}
	if a.last {
		p.rejectPending(a)
		return
	}
	if len(a.tried) <= p.cfg.Spills {
		if key, ok := p.spillPool(a.req, a.tried, false); ok {
			p.free[key]--
			p.askPool(now, a, key)
			return
		}
	}
	full := a.reason == ReasonDeadline || a.reason == ReasonQueueFull
	if full && len(a.tried) > 1 {
		a.last = true
		p.askPool(now, a, a.tried[0])
		return
	}
	p.rejectPending(a)
}

// rejectPending answers a request with its refusal.
func (p *Placer) rejectPending(a *pending) {
	p.dropPending(a)
	p.out.Refused = append(p.out.Refused, Refusal{
		Ref:        a.req.Ref,
		Reason:     a.reason,
		RetryAfter: max(a.retry, minRetryAfter),
	})
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// unused marks the release of a booking that no engine was asked for.
const unused = -1

// dropPending forgets a request and tells every host that was asked.
func (p *Placer) dropPending(a *pending) {
	delete(p.pending, a.req.Ref)
	for _, h := range sortedKeys(a.asked, compareHosts) {
		p.sendRelease(h, a.req.Ref, a.asked[h], unused)
	}
}

func (p *Placer) sendRelease(to ident.HostID, ref ident.BackendRef, round uint32, output int) {
	p.send(to, Message{Release: &Release{Ref: ref, Round: round, Output: output}})
}

// PrefillDone notes the end of a prefill and tells the owner.
func (p *Placer) PrefillDone(now time.Time, ref ident.BackendRef) Result {
	p.begin(now)
	if h := p.leases[ref]; h != nil && !h.prefilled {
		h.prefilled = true
		if h.owner.Host != "" {
			p.send(h.owner.Host, Message{Prefill: &Prefilled{Ref: ref}})
		}
	}
	return p.finish(now)
}

// Release ends a request in any state. It may be repeated.
func (p *Placer) Release(now time.Time, ref ident.BackendRef, outputTokens int) Result {
	p.begin(now)
	if a := p.pending[ref]; a != nil {
		p.dropPending(a)
	}
	if h := p.leases[ref]; h != nil {
		p.dropLease(h, outputTokens)
	}
	p.releaseService(ref)
	return p.finish(now)
}

// addLease enters a booking into the client's books and gives it to the node.
func (p *Placer) addLease(h *lease) {
	p.leases[h.booking.Ref] = h
	p.inFlight[h.booking.Prefill.ID]++
	p.inFlight[h.booking.Decode.ID]++
	p.out.Booked = append(p.out.Booked, h.booking)
}

func (p *Placer) dropLease(h *lease, output int) {
	ref := h.booking.Ref
	delete(p.leases, ref)
	p.endCall(h.booking.Prefill.ID)
	p.endCall(h.booking.Decode.ID)
	if h.owner.Host != "" {
		p.sendRelease(h.owner.Host, ref, h.round, output)
	}
}

// voidLease ends a booking whose engines must not be used any more.
func (p *Placer) voidLease(h *lease, reason Reason, retry time.Duration) {
	p.dropLease(h, unused)
	ref := h.booking.Ref
	p.out.Refused = append(p.out.Refused, Refusal{Ref: ref, Reason: reason, RetryAfter: retry, Booked: true})
	p.out.Cancels = append(p.out.Cancels,
		Cancel{Backend: h.booking.Prefill, Ref: ref},
		Cancel{Backend: h.booking.Decode, Ref: ref})
}

// tickPending moves on from hosts that do not answer.
func (p *Placer) tickPending(now time.Time) {
	var due []ident.BackendRef
	for ref, a := range p.pending {
		if p.overdue(now, a) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, compareRefs)
	for _, ref := range due {
		a := p.pending[ref]
		switch {
		case !a.waiting && now.Sub(a.sent) < p.cfg.OwnerTimeout:
			a.repeated = true
			p.sendBook(now, a)
		case !a.waiting:
			a.silent = append(a.silent, a.to)
			p.askNext(now, a)
		case p.unanswered(now, a):
			a.reason, a.retry = ReasonDeadline, p.cfg.ClaimInterval
			p.rejectPending(a)
		default:
			// Repeats the question, in case the owner has lost its queue.
			a.waiting = false
			a.repeated = false
			a.sent = now
			p.sendBook(now, a)
		}
	}
}

// overdue tells whether a host should have been heard of.
func (p *Placer) overdue(now time.Time, a *pending) bool {
	if !a.waiting {
		silent := now.Sub(a.sent)
		return silent >= p.cfg.OwnerTimeout || !a.repeated && silent >= p.cfg.OwnerTimeout/2
	}
	return now.Sub(a.heard) >= p.cfg.ClaimInterval || p.unanswered(now, a)
}

// unanswered tells whether the owner's refusal of a queued request must have been
// lost.
func (p *Placer) unanswered(now time.Time, a *pending) bool {
	return !a.req.Wait && now.Sub(a.deadline) >= p.cfg.OwnerTimeout
}
