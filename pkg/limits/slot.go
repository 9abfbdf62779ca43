package limits

import (
	"cmp"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// queryInterval is how often a process in quarantine asks whether its
// predecessor released the slot.
const queryInterval = 500 * time.Millisecond

// slot is the lease of a process on its slot. The process may mint from mintFrom
// until leaseEnd.
type slot struct {
	now          time.Time // latest time seen
	mintFrom     time.Time
	leaseEnd     time.Time // last contact plus ContactTimeout
	leaseExpired bool      // the lease ended and no contact has been seen since
	endReason    Reason    // set once the process can never mint again
	epoch        uint64    // counts how often all tokens were invalidated
	// mintingTime is the total time in which the process could mint. Buckets
	// compare it with its value at their last refresh.
	mintingTime      time.Duration
	epochMintingTime time.Duration // mintingTime at the start of the epoch
	nextQuery        time.Time
	releases         map[ident.HostID]*release
}

// release is a SlotReleased message that this host stores for the successor of the
// process that sent it, with the state of the successor's queries.
type release struct {
	msg       SlotReleased
	expiresAt time.Time         // not passed on after this time
	successor ident.Incarnation // the first process that asked
	contested bool              // a second process asked, so the first may still run
	lastSeen  time.Time
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
	current float64
	next    float64 // takes effect at nextAt, if that is set
	nextAt  time.Time
	known   bool
}

// advance moves the time forward, adds to the minting time, and ends the lease
// and lent loans whose time is over. It also applies a larger share that is due.
func (l *Limiter) advance(now time.Time) {
	s := &l.slot
	if now.Before(s.now) {
		now = s.now
	}
	from := latest(s.now, s.mintFrom)
	to := earliest(now, s.leaseEnd)
	if s.endReason == "" && !s.leaseExpired && to.After(from) {
		s.mintingTime += to.Sub(from)
	}
	s.now = now
	if !s.leaseExpired && now.After(s.leaseEnd) {
		s.leaseExpired = true
		l.invalidateTokens()
	}
	if !l.share.nextAt.IsZero() && !now.Before(l.share.nextAt) {
		l.applyShare(l.share.next)
	}
	l.expireLentLoans()
}

// invalidateTokens makes every bucket drop its own tokens at its next refresh.
func (l *Limiter) invalidateTokens() {
	l.slot.epoch++
	l.slot.epochMintingTime = l.slot.mintingTime
}

// canMint reports whether the process may use its share: it holds the lease and the
// quarantine is over.
func (l *Limiter) canMint() bool {
	s := &l.slot
	return s.endReason == "" && !s.leaseExpired && !s.now.Before(s.mintFrom)
}

// Contact extends the lease after an acknowledgement from a peer or an answer from
// the platform. at is when the acknowledged message was sent, so that the delay of
// an acknowledgement does not lengthen the lease. If the lease has expired, the process
// waits out a new quarantine, because its slot may have been given to another
// process in the meantime.
func (l *Limiter) Contact(at time.Time) {
	l.advance(at)
	s := &l.slot
	end := at.Add(l.cfg.ContactTimeout)
	if !end.After(s.now) {
		return
	}
	if s.leaseExpired {
		s.leaseExpired = false
		s.mintFrom = s.now.Add(l.cfg.Quarantine)
	}
	s.leaseEnd = latest(s.leaseEnd, end)
}

// Resumed resets the limiter after a pause of the process: it drops all tokens
// and loans, refuses all waiting reservations and starts a new quarantine.
func (l *Limiter) Resumed(now time.Time) Result {
	var res Result
	l.advance(now)
	l.invalidateTokens()
	l.slot.leaseExpired = false
	l.slot.mintFrom = l.slot.now.Add(l.cfg.Quarantine)
	l.slot.leaseEnd = l.slot.now.Add(l.cfg.ContactTimeout)
	clear(l.slot.releases)
	l.hub = newHub()
	l.reset(ReasonPaused, &res)
	return res
}

// Superseded ends minting for good: a newer process holds the slot.
func (l *Limiter) Superseded(now time.Time) Result {
	var res Result
	l.advance(now)
	l.endMinting(ReasonSuperseded, &res)
	return res
}

func (l *Limiter) endMinting(reason Reason, res *Result) {
	if l.slot.endReason == "" {
		l.slot.endReason = reason
	}
	l.invalidateTokens()
	l.reset(reason, res)
}

// reset drops all tokens and loans and refuses all waiting reservations.
func (l *Limiter) reset(reason Reason, res *Result) {
	for _, name := range l.sortedNames() {
		b := l.orgs[name]
		l.refresh(b)
		b.dropAllLoans()
		l.cancelBorrow(b)
		b.shrinkTo(0)
		l.refuseWaiting(b, reason, res)
	}
}

// SlotReleased shortens the quarantine after a release that the node learned about
// by other means than this package's messages. Loans of the predecessor may still
// be in use, so the limiter waits until they have ended.
func (l *Limiter) SlotReleased(now time.Time) {
	l.advance(now)
	l.shortenQuarantine(l.slot.now.Add(l.cfg.LoanTTL + l.cfg.LoanMargin))
}

// shortenQuarantine makes the first quarantine of a process end at t at the latest
// and reports whether that changed it. Later quarantines follow an expired lease or
// a pause, when a release by the predecessor proves nothing.
func (l *Limiter) shortenQuarantine(t time.Time) bool {
	if l.slot.epoch != 0 || !t.Before(l.slot.mintFrom) {
		return false
	}
	l.slot.mintFrom = t
	return true
}

// Drain ends the work of the limiter for a graceful shutdown. Loans go back to
// their lenders. The host's own tokens and the release of the slot go to a peer of
// the domain, which stores them for the next process of this host.
func (l *Limiter) Drain(now time.Time) Result {
	var res Result
	l.advance(now)
	// A process in quarantine has nothing to release: its predecessor may still run.
	canMint := l.canMint()
	released := SlotReleased{Process: l.cfg.Self}
	returns := returnBatch{}
	for _, name := range l.sortedNames() {
		b := l.orgs[name]
		l.refresh(b)
		b.returnAllLoans(returns)
		own := min(b.level, max(0, l.ownCapacity(b)-b.lentCapacity))
		if canMint && (own > 0 || b.lentCapacity > 0) {
			released.Leftover = append(released.Leftover, Leftover{Organisation: name, Policy: b.policy, Level: own, Lent: b.lentCapacity})
		}
	}
	returns.send(&res)
	if n := len(l.lent.queue); n > 0 {
		released.LoansEnd = l.lent.queue[n-1].end.Sub(l.slot.now)
	}
	if canMint {
		if holder := l.releaseHolder(); holder != "" {
			res.send(holder, Message{SlotReleased: &released})
		}
	}
	l.endMinting(ReasonDraining, &res)
	return res
}

// releaseHolder returns the peer that stores releases of this host. It is the same
// for this process and the next, as long as their peer lists agree.
func (l *Limiter) releaseHolder() ident.HostID {
	for _, h := range ident.Rank("slot/"+string(l.cfg.Self.Host), l.peers) {
		if h != l.cfg.Self.Host {
			return h
		}
	}
	return ""
}

// querySlot asks the release holder for a release during the first quarantine.
func (l *Limiter) querySlot(res *Result) {
	s := &l.slot
	if !l.share.known || s.epoch != 0 || !s.now.Before(s.mintFrom) || s.now.Before(s.nextQuery) {
		return
	}
	holder := l.releaseHolder()
	if holder == "" {
		return
	}
	s.nextQuery = s.now.Add(queryInterval)
	res.send(holder, Message{SlotQuery: &SlotQuery{Process: l.cfg.Self}})
}

// receiveSlotQuery passes a release on to the first later process that asks. A
// release expires after half a quarantine: a process that started after it and
// whose queries were all lost has not minted by then.
func (l *Limiter) receiveSlotQuery(from ident.HostID, q SlotQuery, res *Result) {
	if from != q.Process.Host {
		return
	}
	r := l.slot.releases[from]
	if r == nil {
		r = &release{}
		l.slot.releases[from] = r
	}
	r.lastSeen = l.slot.now
	if r.successor == 0 {
		r.successor = q.Process.Incarnation
	}
	r.contested = r.contested || r.successor != q.Process.Incarnation
	known := r.msg.Process.Incarnation
	if r.contested || known == 0 || known >= q.Process.Incarnation || l.slot.now.After(r.expiresAt) {
		return
	}
	msg := r.msg
	res.send(from, Message{SlotReleased: &msg})
}

// receiveSlotReleased takes over the slot of the predecessor, or stores the release
// of another host for that host's next process.
func (l *Limiter) receiveSlotReleased(m SlotReleased, res *Result) {
	if m.Process.Host != l.cfg.Self.Host {
		l.storeRelease(m)
		return
	}
	if m.Process.Incarnation >= l.cfg.Self.Incarnation || !l.shortenQuarantine(l.slot.now) {
		return
	}
	for _, left := range m.Leftover {
		b := l.orgs[left.Organisation]
		if b == nil {
			b = l.newBucket(left.Organisation, left.Policy)
			l.orgs[left.Organisation] = b
		}
		l.refresh(b)
		l.lent.addInherited(b, left.Lent, l.slot.now.Add(m.LoansEnd))
		if b.policy == left.Policy {
			b.level += left.Level
		}
		b.shrinkTo(l.capacity(b))
		l.activate(b)
		l.serve(b, res)
	}
}

// storeRelease stores a release unless a later one of the same host is known.
func (l *Limiter) storeRelease(m SlotReleased) {
	now := l.slot.now
	r := l.slot.releases[m.Process.Host]
	if r == nil || r.successor <= m.Process.Incarnation {
		r = &release{}
		l.slot.releases[m.Process.Host] = r
	}
	if m.Process.Incarnation <= r.msg.Process.Incarnation {
		return
	}
	r.msg = m
	r.expiresAt = now.Add(l.cfg.Quarantine / 2)
	r.lastSeen = now
}

// expireReleases deletes the releases of hosts that have not been heard from for two
// quarantines.
func (l *Limiter) expireReleases() {
	for h, r := range l.slot.releases {
		if l.slot.now.Sub(r.lastSeen) > 2*l.cfg.Quarantine {
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
