package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pending is the client's record of a request without a decision.
type pending struct {
	req              Request
	deadline         time.Time
	pool             Pool
	round            uint32
	host             ident.HostID
	queued           bool // the host answered that the request is queued
	resent           bool // Book was sent a second time, without an answer
	lastContact      time.Time
	askedAt          time.Time
	unresponsive     []ident.HostID          // hosts of the current pool that did not answer
	askedRounds      map[ident.HostID]uint32 // latest round that each host was asked in
	triedPools       []Pool
	rejectedBookings int  // count of bookings that named a recalled or unknown engine
	canSpill         bool // another domain has free capacity for it
	finalAttempt     bool // asks the first pool a second time
	reason           Reason
	retryAfter       time.Duration
}

// lease is the client's record of a booked request until its release.
type lease struct {
	booking   Booking
	req       Request
	pool      Pool
	owner     ident.Process // zero when placed without an owner
	round     uint32
	bookedAt  time.Time
	prefilled bool
	moving    bool // waits for another decode engine
}

// maxOwnersAsked is how many hosts of a pool a client asks before it places a request
// without an owner: the owner and one fallback owner.
const maxOwnersAsked = 2

// maxRejectedBookings is how many bookings on unusable engines a client returns before
// it gives up on a pool.
const maxRejectedBookings = 3

// Book asks for engines. The decision is in this Result or in that of a later call.
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
	a := &pending{req: r, deadline: now.Add(r.Budget), askedRounds: map[ident.HostID]uint32{}}
	p.pending[r.Ref] = a
	home, ok := p.homePool(r)
	if !ok {
		a.reason = p.unservableReason(r)
		a.retryAfter = p.cfg.DownTime
		p.rejectPending(a)
		return
	}
	p.askPool(now, a, home)
}

// homePool returns the pool of the local domain, or the one with the most free
// capacity when the local domain has no engines for the request.
func (p *Placer) homePool(r Request) (Pool, bool) {
	home := Pool{Model: r.Model, Domain: p.cfg.Domain}
	if p.filter.mayServe(p.fleet.pools[home], r.constraints()) {
		return home, true
	}
	return p.spillPool(r, nil, true)
}

// spillPool returns the pool of another domain with the most free capacity. With
// includeFull set, pools without known free capacity count too.
func (p *Placer) spillPool(r Request, tried []Pool, includeFull bool) (Pool, bool) {
	var best Pool
	bestFree := -1
	for _, key := range p.fleet.byModel[r.Model] {
		if key.Domain == p.cfg.Domain || slices.Contains(tried, key) {
			continue
		}
		free := p.freeByPool[key]
		if free <= 0 && !includeFull || free <= bestFree {
			continue
		}
		if p.filter.mayServe(p.fleet.pools[key], r.constraints()) {
			best, bestFree = key, free
		}
	}
	return best, bestFree >= 0
}

// unservableReason returns why no pool of any domain can take the request.
func (p *Placer) unservableReason(r Request) Reason {
	for _, key := range p.fleet.byModel[r.Model] {
		if p.filter.rejectReason(p.fleet.pools[key], r.constraints()) == ReasonRecalled {
			return ReasonRecalled
		}
	}
	return ReasonNoEngine
}

func (r Request) constraints() constraints {
	return constraints{versions: r.Versions, adapter: r.Adapter, exclude: r.Exclude}
}

func (p *Placer) askPool(now time.Time, a *pending, key Pool) {
	a.pool = key
	a.unresponsive = nil
	a.triedPools = append(a.triedPools, key)
	p.askNext(now, a)
}

// askNext asks the first host of the pool that has not failed to answer. When the
// owner and the fallback owner did not answer, the request is placed without an
// owner; a pool of another domain that does not answer counts as full.
func (p *Placer) askNext(now time.Time, a *pending) {
	for _, h := range p.rank(a.pool) {
		if len(a.unresponsive) < maxOwnersAsked && !slices.Contains(a.unresponsive, h) {
			p.askHost(now, a, h)
			return
		}
	}
	if a.pool != a.triedPools[0] {
		p.afterRefusal(now, a, ReasonDeadline, p.cfg.ClaimInterval)
		return
	}
	p.chooseLocally(now, a)
}

// askHost sends Book to a host in a new round.
func (p *Placer) askHost(now time.Time, a *pending, to ident.HostID) {
	a.round++
	a.host = to
	a.askedRounds[to] = a.round
	a.queued = false
	a.resent = false
	a.askedAt = now
	p.sendBook(now, a)
}

func (p *Placer) sendBook(now time.Time, a *pending) {
	a.lastContact = now
	r := a.req
	_, other := p.spillPool(r, a.triedPools, false)
	a.canSpill = other && !a.finalAttempt && len(a.triedPools) <= p.cfg.MaxSpillDomains
	p.send(a.host, Message{Book: &Book{
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
		Wait:         r.Wait && !a.canSpill,
		CanSpill:     a.canSpill,
		Exclude:      r.Exclude,
		Fallback:     len(a.unresponsive) > 0,
	}})
}

// onQueued records that a request is queued at a host, which can differ from the
// host that was asked.
func (p *Placer) onQueued(now time.Time, from ident.HostID, m *Queued) {
	if l := p.leases[m.Ref]; l != nil && l.owner.Host == from {
		return // the booking arrived first
	}
	a := p.pending[m.Ref]
	if a == nil {
		p.sendRelease(from, m.Ref, m.Round, outputUnused)
		return
	}
	if m.Round != a.round {
		return
	}
	if a.host != from {
		a.askedRounds[from] = a.round
		a.host = from
	}
	a.queued = true
	a.lastContact = now
}

// onBooked accepts a booking from the first host that grants one, and returns any
// later one.
func (p *Placer) onBooked(now time.Time, from ident.HostID, m *Booked) {
	if l := p.leases[m.Ref]; l != nil {
		if l.owner.Host != from {
			p.sendRelease(from, m.Ref, m.Round, outputUnused)
			return
		}
		p.onMoved(l, m)
		return
	}
	a := p.pending[m.Ref]
	if a == nil {
		p.sendRelease(from, m.Ref, m.Round, outputUnused)
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
	for _, h := range sortedKeys(a.askedRounds, compareHosts) {
		if h != from {
			p.sendRelease(h, m.Ref, a.askedRounds[h], outputUnused)
		}
	}
	p.addLease(&lease{
		booking:  Booking{Ref: m.Ref, Prefill: prefill, Decode: decode, PrefixHit: m.PrefixHit},
		req:      a.req,
		pool:     key,
		owner:    p.processOf(from),
		round:    m.Round,
		bookedAt: now,
	})
}

// resolve looks up an engine that a booking names. It fails for an engine that this
// host does not know, or that is recalled in this host's configuration or serves a
// version that the request does not allow.
func (p *Placer) resolve(id ident.BackendID, v ident.Version, r Request) (engine.Info, bool) {
	e, ok := p.fleet.engines[id]
	if !ok {
		return engine.Info{}, false
	}
	if v != "" {
		e.Version = v
	}
	w := r.constraints()
	return e, w.allowsVersion(e.Version) && !p.filter.recalled(e)
}

// rejectBooking returns a booking on an engine that this host must not use. It asks
// again and excludes the unusable engines, since the owner may not know of them.
func (p *Placer) rejectBooking(now time.Time, from ident.HostID, a *pending, m *Booked) {
	p.sendRelease(from, m.Ref, m.Round, outputUnused)
	if m.Round != a.round {
		return
	}
	a.rejectedBookings++
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
	if a.rejectedBookings > maxRejectedBookings {
		p.afterRefusal(now, a, ReasonRecalled, p.cfg.DownTime)
		return
	}
	p.askHost(now, a, from)
}

// onRefused handles the refusal of an undecided request, or the end of a booking.
func (p *Placer) onRefused(now time.Time, from ident.HostID, m *Refused) {
	if l := p.leases[m.Ref]; l != nil {
		if m.Booked && l.owner.Host == from {
			p.voidLease(l, m.Reason, m.RetryAfter)
		}
		return
	}
	if a := p.pending[m.Ref]; a != nil && a.round == m.Round {
		delete(a.askedRounds, from)
		p.afterRefusal(now, a, m.Reason, m.RetryAfter)
	}
}

// afterRefusal tries another domain with free capacity. After that it asks the first
// pool once more: that pool refused early because other domains had capacity, and
// may queue the request now.
func (p *Placer) afterRefusal(now time.Time, a *pending, reason Reason, retry time.Duration) {
	if a.reason == "" || retry < a.retryAfter {
		a.reason, a.retryAfter = reason, retry
	}
	if a.finalAttempt {
		p.rejectPending(a)
		return
	}
	if len(a.triedPools) <= p.cfg.MaxSpillDomains {
		if key, ok := p.spillPool(a.req, a.triedPools, false); ok {
			p.freeByPool[key]--
			p.askPool(now, a, key)
			return
		}
	}
	full := a.reason == ReasonDeadline || a.reason == ReasonQueueFull
	if full && len(a.triedPools) > 1 {
		a.finalAttempt = true
		p.askPool(now, a, a.triedPools[0])
		return
	}
	p.rejectPending(a)
}

// rejectPending answers a request with its refusal.
func (p *Placer) rejectPending(a *pending) {
	p.dropPending(a)
	p.result.Refused = append(p.result.Refused, Refusal{
		Ref:        a.req.Ref,
		Reason:     a.reason,
		RetryAfter: max(a.retryAfter, minRetryAfter),
	})
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 50 * time.Millisecond

// outputUnused replaces the number of output tokens in the Release of a booking that
// was not used or is void. The owner then credits all of its tokens to the organisation
// and does not count it in its predictions.
const outputUnused = -1

// dropPending removes an undecided request and releases it at every host that was
// asked.
func (p *Placer) dropPending(a *pending) {
	delete(p.pending, a.req.Ref)
	for _, h := range sortedKeys(a.askedRounds, compareHosts) {
		p.sendRelease(h, a.req.Ref, a.askedRounds[h], outputUnused)
	}
}

func (p *Placer) sendRelease(to ident.HostID, ref ident.BackendRef, round uint32, output int) {
	p.send(to, Message{Release: &Release{Ref: ref, Round: round, Output: output}})
}

// PrefillDone records the end of a prefill and tells the owner.
func (p *Placer) PrefillDone(now time.Time, ref ident.BackendRef) Result {
	p.begin(now)
	if l := p.leases[ref]; l != nil && !l.prefilled {
		l.prefilled = true
		if l.owner.Host != "" {
			p.send(l.owner.Host, Message{Prefill: &Prefilled{Ref: ref}})
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
	if l := p.leases[ref]; l != nil {
		p.dropLease(l, outputTokens)
	}
	p.releaseService(ref)
	return p.finish(now)
}

// addLease records a booking and returns it to the node.
func (p *Placer) addLease(l *lease) {
	p.leases[l.booking.Ref] = l
	p.inFlight[l.booking.Prefill.ID]++
	p.inFlight[l.booking.Decode.ID]++
	p.result.Booked = append(p.result.Booked, l.booking)
}

func (p *Placer) dropLease(l *lease, output int) {
	ref := l.booking.Ref
	delete(p.leases, ref)
	p.decrementInFlight(l.booking.Prefill.ID)
	p.decrementInFlight(l.booking.Decode.ID)
	if l.owner.Host != "" {
		p.sendRelease(l.owner.Host, ref, l.round, output)
	}
}

// voidLease ends a booking whose engines must no longer be used, and cancels it at
// both.
func (p *Placer) voidLease(l *lease, reason Reason, retry time.Duration) {
	p.dropLease(l, outputUnused)
	ref := l.booking.Ref
	p.result.Refused = append(p.result.Refused, Refusal{Ref: ref, Reason: reason, RetryAfter: retry, Booked: true})
	p.result.Cancels = append(p.result.Cancels,
		Cancel{Backend: l.booking.Prefill, Ref: ref},
		Cancel{Backend: l.booking.Decode, Ref: ref})
}

// retryOverdue repeats Book where an answer is overdue, and moves on from hosts that
// do not answer.
func (p *Placer) retryOverdue(now time.Time) {
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
		case !a.queued && now.Sub(a.askedAt) < p.cfg.OwnerTimeout:
			a.resent = true
			p.sendBook(now, a)
		case !a.queued:
			a.unresponsive = append(a.unresponsive, a.host)
			p.askNext(now, a)
		case p.refusalLost(now, a):
			a.reason, a.retryAfter = ReasonDeadline, p.cfg.ClaimInterval
			p.rejectPending(a)
		default:
			// Repeats Book, in case the owner has lost its queue.
			a.queued = false
			a.resent = false
			a.askedAt = now
			p.sendBook(now, a)
		}
	}
}

// overdue reports whether a message of the host is overdue, or Book must be
// repeated.
func (p *Placer) overdue(now time.Time, a *pending) bool {
	if !a.queued {
		silent := now.Sub(a.askedAt)
		return silent >= p.cfg.OwnerTimeout || !a.resent && silent >= p.cfg.OwnerTimeout/2
	}
	return now.Sub(a.lastContact) >= p.cfg.ClaimInterval || p.refusalLost(now, a)
}

// refusalLost reports whether the owner's refusal of a queued request must have been
// lost: its deadline passed OwnerTimeout ago.
func (p *Placer) refusalLost(now time.Time, a *pending) bool {
	return !a.req.Wait && now.Sub(a.deadline) >= p.cfg.OwnerTimeout
}
