package limits

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// bucket is the state of one organisation on this host. After refresh,
// level + refundable never exceeds the capacity: the host's part of the burst minus
// what is lent plus what is borrowed.
type bucket struct {
	name   ident.Organisation
	policy Policy

	level        float64        // tokens that may be granted; negative after overuse
	refundable   float64        // reserved tokens that a Settle may still give back
	open         []*reservation // in order of grant; may contain settled ones
	settledCount int            // settled reservations in open
	lentCapacity float64        // capacity that borrowers hold

	mintingTime time.Duration // slot.mintingTime at the last refresh
	epoch       uint64        // slot.epoch at the last refresh

	loans            []*borrowedLoan
	borrowedCapacity float64   // capacity of all loans
	loanEnd          time.Time // earliest end of a loan; zero without loans

	waiting            []*waiter
	waitingTokens      float64        // tokens of all waiting reservations
	borrow             *borrowRequest // the request in progress
	borrowBackoffUntil time.Time
	hubRank            int // rank of the hub to ask, in rendezvous order
	demand             demand

	active bool // in Limiter.active
}

// reservation is a granted request that has not been settled.
type reservation struct {
	bucket     *bucket
	tokens     float64
	refundable float64 // less than tokens once a loan or the lease has ended, see shrinkTo
	inOpen     bool    // in bucket.open
	settled    bool
}

func (l *Limiter) newBucket(name ident.Organisation, p Policy) *bucket {
	return &bucket{name: name, policy: p, mintingTime: l.slot.mintingTime, epoch: l.slot.epoch}
}

func (b *bucket) total() float64 { return b.level + b.refundable }

// ownCapacity returns this host's own part of the burst.
func (l *Limiter) ownCapacity(b *bucket) float64 {
	if !l.canMint() {
		return 0
	}
	return b.policy.Burst * l.share.current
}

func (l *Limiter) capacity(b *bucket) float64 {
	return max(0, l.ownCapacity(b)-b.lentCapacity) + b.borrowedCapacity
}

// refresh brings the bucket up to the current time: it drops invalidated tokens,
// mints new ones and drops expired loans.
func (l *Limiter) refresh(b *bucket) {
	if b.epoch != l.slot.epoch {
		b.epoch = l.slot.epoch
		b.mintingTime = l.slot.epochMintingTime
		b.shrinkTo(b.borrowedCapacity)
	}
	elapsed := l.slot.mintingTime - b.mintingTime
	b.mintingTime = l.slot.mintingTime
	if gap := l.capacity(b) - b.total(); elapsed > 0 && gap > 0 {
		b.level += min(gap, elapsed.Seconds()*b.policy.Rate*l.share.current)
	}
	if !b.loanEnd.IsZero() && !l.slot.now.Before(b.loanEnd) {
		b.dropExpiredLoans(l.slot.now)
		b.shrinkTo(l.capacity(b))
	}
}

// shrinkTo reduces the tokens to a capacity: first the level, then what the oldest
// reservations could still give back. Those tokens count as used.
func (b *bucket) shrinkTo(capacity float64) {
	excess := b.total() - capacity
	if excess <= 0 {
		return
	}
	if b.level > 0 {
		d := min(b.level, excess)
		b.level -= d
		excess -= d
	}
	for excess > 0 && len(b.open) > 0 {
		r := b.open[0]
		d := min(r.refundable, excess)
		r.refundable -= d
		b.refundable -= d
		excess -= d
		if r.refundable > 0 {
			break
		}
		b.popOpen()
	}
	if len(b.open) == 0 {
		b.refundable = 0 // removes rounding errors
	}
}

func (b *bucket) popOpen() {
	b.open[0].inOpen = false
	if b.open[0].settled {
		b.settledCount--
	}
	b.open[0] = nil
	b.open = b.open[1:]
}

// setShare sets the share: a smaller one takes effect at once, a larger one after
// the quarantine.
func (l *Limiter) setShare(s float64) {
	switch {
	case !l.share.known:
		l.share.known = true
		l.share.current = s
	case s <= l.share.current:
		l.applyShare(s)
	case l.share.nextAt.IsZero() || s != l.share.next:
		l.share.next = s
		l.share.nextAt = l.slot.now.Add(l.cfg.Quarantine)
	}
}

func (l *Limiter) applyShare(s float64) {
	l.share.nextAt = time.Time{}
	if s == l.share.current {
		return
	}
	names := l.sortedNames()
	for _, name := range names {
		l.refresh(l.orgs[name])
	}
	l.share.current = s
	for _, name := range names {
		b := l.orgs[name]
		b.shrinkTo(l.capacity(b))
	}
}

// needsTick reports whether Tick has work for the bucket.
func (b *bucket) needsTick() bool {
	return len(b.loans) > 0 || len(b.waiting) > 0 || b.borrow != nil || b.lentCapacity > 0
}

// mintTime returns how long the fleet takes to mint the tokens that this bucket
// lacks to grant n.
func (l *Limiter) mintTime(b *bucket, n float64) time.Duration {
	if b.policy.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(max(0, n-b.level)/b.policy.Rate, maxMintSeconds) * float64(time.Second))
}

// maxMintSeconds keeps the durations for very low rates in range.
const maxMintSeconds = 365 * 24 * 3600

// retryAfter returns the time until the fleet has minted the tokens that this bucket
// lacks to grant n, or until the quarantine ends if that is later.
func (l *Limiter) retryAfter(b *bucket, n float64) time.Duration {
	if b.policy.Rate <= 0 {
		return 0
	}
	d := l.mintTime(b, n)
	if wait := l.slot.mintFrom.Sub(l.slot.now); l.slot.endReason == "" && !l.slot.leaseExpired && wait > d {
		return wait
	}
	return max(d, time.Millisecond)
}

// demand estimates how many tokens are requested per demandWindow.
type demand struct {
	start         time.Time
	current, last float64
}

// demandWindow is the time over which a borrower expects its recent demand to
// continue. Longer windows borrow more at a time and return more unused.
const demandWindow = 200 * time.Millisecond

func (d *demand) add(now time.Time, n float64) {
	switch age := now.Sub(d.start); {
	case age >= 2*demandWindow:
		d.start, d.last, d.current = now, 0, 0
	case age >= demandWindow:
		d.start, d.last, d.current = d.start.Add(demandWindow), d.current, 0
	}
	d.current += n
}

func (d *demand) expected() float64 { return max(d.last, d.current) }
