package idempotency

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// beginRepeat and endRepeat are the times after which an unanswered message is
	// sent again.
	beginRepeat = 100 * time.Millisecond
	endRepeat   = time.Second
	// beginTimeout is how long an owner may take to answer. A call that waits longer
	// is answered as unknown, so that its caller is not kept waiting.
	beginTimeout = time.Second
	// notRunRepeat bounds the time for which an owner is told that a call has not
	// run. If it is not reached, the key stays in progress and then unknown.
	notRunRepeat = 10 * time.Second
)

// call is one call of a caller at this host.
type call struct {
	id       ident.RequestID
	key      Key
	owner    ident.Process
	newSince History
	start    time.Time
	wall     time.Time // wall clock at start
	repeatAt time.Time
	running  bool
}

// ending is an End that has not been acknowledged.
type ending struct {
	end      End
	repeatAt time.Time
	until    time.Time
}

// entry holds the calls of this host.
type entry struct {
	calls  map[ident.RequestID]*call
	ending map[ident.RequestID]*ending
}

func newEntry() entry {
	return entry{calls: map[ident.RequestID]*call{}, ending: map[ident.RequestID]*ending{}}
}

// sorted returns the calls that wait for a verdict.
func (e *entry) sorted() []*call {
	var cs []*call
	for _, c := range e.calls {
		if !c.running {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b *call) int { return compareIDs(a.id, b.id) })
	return cs
}

// Begin asks whether a call may run. wall is the wall clock of this host at now.
// The decision is in the Result or in that of a later call.
func (m *Memory) Begin(now time.Time, id ident.RequestID, k Key, wall time.Time) Result {
	var res Result
	m.advance(now)
	c := &call{id: id, key: k, start: m.now, wall: wall}
	owner, ok := m.ownerOf(k)
	switch {
	case m.owner.draining:
		res.unknown(id, ReasonDraining)
		return res
	case !ok:
		res.unknown(id, ReasonNoOwner)
		return res
	case m.entry.calls[id] != nil || m.entry.ending[id] != nil || len(m.entry.calls)+len(m.entry.ending) >= m.cfg.MaxRecords:
		res.unknown(id, ReasonFull)
		return res
	}
	c.owner = owner
	m.entry.calls[id] = c
	m.ask(c, &res)
	return res
}

func (r *Result) unknown(id ident.RequestID, why Reason) {
	r.Decisions = append(r.Decisions, Decision{Call: id, Verdict: Unknown, Reason: why})
}

// ask sends the Begin to the owner.
func (m *Memory) ask(c *call, res *Result) {
	c.repeatAt = m.now.Add(beginRepeat)
	b := Begin{Call: c.id, Key: c.key, Owner: c.owner, NewSince: c.newSince}
	if c.owner == m.cfg.Self {
		m.receiveReply(m.cfg.Self.Host, m.decide(b), res)
		return
	}
	res.send(c.owner.Host, Message{Begin: &b})
}

// receiveReply turns the owner's answer into a decision.
func (m *Memory) receiveReply(from ident.HostID, r BeginReply, res *Result) {
	c := m.entry.calls[r.Call]
	if c == nil {
		m.refuseLateRun(r, res)
		return
	}
	// A late permission is not used: the record may have ended. Tick gives up.
	late := m.now.Sub(c.start) >= beginTimeout
	if late || c.running || !c.ownedBy(r.Owner) || from != c.owner.Host {
		return
	}
	c.owner = r.Owner
	if r.Reason == ReasonRepeat && c.newSince != r.History && m.madeWithin(c, r.HistoryAge) {
		c.newSince = r.History
		m.ask(c, res)
		return
	}
	if r.Verdict == Run {
		c.running = true
	} else {
		delete(m.entry.calls, c.id)
	}
	res.Decisions = append(res.Decisions, Decision{Call: c.id, Verdict: r.Verdict, Reason: r.Reason, Status: r.Status, Body: r.Body})
}

// refuseLateRun tells an owner whose permission came too late that the call has
// not run, and says nothing about calls that have ended.
func (m *Memory) refuseLateRun(r BeginReply, res *Result) {
	if r.Verdict != Run {
		return
	}
	if e := m.entry.ending[r.Call]; e != nil {
		m.sendEnd(e, res)
	}
}

// madeWithin reports whether the key is a UUIDv7 that was made less than age ago,
// with clocks that differ by up to the skew. The owner measured age before this
// host received it, so that the limit errs on the safe side.
func (m *Memory) madeWithin(c *call, age time.Duration) bool {
	id, err := uuid.Parse(c.key.Value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return false
	}
	made := time.UnixMilli(int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5]))
	wall := c.wall.Add(m.now.Sub(c.start))
	return made.After(wall.Add(-age).Add(m.cfg.ClockSkew)) && !made.After(c.wall.Add(m.cfg.ClockSkew))
}

// giveUp answers a waiting call as unknown and releases what its owner may have
// recorded.
func (m *Memory) giveUp(c *call, why Reason, res *Result) {
	delete(m.entry.calls, c.id)
	res.unknown(c.id, why)
	m.startEnd(End{Call: c.id, Key: c.key, Outcome: NotRun, Owner: c.owner}, res)
}

func (m *Memory) giveUpAll(why Reason, res *Result) {
	for _, c := range m.entry.sorted() {
		m.giveUp(c, why, res)
	}
}

// End reports how a call that was allowed to run has ended.
func (m *Memory) End(now time.Time, id ident.RequestID, outcome Outcome, status int, body []byte) Result {
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

func (m *Memory) startEnd(e End, res *Result) {
	keep := m.cfg.Retention
	if e.Outcome == NotRun {
		keep = min(keep, notRunRepeat)
	}
	x := &ending{end: e, until: m.now.Add(keep)}
	m.entry.ending[e.Call] = x
	m.sendEnd(x, res)
}

// sendEnd sends an End to the process that owns the key now, or for NotRun to the
// one that may have recorded the call.
func (m *Memory) sendEnd(x *ending, res *Result) {
	x.repeatAt = m.now.Add(endRepeat)
	to, ok := m.ownerOf(x.end.Key)
	if x.end.Outcome == NotRun {
		to, ok = x.end.Owner, true
	}
	if !ok {
		return
	}
	if to == m.cfg.Self {
		if m.storeEnd(x.end) {
			delete(m.entry.ending, x.end.Call)
		}
		return
	}
	e := x.end
	res.send(to.Host, Message{End: &e})
}

// ownedBy reports whether p is the owner that was asked. The incarnation of an
// owner in another failure domain is not known before its first answer.
func (c *call) ownedBy(p ident.Process) bool {
	return p.Host == c.owner.Host && (c.owner.Incarnation == 0 || p.Incarnation == c.owner.Incarnation)
}

// learnt reports whether view names the asked owner without its incarnation.
func (c *call) learnt(view ident.Process) bool {
	return view.Host == c.owner.Host && view.Incarnation == 0
}

// tickEntry repeats messages and gives up calls that wait too long or whose owner
// has been replaced.
func (m *Memory) tickEntry(res *Result) {
	for _, c := range m.entry.sorted() {
		owner, ok := m.ownerOf(c.key)
		switch {
		case !ok || !c.ownedBy(owner) && !c.learnt(owner):
			m.giveUp(c, ReasonOwnerLost, res)
		case m.now.Sub(c.start) >= beginTimeout:
			m.giveUp(c, ReasonNoAnswer, res)
		case !m.now.Before(c.repeatAt):
			m.ask(c, res)
		}
	}
	for _, id := range sortedIDs(m.entry.ending) {
		x := m.entry.ending[id]
		switch {
		case !m.now.Before(x.until):
			delete(m.entry.ending, id)
		case !m.now.Before(x.repeatAt):
			m.sendEnd(x, res)
		}
	}
}

func sortedIDs(es map[ident.RequestID]*ending) []ident.RequestID {
	ids := make([]ident.RequestID, 0, len(es))
	for id := range es {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}
