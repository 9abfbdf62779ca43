package limits

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// minLoanBackoff and maxLoanBackoff bound the back-off during which no loan is
	// requested after the fleet was found to be out of tokens. Without it an
	// organisation above its rate would cost messages with every request.
	minLoanBackoff = 20 * time.Millisecond
	maxLoanBackoff = 250 * time.Millisecond
	// borrowAttempts is how often a loan is requested within BorrowTimeout when
	// answers are missing.
	borrowAttempts = 3
)

// borrowRequest is a request for loans that this host has sent.
type borrowRequest struct {
	id             ID
	bucket         *bucket
	need           float64
	received       float64
	answerDeadline time.Time
	end            time.Time   // loans are dropped from then on
	loans          map[ID]bool // loans that have arrived
	searchEnded    bool        // the hub has ended its search
	promised       float64     // tokens that lenders have sent by then
}

// borrowedLoan is a loan that this host may use.
type borrowedLoan struct {
	id       ID
	end      time.Time
	capacity float64 // what has not been returned
	returned Returned
	unsent   bool // returned has changed since it was last sent
}

// startBorrow asks the hub for the tokens that the waiting reservations lack, unless
// a request is in progress or no loan may be requested yet.
func (l *Limiter) startBorrow(b *bucket, res *Result) {
	shortfall := math.Ceil(b.waitingTokens - b.level)
	if b.borrow != nil || shortfall <= 0 || l.slot.now.Before(b.borrowBackoffUntil) {
		return
	}
	// The recent demand already includes the waiting reservations.
	soon := max(0, math.Ceil(b.demand.expected()-b.waitingTokens))
	want := min(shortfall+soon, max(shortfall, math.Ceil(b.policy.Burst)))
	br := &borrowRequest{
		id:             l.nextID(),
		bucket:         b,
		need:           shortfall,
		answerDeadline: l.slot.now.Add(l.cfg.BorrowTimeout / borrowAttempts),
		end:            l.slot.now.Add(l.cfg.LoanTTL),
		loans:          map[ID]bool{},
	}
	b.borrow = br
	l.borrows[br.id] = br
	m := Borrow{ID: br.id, Organisation: b.name, Policy: b.policy, Need: int64(shortfall), Want: int64(want), TTL: l.cfg.LoanTTL}
	hub := l.hubFor(b)
	if hub == l.cfg.Self.Host {
		l.broker(hub, m, res)
		return
	}
	res.send(hub, Message{Borrow: &m})
}

// hubFor returns the hub to ask. After a timeout it is the next in rendezvous order.
func (l *Limiter) hubFor(b *bucket) ident.HostID {
	if b.hubRank == 0 {
		return ident.Owner(hubKey(b.name), l.peers)
	}
	return ident.Rank(hubKey(b.name), l.peers)[b.hubRank%len(l.peers)]
}

func hubKey(org ident.Organisation) string { return "hub/" + string(org) }

// cancelBorrow deletes all borrow requests for the bucket, so that their loans are
// dropped on arrival.
func (l *Limiter) cancelBorrow(b *bucket) {
	b.borrow = nil
	for id, br := range l.borrows {
		if br.bucket == b {
			delete(l.borrows, id)
		}
	}
}

func (l *Limiter) expireBorrows() {
	for id, br := range l.borrows {
		if !l.slot.now.Before(br.end) {
			delete(l.borrows, id)
		}
	}
}

// borrowTimedOut gives up a request. Without any answer the hub may be down, so the
// next request goes to another one.
func (l *Limiter) borrowTimedOut(b *bucket) {
	if b.borrow.received == 0 && !b.borrow.searchEnded {
		b.hubRank++
	}
	b.borrow = nil
}

// searchEnded handles the hub's answer that the fleet has no more than granted.
// Loans may still be in transit.
func (l *Limiter) searchEnded(br *borrowRequest, granted float64, res *Result) {
	br.searchEnded = true
	br.promised = granted
	if br.received >= granted {
		l.borrowFailed(br, res)
	}
}

// borrowFailed backs off until the fleet should have minted what the first waiting
// reservation lacks, and refuses the reservations for which that is too late.
func (l *Limiter) borrowFailed(br *borrowRequest, res *Result) {
	b := br.bucket
	if b.borrow != br {
		return
	}
	b.borrow = nil
	l.refresh(b)
	l.refuseUnservable(b, res)
	pause := minLoanBackoff
	if len(b.waiting) > 0 {
		pause = l.mintTime(b, b.waiting[0].tokens)
	}
	b.borrowBackoffUntil = l.slot.now.Add(min(max(pause, minLoanBackoff), maxLoanBackoff))
}

// receiveLoan adds a loan to the bucket. A loan of a request that is no longer
// known is dropped: it may be a duplicate of one that has been used.
func (l *Limiter) receiveLoan(from ident.HostID, m Loan, res *Result) {
	br := l.borrows[m.Borrow]
	if br == nil || br.loans[m.ID] || !l.slot.now.Before(br.end) || m.ID.Process.Host != from || m.Tokens <= 0 {
		return
	}
	b := br.bucket
	if m.Policy != b.policy || m.Organisation != b.name {
		return
	}
	br.loans[m.ID] = true
	l.refresh(b)
	n := float64(m.Tokens)
	br.received += n
	b.addLoan(&borrowedLoan{id: m.ID, end: br.end, capacity: n})
	l.activate(b)
	if b.borrow == br && br.received >= br.need {
		b.borrow = nil
		b.hubRank = 0
	}
	l.serve(b, res)
	if br.searchEnded && br.received >= br.promised {
		l.borrowFailed(br, res)
	}
}

func (b *bucket) addLoan(x *borrowedLoan) {
	x.returned = Returned{Number: x.id.Number, Process: x.id.Process.Incarnation}
	b.loans = append(b.loans, x)
	b.borrowedCapacity += x.capacity
	b.level += x.capacity
	if b.loanEnd.IsZero() || x.end.Before(b.loanEnd) {
		b.loanEnd = x.end
	}
}

// dropExpiredLoans drops the loans that have ended.
func (b *bucket) dropExpiredLoans(now time.Time) {
	b.filterLoans(func(x *borrowedLoan) bool { return now.Before(x.end) })
}

func (b *bucket) dropAllLoans() {
	b.filterLoans(func(*borrowedLoan) bool { return false })
}

// filterLoans drops the loans that keep rejects and their capacity. The caller must
// shrink the bucket.
func (b *bucket) filterLoans(keep func(*borrowedLoan) bool) {
	kept := b.loans[:0]
	b.loanEnd = time.Time{}
	b.borrowedCapacity = 0
	for _, x := range b.loans {
		if !keep(x) {
			continue
		}
		kept = append(kept, x)
		b.borrowedCapacity += x.capacity
		if b.loanEnd.IsZero() || x.end.Before(b.loanEnd) {
			b.loanEnd = x.end
		}
	}
	clear(b.loans[len(kept):])
	b.loans = kept
}

// invalidateLoans makes the loans unusable. Their capacity goes back to the lenders at
// the next Tick.
func (b *bucket) invalidateLoans() {
	for _, x := range b.loans {
		x.recordReturn(x.capacity, 0)
	}
	b.borrowedCapacity = 0
}

// returnAllLoans returns all loans with the tokens that are left.
func (b *bucket) returnAllLoans(out returnBatch) {
	for _, x := range b.loans {
		b.returnCapacity(x, x.capacity, max(0, min(x.capacity, b.level)))
	}
	b.sendReturns(out)
}

// returnLoans returns capacity whose tokens are used up, and unused tokens shortly
// before the loan ends, so that the lender can use them again.
func (l *Limiter) returnLoans(b *bucket, out returnBatch) {
	if len(b.loans) == 0 {
		return
	}
	// Leaves room for half a second of the host's own minting.
	spare := l.capacity(b) - b.total() - min(l.ownCapacity(b), b.policy.Rate*l.share.current/2)
	lead := l.cfg.LoanTTL / 3
	for _, x := range b.loans {
		if spare > 0 && x.capacity > 0 {
			d := min(spare, x.capacity)
			spare -= d
			b.returnCapacity(x, d, 0)
		}
		if len(b.waiting) == 0 && x.end.Sub(l.slot.now) <= lead {
			d := max(0, min(x.capacity, math.Floor(b.level)))
			b.returnCapacity(x, d, d)
		}
	}
	b.sendReturns(out)
}

// returnCapacity moves capacity and tokens of a loan from the bucket to the lender.
func (b *bucket) returnCapacity(x *borrowedLoan, capacity, tokens float64) {
	x.recordReturn(capacity, tokens)
	b.borrowedCapacity -= capacity
	b.level -= tokens
}

func (x *borrowedLoan) recordReturn(capacity, tokens float64) {
	if capacity <= 0 {
		return
	}
	x.capacity -= capacity
	x.returned.Capacity += capacity
	x.returned.Tokens += tokens
	x.unsent = true
}

// sendReturns adds changed loans to the batch and drops those returned in full.
func (b *bucket) sendReturns(out returnBatch) {
	for _, x := range b.loans {
		if x.unsent {
			out[x.id.Process.Host] = append(out[x.id.Process.Host], x.returned)
			x.unsent = false
		}
	}
	b.filterLoans(func(x *borrowedLoan) bool { return x.capacity > 0 })
}

// returnBatch collects what is returned to each lender.
type returnBatch map[ident.HostID][]Returned

func (rb returnBatch) send(res *Result) {
	hosts := make([]ident.HostID, 0, len(rb))
	for h := range rb {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		res.send(h, Message{Return: &Return{Loans: rb[h]}})
	}
}
