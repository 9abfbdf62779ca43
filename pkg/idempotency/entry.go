package idempotency

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// beginResendInterval and endResendInterval are the times after which an
	// unanswered message is resent.
	beginResendInterval = 100 * time.Millisecond
	endResendInterval   = time.Second
	// beginTimeout is how long an owner may take to answer. After it the caller gets
	// Unknown instead of waiting longer.
	beginTimeout = time.Second
	// notRunResendLimit is how long an End with NotRun is resent. If it never reaches
	// the owner, the key stays in progress until its record expires, and is then
	// unknown for another retention time.
	notRunResendLimit = 10 * time.Second
)

// call is a caller's call that waits for a verdict or runs at this host.
type call struct {
	id       ident.RequestID
	key      Key
	owner    ident.Process
	newSince History
	start    time.Time
	wall     time.Time // wall clock at start
	resendAt time.Time
	running  bool
}

// pendingEnd is an End that has not been acknowledged.
type pendingEnd struct {
	end      End
	resendAt time.Time
	until    time.Time
}

// entryState holds the calls that this host accepted from callers.
type entryState struct {
	calls       map[ident.RequestID]*call
	pendingEnds map[ident.RequestID]*pendingEnd
}

func newEntryState() entryState {
	return entryState{calls: map[ident.RequestID]*call{}, pendingEnds: map[ident.RequestID]*pendingEnd{}}
}

// waitingCalls returns the calls that wait for a verdict, sorted by ID.
func (e *entryState) waitingCalls() []*call {
	var cs []*call
	for _, c := range e.calls {
		if !c.running {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b *call) int { return compareIDs(a.id, b.id) })
	return cs
}

// Begin asks the key's owner whether a call may run. wall is this host's wall clock
// at now. The decision is in this Result or in the Result of a later method call.
func (m *Store) Begin(now time.Time, id ident.RequestID, k Key, wall time.Time) Result {
	var res Result
	m.advance(now)
	c := &call{id: id, key: k, start: m.now, wall: wall}
	owner, ok := m.ownerOf(k)
	switch {
	case m.owner.draining:
		res.decideUnknown(id, ReasonDraining)
		return res
	case !ok:
		res.decideUnknown(id, ReasonNoOwner)
		return res
	case m.entry.calls[id] != nil || m.entry.pendingEnds[id] != nil || len(m.entry.calls)+len(m.entry.pendingEnds) >= m.cfg.MaxRecords:
		res.decideUnknown(id, ReasonFull)
		return res
	}
	c.owner = owner
	m.entry.calls[id] = c
	m.sendBegin(c, &res)
	return res
}

func (r *Result) decideUnknown(id ident.RequestID, reason Reason) {
	r.Decisions = append(r.Decisions, Decision{Call: id, Verdict: Unknown, Reason: reason})
}

// sendBegin sends the Begin to the owner, or decides it here if this process is the
// owner.
func (m *Store) sendBegin(c *call, res *Result) {
	c.resendAt = m.now.Add(beginResendInterval)
	b := Begin{Call: c.id, Key: c.key, Owner: c.owner, NewSince: c.newSince}
	if c.owner == m.cfg.Self {
		m.receiveReply(m.cfg.Self.Host, m.decide(b), res)
		return
	}
	res.send(c.owner.Host, Message{Begin: &b})
}

// receiveReply turns the owner's answer into a decision.
func (m *Store) receiveReply(from ident.HostID, r BeginReply, res *Result) {
	c := m.entry.calls[r.Call]
	if c == nil {
		m.refuseLateRun(r, res)
		return
	}
	// A late Run is ignored, because the owner's record may have expired. Tick gives
	// up the call.
	late := m.now.Sub(c.start) >= beginTimeout
	if late || c.running || !c.matchesOwner(r.Owner) || from != c.owner.Host {
		return
	}
	c.owner = r.Owner
	if r.Reason == ReasonRepeat && c.newSince != r.History && m.createdWithin(c, r.HistoryAge) {
		c.newSince = r.History
		m.sendBegin(c, res)
		return
	}
	if r.Verdict == Run {
		c.running = true
	} else {
		delete(m.entry.calls, c.id)
	}
	res.Decisions = append(res.Decisions, Decision{Call: c.id, Verdict: r.Verdict, Reason: r.Reason, Status: r.Status, Body: r.Body})
}

// refuseLateRun resends the pending End of a call to an owner whose Run came too late,
// so that the owner does not keep a call as running that has not run or has ended. A
// call without a pending End needs no message.
func (m *Store) refuseLateRun(r BeginReply, res *Result) {
	if r.Verdict != Run {
		return
	}
	if e := m.entry.pendingEnds[r.Call]; e != nil {
		m.sendEnd(e, res)
	}
}

// createdWithin reports whether the key is a UUIDv7 that was created less than age
// ago, for clocks that differ by up to ClockSkew. The owner measured age before this
// host received it, so the check can only be too strict.
func (m *Store) createdWithin(c *call, age time.Duration) bool {
	id, err := uuid.Parse(c.key.Value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return false
	}
	made := time.UnixMilli(int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5]))
	wall := c.wall.Add(m.now.Sub(c.start))
	return made.After(wall.Add(-age).Add(m.cfg.ClockSkew)) && !made.After(c.wall.Add(m.cfg.ClockSkew))
}

// giveUp answers a waiting call as unknown and tells its owner that the call has not
// run, in case the owner has recorded it.
func (m *Store) giveUp(c *call, reason Reason, res *Result) {
	delete(m.entry.calls, c.id)
	res.decideUnknown(c.id, reason)
	m.startEnd(End{Call: c.id, Key: c.key, Outcome: NotRun, Owner: c.owner}, res)
}

func (m *Store) giveUpAll(reason Reason, res *Result) {
	for _, c := range m.entry.waitingCalls() {
		m.giveUp(c, reason, res)
	}
}

// End reports the outcome of a call that was allowed to run.
func (m *Store) End(now time.Time, id ident.RequestID, outcome Outcome, status int, body []byte) Result {
	var res Result
	m.advance(now)
	c := m.entry.calls[id]
	if c == nil || !c.running {
		return res
	}
	delete(m.entry.calls, id)
	e := End{Call: id, Key: c.key, Outcome: outcome}
	switch {
	case outcome == NotRun:
		e.Owner = c.owner
	case outcome != Completed:
	case len(body) > m.cfg.MaxBody:
		e.TooLarge = true
	default:
		e.Status, e.Body = status, body
	}
	m.startEnd(e, &res)
	return res
}

func (m *Store) startEnd(e End, res *Result) {
	resendFor := m.cfg.Retention
	if e.Outcome == NotRun {
		resendFor = min(resendFor, notRunResendLimit)
	}
	x := &pendingEnd{end: e, until: m.now.Add(resendFor)}
	m.entry.pendingEnds[e.Call] = x
	m.sendEnd(x, res)
}

// sendEnd sends an End to the current owner of the key, or for NotRun to the process
// that may have recorded the call.
func (m *Store) sendEnd(x *pendingEnd, res *Result) {
	x.resendAt = m.now.Add(endResendInterval)
	to, ok := m.ownerOf(x.end.Key)
	if x.end.Outcome == NotRun {
		to, ok = x.end.Owner, true
	}
	if !ok {
		return
	}
	if to == m.cfg.Self {
		if m.storeEnd(x.end) {
			delete(m.entry.pendingEnds, x.end.Call)
		}
		return
	}
	e := x.end
	res.send(to.Host, Message{End: &e})
}

// matchesOwner reports whether p is the owner to which the Begin was sent. The
// incarnation of an owner in another failure domain is unknown until its first answer.
func (c *call) matchesOwner(p ident.Process) bool {
	return p.Host == c.owner.Host && (c.owner.Incarnation == 0 || p.Incarnation == c.owner.Incarnation)
}

// matchesHostOnly reports whether view names the owner's host without an incarnation.
func (c *call) matchesHostOnly(view ident.Process) bool {
	return view.Host == c.owner.Host && view.Incarnation == 0
}

// tickEntry resends messages and gives up calls that wait too long or whose owner has
// been replaced.
func (m *Store) tickEntry(res *Result) {
	for _, c := range m.entry.waitingCalls() {
		owner, ok := m.ownerOf(c.key)
		switch {
		case !ok || !c.matchesOwner(owner) && !c.matchesHostOnly(owner):
			m.giveUp(c, ReasonOwnerLost, res)
		case m.now.Sub(c.start) >= beginTimeout:
			m.giveUp(c, ReasonNoAnswer, res)
		case !m.now.Before(c.resendAt):
			m.sendBegin(c, res)
		}
	}
	for _, id := range sortedIDs(m.entry.pendingEnds) {
		x := m.entry.pendingEnds[id]
		switch {
		case !m.now.Before(x.until):
			delete(m.entry.pendingEnds, id)
		case !m.now.Before(x.resendAt):
			m.sendEnd(x, res)
		}
	}
}

func sortedIDs(es map[ident.RequestID]*pendingEnd) []ident.RequestID {
	ids := make([]ident.RequestID, 0, len(es))
	for id := range es {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}
