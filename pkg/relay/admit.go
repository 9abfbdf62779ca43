package relay

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
)

// maxRequestTime bounds the time of a request. It is the deadline of callers that state
// none on routes without a timeout.
const maxRequestTime = 60 * time.Second

// arrived admits or refuses a new request.
func (r *Relay) arrived(e Arrived) {
	q := &request{id: e.ID, spec: e.Spec, arrived: r.now}
	status, reason, retryAfter := r.admit(q)
	if status != 0 {
		r.logRequest(q, "admit", string(reason))
		r.emit(Refuse{ID: e.ID, Status: status, RetryAfter: retryAfter, Reason: reason})
		return
	}
	r.requests[q.id] = q
	r.budget(q.service.Name).RecordFirst(r.now)
	r.admissionRate(q.service.Name).add(r.now, 1)
	if q.service.Engine == nil {
		r.callPlain(q)
		return
	}
	q.expectedOutput = r.predictor.ExpectedOutput(q.route.Name, q.spec.MaxOutputTokens, q.spec.OutputHint)
	if !q.spec.Resumes && r.hopeless(q) { // the output that is left of a resumed stream is not known
		r.fail(q, NoTime, 0)
		return
	}
	r.recordWork(q)
	if q.spec.Resumes {
		r.resolveOrigin(q)
		return
	}
	r.enqueue(q)
}

// admit resolves the route, organisation and service of a request and charges its
// quota. If the request is refused it returns the status, reason and Retry-After;
// otherwise status is 0.
func (r *Relay) admit(q *request) (status int, reason Reason, retryAfter time.Duration) {
	if status, reason, retryAfter := r.resolve(q); status != 0 {
		return status, reason, retryAfter
	}
	if e := q.service.Engine; e != nil && e.MemoryTokens > 0 && q.maxMemory() > e.MemoryTokens {
		return 503, TooLarge, 0
	}
	if !r.backends.Listed(q.service.Name, answeringStage(q.service)) {
		return 503, NoBackend, retryAfterStartup
	}
	if !r.restrict(q) {
		return 503, NoRegion, retryAfterStartup
	}
	if wait := r.backends.TimeUntilAccepting(r.now, q.service.Name, answeringStage(q.service)); wait > 0 {
		return 503, AskedToWait, r.spread(wait)
	}
	if wait, askable := r.backends.PermitWait(r.now, q.service.Name, answeringStage(q.service)); wait > 0 && !askable {
		return 503, NoPermit, r.spread(wait)
	}
	r.setDeadlines(q)
	q.traits = newTraits(q.organisation(), q.spec)
	if wait, ok := r.checkParts(q); !ok {
		return 503, BadPart, wait
	}
	return r.chargeQuota(q)
}

// resolve resolves the route, organisation and service of a request. If it is refused
// whatever its body, it returns the status, reason and Retry-After; otherwise status is 0.
func (r *Relay) resolve(q *request) (status int, reason Reason, retryAfter time.Duration) {
	if r.snapshot == nil || !r.backendsListed {
		return 503, NoConfig, retryAfterStartup
	}
	if !r.drainStartedAt.IsZero() && r.now.Sub(r.drainStartedAt) > r.cfg.DrainAccept {
		return 503, Stopping, retryAfterSoon
	}
	route := r.snapshot.Match(q.spec.Host, q.spec.Path)
	stale := r.stale()
	switch {
	case route == nil && stale:
		return 503, StaleConfig, r.staleRetryAfter()
	case route == nil:
		return 404, NoRoute, 0
	}
	q.route = route
	if !route.Public {
		if stale {
			return 503, StaleConfig, r.staleRetryAfter()
		}
		if q.org = r.snapshot.OrganisationByKey(q.spec.Key); q.org == nil {
			return 401, BadKey, 0
		}
	}
	if q.service = r.snapshot.Choose(route, q.spec.firstRequest()); q.service == nil {
		return 503, NoBackend, retryAfterStartup
	}
	return 0, "", 0
}

// RefusedFromHead returns the refusal of a request whose body has not been read, or false if
// that cannot be decided yet. It changes nothing.
func (r *Relay) RefusedFromHead(spec RequestSpec) (Refuse, bool) {
	status, reason, retryAfter := r.resolve(&request{spec: spec, arrived: r.now})
	return Refuse{Status: status, Reason: reason, RetryAfter: retryAfter}, status != 0
}

// answeringStage returns the stage of the backend servers that produce the answers of
// a service.
func answeringStage(s *catalog.Service) backends.Stage {
	if s.Engine == nil {
		return backends.Plain
	}
	return backends.Decode
}

// staleRetryAfter returns the Retry-After of refusals for a stale configuration. It is
// short if another host, to which the retry may go, has a newer one.
func (r *Relay) staleRetryAfter() time.Duration {
	if r.peerHasNewerConfig() {
		return retryAfterSoon
	}
	return retryAfterStartup
}

func (r *Relay) setDeadlines(q *request) {
	timeout := maxRequestTime
	if q.spec.Deadline > 0 {
		timeout = min(timeout, q.spec.Deadline)
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	q.queueDeadline = q.arrived.Add(r.queueTimeout(q))
}

// queueTimeout returns how long a request may wait for memory from now on.
func (r *Relay) queueTimeout(q *request) time.Duration {
	remaining := q.deadline.Sub(r.now)
	switch {
	case q.pinned:
		return min(resumeQueueTimeout, remaining)
	case q.route.LatencyTarget == 0:
		return remaining / 2
	}
	return min(time.Duration(float64(q.route.LatencyTarget)*r.cfg.QueueShare), remaining)
}

func (r *Relay) chargeQuota(q *request) (status int, reason Reason, retryAfter time.Duration) {
	if q.org == nil || q.org.Rate <= 0 {
		return 0, "", 0
	}
	tokens := q.org.DefaultTokens
	if q.spec.TokensKnown && !q.org.CountRequests {
		tokens = float64(q.spec.PromptTokens + q.spec.MaxOutputTokens)
	}
	ok, wait := r.quota.Take(r.now, q.org.Name, tokens)
	if !ok {
		available, lim := r.quota.State(r.now, q.org.Name)
		r.log(Decision{
			Step: "limit", RequestID: q.spec.RequestID, Organisation: q.org.Name, Version: r.snapshot.Version, Age: r.age(),
			Detail: fmt.Sprintf("requested %.0f tokens, %.0f available, limit %.0f/s with burst %.0f", tokens, available, lim.Rate, lim.Burst),
		})
		return 429, OverLimit, wait
	}
	q.chargedTokens = tokens
	r.reportToAggregators(q.org.Name)
	return 0, "", 0
}

// maxMemory returns the maximum KV cache size of a request in tokens.
func (q *request) maxMemory() int64 { return q.spec.PromptTokens + q.spec.MaxOutputTokens }

// expectedMemory returns the KV cache size in tokens that is counted for a request: its
// prompt and a fraction of its expected output. The requests of an engine are at
// different points of their outputs, so their total stays below the sum of their final
// sizes.
func (q *request) expectedMemory() int64 {
	return min(q.maxMemory(), q.spec.PromptTokens+int64(q.expectedOutput*outputMemoryShare))
}

// priority returns the priority of a request; 0 is the highest.
func (q *request) priority() int {
	if q.org != nil && q.org.HasPriority {
		return q.org.Priority
	}
	return q.route.Priority
}

// retryable reports whether a request that may have run may be run again.
func (q *request) retryable() bool {
	return q.route.Kind == catalog.Idempotent || q.route.Kind == catalog.Stream && q.route.Resumable
}

// settleQuota gives back the output tokens that a complete stream was charged and did not use.
func (r *Relay) settleQuota(q *request, e CallEnded) {
	stride := q.service.Engine.TokensPerEvent
	if q.chargedTokens == 0 || !q.spec.TokensKnown || q.org.CountRequests || stride <= 0 || q.runs > 1 || q.spec.Resumes {
		return
	}
	used := float64(q.spec.PromptTokens + int64(e.Events*stride))
	r.quota.Settle(r.now, q.org.Name, q.chargedTokens-used)
}
