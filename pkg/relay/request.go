package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

type phase uint8

const (
	queued     phase = iota // waits for memory at a decode engine
	reserving               // waits for the reservation at a decode engine
	prefilling              // runs at a prefill engine
	decoding                // runs at a decode engine
	calling                 // runs at a plain backend server
	resolving               // waits until it is known which version began its stream
	permitting              // waits for the permit of a server that has named a limit
)

// request is an admitted request that has no final answer yet.
type request struct {
	id             ID
	spec           RequestSpec
	route          *catalog.Route
	service        *catalog.Service
	org            *catalog.Organisation // nil on public routes
	arrived        time.Time
	deadline       time.Time
	queueDeadline  time.Time // by when it must leave the queue
	waitingFor     string    // what a queued request lacks, for the log line
	chargedTokens  float64   // tokens charged to the organisation's limit
	expectedOutput float64   // tokens

	phase      phase
	attempt    int // calls so far; identifies late answers
	runs       int // calls after which a backend server may have run it
	retries    int // retries taken from the budget
	avoid      []ident.BackendID
	pinned     bool          // runs only at version
	version    ident.Version // of the servers' software
	started    bool          // part of the answer has been sent to the caller
	mayHaveRun bool          // a backend server may have run it
	serverLost bool          // a backend server has not answered it completely
	crashes    int           // backend servers that crashed when they began to answer it
	// allowed reports whether servers of a failure domain may get it; nil: all.
	allowed func(ident.FailureDomain) bool
	traits  []ident.Trait // what it may have in common with others
	probes  []ident.Trait // quarantined traits that it probes

	target         backends.Target // plain backend server or decode engine
	load           backends.Load   // counted at target
	reservation    string
	sentHold       string // reservation named in the last decode
	prefillTarget  backends.Target
	prefillLoad    backends.Load // counted at prefillTarget
	prefillBacklog int64         // prompt tokens queued there, this prompt included
	prefillUntil   time.Time     // deadline of the call there
	handle         KVHandle      // of the prefilled KV cache, until it is sent
	localPrefill   bool          // the decode engine does the prefill itself
	sentHandle     KVHandle      // named in the last decode
	prefilled      bool          // was queued again after its prefill; another one takes a retry

	permits      []serverlimit.Process // for which it has permits that have not been used
	callsPerSlot float64               // at its plain server when it was sent
	firstEventAt time.Time             // of the current decode
	mayBeFull    bool                  // its reservation is at an engine that may be full
	permitUsed   bool                  // the last call to a server used a permit
	ask          uint64                // for a permit, while it waits for the answer
	askedFor     serverlimit.Process
	askedAt      time.Time
	resume       func(granted bool) // goes on after the answer

	beganBy         serverlimit.Process // that sent the first event relayed
	beganAt         time.Time
	historyDeadline time.Time // of the wait for the history of the list; zero if it never waited
}

func (q *request) organisation() ident.Organisation {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// digest names the request by what it has in common with its repeats.
func (q *request) digest() ident.Digest { return ident.NewDigest(q.organisation(), q.spec.Content) }

func (q *request) attemptInfo() Attempt {
	return Attempt{ID: q.id, Attempt: q.attempt, To: q.target, Deadline: q.deadline}
}

// lookup returns the request that an answer belongs to, or nil if the answer is late.
func (r *Relay) lookup(id ID, attempt int, p phase) *request {
	q := r.requests[id]
	if q == nil || q.attempt != attempt || q.phase != p {
		return nil
	}
	return q
}

// addLoad counts the request's load at a backend server.
func (r *Relay) addLoad(q *request, to backends.Target, l backends.Load) {
	q.target, q.load = to, l
	r.backends.Begin(to.ID, l)
}

// release removes all load of the request and releases its reservation and prefilled
// KV cache.
func (r *Relay) release(q *request) {
	r.releaseDecode(q)
	r.releasePrefillLoad(q)
	r.releaseHandle(q)
}

// releaseDecode removes the request's load at its server and releases its reservation.
func (r *Relay) releaseDecode(q *request) {
	if q.load != (backends.Load{}) {
		r.backends.End(q.target.ID, q.load)
		if qu := r.queues[q.service.Name]; qu != nil && q.load.Memory > 0 {
			qu.freeRate.add(r.now, float64(q.load.Memory))
		}
		q.load = backends.Load{}
	}
	if q.reservation != "" {
		// A reservation at another server expires by itself. One that has started again counts
		// its reservations anew.
		if r.takesControlCalls(q.target) && r.backends.Current(r.now, q.target) {
			r.emit(ReleaseReservation{To: q.target, Hold: q.reservation})
		}
		q.reservation = ""
	}
}

// takesControlCalls reports whether a server has neither asked for time nor named a limit, and
// its failure domain is not evacuated, so that calls that only free its memory early may be sent.
func (r *Relay) takesControlCalls(t backends.Target) bool {
	return !r.backends.Evacuated(t) && !r.backends.Waits(r.now, t.ID) && !r.backends.Limits().Limited(t.Process())
}

func (r *Relay) releasePrefillLoad(q *request) {
	if q.prefillLoad != (backends.Load{}) {
		r.backends.End(q.prefillTarget.ID, q.prefillLoad)
		q.prefillLoad = backends.Load{}
	}
}

// finish removes a request. If it cannot have run, its tokens are refunded to the
// organisation's limit.
func (r *Relay) finish(q *request) {
	r.release(q)
	if q.chargedTokens > 0 && !q.mayHaveRun {
		r.quota.Refund(r.now, q.org.Name, q.chargedTokens)
	}
	if qu := r.queues[q.service.Name]; qu != nil {
		qu.remove(q.id)
	}
	r.forgetAsk(q)
	r.forgetOrigin(q)
	delete(r.requests, q.id)
}

// fail ends a request with an error. Status 503 promises that the request has not run
// and is used only if that is known; otherwise the status is 502 or 504.
func (r *Relay) fail(q *request, reason Reason, retryAfter time.Duration) {
	status := 503
	switch {
	case q.mayHaveRun && reason == OutOfTime:
		status = 504
	case q.mayHaveRun:
		status = 502
	}
	r.logRequest(q, "answer", string(reason))
	if q.started {
		r.emit(AbortAnswer{ID: q.id, Reason: reason})
	} else {
		r.emit(Refuse{ID: q.id, Status: status, RetryAfter: retryAfter, Reason: reason})
	}
	r.finish(q)
}

// retryAfterSpread is the fraction by which the Retry-After of requests that are refused
// for one reason is extended at random, so that they do not return at the same time.
const retryAfterSpread = 0.25

// spread extends a Retry-After by a random part.
func (r *Relay) spread(wait time.Duration) time.Duration {
	wait = max(wait, minOverloadRetryAfter)
	return wait + time.Duration(r.rng.Float64()*retryAfterSpread*float64(wait))
}

// callerLeft ends a request whose caller has disconnected.
func (r *Relay) callerLeft(id ID) {
	q := r.requests[id]
	if q == nil {
		return
	}
	r.logRequest(q, "caller_left", "ended")
	r.finish(q)
}

// hasTimeLeft reports whether enough time remains before the deadline for another call.
func (r *Relay) hasTimeLeft(q *request) bool {
	return q.deadline.Sub(r.now) > minRetryTime
}

// takeRetry takes a retry from the budget and reports whether it was granted.
func (r *Relay) takeRetry(q *request) bool {
	if !r.hasTimeLeft(q) || !r.budget(q.service.Name).Allow(r.now, q.retries) {
		return false
	}
	q.retries++
	return true
}
