package limits

import (
	"cmp"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// queryInterval is how often a process in quarantine asks whether its
// predecessor released the slot.
const queryInterval = 500 * time.Millisecond

// slot is the minting right of a process. A process holds it from mintFrom until
// leaseEnd.
type slot struct {
	now      time.Time // latest time seen
	mintFrom time.Time
	leaseEnd time.Time // last contact plus ContactTimeout
	lapsed   bool      // the lease ended and no contact has been seen since
	ended    Reason    // set once the process can never mint again
	epoch    uint64    // counts losses of the right
	// minted is the total time during which the right was held. Buckets compare
	// it with its value at their last update.
	minted    time.Duration
	mintStart time.Duration // minted at the start of the epoch
	nextQuery time.Time
	releases  map[ident.HostID]*release
}

// release is a SlotReleased that this host keeps for the successor, together
// with what is known about processes that asked for it.
type release struct {
	msg   SlotReleased
	until time.Time         // not passed on after this time
	asker ident.Incarnation // the first process that asked
	void  bool              // a second process asked, so the first may still run
	seen  time.Time
}

func newSlot(cfg Config, now time.Time) slot {
	return slot{
		now:      now,
		mintFrom: now.Add(cfg.Quarantine),
		leaseEnd: now.Add(cfg.ContactTimeout),
		releases: map[ident.HostID]*release{},
	}
}

// share is the part of every rate and burst that belongs to this host's slot.
type share struct {
	now    float64
	next   float64 // takes effect at nextAt, if that is set
	nextAt time.Time
	known  bool
}

// advance moves the time forward, accounts for the time in which the right was
// held, and ends the right when the lease has run out.
func (l *Limiter) advance(now time.Time) {
	s := &l.slot
	if now.Before(s.now) {
		now = s.now
	}
	from := latest(s.now, s.mintFrom)
	to := earliest(now, s.leaseEnd)
	if s.ended == "" && !s.lapsed && to.After(from) {
		s.minted += to.Sub(from)
	}
	s.now = now
	if !s.lapsed && now.After(s.leaseEnd) {
		s.lapsed = true
		l.loseRight()
	}
	if !l.share.nextAt.IsZero() && !now.Before(l.share.nextAt) {
		l.applyShare(l.share.next)
	}
	l.expireLent()
}

// loseRight makes every bucket drop its own tokens at its next update.
func (l *Limiter) loseRight() {
	l.slot.epoch++
	l.slot.mintStart = l.slot.minted
}

// holdsRight reports whether the process may use its share.
func (l *Limiter) holdsRight() bool {
	s := &l.slot
	return s.ended == "" && !s.lapsed && !s.now.Before(s.mintFrom)
}

// Contact records an acknowledgement from a peer or an answer from the platform.
// at is when the acknowledged message was sent, so that a late acknowledgement does
// not stretch the lease. After a lapse the process waits out a new quarantine,
// because its slot may have been given to another process in the meantime.
func (l *Limiter) Contact(at time.Time) {
	l.advance(at)
	s := &l.slot
	end := at.Add(l.cfg.ContactTimeout)
	if !end.After(s.now) {
		return
	}
	if s.lapsed {
		s.lapsed = false
		s.mintFrom = s.now.Add(l.cfg.Quarantine)
	}
	s.leaseEnd = latest(s.leaseEnd, end)
}

// Resumed resets the limiter after a pause of the process: it drops all tokens
// and loans, refuses what was waiting and starts a new quarantine.
func (l *Limiter) Resumed(now time.Time) Result {
	var res Result
	l.advance(now)
	l.loseRight()
	l.slot.lapsed = false
	l.slot.mintFrom = l.slot.now.Add(l.cfg.Quarantine)
	l.slot.leaseEnd = l.slot.now.Add(l.cfg.ContactTimeout)
	clear(l.slot.releases)
	l.hub = newHub()
	l.reset(ReasonPaused, &res)
	return res
}

// Superseded ends the minting right for good: a newer process holds the slot.
func (l *Limiter) Superseded(now time.Time) Result {
	var res Result
	l.advance(now)
	l.end(ReasonSuperseded, &res)
	return res
}

func (l *Limiter) end(why Reason, res *Result) {
	if l.slot.ended == "" {
		l.slot.ended = why
	}
	l.loseRight()
	l.reset(why, res)
}

// reset drops all tokens and refuses what waits.
func (l *Limiter) reset(why Reason, res *Result) {
	for _, name := range l.names() {
		b := l.orgs[name]
		l.touch(b)
		b.dropLoans()
		l.cancelBorrow(b)
		b.cut(0)
		l.refuseWaiting(b, why, res)
	}
}

// SlotReleased ends the quarantine after a release that the node learned about
// by other means than this package's messages. Loans of the predecessor may
// still run, so their time is waited out.
func (l *Limiter) SlotReleased(now time.Time) {
	l.advance(now)
	l.mintNoLaterThan(l.slot.now.Add(l.cfg.LoanTTL + l.cfg.LoanMargin))
}

// mintNoLaterThan shortens the first quarantine of a process. Later quarantines
// follow a lapse or pause, when a release by the predecessor proves nothing.
func (l *Limiter) mintNoLaterThan(t time.Time) bool {
	if l.slot.epoch != 0 || !t.Before(l.slot.mintFrom) {
		return false
	}
	l.slot.mintFrom = t
	return true
}

// Drain ends the work of the limiter for a graceful shutdown. Loans go back to
// their lenders; the own tokens and the release of the slot go to a peer of the
// domain that keeps them for the next process of this host.
func (l *Limiter) Drain(now time.Time) Result {
	var res Result
	l.advance(now)
	// A process in quarantine has nothing to release: its predecessor may run.
	held := l.holdsRight()
	rel := SlotReleased{Process: l.cfg.Self}
	returns := returnBatch{}
	for _, name := range l.names() {
		b := l.orgs[name]
		l.touch(b)
		b.surrenderLoans(returns)
		own := min(b.level, max(0, l.base(b)-b.lent))
		if held && (own > 0 || b.lent > 0) {
			rel.Leftover = append(rel.Leftover, Leftover{Organisation: name, Policy: b.policy, Level: own, Lent: b.lent})
		}
	}
	returns.send(&res)
	if n := len(l.lent.queue); n > 0 {
		rel.LoansEnd = l.lent.queue[n-1].end.Sub(l.slot.now)
	}
	if held {
		if keeper := l.keeper(); keeper != "" {
			res.send(keeper, Message{SlotReleased: &rel})
		}
	}
	l.end(ReasonDraining, &res)
	return res
}

// keeper returns the peer that keeps releases of this host: the same for this
// process and the next, as long as their lists agree.
func (l *Limiter) keeper() ident.HostID {
	for _, h := range ident.Rank("slot/"+string(l.cfg.Self.Host), l.peers) {
		if h != l.cfg.Self.Host {
			return h
		}
	}
	return ""
}

// querySlot asks the keeper for a release while the first quarantine runs.
func (l *Limiter) querySlot(res *Result) {
	s := &l.slot
	if !l.share.known || s.epoch != 0 || !s.now.Before(s.mintFrom) || s.now.Before(s.nextQuery) {
		return
	}
	keeper := l.keeper()
	if keeper == "" {
		return
	}
	s.nextQuery = s.now.Add(queryInterval)
	res.send(keeper, Message{SlotQuery: &SlotQuery{Process: l.cfg.Self}})
}

// receiveSlotQuery passes a release on to the first later process that asks. A
// release is kept for half a quarantine only: a process that started after it
// and whose queries were all lost has not minted by then.
func (l *Limiter) receiveSlotQuery(from ident.HostID, q SlotQuery, res *Result) {
	if from != q.Process.Host {
		return
	}
	r := l.slot.releases[from]
	if r == nil {
		r = &release{}
		l.slot.releases[from] = r
	}
	r.seen = l.slot.now
	if r.asker == 0 {
		r.asker = q.Process.Incarnation
	}
	r.void = r.void || r.asker != q.Process.Incarnation
	known := r.msg.Process.Incarnation
	if r.void || known == 0 || known >= q.Process.Incarnation || l.slot.now.After(r.until) {
		return
	}
	msg := r.msg
	res.send(from, Message{SlotReleased: &msg})
}

// receiveSlotReleased takes over the slot of the predecessor, or keeps the
// release for its successor.
func (l *Limiter) receiveSlotReleased(m SlotReleased, res *Result) {
	if m.Process.Host != l.cfg.Self.Host {
		l.keepRelease(m)
		return
	}
	if m.Process.Incarnation >= l.cfg.Self.Incarnation || !l.mintNoLaterThan(l.slot.now) {
		return
	}
	for _, left := range m.Leftover {
		b := l.orgs[left.Organisation]
		if b == nil {
			b = l.newBucket(left.Organisation, left.Policy)
			l.orgs[left.Organisation] = b
		}
		l.touch(b)
		l.lent.inherit(b, left.Lent, l.slot.now.Add(m.LoansEnd))
		if b.policy == left.Policy {
			b.level += left.Level
		}
		b.cut(l.capacity(b))
		l.activate(b)
		l.serve(b, res)
	}
}

// keepRelease stores a release unless a later one of the same host is known.
func (l *Limiter) keepRelease(m SlotReleased) {
	now := l.slot.now
	r := l.slot.releases[m.Process.Host]
	if r == nil || r.asker <= m.Process.Incarnation {
		r = &release{}
		l.slot.releases[m.Process.Host] = r
	}
	if m.Process.Incarnation <= r.msg.Process.Incarnation {
		return
	}
	r.msg = m
	r.until = now.Add(l.cfg.Quarantine / 2)
	r.seen = now
}

// expireReleases forgets hosts that have not been heard of for two quarantines.
func (l *Limiter) expireReleases() {
	for h, r := range l.slot.releases {
		if l.slot.now.Sub(r.seen) > 2*l.cfg.Quarantine {
			delete(l.slot.releases, h)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }
