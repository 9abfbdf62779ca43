package node

import (
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
)

func (n *Node) serviceArrived(e ServiceArrived) {
	if n.rules == nil {
		n.refuse(e.ID, CodeNotReady, defaultRetryAfter, "this host has no configuration yet")
		return
	}
	route, ok := n.rules.Route(e.Path)
	if !ok {
		n.refuse(e.ID, CodeUnknownRoute, 0, "no rule names this route")
		return
	}
	if !n.admit(e.ID, e.Key, e.Organisation, !route.Open) {
		return
	}
	if !route.Open && !n.rules.Allowed(e.Organisation, route.Service) {
		n.refuse(e.ID, CodeNotAllowed, 0, "the organisation may not use this service")
		return
	}
	r := &request{
		id:      e.ID,
		arrived: n.now,
		phase:   reserving,
		attempt: 1,
		model:   route.Service,
		call:    &serviceCall{route: route, wallTime: e.WallTime},
	}
	if e.IdempotencyKey != "" && !route.Idempotent {
		r.call.key = idempotency.Key{
			Organisation: e.Organisation,
			Route:        route.Path,
			Value:        e.IdempotencyKey,
			Digest:       e.BodyDigest,
		}
	}
	n.requests[e.ID] = r
	if route.Open {
		// Open routes belong to no organisation, so nothing is charged.
		n.claim(r)
		return
	}
	r.key = e.Key
	r.org = e.Organisation
	n.applyLimits(n.limits.Reserve(n.now, e.Organisation, e.ID, int64(route.Cost)))
}

// claim asks the owner of the idempotency key whether the call may run. A call without
// such a key is sent at once.
func (n *Node) claim(r *request) {
	if r.call.key.Value == "" {
		n.callService(r)
		return
	}
	r.phase = claiming
	n.applyIdempotency(n.idempotency.Begin(n.now, r.id, r.call.key, r.call.wallTime))
}

func (n *Node) applyIdempotency(res idempotency.Result) {
	for _, e := range res.Envelopes {
		n.send(e.To, Message{Idempotency: &e.Message})
	}
	for _, d := range res.Decisions {
		n.claimDecided(d)
	}
}

func (n *Node) claimDecided(d idempotency.Decision) {
	r := n.requests[d.Call]
	if r == nil || r.phase != claiming {
		return
	}
	switch d.Verdict {
	case idempotency.Run:
		r.call.claimed = true
		n.callService(r)
	case idempotency.Replay:
		n.emit(Respond{ID: r.id, Stored: true, Status: d.Status, Body: d.Body})
		n.end(r)
	case idempotency.InProgress:
		n.failClaim(r, CodeInProgress, RanUnknown, "a call with this idempotency key is running")
	case idempotency.Mismatch:
		n.failClaim(r, CodeKeyReuse, NotRun, "the idempotency key was used with another body")
	default:
		n.failClaim(r, CodeOutcomeUnknown, RanUnknown, "an earlier call with this idempotency key may have run")
	}
}

// failClaim refuses a call that this host has not sent. Whether the operation ran
// depends on the earlier call with the same idempotency key, not on r.
func (n *Node) failClaim(r *request, code Code, ran Ran, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: defaultRetryAfter, Detail: detail})
	n.end(r)
}

func (n *Node) callService(r *request) {
	if !n.configSync.Ready() {
		// The key may have been withdrawn during a pause; this holds for retries too.
		n.fail(r, CodeNotReady, defaultRetryAfter, "the configuration was not confirmed after a pause of this host")
		return
	}
	backend, ok := n.placer.PickService(n.now, r.model, r.ref(), r.exclude)
	if !ok {
		n.fail(r, CodeNoBackend, defaultRetryAfter, "no replica of the service takes work")
		return
	}
	r.call.backend = backend
	r.phase = calling
	n.emit(CallService{
		Ref:      r.ref(),
		Backend:  backend,
		KeepBody: r.call.claimed,
		Deadline: n.now.Add(n.cfg.ServiceTimeout),
	})
}

func (n *Node) serviceEnded(e ServiceEnded) {
	r := n.current(e.Ref, calling)
	if r == nil {
		return
	}
	if e.Err == nil {
		r.started = true
		n.recordOutcome(r, idempotency.Completed, e.Status, e.Body)
		n.emit(Respond{ID: r.id})
		n.end(r)
		return
	}
	n.serviceFailed(r, e.Err)
}

// serviceFailed retries a call on another replica only if the call did not run or its
// route is idempotent, and the retry budget allows it.
func (n *Node) serviceFailed(r *request, cause *CallError) {
	at := r.call.backend.ID
	if cause.NotRun && !cause.Responded {
		n.applyPlacement(n.placer.Unreachable(n.now, at))
	}
	r.started = r.started || !cause.NotRun
	repeatable := cause.NotRun || r.call.route.Idempotent
	if repeatable && n.retryBudget.Allow(n.now, int(r.attempt)-1) {
		n.stats.Retries++
		n.applyPlacement(n.placer.Release(n.now, r.ref(), 0))
		r.exclude = append(r.exclude, at)
		r.attempt++
		r.phase = claiming
		n.callService(r)
		return
	}
	detail := cause.Error() + " at " + string(at)
	if r.started {
		n.fail(r, CodeOutcomeUnknown, 0, detail)
		return
	}
	r.phase = claiming
	n.fail(r, CodeBackendFailed, defaultRetryAfter, detail)
}

// recordOutcome reports the outcome of a claimed call to the owner of its idempotency
// key.
func (n *Node) recordOutcome(r *request, o idempotency.Outcome, status int, body []byte) {
	if r.call == nil || !r.call.claimed {
		return
	}
	r.call.claimed = false
	n.applyIdempotency(n.idempotency.End(n.now, r.id, o, status, body))
}

// endClaim ends a claim for which no outcome has been recorded.
func (n *Node) endClaim(r *request) {
	if r.ran() == NotRun {
		n.recordOutcome(r, idempotency.NotRun, 0, nil)
		return
	}
	n.recordOutcome(r, idempotency.Uncertain, 0, nil)
}
