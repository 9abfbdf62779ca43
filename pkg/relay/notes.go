package relay

import (
	"github.com/mulberrystream/mulberrystream/pkg/notes"
)

// takeNotes returns the notes for a heartbeat.
func (r *Relay) takeNotes() []notes.Note {
	interval := r.roster.Interval()
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
// program does not use are ignored.
func (r *Relay) applyNote(n notes.Received) {
	switch n.Kind {
	case notes.Full:
		r.applyRefusal(n)
	case notes.Speed:
		r.applySpeed(n)
	}
}

// putNote queues a note for the other hosts.
func (r *Relay) putNote(kind notes.Kind, key string, body any) {
	if err := r.notes.Put(r.now, kind, key, body); err != nil {
		r.log(Decision{Step: "note", Outcome: err.Error()})
	}
}
