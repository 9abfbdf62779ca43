package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// maxRecordsPerPart limits the records in one message. With MaxBody it also
	// limits the message size.
	maxRecordsPerPart = 256
	// handoverResendInterval is the time after which a storing peer resends parts.
	handoverResendInterval = 500 * time.Millisecond
	// maxStoredHandovers limits the slots for which one host stores records.
	maxStoredHandovers = 128
)

// storedHandover holds the records of a slot until its next process has them.
type storedHandover struct {
	from       ident.Process
	pending    map[int]Handover // parts not yet acknowledged
	acked      map[int]bool
	receivedAt time.Time     // arrival of the first part
	successor  ident.Process // first process seen in the slot after from
	resendAt   time.Time
}

// Drain prepares a graceful shutdown: waiting calls are answered as unknown, and the
// records are sent to a peer of the domain, which passes them to the slot's next
// process. Running calls may still report their end.
func (m *Store) Drain(now time.Time) Result {
	var res Result
	m.advance(now)
	m.giveUpAll(ReasonDraining, &res)
	if m.owner.draining {
		return res
	}
	m.owner.draining = true
	peer, ok := m.handoverPeer()
	if !ok || m.owner.leaseExpired || m.owner.superseded || m.holders[m.cfg.Slot] != m.cfg.Self {
		return res
	}
	parts := slices.Collect(slices.Chunk(m.exportRecords(), maxRecordsPerPart))
	if len(parts) == 0 {
		parts = [][]Record{nil}
	}
	for i, records := range parts {
		res.send(peer, Message{Handover: &Handover{
			Slot:       m.cfg.Slot,
			Process:    m.cfg.Self,
			Part:       i,
			Parts:      len(parts),
			HistoryAge: m.now.Sub(m.owner.completeSince),
			Slots:      m.slotsDigest,
			Records:    records,
		}})
	}
	return res
}

// handoverPeer returns the peer of the domain that stores the records of this slot
// after a shutdown.
func (m *Store) handoverPeer() (ident.HostID, bool) {
	var hosts []ident.HostID
	for s, p := range m.holders {
		if s.Domain == m.cfg.Slot.Domain && p.Host != m.cfg.Self.Host {
			hosts = append(hosts, p.Host)
		}
	}
	h := ident.Owner("handover/"+string(m.cfg.Self.Host), hosts)
	return h, h != ""
}

func (m *Store) exportRecords() []Record {
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
			Lifetime: r.expiresAt.Sub(m.now),
		})
	}
	return out
}

// receiveHandover imports the records of this slot's predecessor, or stores those of
// another slot for that slot's next process.
func (m *Store) receiveHandover(from ident.HostID, h Handover, res *Result) {
	if h.Slot != m.cfg.Slot {
		m.storeHandover(h)
		return
	}
	if h.Process == m.cfg.Self {
		return
	}
	if len(m.slots) == 0 {
		return // the storing peer resends it
	}
	m.importRecords(h)
	res.send(from, Message{HandoverAck: &HandoverAck{Slot: h.Slot, Process: h.Process, Part: h.Part}})
}

// importRecords adds the records of one part. Once all parts are imported, the history
// reaches back as far as the predecessor's. Parts are ignored if the history has been
// interrupted, the list of slots differs or there is no room for the records.
func (m *Store) importRecords(h Handover) {
	o := &m.owner
	if o.predecessor == (ident.Process{}) {
		o.predecessor = h.Process
	}
	if !o.uninterrupted || o.draining || o.superseded || o.predecessor != h.Process || o.importedParts[h.Part] || h.Slots != m.slotsDigest {
		return
	}
	if len(o.records)+len(h.Records) > m.cfg.MaxRecords {
		return
	}
	o.importedParts[h.Part] = true
	for _, x := range h.Records {
		old := o.records[x.Key.id()]
		if old != nil && (old.state != released || old.accepted) {
			continue
		}
		r := &record{key: x.Key, call: x.Call, state: x.State, accepted: x.Accepted, status: x.Status, body: x.Body, tooLarge: x.TooLarge}
		o.records[x.Key.id()] = r
		o.setExpiry(r, m.now.Add(min(x.Lifetime, m.cfg.Retention)))
	}
	if since := m.now.Add(-h.HistoryAge); len(o.importedParts) == h.Parts && since.Before(o.completeSince) {
		o.completeSince = since
	}
}

// storeHandover stores a part for the slot's next process. The first part must arrive
// while the sender is still the last known holder: afterwards, other processes may
// already have held the slot and added records.
func (m *Store) storeHandover(h Handover) {
	k := m.storedHandovers[h.Slot]
	if m.lastHolder[h.Slot] != h.Process && (k == nil || k.from != h.Process) {
		return
	}
	if k != nil && k.from != h.Process {
		k = nil // a later process of the slot has shut down too
	}
	if k == nil {
		if len(m.storedHandovers) >= maxStoredHandovers && m.storedHandovers[h.Slot] == nil {
			return
		}
		k = &storedHandover{from: h.Process, pending: map[int]Handover{}, acked: map[int]bool{}, receivedAt: m.now}
		m.storedHandovers[h.Slot] = k
	}
	if !k.acked[h.Part] {
		k.pending[h.Part] = h
	}
}

// tickHandovers sends stored records to the next process of their slot. Only the
// first successor gets them: with a second one, records that the first successor
// added would be missing.
func (m *Store) tickHandovers(res *Result) {
	for _, s := range m.storedSlots() {
		k := m.storedHandovers[s]
		holder, ok := m.holders[s]
		if m.now.Sub(k.receivedAt) >= m.cfg.Retention {
			delete(m.storedHandovers, s)
			continue
		}
		if !ok || holder == k.from {
			continue
		}
		if k.successor == (ident.Process{}) {
			k.successor = holder
		}
		if k.successor != holder {
			delete(m.storedHandovers, s)
			continue
		}
		if m.now.Before(k.resendAt) {
			continue
		}
		k.resendAt = m.now.Add(handoverResendInterval)
		k.send(holder.Host, res)
	}
}

func (k *storedHandover) send(to ident.HostID, res *Result) {
	numbers := make([]int, 0, len(k.pending))
	for n := range k.pending {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		h := k.pending[n]
		res.send(to, Message{Handover: &h})
	}
}

func (m *Store) receiveHandoverAck(a HandoverAck) {
	k := m.storedHandovers[a.Slot]
	if k != nil && k.from == a.Process {
		delete(k.pending, a.Part)
		k.acked[a.Part] = true
	}
}

func (m *Store) storedSlots() []SlotRef {
	slots := make([]SlotRef, 0, len(m.storedHandovers))
	for s := range m.storedHandovers {
		slots = append(slots, s)
	}
	slices.SortFunc(slots, compareSlots)
	return slots
}

func compareSlots(a, b SlotRef) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Slot, b.Slot))
}

func compareIDs(a, b ident.RequestID) int { return cmp.Compare(a, b) }

func (o *ownerState) sortedKeys() []Key {
	keys := make([]Key, 0, len(o.records))
	for id := range o.records {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Value, b.Value))
	})
	return keys
}
