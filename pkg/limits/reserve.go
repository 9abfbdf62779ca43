package limits

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// waiter is a reservation that waits for a loan.
type waiter struct {
	bucket   *bucket
	request  ident.RequestID
	tokens   float64
	deadline time.Time
}

// Reserve requests tokens, normally prompt plus maximum output. The decision is in
// the Result or, if the request waits for a loan, in that of a later call. The
// tokens count as used at the time of the grant.
func (l *Limiter) Reserve(now time.Time, org ident.Organisation, req ident.RequestID, tokens int64) Result {
	var res Result
	l.advance(now)
	n := float64(max(tokens, 0))
	b := l.orgs[org]
	if b == nil || b.policy == (Policy{}) {
		res.refuse(req, ReasonNoPolicy, 0)
		return res
	}
	l.refresh(b)
	if reason := l.permanentRefusal(b, req, n); reason != "" {
		res.refuse(req, reason, 0)
		return res
	}
	b.demand.add(l.slot.now, n)
	if len(b.waiting) == 0 && b.level >= n {
		l.grant(b, req, n, &res)
		return res
	}
	if reason := l.immediateRefusal(b, n); reason != "" {
		res.refuse(req, reason, l.retryAfter(b, n))
		return res
	}
	w := &waiter{bucket: b, request: req, tokens: n, deadline: l.slot.now.Add(l.cfg.BorrowTimeout)}
	l.waiters[req] = w
	b.waiting = append(b.waiting, w)
	b.waitingTokens += n
	l.activate(b)
	l.startBorrow(b, &res)
	return res
}

// permanentRefusal returns the reason why the request cannot be granted on this host
// at any time, or "".
func (l *Limiter) permanentRefusal(b *bucket, req ident.RequestID, n float64) Reason {
	if l.slot.endReason != "" {
		return l.slot.endReason
	}
	if l.reservations[req] != nil || l.waiters[req] != nil {
		return ReasonDuplicate
	}
	if n > b.policy.Burst {
		return ReasonTooLarge
	}
	return ""
}

// immediateRefusal returns the reason why a request that is short of tokens is
// refused without asking for a loan, or "".
func (l *Limiter) immediateRefusal(b *bucket, n float64) Reason {
	if len(l.waiters) >= maxWaiting {
		return ReasonQueueFull
	}
	alone := len(l.peers) == 1 && len(l.remotes) == 0
	knownShort := l.slot.now.Before(b.borrowBackoffUntil) && l.mintTime(b, b.waitingTokens+n) > 2*l.cfg.BorrowTimeout
	if alone || knownShort {
		return l.shortageReason()
	}
	return ""
}

// shortageReason returns the reason for a lack of tokens.
func (l *Limiter) shortageReason() Reason {
	switch {
	case l.slot.leaseExpired:
		return ReasonNoContact
	case !l.canMint():
		return ReasonStarting
	}
	return ReasonAboveRate
}

func (l *Limiter) grant(b *bucket, req ident.RequestID, n float64, res *Result) {
	b.level -= n
	b.refundable += n
	r := &reservation{bucket: b, tokens: n, refundable: n, inOpen: true}
	l.reservations[req] = r
	b.open = append(b.open, r)
	res.Decisions = append(res.Decisions, Decision{Request: req, Outcome: Granted})
}

func (r *Result) refuse(req ident.RequestID, reason Reason, after time.Duration) {
	r.Decisions = append(r.Decisions, Decision{Request: req, Outcome: Refused, Reason: reason, RetryAfter: after})
}

// Settle ends a reservation with the tokens that were used and gives the rest
// back. Use above the reservation is deducted from the level.
func (l *Limiter) Settle(now time.Time, req ident.RequestID, used int64) Result {
	var res Result
	l.advance(now)
	r := l.reservations[req]
	if r == nil {
		return res
	}
	delete(l.reservations, req)
	b := r.bucket
	l.refresh(b)
	b.settle(r, float64(max(used, 0)))
	if len(b.waiting) > 0 {
		l.serve(b, &res)
	}
	return res
}

// settle gives back at most what is refundable: tokens of an ended loan cannot be
// given back, because their lender has minted again.
func (b *bucket) settle(r *reservation, used float64) {
	back := min(r.tokens-used, r.refundable)
	b.refundable -= r.refundable
	b.level += back
	r.refundable = 0
	r.settled = true
	if r.inOpen {
		b.settledCount++
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
	if b.settledCount <= 16 || b.settledCount < len(b.open)/2 {
		return
	}
	b.open = slices.DeleteFunc(b.open, func(r *reservation) bool { return r.settled })
	b.settledCount = 0
}

// Abandon ends the wait of a request whose caller has disconnected. It has no effect
// on a request that has been decided.
func (l *Limiter) Abandon(now time.Time, req ident.RequestID) Result {
	var res Result
	l.advance(now)
	w := l.waiters[req]
	if w == nil {
		return res
	}
	b := w.bucket
	l.refresh(b)
	i := slices.Index(b.waiting, w)
	b.waiting = slices.Delete(b.waiting, i, i+1)
	l.removeWaiter(w)
	l.serve(b, &res)
	return res
}

func (l *Limiter) removeWaiter(w *waiter) {
	delete(l.waiters, w.request)
	w.bucket.waitingTokens -= w.tokens
}

func (l *Limiter) popWaiting(b *bucket) *waiter {
	w := b.waiting[0]
	b.waiting[0] = nil
	b.waiting = b.waiting[1:]
	l.removeWaiter(w)
	return w
}

// serve grants waiting reservations in order of arrival as far as the level
// reaches, and asks for a loan if some are left and no request is in progress.
func (l *Limiter) serve(b *bucket, res *Result) {
	for len(b.waiting) > 0 && b.level >= b.waiting[0].tokens {
		w := l.popWaiting(b)
		l.grant(b, w.request, w.tokens, res)
	}
	if len(b.waiting) > 0 {
		l.startBorrow(b, res)
	}
}

// refuseUnservable grants waiting reservations as far as the level reaches and
// refuses those whose missing tokens take the fleet more than twice the rest of
// their wait to mint.
func (l *Limiter) refuseUnservable(b *bucket, res *Result) {
	waiting := b.waiting
	b.waiting = nil
	ahead := 0.0
	for _, w := range waiting {
		left := w.deadline.Sub(l.slot.now)
		switch {
		case ahead == 0 && b.level >= w.tokens:
			l.removeWaiter(w)
			l.grant(b, w.request, w.tokens, res)
		case l.mintTime(b, ahead+w.tokens) > 2*left:
			l.removeWaiter(w)
			res.refuse(w.request, l.shortageReason(), l.retryAfter(b, w.tokens))
		default:
			ahead += w.tokens
			b.waiting = append(b.waiting, w)
		}
	}
}

func (l *Limiter) refuseWaiting(b *bucket, reason Reason, res *Result) {
	for len(b.waiting) > 0 {
		w := l.popWaiting(b)
		res.refuse(w.request, reason, 0)
	}
}

// tickWaiting gives up a borrow request without an answer, refuses reservations that
// have waited too long and serves the others.
func (l *Limiter) tickWaiting(b *bucket, res *Result) {
	if b.borrow != nil && !l.slot.now.Before(b.borrow.answerDeadline) {
		l.borrowTimedOut(b)
	}
	for len(b.waiting) > 0 && !l.slot.now.Before(b.waiting[0].deadline) {
		w := l.popWaiting(b)
		res.refuse(w.request, l.shortageReason(), l.retryAfter(b, w.tokens))
	}
	l.serve(b, res)
}
