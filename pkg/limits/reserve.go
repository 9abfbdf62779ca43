package limits

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// waiter is a reservation that waits for a loan.
type waiter struct {
	bucket  *bucket
	request ident.RequestID
	tokens  float64
	until   time.Time
}

// Reserve asks for tokens, normally prompt plus maximum output. The decision is
// in the Result or, if a loan has to decide, in that of a later call. The tokens
// count as used at the time of the grant.
func (l *Limiter) Reserve(now time.Time, org ident.Organisation, req ident.RequestID, tokens int64) Result {
	var res Result
	l.advance(now)
	n := float64(max(tokens, 0))
	b := l.orgs[org]
	if b == nil || b.policy == (Policy{}) {
		res.refuse(req, ReasonNoPolicy, 0)
		return res
	}
	l.touch(b)
	if why := l.mustRefuse(b, req, n); why != "" {
		res.refuse(req, why, 0)
		return res
	}
	b.demand.add(l.slot.now, n)
	if len(b.waiting) == 0 && b.level >= n {
		l.grant(b, req, n, &res)
		return res
	}
	if why := l.cannotWait(b, n); why != "" {
		res.refuse(req, why, l.retryAfter(b, n))
		return res
	}
	w := &waiter{bucket: b, request: req, tokens: n, until: l.slot.now.Add(l.cfg.BorrowTimeout)}
	l.wait[req] = w
	b.waiting = append(b.waiting, w)
	b.short += n
	l.activate(b)
	l.startBorrow(b, &res)
	return res
}

// mustRefuse names the reason why the request cannot be granted on this host at
// any time.
func (l *Limiter) mustRefuse(b *bucket, req ident.RequestID, n float64) Reason {
	if l.slot.ended != "" {
		return l.slot.ended
	}
	if l.open[req] != nil || l.wait[req] != nil {
		return ReasonDuplicate
	}
	if n > b.policy.Burst {
		return ReasonTooLarge
	}
	return ""
}

// cannotWait names the reason why a request that is short of tokens is refused
// without asking for a loan.
func (l *Limiter) cannotWait(b *bucket, n float64) Reason {
	if len(l.wait) >= maxWaiting {
		return ReasonQueueFull
	}
	alone := len(l.peers) == 1 && len(l.remotes) == 0
	knownShort := l.slot.now.Before(b.noLoanUntil) && l.mintTime(b, b.short+n) > 2*l.cfg.BorrowTimeout
	if alone || knownShort {
		return l.shortReason()
	}
	return ""
}

// shortReason explains a lack of tokens.
func (l *Limiter) shortReason() Reason {
	switch {
	case l.slot.lapsed:
		return ReasonNoContact
	case !l.holdsRight():
		return ReasonStarting
	}
	return ReasonAboveRate
}

func (l *Limiter) grant(b *bucket, req ident.RequestID, n float64, res *Result) {
	b.level -= n
	b.refundable += n
	r := &reservation{bucket: b, tokens: n, refundable: n, listed: true}
	l.open[req] = r
	b.open = append(b.open, r)
	res.Decisions = append(res.Decisions, Decision{Request: req, Outcome: Granted})
}

func (r *Result) refuse(req ident.RequestID, why Reason, after time.Duration) {
	r.Decisions = append(r.Decisions, Decision{Request: req, Outcome: Refused, Reason: why, RetryAfter: after})
}

// Settle ends a reservation with the tokens that were used and gives the rest
// back. Use above the reservation is taken from the level.
func (l *Limiter) Settle(now time.Time, req ident.RequestID, used int64) Result {
	var res Result
	l.advance(now)
	r := l.open[req]
	if r == nil {
		return res
	}
	delete(l.open, req)
	b := r.bucket
	l.touch(b)
	b.settle(r, float64(max(used, 0)))
	if len(b.waiting) > 0 {
		l.serve(b, &res)
	}
	return res
}

// settle gives back at most what is refundable: tokens of an ended loan are gone,
// because their lender has minted again.
func (b *bucket) settle(r *reservation, used float64) {
	back := min(r.tokens-used, r.refundable)
	b.refundable -= r.refundable
	b.level += back
	r.refundable = 0
	r.settled = true
	if r.listed {
		b.settled++
	}
	b.dropSettled()
	if len(b.open) == 0 {
		b.refundable = 0
	}
}

// dropSettled removes settled reservations: from the front, and from the whole
// list when most of it is settled.
func (b *bucket) dropSettled() {
	for len(b.open) > 0 && b.open[0].settled {
		b.popOpen()
	}
	if b.settled <= 16 || b.settled < len(b.open)/2 {
		return
	}
	b.open = slices.DeleteFunc(b.open, func(r *reservation) bool { return r.settled })
	b.settled = 0
}

// Abandon ends the wait of a request whose caller is gone. It has no effect on a
// request that has been decided.
func (l *Limiter) Abandon(now time.Time, req ident.RequestID) Result {
	var res Result
	l.advance(now)
	w := l.wait[req]
	if w == nil {
		return res
	}
	b := w.bucket
	l.touch(b)
	i := slices.Index(b.waiting, w)
	b.waiting = slices.Delete(b.waiting, i, i+1)
	l.forget(w)
	l.serve(b, &res)
	return res
}

func (l *Limiter) forget(w *waiter) {
	delete(l.wait, w.request)
	w.bucket.short -= w.tokens
}

func (l *Limiter) shiftWaiting(b *bucket) *waiter {
	w := b.waiting[0]
	b.waiting[0] = nil
	b.waiting = b.waiting[1:]
	l.forget(w)
	return w
}

// serve grants waiting reservations in order of arrival as far as the level
// reaches, and asks for a loan if some are left and none is under way.
func (l *Limiter) serve(b *bucket, res *Result) {
	for len(b.waiting) > 0 && b.level >= b.waiting[0].tokens {
		w := l.shiftWaiting(b)
		l.grant(b, w.request, w.tokens, res)
	}
	if len(b.waiting) > 0 {
		l.startBorrow(b, res)
	}
}

// refuseHopeless serves what waits as far as the level reaches and refuses what
// the fleet will not have minted tokens for by the end of its wait.
func (l *Limiter) refuseHopeless(b *bucket, res *Result) {
	waiting := b.waiting
	b.waiting = nil
	ahead := 0.0
	for _, w := range waiting {
		left := w.until.Sub(l.slot.now)
		switch {
		case ahead == 0 && b.level >= w.tokens:
			l.forget(w)
			l.grant(b, w.request, w.tokens, res)
		case l.mintTime(b, ahead+w.tokens) > 2*left:
			l.forget(w)
			res.refuse(w.request, l.shortReason(), l.retryAfter(b, w.tokens))
		default:
			ahead += w.tokens
			b.waiting = append(b.waiting, w)
		}
	}
}

func (l *Limiter) refuseWaiting(b *bucket, why Reason, res *Result) {
	for len(b.waiting) > 0 {
		w := l.shiftWaiting(b)
		res.refuse(w.request, why, 0)
	}
}

// tickWaiting refuses reservations that have waited too long.
func (l *Limiter) tickWaiting(b *bucket, res *Result) {
	if b.borrow != nil && !l.slot.now.Before(b.borrow.answerBy) {
		l.borrowTimedOut(b)
	}
	for len(b.waiting) > 0 && !l.slot.now.Before(b.waiting[0].until) {
		w := l.shiftWaiting(b)
		res.refuse(w.request, l.shortReason(), l.retryAfter(b, w.tokens))
	}
	l.serve(b, res)
}
