package node

import (
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
)

func (n *Node) serviceArrived(e ServiceArrived) {
	if n.rules == nil {
		n.refuse(e.ID, CodeNotReady, shuttingDownRetry, "this host has no configuration yet")
		return
	}
	route, ok := n.rules.Route(e.Path)
	if !ok {
		n.refuse(e.ID, CodeUnknownRoute, 0, "no rule names this route")
		return
	}
	if !n.admissible(e.ID, e.Key, e.Organisation, !route.Open) {
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
		call:    &serviceCall{route: route, wall: e.Wall},
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

// claim asks the at-most-once owner whether a call with this key may run.
func (n *Node) claim(r *request) {
	if r.call.key.Value == "" {
		n.callService(r)
		return
	}
	r.phase = claiming
	n.applyOnce(n.once.Begin(n.now, r.id, r.call.key, r.call.wall))
}

func (n *Node) applyOnce(res idempotency.Result) {
	for _, e := range res.Envelopes {
		n.send(e.To, Message{Idempotency: &e.Message})
	}
	for _, d := range res.Decisions {
		n.claimed(d)
	}
}

func (n *Node) claimed(d idempotency.Decision) {
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
		n.failClaim(r, CodeInProgress, RanUnsure, "a call with this idempotency key is running")
	case idempotency.Mismatch:
		n.failClaim(r, CodeKeyReuse, NotRun, "the idempotency key was used with another body")
	default:
		n.failClaim(r, CodeOutcomeUnknown, RanUnsure, "an earlier call with this idempotency key may have run")
	}
}

// failClaim refuses a call that this host has not sent. The earlier call with the
// same key decides whether the operation ran.
func (n *Node) failClaim(r *request, code Code, ran Ran, detail string) {
	n.stats.Refused[code]++
	n.emit(Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: shuttingDownRetry, Detail: detail})
	n.end(r)
}

func (n *Node) callService(r *request) {
	if !n.conf.Ready() {
		// After a pause the key may have been withdrawn, also for a repeated call.
		n.fail(r, CodeNotReady, shuttingDownRetry, "the configuration was not confirmed after a pause of this host")
		return
	}
	backend, ok := n.place.PickService(n.now, r.model, r.ref(), r.exclude)
	if !ok {
		n.fail(r, CodeNoBackend, shuttingDownRetry, "no replica of the service takes work")
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

// serviceFailed tries another replica only when that cannot execute the call
// twice.
func (n *Node) serviceFailed(r *request, cause *CallError) {
	at := r.call.backend.ID
	if cause.NotRun && !cause.Alive {
		n.applyPlacement(n.place.Unreachable(n.now, at))
	}
	r.started = r.started || !cause.NotRun
	repeatable := cause.NotRun || r.call.route.Idempotent
	if repeatable && n.budget.Allow(n.now, int(r.attempt)-1) {
		n.stats.Retries++
		n.applyPlacement(n.place.Release(n.now, r.ref(), 0))
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
	n.fail(r, CodeBackendFailed, shuttingDownRetry, detail)
}

// recordOutcome tells the at-most-once owner how a claimed call ended.
func (n *Node) recordOutcome(r *request, o idempotency.Outcome, status int, body []byte) {
	if r.call == nil || !r.call.claimed {
		return
	}
	r.call.claimed = false
	n.applyOnce(n.once.End(n.now, r.id, o, status, body))
}

// endClaim settles a claim whose call has not reported an outcome.
func (n *Node) endClaim(r *request) {
	if r.ran() == NotRun {
		n.recordOutcome(r, idempotency.NotRun, 0, nil)
		return
	}
	n.recordOutcome(r, idempotency.Uncertain, 0, nil)
}
