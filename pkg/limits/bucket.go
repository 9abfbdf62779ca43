package limits

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// bucket is the state of one organisation on this host. After touch,
// level + refundable never exceeds the capacity, which is the host's part of the
// burst, less what is lent, plus what is borrowed.
type bucket struct {
	name   ident.Organisation
	policy Policy

	level      float64        // tokens that may be granted; negative after overuse
	refundable float64        // reserved tokens that a Settle may still give back
	open       []*reservation // by time of grant; may hold settled ones
	settled    int            // settled reservations in open
	lent       float64        // capacity that is with borrowers

	mintedAt time.Duration // slot.minted at the last update
	epoch    uint64        // slot.epoch at the last update

	loans    []*borrowed
	borrowed float64   // capacity of all loans
	loanEnd  time.Time // earliest end of a loan; zero without loans

	waiting     []*waiter
	short       float64 // tokens of all waiting reservations
	borrow      *borrow // the request that is under way
	noLoanUntil time.Time
	hubRank     int // hub to ask, in rendezvous order
	demand      demand

	active bool
}

// reservation is a granted request that has not been settled.
type reservation struct {
	bucket     *bucket
	tokens     float64
	refundable float64 // less than tokens once a loan or right has ended
	listed     bool    // in bucket.open
	settled    bool
}

func (l *Limiter) newBucket(name ident.Organisation, p Policy) *bucket {
	return &bucket{name: name, policy: p, mintedAt: l.slot.minted, epoch: l.slot.epoch}
}

func (b *bucket) total() float64 { return b.level + b.refundable }

// base returns this host's own part of the burst.
func (l *Limiter) base(b *bucket) float64 {
	if !l.holdsRight() {
		return 0
	}
	return b.policy.Burst * l.share.now
}

func (l *Limiter) capacity(b *bucket) float64 {
	return max(0, l.base(b)-b.lent) + b.borrowed
}

// touch brings the bucket up to the present: it drops own tokens if the right was
// lost, mints, and ends loans.
func (l *Limiter) touch(b *bucket) {
	if b.epoch != l.slot.epoch {
		b.epoch = l.slot.epoch
		b.mintedAt = l.slot.mintStart
		b.cut(b.borrowed)
	}
	held := l.slot.minted - b.mintedAt
	b.mintedAt = l.slot.minted
	if gap := l.capacity(b) - b.total(); held > 0 && gap > 0 {
		b.level += min(gap, held.Seconds()*b.policy.Rate*l.share.now)
	}
	if !b.loanEnd.IsZero() && !l.slot.now.Before(b.loanEnd) {
		b.endLoans(l.slot.now)
		b.cut(l.capacity(b))
	}
}

// cut reduces the bucket to a capacity: first the level, then what the oldest
// reservations could still give back. Those tokens count as used.
func (b *bucket) cut(capacity float64) {
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
	b.open[0].listed = false
	if b.open[0].settled {
		b.settled--
	}
	b.open[0] = nil
	b.open = b.open[1:]
}

// setShare puts a new share in force: a smaller one at once, a larger one after
// the quarantine.
func (l *Limiter) setShare(s float64) {
	switch {
	case !l.share.known:
		l.share.known = true
		l.share.now = s
	case s <= l.share.now:
		l.applyShare(s)
	case l.share.nextAt.IsZero() || s != l.share.next:
		l.share.next = s
		l.share.nextAt = l.slot.now.Add(l.cfg.Quarantine)
	}
}

func (l *Limiter) applyShare(s float64) {
	l.share.nextAt = time.Time{}
	if s == l.share.now {
		return
	}
	names := l.names()
	for _, name := range names {
		l.touch(l.orgs[name])
	}
	l.share.now = s
	for _, name := range names {
		b := l.orgs[name]
		b.cut(l.capacity(b))
	}
}

// busy reports whether Tick has work for the bucket.
func (b *bucket) busy() bool {
	return len(b.loans) > 0 || len(b.waiting) > 0 || b.borrow != nil || b.lent > 0
}

// mintTime returns how long the fleet takes to mint what n tokens lack here.
func (l *Limiter) mintTime(b *bucket, n float64) time.Duration {
	if b.policy.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(max(0, n-b.level)/b.policy.Rate, maxMintSeconds) * float64(time.Second))
}

// maxMintSeconds keeps durations of tiny rates in range.
const maxMintSeconds = 365 * 24 * 3600

// retryAfter returns when the fleet will have minted what n tokens lack here.
func (l *Limiter) retryAfter(b *bucket, n float64) time.Duration {
	if b.policy.Rate <= 0 {
		return 0
	}
	d := l.mintTime(b, n)
	if wait := l.slot.mintFrom.Sub(l.slot.now); l.slot.ended == "" && !l.slot.lapsed && wait > d {
		return wait
	}
	return max(d, time.Millisecond)
}

// demand estimates how many tokens are asked for in one window.
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
