package node

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// shuttingDownRetry is what a caller is told to wait before it asks another
// host, once the load balancer should have noticed that this one leaves.
const shuttingDownRetry = time.Second

// admissible refuses a request that this host must not take, whatever it asks.
func (n *Node) admissible(id ident.RequestID, key ident.KeyID, org ident.Organisation, keyed bool) bool {
	switch {
	case n.drain.closed(n.now) || n.superseded:
		n.refuse(id, CodeShuttingDown, shuttingDownRetry, "this host is shutting down")
	case n.rules == nil || n.hosts.Version() == 0 || !n.conf.Ready():
		n.refuse(id, CodeNotReady, shuttingDownRetry, "this host has no configuration yet")
	case keyed && !n.keyInForce(key, org):
		n.refuse(id, CodeInvalidKey, 0, "the key is unknown or was withdrawn")
	case keyed && n.stale():
		n.refuse(id, CodeStaleConfig, shuttingDownRetry, "the configuration is older than the rules accept")
	default:
		return true
	}
	return false
}

func (n *Node) completionArrived(e CompletionArrived) {
	if !n.admissible(e.ID, e.Key, e.Organisation, true) {
		return
	}
	if _, ok := n.rules.Model(e.Model); !ok {
		n.refuse(e.ID, CodeUnknownModel, 0, "no rule names this model")
		return
	}
	if !n.rules.Allowed(e.Organisation, e.Model) {
		n.refuse(e.ID, CodeNotAllowed, 0, "the organisation may not use this model")
		return
	}
	if len(n.versions(e.Model)) == 0 || n.rules.Recalled(e.Model, "", e.Adapter, "") {
		n.refuse(e.ID, CodeRecalled, 0, "the model version or adapter is recalled")
		return
	}
	n.requests[e.ID] = &request{
		id:           e.ID,
		key:          e.Key,
		org:          e.Organisation,
		arrived:      n.now,
		phase:        reserving,
		attempt:      1,
		model:        e.Model,
		adapter:      e.Adapter,
		promptTokens: e.PromptTokens,
		maxTokens:    e.MaxTokens,
		prefix:       e.Prefix,
	}
	tokens := int64(e.PromptTokens + e.MaxTokens)
	n.applyLimits(n.limits.Reserve(n.now, e.Organisation, e.ID, tokens))
}

func (n *Node) applyLimits(r limits.Result) {
	for _, e := range r.Envelopes {
		n.send(e.To, Message{Limits: &e.Message})
	}
	for _, d := range r.Decisions {
		n.reserved(d)
	}
}

func (n *Node) reserved(d limits.Decision) {
	r := n.requests[d.Request]
	if r == nil || r.phase != reserving {
		n.applyLimits(n.limits.Settle(n.now, d.Request, 0))
		return
	}
	if d.Outcome != limits.Granted {
		code := CodeRateLimited
		if d.Reason == limits.ReasonTooLarge {
			code = CodeTooLarge
		}
		n.fail(r, code, d.RetryAfter, string(d.Reason))
		return
	}
	if r.call != nil {
		n.claim(r)
		return
	}
	n.budget.First(n.now)
	n.book(r)
}

// book asks for engines for the current attempt.
func (n *Node) book(r *request) {
	r.phase = booking
	r.booked = false
	if !n.conf.Ready() {
		if r.heldAt.IsZero() {
			r.heldAt = n.now
		}
		n.holding = true
		return
	}
	r.heldAt = time.Time{}
	versions := n.versionsFor(r)
	if len(versions) == 0 {
		n.fail(r, CodeRecalled, 0, "the version that began this answer is no longer allowed")
		return
	}
	org, _ := n.rules.Organisation(r.org)
	n.applyPlacement(n.place.Book(n.now, placement.Request{
		Ref:          r.ref(),
		Organisation: r.org,
		Weight:       float64(org.Weight),
		Model:        r.model,
		Versions:     versions,
		Adapter:      r.adapter,
		PromptTokens: r.promptTokens,
		MaxTokens:    r.maxTokens,
		Prefix:       r.prefix,
		Offset:       r.delivered,
		Budget:       n.cfg.FirstTokenTarget - n.now.Sub(r.arrived),
		Wait:         org.Prefer == ruleset.Wait,
		Exclude:      r.excluded(),
	}))
	r.avoid = ""
}

// versionsFor returns the versions that may serve a request. An answer that has
// begun is resumed by the version that began it: another one would continue it
// with different text.
func (n *Node) versionsFor(r *request) []ident.Version {
	versions := n.versions(r.model)
	if r.delivered == 0 {
		return versions
	}
	if !slices.Contains(versions, r.version) {
		return nil
	}
	return []ident.Version{r.version}
}

func (n *Node) applyPlacement(p placement.Result) {
	for _, e := range p.Envelopes {
		n.send(e.To, Message{Placement: &e.Message})
	}
	for _, b := range p.Booked {
		n.bookedEngines(b)
	}
	for _, f := range p.Refused {
		n.bookingRefused(f)
	}
	for _, c := range p.Cancels {
		n.emit(CancelAt{Backend: c.Backend, Ref: c.Ref})
	}
}

func (n *Node) bookedEngines(b placement.Booking) {
	r := n.requests[b.Ref.Request]
	wanted := r != nil && r.attempt == b.Ref.Attempt && (r.phase == booking || r.phase == moving)
	if !wanted {
		n.applyPlacement(n.place.Release(n.now, b.Ref, 0))
		return
	}
	r.booking = b
	r.booked = true
	if n.bookingRecalled(r) || !n.conf.Ready() {
		// The owner acted on an older generation than this host, or the host has
		// been paused and does not know yet what is in force.
		if r.phase == moving {
			n.cancelBooking(r)
		}
		n.nextAttempt(r)
		return
	}
	if r.phase == moving {
		n.startImport(r)
		return
	}
	r.phase = prefilling
	n.emit(Prefill{
		Ref:      r.ref(),
		Engine:   b.Prefill,
		Adapter:  r.adapter,
		Resume:   r.delivered,
		Deadline: n.now.Add(n.cfg.PrefillTimeout),
	})
}

func (n *Node) bookingRefused(f placement.Refusal) {
	r := n.requests[f.Ref.Request]
	if r == nil || r.attempt != f.Ref.Attempt || r.call != nil {
		return
	}
	if !r.phase.waiting() {
		n.bookingLost(r, f.Reason)
		return
	}
	code := CodeOverloaded
	switch f.Reason {
	case placement.ReasonNoEngine:
		code = CodeNoBackend
	case placement.ReasonRecalled:
		code = CodeRecalled
	case placement.ReasonLeaseVoid:
		n.nextAttempt(r)
		return
	}
	n.fail(r, code, f.RetryAfter, string(f.Reason))
}

// bookingLost handles the end of a booking whose work already runs. The owner of
// the pool can know of a recall before this host does. Otherwise the work goes
// on: if the engine has dropped it meanwhile, its call fails and is resumed.
func (n *Node) bookingLost(r *request, reason placement.Reason) {
	if r.phase == moving {
		n.attemptFailed(r, errNoMove, r.booking.Decode)
		return
	}
	if reason == placement.ReasonRecalled {
		n.recall(r)
	}
}

// owns tells a pool owner whether an attempt still belongs to this host, so that
// engine memory without an owner can be freed.
func (n *Node) owns(ref ident.BackendRef) bool {
	r := n.requests[ref.Request]
	return r != nil && r.attempt == ref.Attempt
}

func (n *Node) prefillEnded(e PrefillEnded) {
	r := n.current(e.Ref, prefilling)
	if r == nil {
		return
	}
	if e.Err != nil {
		n.attemptFailed(r, e.Err, r.booking.Prefill)
		return
	}
	r.started = true
	if n.heldBack(r) {
		return
	}
	n.applyPlacement(n.place.PrefillDone(n.now, r.ref()))
	r.kv = e.Result
	r.kvUntil = n.now.Add(n.kvLifetime(e.Result.Lifetime))
	n.startImport(r)
}

func (n *Node) importEnded(e ImportEnded) {
	r := n.current(e.Ref, importing)
	if r == nil {
		return
	}
	if e.Err != nil {
		if !n.moveTransfer(r, e.Err) {
			n.attemptFailed(r, e.Err, r.booking.Decode)
		}
		return
	}
	if n.heldBack(r) {
		return
	}
	r.phase = decoding
	r.version = r.booking.Decode.Version
	n.emit(Decode{
		Ref:       r.ref(),
		Engine:    r.booking.Decode,
		Offset:    r.delivered,
		MaxTokens: r.maxTokens,
		Deadline:  n.now.Add(n.cfg.DecodeStart),
	})
}

func (n *Node) decodeStarted(e DecodeStarted) {
	r := n.current(e.Ref, decoding)
	if r == nil {
		return
	}
	r.delivered = max(r.delivered, 1)
}

func (n *Node) decodeEnded(e DecodeEnded) {
	r := n.current(e.Ref, decoding)
	if r == nil {
		return
	}
	r.delivered = max(r.delivered, e.Delivered)
	switch {
	case e.Err == nil:
		// The prefill engine dropped the KV cache when it had exported it.
		n.emit(Complete{ID: r.id})
		n.end(r)
	case r.recalling && r.delivered > 0:
		n.cancelBooking(r)
		n.fail(r, CodeRecalled, 0, "the engines of this answer were recalled")
	case r.recalling:
		n.cancelBooking(r)
		n.nextAttempt(r)
	default:
		n.attemptFailed(r, e.Err, r.booking.Decode)
	}
}

// recall takes a request off recalled engines. Output of a faulty part must not
// be completed, so a stream that has begun is broken; otherwise the request
// starts again on an allowed version. A running decode is stopped first, because
// only its end tells whether the caller has got a token.
func (n *Node) recall(r *request) {
	if r.recalling {
		return
	}
	if r.phase == decoding {
		r.recalling = true
		n.emit(StopCall{Ref: r.ref()})
		return
	}
	n.stopWork(r)
	r.started = r.started || !r.phase.waiting()
	n.nextAttempt(r)
}

// attemptFailed tries again elsewhere if the retry budget allows it.
func (n *Node) attemptFailed(r *request, cause *CallError, at engine.Info) {
	r.started = r.started || !cause.NotRun
	n.cancelBooking(r)
	if !cause.Alive {
		n.applyPlacement(n.place.Unreachable(n.now, at.ID))
	}
	// No call runs any more, so only earlier work counts as started.
	r.phase = booking
	if cause.NotRun && cause.Alive && r.bounced < maxBounces {
		// The engine did nothing, so another booking adds no load to it. The retry
		// budget is for work that is done twice.
		r.bounced++
		r.avoid = at.ID
		n.nextAttempt(r)
		return
	}
	r.exclude = append(r.exclude, at.ID)
	if !n.budget.Allow(n.now, r.retries) {
		n.fail(r, CodeBackendFailed, shuttingDownRetry, cause.Error()+" at "+string(at.ID))
		return
	}
	r.retries++
	n.stats.Retries++
	n.nextAttempt(r)
}

// holdLimit bounds how long a request waits for the configuration to be confirmed
// after a pause. Confirmation takes up to 2 s with one of peers and platform.
const holdLimit = 5 * time.Second

// heldBack gives up the engines of an attempt whose next step would begin before
// the configuration is confirmed after a pause. The key may have been withdrawn or
// the engines recalled meanwhile.
func (n *Node) heldBack(r *request) bool {
	if n.conf.Ready() {
		return false
	}
	n.cancelBooking(r)
	n.nextAttempt(r)
	return true
}

// bookHeld goes on with the requests that a pause has held back.
func (n *Node) bookHeld() {
	if !n.holding {
		return
	}
	n.holding = !n.conf.Ready()
	for _, r := range n.sortedRequests() {
		switch {
		case r.heldAt.IsZero():
		case n.conf.Ready():
			n.book(r)
		case n.now.Sub(r.heldAt) >= holdLimit:
			n.fail(r, CodeNotReady, shuttingDownRetry, "the configuration was not confirmed after a pause of this host")
		}
	}
}

// maxBounces bounds how often a request is booked again because an engine was
// full or leaving.
const maxBounces = 8

// nextAttempt books again under a new attempt number, so that answers of the
// old attempt are dropped.
func (n *Node) nextAttempt(r *request) {
	n.applyPlacement(n.place.Release(n.now, r.ref(), r.delivered))
	r.attempt++
	r.recalling = false
	r.moved = false
	r.phase = booking
	if len(n.versions(r.model)) == 0 {
		n.fail(r, CodeRecalled, 0, "all versions of the model are recalled")
		return
	}
	n.book(r)
}
