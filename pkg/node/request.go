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
	reserving  phase = iota // waits for tokens of the organisation's rate limit
	claiming                // waits for the owner of the idempotency key
	booking                 // waits for engines
	prefilling              // prefill runs
	importing               // KV cache is being transferred
	moving                  // waits for another decode engine to transfer the KV cache to
	decoding                // output stream runs
	calling                 // plain service runs
)

// waiting reports whether no backend server has been asked for this attempt.
func (p phase) waiting() bool { return p <= booking }

// request is the state of a request that has not ended.
type request struct {
	id          ident.RequestID
	key         ident.KeyID // empty on open routes
	org         ident.Organisation
	arrived     time.Time
	phase       phase
	attempt     ident.Attempt
	excludeOnce ident.BackendID   // full or leaving; excluded from the next attempt only
	retries     int               // retries after a failure; recalls, pauses and full engines do not count
	rejections  int               // attempts that an engine rejected because it was full or leaving
	exclude     []ident.BackendID // failed in earlier attempts
	// started is set once a backend server may have executed a part of the request,
	// which is never reported as not run from then on.
	started bool

	model        ident.Model
	adapter      ident.Version
	promptTokens int
	maxTokens    int
	prefix       []uint64
	booked       bool
	booking      placement.Booking
	kv           engine.PrefillResult
	kvExpiresAt  time.Time     // end of the KV cache's lifetime at the prefill engine
	moved        bool          // the transfer of this attempt has been moved to another decode engine
	version      ident.Version // version of the latest decode engine
	delivered    int           // output tokens that the caller has received
	recalling    bool          // the decode call is being stopped because of a recall

	deferredSince time.Time // start of the wait for a confirmed configuration; zero if not waiting

	call *serviceCall // set for plain services
}

// serviceCall is the additional state of a call to a plain service.
type serviceCall struct {
	route    ruleset.Route
	key      idempotency.Key // zero without an Idempotency-Key
	wallTime time.Time
	claimed  bool // the owner of the idempotency key waits for the outcome
	backend  engine.Info
}

func (r *request) ref() ident.BackendRef {
	return ident.BackendRef{Request: r.id, Attempt: r.attempt}
}

// excluded returns the backend servers that the next booking must not use.
func (r *request) excluded() []ident.BackendID {
	if r.excludeOnce == "" {
		return r.exclude
	}
	return append(slices.Clone(r.exclude), r.excludeOnce)
}

// ran returns whether the request has been executed, as far as this host can know.
func (r *request) ran() Ran {
	switch {
	case r.delivered > 0:
		return DidRun
	case r.started || !r.phase.waiting():
		return RanUnknown
	}
	return NotRun
}

// charge returns the tokens that the organisation is charged: none for a request
// that no backend server can have started.
func (r *request) charge() int64 {
	if r.ran() == NotRun {
		return 0
	}
	if r.call != nil {
		return int64(r.call.route.Cost)
	}
	return int64(r.promptTokens + r.delivered)
}

// current returns the request of a call's outcome, or nil if the request has ended, is
// in another attempt or in another phase. The outcome is then late and must be dropped.
func (n *Node) current(ref ident.BackendRef, p phase) *request {
	r := n.requests[ref.Request]
	if r == nil || r.attempt != ref.Attempt || r.phase != p {
		n.stats.StaleAnswers++
		return nil
	}
	return r
}

// sortedRequests returns the active requests in a fixed order, so that the same events
// give the same effects.
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

// refuse ends a request that has no entry in n.requests.
func (n *Node) refuse(id ident.RequestID, code Code, retryAfter time.Duration, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: id, Code: code, Ran: NotRun, RetryAfter: retryAfter, Detail: detail})
}

// fail ends an active request with an error at once. The answer is never delayed to
// slow down the caller's retries.
func (n *Node) fail(r *request, code Code, retryAfter time.Duration, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: r.id, Code: code, Ran: r.ran(), RetryAfter: retryAfter, Detail: detail})
	n.end(r)
}

// terminate ends an active request whose work may still run at a backend server.
func (n *Node) terminate(r *request, code Code, detail string) {
	n.stopWork(r)
	n.fail(r, code, 0, detail)
}

// stopWork stops the running call and frees what the engines hold for it.
func (n *Node) stopWork(r *request) {
	if r.phase.waiting() {
		return
	}
	n.emit(StopCall{Ref: r.ref()})
	n.cancelBooking(r)
}

// cancelBooking frees what the engines hold for the current attempt. The decode
// engine holds something only from the transfer on.
func (n *Node) cancelBooking(r *request) {
	if !r.booked {
		return
	}
	n.emit(CancelBackend{Backend: r.booking.Prefill, Ref: r.ref()})
	if r.phase == importing || r.phase == decoding {
		n.emit(CancelBackend{Backend: r.booking.Decode, Ref: r.ref()})
	}
}

// end removes a request, settles its charge and releases its booking and its claim
// of the idempotency key.
func (n *Node) end(r *request) {
	delete(n.requests, r.id)
	if r.phase == reserving {
		n.applyLimits(n.limits.Abandon(n.now, r.id))
	} else if r.org != "" {
		n.applyLimits(n.limits.Settle(n.now, r.id, r.charge()))
	}
	n.applyPlacement(n.placer.Release(n.now, r.ref(), r.delivered))
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
