package relay

import (
	"fmt"
	"net/http"
)

// promisesNotRun reports whether a status tells a caller that its request has not run and will
// not run, so that the caller may send it again whatever it does.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver answers a request with the answer of its server, which has run it. A failure whose
// status promises the opposite is replaced, since callers would send the request again.
func (r *Relay) deliver(q *request, e CallEnded) {
	if promisesNotRun(e.Status) {
		r.logRequest(q, "unproven_refusal", fmt.Sprintf("status %d without a statement that the request has not run", e.Status))
		r.fail(q, UnprovenRefusal, retryAfterSoon)
		return
	}
	r.logRequest(q, "answer", e.Outcome.String())
	r.emit(Deliver{ID: q.id})
	r.finish(q)
}
