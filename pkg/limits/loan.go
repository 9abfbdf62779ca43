package limits

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// minLoanBackoff and maxLoanBackoff bound the time for which no loan is sought
	// after the fleet was found to be out of tokens. Without it an organisation
	// above its rate would cost messages with every request.
	minLoanBackoff = 20 * time.Millisecond
	maxLoanBackoff = 250 * time.Millisecond
	// borrowTries is how often a reservation is asked for within BorrowTimeout when
	// answers are missing.
	borrowTries = 3
)

// borrow is a request for loans that this host has sent.
type borrow struct {
	id       ID
	bucket   *bucket
	need     float64
	got      float64
	answerBy time.Time
	end      time.Time   // loans are dropped from then on
	loans    map[ID]bool // those that have arrived
	ended    bool        // the hub has ended its search
	promised float64     // tokens that lenders have sent by then
}

// borrowed is a loan that this host may use.
type borrowed struct {
	id       ID
	end      time.Time
	capacity float64 // what is left of it
	returned Returned
	changed  bool // returned has not been sent
}

// startBorrow asks the hub for what the waiting reservations lack, unless a
// request is under way.
func (l *Limiter) startBorrow(b *bucket, res *Result) {
	lack := math.Ceil(b.short - b.level)
	if b.borrow != nil || lack <= 0 || l.slot.now.Before(b.noLoanUntil) {
		return
	}
	// What waits is part of the recent demand already.
	soon := max(0, math.Ceil(b.demand.expected()-b.short))
	want := min(lack+soon, max(lack, math.Ceil(b.policy.Burst)))
	br := &borrow{
		id:       l.nextID(),
		bucket:   b,
		need:     lack,
		answerBy: l.slot.now.Add(l.cfg.BorrowTimeout / borrowTries),
		end:      l.slot.now.Add(l.cfg.LoanTTL),
		loans:    map[ID]bool{},
	}
	b.borrow = br
	l.borrows[br.id] = br
	m := Borrow{ID: br.id, Organisation: b.name, Policy: b.policy, Need: int64(lack), Want: int64(want), TTL: l.cfg.LoanTTL}
	hub := l.hubFor(b)
	if hub == l.cfg.Self.Host {
		l.broker(hub, m, res)
		return
	}
	res.send(hub, Message{Borrow: &m})
}

// hubFor returns the hub to ask. After a timeout the next in order is asked.
func (l *Limiter) hubFor(b *bucket) ident.HostID {
	if b.hubRank == 0 {
		return ident.Owner(hubKey(b.name), l.peers)
	}
	return ident.Rank(hubKey(b.name), l.peers)[b.hubRank%len(l.peers)]
}

func hubKey(org ident.Organisation) string { return "hub/" + string(org) }

// cancelBorrow forgets all requests for the bucket, so that their loans are
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

// borrowTimedOut gives up a request. Without any answer the hub may be gone, so
// the next request goes to another.
func (l *Limiter) borrowTimedOut(b *bucket) {
	if b.borrow.got == 0 && !b.borrow.ended {
		b.hubRank++
	}
	b.borrow = nil
}

// searchEnded handles the hub's answer that the fleet has no more than granted.
// Loans may still be on their way.
func (l *Limiter) searchEnded(br *borrow, granted float64, res *Result) {
	br.ended = true
	br.promised = granted
	if br.got >= granted {
		l.borrowFailed(br, res)
	}
}

// borrowFailed puts the next request off until the fleet should have minted what
// the first waiting reservation lacks, and refuses those that this is too late
// for.
func (l *Limiter) borrowFailed(br *borrow, res *Result) {
	b := br.bucket
	if b.borrow != br {
		return
	}
	b.borrow = nil
	l.touch(b)
	l.refuseHopeless(b, res)
	pause := minLoanBackoff
	if len(b.waiting) > 0 {
		pause = l.mintTime(b, b.waiting[0].tokens)
	}
	b.noLoanUntil = l.slot.now.Add(min(max(pause, minLoanBackoff), maxLoanBackoff))
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
	l.touch(b)
	n := float64(m.Tokens)
	br.got += n
	b.addLoan(&borrowed{id: m.ID, end: br.end, capacity: n})
	l.activate(b)
	if b.borrow == br && br.got >= br.need {
		b.borrow = nil
		b.hubRank = 0
	}
	l.serve(b, res)
	if br.ended && br.got >= br.promised {
		l.borrowFailed(br, res)
	}
}

func (b *bucket) addLoan(x *borrowed) {
	x.returned = Returned{Number: x.id.Number, Process: x.id.Process.Incarnation}
	b.loans = append(b.loans, x)
	b.borrowed += x.capacity
	b.level += x.capacity
	if b.loanEnd.IsZero() || x.end.Before(b.loanEnd) {
		b.loanEnd = x.end
	}
}

// endLoans drops the loans whose time is over.
func (b *bucket) endLoans(now time.Time) {
	b.keepLoans(func(x *borrowed) bool { return now.Before(x.end) })
}

func (b *bucket) dropLoans() {
	b.keepLoans(func(*borrowed) bool { return false })
}

// keepLoans drops the loans that keep rejects and their capacity. The caller cuts
// the bucket.
func (b *bucket) keepLoans(keep func(*borrowed) bool) {
	kept := b.loans[:0]
	b.loanEnd = time.Time{}
	b.borrowed = 0
	for _, x := range b.loans {
		if !keep(x) {
			continue
		}
		kept = append(kept, x)
		b.borrowed += x.capacity
		if b.loanEnd.IsZero() || x.end.Before(b.loanEnd) {
			b.loanEnd = x.end
		}
	}
	clear(b.loans[len(kept):])
	b.loans = kept
}

// voidLoans keeps the loans only to give their capacity back at the next Tick.
func (b *bucket) voidLoans() {
	for _, x := range b.loans {
		x.give(x.capacity, 0)
	}
	b.borrowed = 0
}

// surrenderLoans gives all loans back with the tokens that are left.
func (b *bucket) surrenderLoans(out returnBatch) {
	for _, x := range b.loans {
		b.giveBack(x, x.capacity, max(0, min(x.capacity, b.level)))
	}
	b.sendReturns(out)
}

// returnLoans gives back capacity whose tokens are used up, and unused tokens
// shortly before the loan ends, so that the lender can use them again.
func (l *Limiter) returnLoans(b *bucket, out returnBatch) {
	if len(b.loans) == 0 {
		return
	}
	// Half a second of own minting stays possible here.
	spare := l.capacity(b) - b.total() - min(l.base(b), b.policy.Rate*l.share.now/2)
	lead := l.cfg.LoanTTL / 3
	for _, x := range b.loans {
		if spare > 0 && x.capacity > 0 {
			d := min(spare, x.capacity)
			spare -= d
			b.giveBack(x, d, 0)
		}
		if len(b.waiting) == 0 && x.end.Sub(l.slot.now) <= lead {
			d := max(0, min(x.capacity, math.Floor(b.level)))
			b.giveBack(x, d, d)
		}
	}
	b.sendReturns(out)
}

// giveBack moves capacity and tokens of a loan from the bucket to the lender.
func (b *bucket) giveBack(x *borrowed, capacity, tokens float64) {
	x.give(capacity, tokens)
	b.borrowed -= capacity
	b.level -= tokens
}

func (x *borrowed) give(capacity, tokens float64) {
	if capacity <= 0 {
		return
	}
	x.capacity -= capacity
	x.returned.Capacity += capacity
	x.returned.Tokens += tokens
	x.changed = true
}

// sendReturns adds changed loans to the batch and drops those given back.
func (b *bucket) sendReturns(out returnBatch) {
	for _, x := range b.loans {
		if x.changed {
			out[x.id.Process.Host] = append(out[x.id.Process.Host], x.returned)
			x.changed = false
		}
	}
	b.keepLoans(func(x *borrowed) bool { return x.capacity > 0 })
}

// returnBatch collects what is given back to each lender.
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
