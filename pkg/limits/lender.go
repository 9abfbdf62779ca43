package limits

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// lentLoan is a loan that this host has granted.
type lentLoan struct {
	bucket      *bucket
	loan        Loan
	key         requestKey
	borrower    ident.HostID
	end         time.Time // LoanTTL plus LoanMargin after the grant
	outstanding float64   // capacity that has not been returned
	returned    Returned
}

// lentLoans indexes the loans and queues them in the order in which they end.
type lentLoans struct {
	queue     []*lentLoan
	byNumber  map[uint64]*lentLoan
	byRequest map[requestKey]*lentLoan
}

func newLentLoans() lentLoans {
	return lentLoans{byNumber: map[uint64]*lentLoan{}, byRequest: map[requestKey]*lentLoan{}}
}

// addInherited adds the capacity that a predecessor has lent. Borrowers cannot return
// it to this process, so it comes back only when the loans end.
func (ls *lentLoans) addInherited(b *bucket, n float64, end time.Time) {
	if n <= 0 {
		return
	}
	b.lentCapacity += n
	ls.queue = append(ls.queue, &lentLoan{bucket: b, end: end, outstanding: n})
}

// expireLentLoans takes the capacity of ended loans back, without the tokens.
func (l *Limiter) expireLentLoans() {
	for len(l.lent.queue) > 0 && !l.slot.now.Before(l.lent.queue[0].end) {
		x := l.lent.queue[0]
		l.lent.queue[0] = nil
		l.lent.queue = l.lent.queue[1:]
		delete(l.lent.byNumber, x.loan.ID.Number)
		delete(l.lent.byRequest, x.key)
		l.restoreCapacity(x, x.outstanding)
	}
}

// restoreCapacity returns lent capacity to the bucket. It refreshes the bucket first,
// so that tokens minted until now are bounded by the smaller capacity.
func (l *Limiter) restoreCapacity(x *lentLoan, capacity float64) {
	if capacity <= 0 {
		return
	}
	l.refresh(x.bucket)
	x.outstanding -= capacity
	x.bucket.lentCapacity = max(0, x.bucket.lentCapacity-capacity)
}

// lend grants up to m.Want tokens of this host's share and sends them to the borrower.
// It returns the amount. A repeated request gets the same loan again.
func (l *Limiter) lend(m Borrow, res *Result) int64 {
	borrower := m.ID.Process.Host
	if old := l.lent.byRequest[m.key()]; old != nil {
		loan := old.loan
		res.send(borrower, Message{Loan: &loan})
		return loan.Tokens
	}
	b := l.orgs[m.Organisation]
	if b == nil || b.policy != m.Policy || m.TTL > l.cfg.LoanTTL || m.ID.Process == l.cfg.Self {
		return 0
	}
	l.refresh(b)
	n := math.Floor(min(float64(m.Want), l.lendable(b)))
	if n < 1 || len(l.lent.queue) >= maxLoans {
		return 0
	}
	b.level -= n
	b.lentCapacity += n
	x := &lentLoan{
		bucket:      b,
		borrower:    borrower,
		end:         l.slot.now.Add(l.cfg.LoanTTL + l.cfg.LoanMargin),
		outstanding: n,
		key:         m.key(),
		loan:        Loan{ID: l.nextID(), Borrow: m.ID, Organisation: b.name, Policy: b.policy, Tokens: int64(n)},
	}
	l.lent.queue = append(l.lent.queue, x)
	l.lent.byNumber[x.loan.ID.Number] = x
	l.lent.byRequest[m.key()] = x
	l.activate(b)
	loan := x.loan
	res.send(borrower, Message{Loan: &loan})
	return loan.Tokens
}

// lendable returns the tokens of this host's share that no waiting reservation needs.
func (l *Limiter) lendable(b *bucket) float64 {
	own := l.ownCapacity(b) - b.lentCapacity
	return max(0, min(b.level-b.waitingTokens, own))
}

// receiveReturn takes loans back. The amounts are cumulative; only the increase
// since the previous Return counts.
func (l *Limiter) receiveReturn(m Return, res *Result) {
	for _, r := range m.Loans {
		x := l.lent.byNumber[r.Number]
		if x == nil || r.Process != l.cfg.Self.Incarnation {
			continue
		}
		capacity := min(r.Capacity-x.returned.Capacity, x.outstanding)
		tokens := min(r.Tokens-x.returned.Tokens, capacity)
		if capacity <= 0 {
			continue
		}
		x.returned = r
		l.restoreCapacity(x, capacity)
		b := x.bucket
		if tokens > 0 && b.policy == x.loan.Policy {
			b.level += tokens
		}
		b.shrinkTo(l.capacity(b))
		l.serve(b, res)
	}
}
