package relay

import (
	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// call sends a request to the plain backend server that should answer first.
func (r *Relay) call(q *request) {
	to, ok := r.backends.PickPlain(r.now, backends.Query{
		Service: q.service.Name,
		Stage:   backends.Plain,
		Avoid:   q.avoid,
		Near:    r.cfg.Backends.Domain,
		Unseen:  r.unseen(q.service.Name),
	})
	if !ok && len(q.avoid) > 0 {
		q.avoid = nil
		r.call(q)
		return
	}
	if !ok {
		r.fail(q, NoBackend, comeBackStart)
		return
	}
	q.phase = calling
	q.attempt++
	r.occupy(q, to, backends.Load{Requests: 1})
	r.emit(Call{Attempt: q.base(), Organisation: q.organisation()})
}

// ended handles the end of a call or a decode.
func (r *Relay) ended(e Ended) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt {
		return
	}
	if q.phase == decoding {
		r.decodeEnded(q, e)
		return
	}
	if q.phase == calling {
		r.callEnded(q, e)
	}
}

func (r *Relay) callEnded(q *request, e Ended) {
	r.judge(q.to.ID, e.Outcome, backends.Full)
	r.vacate(q)
	if e.Outcome.ran() {
		q.mayRun = true
		q.sent++
	}
	if e.Outcome != Whole && r.again(q, e) {
		r.logRequest(q, "retry", e.Outcome.String())
		q.avoid = append(q.avoid, q.to.ID)
		r.call(q)
		return
	}
	if e.Outcome == Whole || e.Outcome == Failure {
		r.logRequest(q, "answer", e.Outcome.String())
		r.emit(Deliver{ID: q.id})
		r.finish(q)
		return
	}
	r.giveUp(q, e.Outcome)
}

// again decides whether a call that ended without success is repeated elsewhere.
func (r *Relay) again(q *request, e Ended) bool {
	switch {
	case e.Outcome == Cut || q.started:
		return false
	case e.Outcome == Unsent:
		// Nothing arrived anywhere, so this is no repetition.
		return r.timeLeft(q) && q.attempt <= maxRetries
	case e.Outcome.ran() && (!q.repeatable() || q.sent >= max(1, q.route.MaxAttempts)):
		return false
	case !e.Outcome.ran() && q.attempt >= max(1, q.route.MaxAttempts):
		return false
	}
	return r.mayRepeat(q)
}

// giveUp answers a request whose last call has failed.
func (r *Relay) giveUp(q *request, o Outcome) {
	switch {
	case o == Cut || !r.timeLeft(q):
		r.fail(q, OutOfTime, comeBackSoon)
	case o == Lost || o == Failure:
		r.fail(q, BackendLost, comeBackSoon)
	default:
		r.fail(q, NoBackend, comeBackSoon)
	}
}

// judge tells the directory what a call met at a backend server. refused is what a
// refusal stands for.
func (r *Relay) judge(id ident.BackendID, o Outcome, refused backends.Fault) {
	switch o {
	case Whole:
		r.backends.Succeeded(r.now, id)
	case Failure:
		r.backends.Failed(r.now, id, backends.Failing)
	case NotRun:
		r.backends.Failed(r.now, id, refused)
	case Misdirected:
		r.backends.Failed(r.now, id, backends.Gone)
	case Unsent, Lost:
		r.backends.Failed(r.now, id, backends.Unreachable)
	case Cut:
		// The caller left or its time was over, which says nothing of the server.
		r.backends.Failed(r.now, id, backends.Full)
	}
}
