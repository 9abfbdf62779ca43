package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// serverNoticed applies what a backend server says of itself in an answer.
func (r *Relay) serverNoticed(e ServerNoticed) {
	report := backends.LeavingReport{ID: e.From.ID, StartedAt: e.From.StartedAt}
	if e.Notice.Leaving && r.backends.AnnounceLeaving(r.now, report, true) {
		r.log(Decision{Step: "server_leaving", RequestID: e.RequestID, Backend: e.From.ID, Outcome: "gets no new requests"})
	}
	r.limitNoticed(e)
	if wait := e.Notice.Wait; wait > 0 && r.backends.AskForTime(r.now, e.From.ID, e.From.StartedAt, wait) {
		r.log(Decision{Step: "server_waits", RequestID: e.RequestID, Backend: e.From.ID, Age: wait, Outcome: "gets nothing for the time it asked for"})
	}
}

// refuseUntilAccepting ends a request for which no server is left: at once with the time
// until the first one wants requests again, if all have asked for time.
func (r *Relay) refuseUntilAccepting(q *request, otherwise time.Duration) {
	if r.versionGone(q) {
		r.failGone(q)
		return
	}
	if wait := r.backends.TimeUntilAccepting(r.now, q.service.Name, answeringStage(q.service)); wait > 0 {
		r.fail(q, AskedToWait, r.spread(wait))
		return
	}
	if wait, _ := r.backends.PermitWait(r.now, q.service.Name, answeringStage(q.service)); wait > 0 {
		r.fail(q, NoPermit, r.spread(wait))
		return
	}
	r.fail(q, NoBackend, otherwise)
}

// refuseQueued ends the queued requests of a service if all servers have asked for time.
func (r *Relay) refuseQueued(service ident.Route, qu *queue) {
	wait := r.backends.TimeUntilAccepting(r.now, service, backends.Decode)
	if wait == 0 {
		return
	}
	for _, q := range qu.all() {
		r.fail(q, AskedToWait, r.spread(wait))
	}
}

// redirectDecode picks another decode engine for a request whose engine has asked for time,
// announced that it leaves or been evacuated since it was reserved. If there is none it ends
// the request, or queues it if it is pinned to a version or the engine was evacuated, and
// returns false.
func (r *Relay) redirectDecode(q *request) bool {
	r.logRequest(q, "redirect", "engine takes no new requests")
	load, evacuated := q.load, r.backends.Evacuated(q.target)
	r.releaseDecode(q)
	query := r.decodeQuery(q)
	query.Unlimited = true
	to, ok := r.backends.PickDecode(r.now, query)
	if !ok && evacuated {
		r.requeue(q)
		return false
	}
	if !ok && q.pinned {
		r.release(q)
		r.enqueue(q)
		return false
	}
	if !ok {
		r.refuseUntilAccepting(q, retryAfterSoon)
		return false
	}
	r.addLoad(q, to, load)
	return true
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
