package idempotency

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// History numbers the periods for which an owner's records are complete. It starts
// at one and increases with each pause, expired lease or change of slots.
type History uint64

// state is what is known about the use of a key.
type state uint8

const (
	begun     state = iota + 1 // a call may be running
	completed                  // the answer is known
	uncertain                  // a call may have run
	released                   // the call named in the record has not run
)

// record holds the state of one key. It names exactly one call at a time.
type record struct {
	key      Key
	call     ident.RequestID
	state    state
	status   int
	body     []byte
	tooLarge bool
	// accepted is false if the record came from an End without a Begin, or if the
	// history has restarted since the Begin. A released record that is not accepted
	// does not rule out earlier calls.
	accepted  bool
	expiresAt time.Time
}

// expiryEntry is an entry of the expiry queue. It is stale if the record's expiresAt
// differs.
type expiryEntry struct {
	id        Key
	expiresAt time.Time
}

// ownerState holds the records of this process's slot.
type ownerState struct {
	records       map[Key]*record
	expiryQueue   []expiryEntry // ascending
	history       History
	completeSince time.Time // no key created later was used before this process could record it
	leaseEnd      time.Time // zero until the first Contact
	leaseExpired  bool      // the lease has ended and was not renewed since
	// uninterrupted is true until the first pause, expired lease or change of slots.
	// Only while it is true can the predecessor's records complete the history.
	uninterrupted bool
	draining      bool
	// superseded is set once a newer process has been seen in the slot.
	superseded bool
	seenInSlot bool // this process has been named as the slot's holder
	displaced  bool // another process was named after it
	// reinstated and slotsChanged are handled by the next call that passes a time.
	reinstated    bool
	slotsChanged  bool
	importedParts map[int]bool // parts received of the predecessor's handover
	predecessor   ident.Process
}

func newOwnerState(cfg Config, now time.Time) ownerState {
	return ownerState{records: map[Key]*record{}, history: 1, completeSince: now.Add(cfg.Quarantine), uninterrupted: true, importedParts: map[int]bool{}}
}

// restartHistory treats every key created before since as a possible repeat.
// Existing records still refuse calls, but no longer prove that a key was unused.
func (o *ownerState) restartHistory(since time.Time) {
	o.history++
	o.completeSince = since
	o.uninterrupted = false
	for _, r := range o.records {
		r.accepted = false
	}
}

// dropRecords restarts the history without any records.
func (o *ownerState) dropRecords(since time.Time) {
	o.restartHistory(since)
	clear(o.records)
	o.expiryQueue = nil
}

// isOwner reports whether this process holds the slot of the key.
func (m *Store) isOwner(k Key) bool {
	s, ok := m.slotOf(k)
	return ok && s == m.cfg.Slot && m.holders[s] == m.cfg.Self && !m.owner.superseded
}

// receiveBegin answers a Begin addressed to this process, whose incarnation the
// sender may not know yet.
func (m *Store) receiveBegin(from ident.HostID, b Begin, res *Result) {
	hostOnly := b.Owner.Host == m.cfg.Self.Host && b.Owner.Incarnation == 0
	if b.Owner != m.cfg.Self && !hostOnly {
		return
	}
	reply := m.decide(b)
	res.send(from, Message{BeginReply: &reply})
}

// decide answers a Begin and records it if the call may run. A resent Begin of the
// call that the record names gets the same answer.
func (m *Store) decide(b Begin) BeginReply {
	reply := BeginReply{Call: b.Call, Owner: m.cfg.Self, Verdict: Unknown}
	o := &m.owner
	switch {
	case o.draining:
		reply.Reason = ReasonDraining
		return reply
	case o.leaseExpired, !m.isOwner(b.Key):
		reply.Reason = ReasonNotOwner
		return reply
	}
	r := o.records[b.Key.id()]
	if r != nil && !(r.state == released && !r.accepted) {
		if reuse := m.answerFromRecord(r, b, &reply); !reuse {
			return reply
		}
		m.recordBegin(r, b)
		reply.Verdict = Run
		return reply
	}
	if r != nil && r.call == b.Call {
		reply.Reason = ReasonUncertain
		return reply
	}
	if !m.isNewKey(b, &reply) {
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
	m.recordBegin(r, b)
	reply.Verdict = Run
	return reply
}

// isNewKey reports whether the key is known not to have been used before this
// owner's history began. Otherwise the reply names the history and its age, so that
// the entry host can check when the key was created.
func (m *Store) isNewKey(b Begin, reply *BeginReply) bool {
	age := m.now.Sub(m.owner.completeSince)
	if age >= m.cfg.Retention || age >= 0 && b.NewSince == m.owner.history {
		return true
	}
	reply.Reason = ReasonRepeat
	reply.History = m.owner.history
	reply.HistoryAge = age
	return false
}

// answerFromRecord fills in the reply from the record. It reports whether the call
// may instead reuse the record and run.
func (m *Store) answerFromRecord(r *record, b Begin, reply *BeginReply) bool {
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

func (m *Store) recordBegin(r *record, b Begin) {
	*r = record{key: b.Key, call: b.Call, state: begun, accepted: true}
	m.owner.setExpiry(r, m.now.Add(m.cfg.Retention))
}

// setExpiry sets the time at which the record expires.
func (o *ownerState) setExpiry(r *record, until time.Time) {
	r.expiresAt = until
	o.expiryQueue = append(o.expiryQueue, expiryEntry{id: r.key.id(), expiresAt: until})
}

// expire drops expired records. A call that has not ended by then becomes uncertain
// for another retention time.
func (o *ownerState) expire(now time.Time, retention time.Duration) {
	for len(o.expiryQueue) > 0 && !now.Before(o.expiryQueue[0].expiresAt) {
		d := o.expiryQueue[0]
		o.expiryQueue = o.expiryQueue[1:]
		r := o.records[d.id]
		if r == nil || !r.expiresAt.Equal(d.expiresAt) {
			continue
		}
		if r.state == begun {
			r.state = uncertain
			o.setExpiry(r, now.Add(retention))
			continue
		}
		delete(o.records, d.id)
	}
}

// markUncertain marks the calls that a dead process was running as uncertain.
func (o *ownerState) markUncertain(p ident.Process, until time.Time) {
	for _, r := range o.records {
		if r.state != begun {
			continue
		}
		if runner, err := r.call.Owner(); err == nil && runner == p {
			r.state = uncertain
			o.setExpiry(r, until)
		}
	}
}

// receiveEnd stores the outcome of a call.
func (m *Store) receiveEnd(from ident.HostID, e End, res *Result) {
	if m.storeEnd(e) {
		res.send(from, Message{EndAck: &EndAck{Call: e.Call}})
	}
}

// storeEnd stores an outcome. It returns false if the End must be resent, here or to
// the next owner.
func (m *Store) storeEnd(e End) bool {
	if e.Outcome == NotRun && e.Owner != m.cfg.Self {
		return false
	}
	if !m.isOwner(e.Key) || m.owner.draining || m.owner.leaseExpired {
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
		m.recordOutcome(r, e)
		return true
	}
	switch {
	case r.call == e.Call && (r.state == begun || r.state == uncertain):
		m.recordOutcome(r, e)
	case r.state == released && e.Outcome != NotRun:
		// An earlier owner recorded the Begin of the call that ran.
		r.key, r.call = e.Key, e.Call
		m.recordOutcome(r, e)
	}
	return true
}

func (m *Store) recordOutcome(r *record, e End) {
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
	m.owner.setExpiry(r, m.now.Add(m.cfg.Retention))
}
