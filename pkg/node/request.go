package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// phase is the state of a request.
type phase uint8

const (
	reserving  phase = iota // waits for tokens
	claiming                // waits for the at-most-once owner
	booking                 // waits for engines
	prefilling              // prefill runs
	importing               // KV cache is being transferred
	moving                  // another decode engine is sought for the KV cache
	decoding                // output stream runs
	calling                 // plain service runs
)

// waiting reports whether no backend server has been asked for this attempt.
func (p phase) waiting() bool { return p <= booking }

// request is one request in hand.
type request struct {
	id      ident.RequestID
	key     ident.KeyID // empty on open routes
	org     ident.Organisation
	arrived time.Time
	phase   phase
	attempt ident.Attempt
	avoid   ident.BackendID   // was full a moment ago; not for the next attempt
	retries int               // attempts after a failure; recalls, pauses and full engines do not count
	bounced int               // attempts that an engine refused because it was full or leaving
	exclude []ident.BackendID // failed in earlier attempts
	// started is set once a backend server may have executed a part. From then on
	// the request is never reported as not run.
	started bool

	model        ident.Model
	adapter      ident.Version
	promptTokens int
	maxTokens    int
	prefix       []uint64
	booked       bool
	booking      placement.Booking
	kv           engine.PrefillResult
	kvUntil      time.Time     // end of the KV cache's lifetime at the prefill engine
	moved        bool          // this attempt has changed its decode engine
	version      ident.Version // that decodes or has decoded the answer
	delivered    int           // output tokens that the caller has
	recalling    bool          // the stream is being stopped because of a recall

	heldAt time.Time // since when a pause of the host holds the booking back; zero otherwise

	call *serviceCall // set for plain services
}

// serviceCall is the part of a request that only plain services have.
type serviceCall struct {
	route   ruleset.Route
	key     idempotency.Key // zero without an Idempotency-Key
	wall    time.Time
	claimed bool // the at-most-once owner waits for the end of the call
	backend engine.Info
}

func (r *request) ref() ident.BackendRef {
	return ident.BackendRef{Request: r.id, Attempt: r.attempt}
}

// excluded returns the backend servers that the next attempt must not use.
func (r *request) excluded() []ident.BackendID {
	if r.avoid == "" {
		return r.exclude
	}
	return append(slices.Clone(r.exclude), r.avoid)
}

// ran says truthfully whether the request was executed so far.
func (r *request) ran() Ran {
	switch {
	case r.delivered > 0:
		return DidRun
	case r.started || !r.phase.waiting():
		return RanUnsure
	}
	return NotRun
}

// used is what the organisation is charged: nothing for a request that no
// engine has seen.
func (r *request) used() int64 {
	if r.ran() == NotRun {
		return 0
	}
	if r.call != nil {
		return int64(r.call.route.Cost)
	}
	return int64(r.promptTokens + r.delivered)
}

// current returns the request of a reference if its attempt is the running one
// in the given phase. Any other answer is late and must be dropped.
func (n *Node) current(ref ident.BackendRef, p phase) *request {
	r := n.requests[ref.Request]
	if r == nil || r.attempt != ref.Attempt || r.phase != p {
		n.stats.StaleAnswers++
		return nil
	}
	return r
}

// sortedRequests returns the requests in hand in a fixed order, so that the same
// events give the same effects.
func (n *Node) sortedRequests() []*request {
	out := make([]*request, 0, len(n.requests))
	for _, r := range n.requests {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

func compareProcess(a, b ident.Process) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// refuse ends a request that the node does not hold yet.
func (n *Node) refuse(id ident.RequestID, code Code, retryAfter time.Duration, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: id, Code: code, Ran: NotRun, RetryAfter: retryAfter, Detail: detail})
}

// fail ends a held request with an error at once. A caller is never held back to
// keep it from asking again.
func (n *Node) fail(r *request, code Code, retryAfter time.Duration, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: r.id, Code: code, Ran: r.ran(), RetryAfter: retryAfter, Detail: detail})
	n.end(r)
}

// terminate ends a held request whose work may still run at a backend server.
func (n *Node) terminate(r *request, code Code, detail string) {
	n.stopWork(r)
	n.fail(r, code, 0, detail)
}

// stopWork ends the running call and frees what the engines hold.
func (n *Node) stopWork(r *request) {
	if r.phase.waiting() {
		return
	}
	n.emit(StopCall{Ref: r.ref()})
	n.cancelBooking(r)
}

// cancelBooking frees the memory of both engines of the current attempt.
func (n *Node) cancelBooking(r *request) {
	if !r.booked {
		return
	}
	n.emit(CancelAt{Backend: r.booking.Prefill, Ref: r.ref()})
	if r.phase == importing || r.phase == decoding {
		n.emit(CancelAt{Backend: r.booking.Decode, Ref: r.ref()})
	}
}

// end forgets a request and gives back everything it held.
func (n *Node) end(r *request) {
	delete(n.requests, r.id)
	if r.phase == reserving {
		n.applyLimits(n.limits.Abandon(n.now, r.id))
	} else if r.org != "" {
		n.applyLimits(n.limits.Settle(n.now, r.id, r.used()))
	}
	n.applyPlacement(n.place.Release(n.now, r.ref(), r.delivered))
	n.endClaim(r)
}

func (n *Node) callerGone(e CallerGone) {
	r := n.requests[e.ID]
	if r == nil {
		return
	}
	n.stopWork(r)
	n.end(r)
}
