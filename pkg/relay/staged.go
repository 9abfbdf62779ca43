package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/outputlen"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// enqueue adds a request to the queue for decode memory.
func (r *Relay) enqueue(q *request) {
	if r.quarantined(q) || r.refuseOutlasting(q) {
		return
	}
	q.phase = queued
	qu := r.queues[q.service.Name]
	if qu == nil {
		qu = newQueue()
		r.queues[q.service.Name] = qu
	}
	qu.push(fairqueue.Item[ID, *request]{
		Key:          q.id,
		Organisation: q.organisation(),
		Cost:         q.cost(r.predictor),
		Priority:     q.queueRank(r.predictor),
		Value:        q,
	}, q.pinned && !r.backends.OneVersion(q.service.Name, backends.Decode))
}

// cost returns the decode memory that a request occupies over time, in token seconds.
func (q *request) cost(p *outputlen.Predictor) float64 {
	return p.MemoryCost(q.spec.PromptTokens, q.expectedOutput)
}

// queueRank returns the rank of a request in its organisation's queue, highest first.
// Streams to be resumed come first, then requests by priority. Within a priority
// the cheapest comes first, which serves most callers in time while memory is short.
func (q *request) queueRank(p *outputlen.Predictor) int {
	const costRange = 1 << 20
	if q.pinned {
		return costRange
	}
	return -q.priority()*costRange - int(min(q.cost(p), costRange-1))
}

// startQueued starts the queued requests that fit.
func (r *Relay) startQueued() {
	for service, qu := range r.queues {
		if qu.len() > 0 {
			r.serveQueue(service, qu)
		}
	}
}

func (r *Relay) serveQueue(service ident.Route, qu *queue) {
	var ended []*request
	qu.each(func(q *request) {
		if !r.now.Before(q.queueDeadline) || r.versionGone(q) || r.outlastsDrain(q) {
			ended = append(ended, q)
		}
	})
	for _, q := range ended {
		if r.versionGone(q) {
			r.failGone(q)
			continue
		}
		if r.refuseOutlasting(q) {
			continue
		}
		r.logRequest(q, "overload", "waited for "+q.waitingFor)
		r.fail(q, Overloaded, r.overloadRetryAfter(qu))
	}
	r.refuseQueued(service, qu)
	r.refuseUnpermitted(service, qu)
	qu.start(r.start)
	r.refuseUnpermitted(service, qu)
}

// overloadRetryAfter estimates when a refused request will find memory: once the queued
// requests have been served at the current rate of freed memory.
func (r *Relay) overloadRetryAfter(qu *queue) time.Duration {
	queuedTokens := 0.0
	qu.each(func(q *request) { queuedTokens += float64(q.expectedMemory()) })
	freeRate := max(qu.freeRate.value(r.now), minFreeRate)
	wait := time.Duration(queuedTokens / freeRate * float64(time.Second))
	return min(max(wait, minOverloadRetryAfter), maxOverloadRetryAfter)
}

const (
	// minFreeRate, in tokens per second, is assumed for a queue with no progress yet.
	minFreeRate = 1000
	// minOverloadRetryAfter and maxOverloadRetryAfter bound the Retry-After during an
	// overload. Within the minimum, a decode engine completes one or two requests.
	minOverloadRetryAfter = 500 * time.Millisecond
	maxOverloadRetryAfter = 3 * time.Second
)

// start reserves decode memory for a request. It returns false if no engine has enough,
// or if the prefill engines are too busy to start the prompt soon.
func (r *Relay) start(q *request) bool {
	e := q.service.Engine
	if wait, ok := r.backends.PrefillTime(r.now, r.prefillQuery(q)); ok && wait > maxPrefillWait+r.ownPrefillTime(q) {
		q.waitingFor = "prefill engine"
		return false
	}
	if q.pinned && !r.backends.ListedVersion(q.service.Name, backends.Decode, q.version, q.avoid) {
		q.avoid = nil // no other server of the version is left
	}
	query := r.decodeQuery(q)
	for {
		to, ok := r.pickPaced(q, query)
		if !ok {
			q.waitingFor = "decode memory"
			return false
		}
		switch r.acquirePermit(q, to, func(granted bool) { r.permitForDecode(q, granted) }) {
		case serverlimit.Granted:
			r.addLoad(q, to, query.Need)
			r.reserveAt(q, e.HoldTTL)
			return true
		case serverlimit.Pending:
			r.addLoad(q, to, query.Need)
			return true
		}
	}
}

// permitForDecode goes on with a request to a limited engine after its ask was answered.
func (r *Relay) permitForDecode(q *request, granted bool) {
	if !granted || !r.backends.Accepts(r.now, q.target) {
		r.release(q)
		r.enqueue(q)
		return
	}
	r.prefillOrDecode(q)
}

// reserveAt reserves memory at the engine that was picked. A limited engine gets no
// reservation, which would be one more request to it.
func (r *Relay) reserveAt(q *request, ttl time.Duration) {
	q.attempt++
	if ttl == 0 || r.backends.Limits().Limited(q.target.Process()) {
		r.prefillOrDecode(q)
		return
	}
	q.phase = reserving
	a := q.attemptInfo()
	a.Deadline = earlier(a.Deadline, r.now.Add(reserveTimeout))
	r.emit(Reserve{Attempt: a, Tokens: q.expectedMemory(), TTL: ttl})
}

// decodeQuery describes the decode engine that a request needs.
func (r *Relay) decodeQuery(q *request) backends.Query {
	query := backends.Query{
		Service:         q.service.Name,
		Stage:           backends.Decode,
		Model:           q.spec.Model,
		Exclude:         q.avoid,
		PreferredDomain: r.cfg.Backends.Domain,
		Allowed:         q.allowed,
		Need:            backends.Load{Requests: 1, Memory: q.expectedMemory()},
		MemoryPerServer: q.service.Engine.MemoryTokens,
		SlotsPerServer:  q.service.Engine.Slots,
		UnseenRequests:  r.unreportedRequests(q.service.Name),
		Version:         q.version,
		Pinned:          q.pinned,
		Expected:        r.expectedStreamTime(q, q.expectedOutput),
		TimeLeft:        q.deadline.Sub(r.now),
	}
	if _, sole := r.origins.Sole(r.now, q.service.Name); q.pinned && !sole {
		query.ListedAsOf = r.confirmedAt
	}
	return query
}

func (r *Relay) reserved(e Reserved) {
	q := r.lookup(e.ID, e.Attempt, reserving)
	if q == nil {
		if e.Hold != "" {
			r.log(Decision{Step: "late_reservation", Outcome: "expires by itself"})
		}
		return
	}
	if e.Outcome == Succeeded {
		r.backends.Reached(r.now, q.target.ID)
		q.reservation = e.Hold
		r.reservationGranted(q)
		if !r.backends.Accepts(r.now, q.target) || !r.permitted(q) {
			r.logRequest(q, "reserve", "engine takes no new requests")
			r.release(q)
			r.enqueue(q)
			return
		}
		r.prefillOrDecode(q)
		return
	}
	r.recordOutcome(q.target.ID, e.Outcome, backends.Full)
	if e.Outcome == NotRun {
		r.reservationRefused(q)
	}
	r.release(q)
	r.logRequest(q, "reserve", e.Outcome.String())
	r.enqueue(q)
}

func (r *Relay) prefillQuery(q *request) backends.Query {
	near, version := q.target.Domain, q.target.Version
	if near == "" {
		near, version = r.cfg.Backends.Domain, q.version
	}
	return backends.Query{
		Service:         q.service.Name,
		Stage:           backends.Prefill,
		Model:           q.spec.Model,
		Exclude:         q.avoid,
		PreferredDomain: near,
		Allowed:         q.allowed,
		Need:            backends.Load{Requests: 1, Memory: q.spec.PromptTokens, Prompt: q.spec.PromptTokens},
		MemoryPerServer: q.service.Engine.MemoryTokens,
		Version:         version,
	}
}

// ownPrefillTime estimates the prefill time of the request's own prompt.
func (r *Relay) ownPrefillTime(q *request) time.Duration {
	return time.Duration(float64(q.spec.PromptTokens) / nominalPrefillRate * float64(time.Second))
}

// nominalPrefillRate, in prompt tokens per second, serves only to separate a request's
// own prefill time from its queueing time.
const nominalPrefillRate = 50_000

// prefillOrDecode starts the prefill of a request, or its decode if no prefill engine is
// available, in which case the decode engine does the prefill itself.
func (r *Relay) prefillOrDecode(q *request) {
	if r.quarantined(q) {
		return
	}
	if r.keepsPrefill(q) {
		r.decode(q)
		return
	}
	query := r.prefillQuery(q)
	query.UnseenRequests = r.unreportedRequests(q.service.Name)
	for {
		to, wait, ok := r.backends.PickPrefill(r.now, query)
		if !ok {
			q.localPrefill = true
			r.decode(q)
			return
		}
		switch r.acquirePermit(q, to, func(granted bool) { r.permitForPrefill(q, to, wait, granted) }) {
		case serverlimit.Granted:
			r.startPrefill(q, to, wait)
			return
		case serverlimit.Pending:
			return
		}
	}
}

// permitForPrefill goes on with a request to a limited prefill engine after its ask was
// answered.
func (r *Relay) permitForPrefill(q *request, to backends.Target, wait time.Duration, granted bool) {
	switch {
	case !granted || !r.backends.Accepts(r.now, to):
		r.prefillOrDecode(q)
	case !r.quarantined(q):
		r.startPrefill(q, to, wait)
	}
}

// startPrefill sends a request to a prefill engine that would start it after wait.
func (r *Relay) startPrefill(q *request, to backends.Target, wait time.Duration) {
	q.usePermit(to)
	q.phase = prefilling
	q.attempt++
	q.prefillTarget = to
	q.prefillLoad = backends.Load{Requests: 1, Memory: q.spec.PromptTokens, Prompt: q.spec.PromptTokens}
	r.backends.Begin(to.ID, q.prefillLoad)
	q.prefillBacklog = r.backends.Load(to.ID).Prompt
	a := q.attemptInfo()
	a.To = to
	a.Deadline = earlier(a.Deadline, r.now.Add(3*wait+prefillTimeoutSlack))
	q.prefillUntil = a.Deadline
	r.emit(Prefill{Attempt: a, Organisation: q.organisation()})
}

func (r *Relay) prefilled(e Prefilled) {
	q := r.lookup(e.ID, e.Attempt, prefilling)
	if q == nil {
		return
	}
	e.Outcome = checkPrefill(q, e)
	// An engine that refuses a prompt is out of memory, or is switching its stage on an
	// order that has not been reported to this host.
	r.recordOutcome(q.prefillTarget.ID, e.Outcome, backends.Busy)
	r.releasePrefillLoad(q)
	if e.Outcome == Succeeded {
		r.backends.RecordPrefill(q.prefillTarget.ID, q.prefillBacklog, e.Took)
		r.recordPrefillSpeed(q, e.Took)
		r.keepHandle(q, e.Handle)
		r.decode(q)
		return
	}
	r.logRequest(q, "prefill", e.Outcome.String())
	q.avoid = append(q.avoid, q.prefillTarget.ID)
	if e.Outcome == Unsent && r.hasTimeLeft(q) || r.takeRetry(q) {
		r.prefillOrDecode(q)
		return
	}
	r.refuseUntilAccepting(q, retryAfterSoon)
}

// decode runs a request at the engine that has reserved memory for it.
func (r *Relay) decode(q *request) {
	if r.quarantined(q) || r.refuseOutlasting(q) || (!r.backends.Accepts(r.now, q.target) || !r.permitted(q)) && !r.redirectDecode(q) {
		return
	}
	r.dropInvalidHandle(q)
	q.phase = decoding
	q.firstEventAt = time.Time{}
	q.attempt++
	q.usePermit(q.target)
	d := Decode{
		Attempt:      q.attemptInfo(),
		Organisation: q.organisation(),
		Hold:         q.reservation,
		Resume:       q.started,
	}
	if !q.localPrefill {
		source := q.handle.Source
		d.Source, d.Handle, d.HandleExpiry = &source, q.handle.Name, q.handle.Expiry
	}
	if q.retryable() && q.runs+1 < q.route.MaxAttempts {
		d.FirstEvent = firstEventTimeout
		d.NextEvent = stallTimeout(q.route)
		if q.localPrefill {
			d.FirstEvent += r.ownPrefillTime(q) * localPrefillFactor
		}
	}
	q.reservation, q.sentHold = "", q.reservation
	q.handle, q.sentHandle = KVHandle{}, q.handle
	r.emit(d)
}

// stallTimeout returns how long a stream that another engine can resume may go without an
// event before it is moved: half of the time after which callers abandon it. An engine that
// is only slow keeps its stream, and a stream that is moved reaches its caller in time.
func stallTimeout(route *catalog.Route) time.Duration {
	patience := max(minCallerPatience, 4*route.LatencyTarget, 8*route.EventGap)
	return patience / 2
}

// minCallerPatience is the shortest gap in a stream after which callers abandon it.
const minCallerPatience = 2 * time.Second

// localPrefillFactor is the ratio of the prefill time at a decode engine to that at a
// prefill engine.
const localPrefillFactor = 4

func (r *Relay) streamStarted(e StreamStarted) {
	q := r.lookup(e.ID, e.Attempt, decoding)
	if q == nil {
		return
	}
	if !q.started {
		r.eventRelayed(q)
	}
	q.started = true
	q.firstEventAt = r.now
	q.mayHaveRun = true
	r.backends.Succeeded(r.now, q.target.ID)
	r.logRequest(q, "first_event", "relayed")
}

func (r *Relay) decodeEnded(q *request, e CallEnded) {
	if e.HandleInvalid {
		r.decodeUnsent(q)
		return
	}
	q.serverLost = q.serverLost || e.Outcome == Lost
	r.recordOutcome(q.target.ID, e.Outcome, backends.Full)
	r.recordParts(q, e)
	r.recordStreamSpeed(q, e)
	if e.Outcome.ran() {
		q.mayHaveRun = true
		q.runs++
	}
	if e.Outcome == Succeeded {
		r.recordOutput(q, e)
		r.settleQuota(q, e)
		r.freedMemory(q)
		r.logStreamEnd(q, e, "answer", "complete")
		r.finish(q)
		return
	}
	if e.Outcome == Failure && !e.Started {
		r.deliver(q, e)
		return
	}
	r.logStreamEnd(q, e, "decode", e.Outcome.String())
	if e.Outcome == NotRun && !q.localPrefill {
		// The memory was reserved, so the refusal means that the KV cache could not be
		// fetched.
		r.backends.Failed(r.now, q.prefillTarget.ID, backends.Unreachable)
	}
	if e.Outcome == NotRun && !q.localPrefill && r.takeRetry(q) {
		r.decodeLocally(q)
		return
	}
	if e.Outcome == Unsent && !q.started && r.backends.Evacuated(q.target) && r.hasTimeLeft(q) {
		q.handle = q.sentHandle
		r.requeue(q)
		return
	}
	r.release(q)
	if q.started && !r.originCertain(q) {
		r.fail(q, OriginUnknown, 0)
		return
	}
	if r.resumable(q, e) {
		q.avoid = append(q.avoid, q.target.ID)
		q.localPrefill = false
		q.queueDeadline = r.now.Add(r.queueTimeout(q))
		r.enqueue(q)
		return
	}
	r.failAfterCall(q, e.Outcome)
}

// recordOutput feeds the output length and duration of a complete answer to the
// predictor. Requests that ran more than once or continue an earlier stream are skipped,
// because the last call may have returned only a part of their output.
func (r *Relay) recordOutput(q *request, e CallEnded) {
	if q.runs > 1 || q.spec.Resumes {
		return
	}
	stride := max(1, q.service.Engine.TokensPerEvent)
	r.predictor.RecordAnswer(q.route.Name, q.spec.MaxOutputTokens, int64(e.Events*stride), e.Took)
}

// decodeLocally runs a request whose KV cache could not be fetched at the same engine,
// which does the prefill itself.
func (r *Relay) decodeLocally(q *request) {
	q.localPrefill = true
	r.decode(q)
}

// resumable decides whether an interrupted request is continued at another engine. It
// takes a retry from the budget unless the request was not sent.
func (r *Relay) resumable(q *request, e CallEnded) bool {
	switch {
	case e.Outcome == Aborted || q.crashes >= maxCrashes:
		return false
	case e.Outcome == Unsent:
		return r.hasTimeLeft(q) && q.retries < maxRetries
	case e.Outcome.ran() && (!q.retryable() || q.runs >= q.route.MaxAttempts):
		return false
	case !e.Outcome.ran() && q.attempt > maxRetries*callsPerTry:
		return false
	}
	return r.takeRetry(q)
}

// callsPerTry is the number of calls in one try of a model request: reservation,
// prefill and decode.
const callsPerTry = 3
