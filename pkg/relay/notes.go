package relay

import (
	"maps"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
)

// unreachableBody is the body of a note about a backend server that the sender failed to
// reach.
type unreachableBody struct {
	AgeMS int64 `cbor:"1,keyasint,omitempty"` // of the failure when the note was put
}

// leavingBody is the body of a note about a process of a backend server that leaves.
type leavingBody struct {
	StartedAt int64 `cbor:"1,keyasint"` // see backends.Entry
}

// putNote replaces the value of a key of this host for the others.
func (r *Relay) putNote(kind notes.Kind, key string, body any) {
	if err := r.notes.Put(r.now, kind, key, body); err != nil {
		r.log(Decision{Step: "note", Outcome: "not sent", Detail: err.Error()})
	}
}

// putServerNotes puts notes about the servers that this host recently failed to reach, one for
// each failure, and about those that have announced to it that they leave. The latter are put
// again for as long as they are reported, for hosts that have missed them or join.
func (r *Relay) putServerNotes(interval time.Duration) {
	failed := make(map[ident.BackendID]bool)
	for _, d := range r.backends.UnreachableReports(r.now) {
		failed[d.ID] = true
		at := r.now.Add(-d.Age)
		if announced, ok := r.announcedUnreachable[d.ID]; !ok || at.After(announced) {
			r.announcedUnreachable[d.ID] = at
			r.putNote(notes.Unreachable, string(d.ID), unreachableBody{AgeMS: d.Age.Milliseconds()})
		}
	}
	maps.DeleteFunc(r.announcedUnreachable, func(id ident.BackendID, _ time.Time) bool { return !failed[id] })
	leaving := make(map[ident.BackendID]bool)
	for _, l := range r.backends.LeavingReports(r.now) {
		leaving[l.ID] = true
		if announced, ok := r.announcedLeaving[l.ID]; !ok || r.now.Sub(announced) >= leavingRepeat*interval {
			r.announcedLeaving[l.ID] = r.now
			r.putNote(notes.Leaving, string(l.ID), leavingBody{StartedAt: l.StartedAt})
		}
	}
	maps.DeleteFunc(r.announcedLeaving, func(id ident.BackendID, _ time.Time) bool { return !leaving[id] })
}

// leavingRepeat is the number of heartbeat intervals after which a note about a server that
// leaves is put again. Until then it is repeated anyway, see notes.Config.Repeat.
const leavingRepeat = 2

// addOldNotes adds what older programs read in the place of notes, while a host is known that
// has such a program.
func (r *Relay) addOldNotes(m *Message) {
	if r.view.AllKeepNotes() {
		return
	}
	for _, d := range r.backends.UnreachableReports(r.now) {
		m.Unreachable = append(m.Unreachable, UnreachableNote{Backend: d.ID, AgeMS: d.Age.Milliseconds()})
	}
	for _, l := range r.backends.LeavingReports(r.now) {
		m.Leaving = append(m.Leaving, LeavingNote{Backend: l.ID, StartedAt: l.StartedAt})
	}
}

// takeNotes returns the notes for a heartbeat.
func (r *Relay) takeNotes() []notes.Note {
	interval := r.roster.Interval()
	r.putServerNotes(interval)
	perSecond := float64(r.roster.Size()) / interval.Seconds()
	return r.notes.Take(r.now, interval, perSecond)
}

// applyNotes applies the notes in a heartbeat of another host.
func (r *Relay) applyNotes(m Message, restarted bool) {
	from := m.Heartbeat.From.ID
	if restarted {
		r.notes.Forget(from)
	}
	for _, n := range r.notes.Apply(r.now, from, m.Notes) {
		r.applyNote(n)
	}
}

// applyNote passes a note of another host to the part that it belongs to. Kinds that this
// program does not use are ignored, as is a body that cannot be read.
func (r *Relay) applyNote(n notes.Received) {
	switch n.Kind {
	case notes.Unreachable:
		var body unreachableBody
		lifetime := r.cfg.Notes.Kinds[notes.Unreachable].Lifetime
		if r.decodeNote(n, &body) && body.AgeMS >= 0 && body.AgeMS <= lifetime.Milliseconds() {
			age := r.now.Sub(n.At) + time.Duration(body.AgeMS)*time.Millisecond
			r.backends.ApplyReports(r.now, []backends.UnreachableReport{{ID: ident.BackendID(n.Key), Age: age}})
		}
	case notes.Leaving:
		var body leavingBody
		if r.decodeNote(n, &body) {
			r.applyLeaving(n.From, []LeavingNote{{Backend: ident.BackendID(n.Key), StartedAt: body.StartedAt}})
		}
	case notes.Full:
		r.applyRefusal(n)
	case notes.Speed:
		r.applySpeed(n)
	default:
	}
}

// decodeNote decodes the body of a note and reports whether it could.
func (r *Relay) decodeNote(n notes.Received, body any) bool {
	err := n.Decode(body)
	if err != nil {
		r.log(Decision{Step: "note", Peer: n.From, Outcome: "not read", Detail: err.Error()})
	}
	return err == nil
}
