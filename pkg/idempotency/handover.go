package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// handoverPart bounds the records in one message, and with MaxBody its size.
	handoverPart = 256
	// handoverRepeat is the time after which a keeper sends a part again.
	handoverRepeat = 500 * time.Millisecond
	// maxKept bounds the slots whose records one host keeps for successors.
	maxKept = 128
)

// keptHandover holds the records of a slot for its next process.
type keptHandover struct {
	from     ident.Process
	parts    map[int]Handover // those not acknowledged
	done     map[int]bool
	at       time.Time     // arrival of the first part
	next     ident.Process // the first process seen in the slot afterwards
	repeatAt time.Time
}

// Drain ends the work for a graceful shutdown: waiting calls are answered as
// unknown, and the records go to a peer of the domain for the slot's next process.
// Calls that run may still end.
func (m *Memory) Drain(now time.Time) Result {
	var res Result
	m.advance(now)
	m.giveUpAll(ReasonDraining, &res)
	if m.owner.draining {
		return res
	}
	m.owner.draining = true
	keeper, ok := m.keeper()
	if !ok || m.owner.lapsed || m.owner.superseded || m.holders[m.cfg.Slot] != m.cfg.Self {
		return res
	}
	parts := slices.Collect(slices.Chunk(m.exportRecords(), handoverPart))
	if len(parts) == 0 {
		parts = [][]Record{nil}
	}
	for i, records := range parts {
		res.send(keeper, Message{Handover: &Handover{
			Slot:       m.cfg.Slot,
			Process:    m.cfg.Self,
			Part:       i,
			Parts:      len(parts),
			HistoryAge: m.now.Sub(m.owner.since),
			Slots:      m.digest,
			Records:    records,
		}})
	}
	return res
}

// keeper returns the peer of the domain that keeps the records of this slot.
func (m *Memory) keeper() (ident.HostID, bool) {
	var hosts []ident.HostID
	for s, p := range m.holders {
		if s.Domain == m.cfg.Slot.Domain && p.Host != m.cfg.Self.Host {
			hosts = append(hosts, p.Host)
		}
	}
	h := ident.Owner("handover/"+string(m.cfg.Self.Host), hosts)
	return h, h != ""
}

func (m *Memory) exportRecords() []Record {
	var out []Record
	for _, id := range m.owner.sortedKeys() {
		r := m.owner.records[id]
		out = append(out, Record{
			Key:      r.key,
			Call:     r.call,
			State:    r.state,
			Accepted: r.accepted,
			Status:   r.status,
			Body:     r.body,
			TooLarge: r.tooLarge,
			Lifetime: r.until.Sub(m.now),
		})
	}
	return out
}

// receiveHandover takes over the records of the predecessor, or keeps them for
// the next process of another slot.
func (m *Memory) receiveHandover(from ident.HostID, h Handover, res *Result) {
	if h.Slot != m.cfg.Slot {
		m.keepHandover(h)
		return
	}
	if h.Process == m.cfg.Self {
		return
	}
	if len(m.slots) == 0 {
		return // the keeper repeats it
	}
	m.takeOver(h)
	res.send(from, Message{HandoverAck: &HandoverAck{Slot: h.Slot, Process: h.Process, Part: h.Part}})
}

// takeOver adds the records of one part. With all parts the history reaches back
// as far as that of the predecessor, unless something has come between.
func (m *Memory) takeOver(h Handover) {
	o := &m.owner
	if o.from == (ident.Process{}) {
		o.from = h.Process
	}
	if !o.pristine || o.draining || o.superseded || o.from != h.Process || o.parts[h.Part] || h.Slots != m.digest {
		return
	}
	if len(o.records)+len(h.Records) > m.cfg.MaxRecords {
		return
	}
	o.parts[h.Part] = true
	for _, x := range h.Records {
		old := o.records[x.Key.id()]
		if old != nil && (old.state != released || old.accepted) {
			continue
		}
		r := &record{key: x.Key, call: x.Call, state: x.State, accepted: x.Accepted, status: x.Status, body: x.Body, tooLarge: x.TooLarge}
		o.records[x.Key.id()] = r
		o.keep(r, m.now.Add(min(x.Lifetime, m.cfg.Retention)))
	}
	if since := m.now.Add(-h.HistoryAge); len(o.parts) == h.Parts && since.Before(o.since) {
		o.since = since
	}
}

// keepHandover stores a part for the slot's next process. It must come before
// that process is seen: later, another one may have come and gone.
func (m *Memory) keepHandover(h Handover) {
	k := m.kept[h.Slot]
	if m.lastHolder[h.Slot] != h.Process && (k == nil || k.from != h.Process) {
		return
	}
	if k != nil && k.from != h.Process {
		k = nil // a later process of the slot shut down as well
	}
	if k == nil {
		if len(m.kept) >= maxKept && m.kept[h.Slot] == nil {
			return
		}
		k = &keptHandover{from: h.Process, parts: map[int]Handover{}, done: map[int]bool{}, at: m.now}
		m.kept[h.Slot] = k
	}
	if !k.done[h.Part] {
		k.parts[h.Part] = h
	}
}

// tickHandovers passes kept records to the next process of their slot. They go to
// the first one only: a second one may follow a process that added records.
func (m *Memory) tickHandovers(res *Result) {
	for _, s := range m.keptSlots() {
		k := m.kept[s]
		holder, ok := m.holders[s]
		if m.now.Sub(k.at) >= m.cfg.Retention {
			delete(m.kept, s)
			continue
		}
		if !ok || holder == k.from {
			continue
		}
		if k.next == (ident.Process{}) {
			k.next = holder
		}
		if k.next != holder {
			delete(m.kept, s)
			continue
		}
		if m.now.Before(k.repeatAt) {
			continue
		}
		k.repeatAt = m.now.Add(handoverRepeat)
		k.send(holder.Host, res)
	}
}

func (k *keptHandover) send(to ident.HostID, res *Result) {
	numbers := make([]int, 0, len(k.parts))
	for n := range k.parts {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		h := k.parts[n]
		res.send(to, Message{Handover: &h})
	}
}

func (m *Memory) receiveHandoverAck(a HandoverAck) {
	k := m.kept[a.Slot]
	if k != nil && k.from == a.Process {
		delete(k.parts, a.Part)
		k.done[a.Part] = true
	}
}

func (m *Memory) keptSlots() []SlotRef {
	slots := make([]SlotRef, 0, len(m.kept))
	for s := range m.kept {
		slots = append(slots, s)
	}
	slices.SortFunc(slots, compareSlots)
	return slots
}

func compareSlots(a, b SlotRef) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Slot, b.Slot))
}

func compareIDs(a, b ident.RequestID) int { return cmp.Compare(a, b) }

func (o *owner) sortedKeys() []Key {
	keys := make([]Key, 0, len(o.records))
	for id := range o.records {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Value, b.Value))
	})
	return keys
}
