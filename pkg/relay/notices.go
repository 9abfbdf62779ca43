package relay

import (
	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// serverNoticed applies what a backend server says of itself in an answer.
func (r *Relay) serverNoticed(e ServerNoticed) {
	report := backends.LeavingReport{ID: e.From.ID, StartedAt: e.From.StartedAt}
	if e.Notice.Leaving && r.backends.AnnounceLeaving(r.now, report, true) {
		r.log(Decision{Step: "server_leaving", RequestID: e.RequestID, Backend: e.From.ID, Outcome: "gets no new requests"})
	}
}

// applyLeaving applies the announcements that another host has heard. The list has them
// too, but later or, while the store is down, not at all, and a host of a large fleet asks
// a given server too seldom to hear them itself.
func (r *Relay) applyLeaving(from ident.HostID, notes []LeavingNote) {
	for _, n := range notes {
		if r.backends.AnnounceLeaving(r.now, backends.LeavingReport{ID: n.Backend, StartedAt: n.StartedAt}, false) {
			r.log(Decision{Step: "server_leaving", Peer: from, Backend: n.Backend, Outcome: "gets no new requests"})
		}
	}
}
