package relay

import (
	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// callPlain sends a request to the plain backend server that is expected to answer
// first.
func (r *Relay) callPlain(q *request) {
	if r.quarantined(q) || r.refuseOutlasting(q) {
		return
	}
	to, ok := r.backends.PickPlain(r.now, backends.Query{
		Service:         q.service.Name,
		Stage:           backends.Plain,
		Exclude:         q.avoid,
		PreferredDomain: r.cfg.Backends.Domain,
		Allowed:         q.allowed,
		UnseenRequests:  r.unreportedRequests(q.service.Name),
	})
	if !ok && len(q.avoid) > 0 {
		q.avoid = nil
		r.callPlain(q)
		return
	}
	if !ok {
		r.refuseUntilAccepting(q, retryAfterStartup)
		return
	}
	switch r.acquirePermit(q, to, func(granted bool) { r.permitForPlain(q, to, granted) }) {
	case serverlimit.Granted:
		r.sendPlain(q, to)
	case serverlimit.Denied:
		r.callPlain(q)
	}
}

// permitForPlain goes on with a request to a limited server after its ask was answered.
func (r *Relay) permitForPlain(q *request, to backends.Target, granted bool) {
	switch {
	case !granted || !r.backends.Accepts(r.now, to):
		r.callPlain(q)
	case !r.quarantined(q) && !r.refuseOutlasting(q):
		r.sendPlain(q, to)
	}
}

func (r *Relay) sendPlain(q *request, to backends.Target) {
	q.phase = calling
	q.attempt++
	q.usePermit(to)
	r.addLoad(q, to, backends.Load{Requests: 1})
	q.callsPerSlot = r.callsPerSlot(to.ID)
	r.emit(Call{Attempt: q.attemptInfo(), Organisation: q.organisation()})
}

// callEnded handles the end of a call to a plain backend server or of a decode.
func (r *Relay) callEnded(e CallEnded) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt {
		return
	}
	if q.phase == decoding {
		r.decodeEnded(q, e)
		return
	}
	if q.phase == calling {
		r.plainCallEnded(q, e)
	}
}

func (r *Relay) plainCallEnded(q *request, e CallEnded) {
	q.serverLost = q.serverLost || e.Outcome == Lost
	r.recordOutcome(q.target.ID, e.Outcome, backends.Full)
	r.recordParts(q, e)
	r.recordCallSpeed(q, e)
	r.release(q)
	if e.Outcome.ran() {
		q.mayHaveRun = true
		q.runs++
	}
	if e.Outcome != Succeeded && r.shouldRetry(q, e) {
		r.logRequest(q, "retry", e.Outcome.String())
		q.avoid = append(q.avoid, q.target.ID)
		r.callPlain(q)
		return
	}
	if e.Outcome == Succeeded || e.Outcome == Failure {
		r.deliver(q, e)
		return
	}
	r.failAfterCall(q, e.Outcome)
}

// shouldRetry decides whether an unsuccessful call is retried at another server, and
// takes the retry from the budget.
func (r *Relay) shouldRetry(q *request, e CallEnded) bool {
	switch {
	case e.Outcome == Aborted || q.started || q.crashes >= maxCrashes:
		return false
	case e.Outcome == Unsent:
		// Nothing was sent, so the retry is not charged to the budget.
		return r.hasTimeLeft(q) && q.attempt <= maxRetries
	case e.Outcome.ran() && (!q.retryable() || q.runs >= max(1, q.route.MaxAttempts)):
		return false
	case !e.Outcome.ran() && q.attempt >= max(1, q.route.MaxAttempts):
		return false
	}
	return r.takeRetry(q)
}

// failAfterCall answers a request whose last call has failed.
func (r *Relay) failAfterCall(q *request, o Outcome) {
	switch {
	case r.drainOver():
		r.fail(q, Stopping, retryAfterSoon)
	case o == Aborted || !r.hasTimeLeft(q):
		r.fail(q, OutOfTime, retryAfterSoon)
	case o == Lost || o == Failure:
		r.fail(q, BackendLost, retryAfterSoon)
	default:
		r.refuseUntilAccepting(q, retryAfterSoon)
	}
}

// recordOutcome reports the outcome of a call to the directory of backend servers.
// refused is the fault that a refusal by the server indicates.
func (r *Relay) recordOutcome(id ident.BackendID, o Outcome, refused backends.Fault) {
	if e, ok := r.backends.Entry(id); ok && o == Unsent && r.evacuations.Evacuated(e.Domain) {
		return // it was held back, which says nothing of the server
	}
	switch o {
	case Succeeded:
		r.backends.Succeeded(r.now, id)
	case Failure:
		r.backends.Failed(r.now, id, backends.ErrorResponse)
	case NotRun:
		r.backends.Failed(r.now, id, refused)
	case Misdirected:
		r.backends.Failed(r.now, id, backends.WrongProcess)
	case Unsent, Lost:
		r.backends.Failed(r.now, id, backends.Unreachable)
	case Aborted:
		// The caller disconnected or its deadline passed, which is no fault of the server.
		r.backends.Failed(r.now, id, backends.Full)
	}
}
