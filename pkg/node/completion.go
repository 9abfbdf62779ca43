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

// defaultRetryAfter is the delay after which a caller is told to retry. By then the
// load balancer should have noticed if this host is leaving, and pass the caller to
// another one.
const defaultRetryAfter = time.Second

// admit makes the checks that do not depend on what is requested, and returns false
// if it has refused the request. keyed is set if the request needs a key.
func (n *Node) admit(id ident.RequestID, key ident.KeyID, org ident.Organisation, keyed bool) bool {
	switch {
	case n.drain.closed(n.now) || n.superseded:
		n.refuse(id, CodeShuttingDown, defaultRetryAfter, "this host is shutting down")
	case n.rules == nil || n.hosts.Version() == 0 || !n.configSync.Ready():
		n.refuse(id, CodeNotReady, defaultRetryAfter, "this host has no configuration yet")
	case keyed && !n.keyInForce(key, org):
		n.refuse(id, CodeInvalidKey, 0, "the key is unknown or was withdrawn")
	case keyed && n.stale():
		n.refuse(id, CodeStaleConfig, defaultRetryAfter, "the configuration is older than the rules accept")
	default:
		return true
	}
	return false
}

func (n *Node) completionArrived(e CompletionArrived) {
	if !n.admit(e.ID, e.Key, e.Organisation, true) {
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
		n.reservationDecided(d)
	}
}

func (n *Node) reservationDecided(d limits.Decision) {
	r := n.requests[d.Request]
	if r == nil || r.phase != reserving {
		n.applyLimits(n.limits.Settle(n.now, d.Request, 0))
		return
	}
	if d.Outcome != limits.Granted {
		code := CodeRateLimited
		if d.Reason == limits.ReasonTooLarge {
			code = CodeAboveBurst
		}
		n.fail(r, code, d.RetryAfter, string(d.Reason))
		return
	}
	if r.call != nil {
		n.claim(r)
		return
	}
	n.retryBudget.RecordFirst(n.now)
	n.book(r)
}

// book asks the placer for engines for the current attempt. The booking is deferred
// while the configuration is unconfirmed.
func (n *Node) book(r *request) {
	r.phase = booking
	r.booked = false
	if !n.configSync.Ready() {
		if r.deferredSince.IsZero() {
			r.deferredSince = n.now
		}
		n.hasDeferred = true
		return
	}
	r.deferredSince = time.Time{}
	versions := n.versionsFor(r)
	if len(versions) == 0 {
		n.fail(r, CodeRecalled, 0, "the version that began this answer is no longer allowed")
		return
	}
	org, _ := n.rules.Organisation(r.org)
	n.applyPlacement(n.placer.Book(n.now, placement.Request{
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
	r.excludeOnce = ""
}

// versionsFor returns the versions that may serve a request. Once the caller has
// received a token, that is only the version that generated it: another one would
// continue the answer with different text.
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
		n.bookingGranted(b)
	}
	for _, f := range p.Refused {
		n.bookingRefused(f)
	}
	for _, c := range p.Cancels {
		n.emit(CancelBackend{Backend: c.Backend, Ref: c.Ref})
	}
}

func (n *Node) bookingGranted(b placement.Booking) {
	r := n.requests[b.Ref.Request]
	wanted := r != nil && r.attempt == b.Ref.Attempt && (r.phase == booking || r.phase == moving)
	if !wanted {
		n.applyPlacement(n.placer.Release(n.now, b.Ref, 0))
		return
	}
	r.booking = b
	r.booked = true
	if n.bookingRecalled(r) || !n.configSync.Ready() {
		// The pool owner acted on an older generation than this host, or this host was
		// paused and has not confirmed its configuration yet.
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

// bookingLost handles a booking that the pool owner ends while its work runs. The
// owner may have learned of a recall before this host has. After any other reason
// the work continues: if the engine has dropped it, its call fails and is resumed.
func (n *Node) bookingLost(r *request, reason placement.Reason) {
	if r.phase == moving {
		n.attemptFailed(r, errNoOtherDecodeEngine, r.booking.Decode)
		return
	}
	if reason == placement.ReasonRecalled {
		n.recall(r)
	}
}

// owns reports whether an attempt is the current one of a request of this host. The
// placer frees engine memory held for attempts that no host owns.
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
	if n.deferIfUnconfirmed(r) {
		return
	}
	n.applyPlacement(n.placer.PrefillDone(n.now, r.ref()))
	r.kv = e.Result
	r.kvExpiresAt = n.now.Add(n.kvLifetime(e.Result.Lifetime))
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
	if n.deferIfUnconfirmed(r) {
		return
	}
	r.phase = decoding
	r.version = r.booking.Decode.Version
	n.emit(Decode{
		Ref:       r.ref(),
		Engine:    r.booking.Decode,
		Offset:    r.delivered,
		MaxTokens: r.maxTokens,
		Deadline:  n.now.Add(n.cfg.DecodeStartTimeout),
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
		// The prefill engine has dropped the KV cache after its export, so no cancel
		// is needed.
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

// recall stops the work of a request on recalled engines. Output of a faulty engine or
// version must not be completed, so a started stream is aborted; otherwise the request
// is retried on an allowed version. A running decode is stopped first, because only
// its outcome tells whether the caller has received a token.
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

// attemptFailed retries a request on other engines if the retry budget allows it.
func (n *Node) attemptFailed(r *request, cause *CallError, at engine.Info) {
	r.started = r.started || !cause.NotRun
	n.cancelBooking(r)
	if !cause.Responded {
		n.applyPlacement(n.placer.Unreachable(n.now, at.ID))
	}
	// No call is running, so from here on only r.started tells whether one ran.
	r.phase = booking
	if cause.NotRun && cause.Responded && r.rejections < maxRejections {
		// The engine did no work, so this attempt is not charged to the retry budget,
		// which limits work that is done twice.
		r.rejections++
		r.excludeOnce = at.ID
		n.nextAttempt(r)
		return
	}
	r.exclude = append(r.exclude, at.ID)
	if !n.retryBudget.Allow(n.now, r.retries) {
		n.fail(r, CodeBackendFailed, defaultRetryAfter, cause.Error()+" at "+string(at.ID))
		return
	}
	r.retries++
	n.stats.Retries++
	n.nextAttempt(r)
}

// maxDeferral bounds how long a request waits for the configuration to be confirmed
// after a pause. Confirmation takes up to 2 s if either the peers or the platform
// can be reached.
const maxDeferral = 5 * time.Second

// deferIfUnconfirmed gives up an attempt and defers the next one if the configuration
// has not been confirmed since a pause: the key may have been withdrawn or the engines
// recalled meanwhile. It reports whether it has done so.
func (n *Node) deferIfUnconfirmed(r *request) bool {
	if n.configSync.Ready() {
		return false
	}
	n.cancelBooking(r)
	n.nextAttempt(r)
	return true
}

// bookDeferred books engines for the deferred requests once the configuration is
// confirmed, and refuses those that have waited too long.
func (n *Node) bookDeferred() {
	if !n.hasDeferred {
		return
	}
	n.hasDeferred = !n.configSync.Ready()
	for _, r := range n.sortedRequests() {
		switch {
		case r.deferredSince.IsZero():
		case n.configSync.Ready():
			n.book(r)
		case n.now.Sub(r.deferredSince) >= maxDeferral:
			n.fail(r, CodeNotReady, defaultRetryAfter, "the configuration was not confirmed after a pause of this host")
		}
	}
}

// maxRejections bounds how often a request is booked again at no charge to the retry
// budget because an engine was full or leaving.
const maxRejections = 8

// nextAttempt books engines under a new attempt number, so that late outcomes of the
// previous attempt are dropped.
func (n *Node) nextAttempt(r *request) {
	n.applyPlacement(n.placer.Release(n.now, r.ref(), r.delivered))
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
