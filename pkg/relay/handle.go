package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
)

// KVHandle names a KV cache at a prefill engine. Engines do not check whose handle they are
// given, and a process that has started again counts its handles anew, so a handle is only
// valid for the process that gave it.
type KVHandle struct {
	Source backends.Target
	Name   string
	Expiry time.Time // zero if the engine's time limit is not known
}

// HandleValid reports whether a handle may be used at a time: it has not expired, the list
// still shows the process that gave it, and its failure domain is not evacuated. It must be checked again when the connection
// over which the handle is sent is there, because that can take as long as a handle lives.
func (r *Relay) HandleValid(now time.Time, source backends.Target, expiry time.Time) bool {
	expired := !expiry.IsZero() && !now.Before(expiry)
	return !expired && r.backends.Current(now, source) && !r.backends.Evacuated(source)
}

// keepHandle keeps the handle of the request's prefill.
func (r *Relay) keepHandle(q *request, name string) {
	q.handle = KVHandle{Source: q.prefillTarget, Name: name}
	if ttl := q.service.Engine.HandleTTL; ttl > 0 {
		// An answer that is read after the deadline of its call, as when this process was
		// suspended, does not tell when the handle was given.
		q.handle.Expiry = earlier(r.now, q.prefillUntil).Add(ttl)
	}
}

// checkPrefill returns the outcome of a prefill. An answer for a prompt of another length is
// not that of the request.
func checkPrefill(q *request, e Prefilled) Outcome {
	if e.Outcome == Succeeded && q.spec.TokensKnown && e.Tokens > 0 && e.Tokens != q.spec.PromptTokens {
		return Lost
	}
	return e.Outcome
}

// dropInvalidHandle lets the decode engine do the prefill itself if the request's handle has
// become invalid. Another prefill would take a retry from the budget.
func (r *Relay) dropInvalidHandle(q *request) {
	if q.localPrefill || r.HandleValid(r.now, q.handle.Source, q.handle.Expiry) {
		return
	}
	r.logRequest(q, "kv_handle", "no longer valid, the decode engine does the prefill")
	q.handle, q.localPrefill = KVHandle{}, true
}

// decodeUnsent goes on with a request whose decode was not sent because its handle had become
// invalid. The engine knows nothing of it, so the reservation still holds.
func (r *Relay) decodeUnsent(q *request) {
	r.logRequest(q, "kv_handle", "no longer valid when it was to be sent, the decode engine does the prefill")
	q.reservation = q.sentHold
	q.keepPermit(q.target)
	r.decodeLocally(q)
}

// releaseHandle releases the request's prefilled KV cache. A server that takes no such calls,
// and one that has started again, has dropped it or will do so by itself.
func (r *Relay) releaseHandle(q *request) {
	h := q.handle
	q.handle = KVHandle{}
	if h.Name != "" && r.takesControlCalls(h.Source) && r.HandleValid(r.now, h.Source, h.Expiry) {
		r.emit(ReleasePrefill{To: h.Source, Handle: h.Name, Expiry: h.Expiry})
	}
}
