package idempotency

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// History numbers the times at which an owner began to keep complete records. It
// starts at one and grows with each pause, lapse or change of slots.
type History uint64

// state is what is known about the use of a key.
type state uint8

const (
	begun     state = iota + 1 // a call may be running
	completed                  // the answer is known
	uncertain                  // a call may have run
	released                   // the call named in the record has not run
)

// record is the memory of one key. Exactly one call at a time is in it.
type record struct {
	key      Key
	call     ident.RequestID
	state    state
	status   int
	body     []byte
	tooLarge bool
	// accepted is false if the record came from an End without a Begin. A released
	// record that was not accepted says nothing about earlier calls.
	accepted bool
	until    time.Time
}

// deadline is an entry of the expiry queue; it is stale if the record has another
// until.
type deadline struct {
	id    Key
	until time.Time
}

// owner holds the records of the own slot.
type owner struct {
	records  map[Key]*record
	queue    []deadline // ascending
	history  History
	since    time.Time // no key made later was used before this process could record it
	leaseEnd time.Time // zero until the first Contact
	lapsed   bool      // the lease ended and no contact has been seen since
	// pristine is true until the first pause, lapse or change of slots. Only then do
	// records of the predecessor complete the history.
	pristine bool
	draining bool
	// superseded is set once a newer process has been seen in the slot.
	superseded bool
	held       bool // this process has been seen in the slot
	lost       bool // and another one after it
	// regained and slotsChanged are handled when the next call brings the time.
	regained     bool
	slotsChanged bool
	parts        map[int]bool // parts of the predecessor's handover
	from         ident.Process
}

func newOwner(cfg Config, now time.Time) owner {
	return owner{records: map[Key]*record{}, history: 1, since: now.Add(cfg.Quarantine), pristine: true, parts: map[int]bool{}}
}

// restartHistory makes every key made before since a possible repeat. Records
// keep forbidding calls, but no longer prove that a key was never used.
func (o *owner) restartHistory(since time.Time) {
	o.history++
	o.since = since
	o.pristine = false
	for _, r := range o.records {
		r.accepted = false
	}
}

// forget drops all records.
func (o *owner) forget(since time.Time) {
	o.restartHistory(since)
	clear(o.records)
	o.queue = nil
}

// isOwner reports whether this process holds the slot of the key.
func (m *Memory) isOwner(k Key) bool {
	s, ok := m.slotOf(k)
	return ok && s == m.cfg.Slot && m.holders[s] == m.cfg.Self && !m.owner.superseded
}

// receiveBegin answers a Begin that is meant for this process.
func (m *Memory) receiveBegin(from ident.HostID, b Begin, res *Result) {
	unnamed := b.Owner.Host == m.cfg.Self.Host && b.Owner.Incarnation == 0
	if b.Owner != m.cfg.Self && !unnamed {
		return
	}
	reply := m.decide(b)
	res.send(from, Message{BeginReply: &reply})
}

// decide answers a Begin and records it if the call may run. A repeated Begin of
// the call that is in the record gets the same answer.
func (m *Memory) decide(b Begin) BeginReply {
	reply := BeginReply{Call: b.Call, Owner: m.cfg.Self, Verdict: Unknown}
	o := &m.owner
	switch {
	case o.draining:
		reply.Reason = ReasonDraining
		return reply
	case o.lapsed, !m.isOwner(b.Key):
		reply.Reason = ReasonNotOwner
		return reply
	}
	r := o.records[b.Key.id()]
	if r != nil && !(r.state == released && !r.accepted) {
		if reuse := m.fromRecord(r, b, &reply); !reuse {
			return reply
		}
		m.begin(r, b)
		reply.Verdict = Run
		return reply
	}
	if r != nil && r.call == b.Call {
		reply.Reason = ReasonUncertain
		return reply
	}
	if !m.mayBeNew(b, &reply) {
		return reply
	}
	if r == nil {
		if len(o.records) >= m.cfg.MaxRecords {
			reply.Reason = ReasonFull
			return reply
		}
		r = &record{}
		o.records[b.Key.id()] = r
	}
	m.begin(r, b)
	reply.Verdict = Run
	return reply
}

// mayBeNew reports whether the key cannot have been used before this owner kept
// records. Otherwise the reply tells the entry host what to check.
func (m *Memory) mayBeNew(b Begin, reply *BeginReply) bool {
	age := m.now.Sub(m.owner.since)
	if age >= m.cfg.Retention || age >= 0 && b.NewSince == m.owner.history {
		return true
	}
	reply.Reason = ReasonRepeat
	reply.History = m.owner.history
	reply.HistoryAge = age
	return false
}

// fromRecord answers from the record and reports whether the call may take over
// the record instead.
func (m *Memory) fromRecord(r *record, b Begin, reply *BeginReply) bool {
	if r.key.Digest != b.Key.Digest {
		reply.Verdict = Mismatch
		return false
	}
	switch r.state {
	case begun:
		reply.Verdict = InProgress
		if r.call == b.Call {
			reply.Verdict = Run
		}
	case completed:
		if r.tooLarge {
			reply.Reason = ReasonNoBody
			return false
		}
		reply.Verdict, reply.Status, reply.Body = Replay, r.status, r.body
	case uncertain:
		reply.Reason = ReasonUncertain
	case released:
		reply.Reason = ReasonUncertain
		return r.call != b.Call
	}
	return false
}

func (m *Memory) begin(r *record, b Begin) {
	*r = record{key: b.Key, call: b.Call, state: begun, accepted: true}
	m.owner.keep(r, m.now.Add(m.cfg.Retention))
}

// keep sets the time until which the record stays as it is.
func (o *owner) keep(r *record, until time.Time) {
	r.until = until
	o.queue = append(o.queue, deadline{id: r.key.id(), until: until})
}

// expire drops records whose time is over. A call that has not ended by then
// becomes uncertain for another retention time.
func (o *owner) expire(now time.Time, retention time.Duration) {
	for len(o.queue) > 0 && !now.Before(o.queue[0].until) {
		d := o.queue[0]
		o.queue = o.queue[1:]
		r := o.records[d.id]
		if r == nil || !r.until.Equal(d.until) {
			continue
		}
		if r.state == begun {
			r.state = uncertain
			o.keep(r, now.Add(retention))
			continue
		}
		delete(o.records, d.id)
	}
}

// callerDead marks the calls that a dead process ran.
func (o *owner) callerDead(p ident.Process, until time.Time) {
	for _, r := range o.records {
		if r.state != begun {
			continue
		}
		if runner, err := r.call.Owner(); err == nil && runner == p {
			r.state = uncertain
			o.keep(r, until)
		}
	}
}

// receiveEnd stores the outcome of a call.
func (m *Memory) receiveEnd(from ident.HostID, e End, res *Result) {
	if m.storeEnd(e) {
		res.send(from, Message{EndAck: &EndAck{Call: e.Call}})
	}
}

// storeEnd reports whether the End needs no repetition.
func (m *Memory) storeEnd(e End) bool {
	if e.Outcome == NotRun && e.Owner != m.cfg.Self {
		return false
	}
	if !m.isOwner(e.Key) || m.owner.draining || m.owner.lapsed {
		return false
	}
	o := &m.owner
	r := o.records[e.Key.id()]
	if r == nil {
		if len(o.records) >= m.cfg.MaxRecords {
			return false
		}
		r = &record{key: e.Key, call: e.Call, state: released}
		o.records[e.Key.id()] = r
		m.end(r, e)
		return true
	}
	switch {
	case r.call == e.Call && (r.state == begun || r.state == uncertain):
		m.end(r, e)
	case r.state == released && e.Outcome != NotRun:
		// The call that ran began at an earlier owner.
		r.key, r.call = e.Key, e.Call
		m.end(r, e)
	}
	return true
}

func (m *Memory) end(r *record, e End) {
	switch e.Outcome {
	case Completed:
		r.state = completed
		r.status, r.body, r.tooLarge = e.Status, e.Body, e.TooLarge
		if len(r.body) > m.cfg.MaxBody {
			r.body, r.tooLarge = nil, true
		}
	case NotRun:
		if r.state != uncertain || r.accepted {
			r.state = released
		}
	default:
		r.state = uncertain
	}
	m.owner.keep(r, m.now.Add(m.cfg.Retention))
}
