package relay

func (r *Relay) drain() {
	if !r.drainStartedAt.IsZero() {
		return
	}
	r.drainStartedAt = r.now
	if r.cfg.DrainTime > 0 {
		r.drainEndsAt = r.now.Add(r.cfg.DrainTime)
	}
	// In a large fleet the others would not all hear of it before the process ends, and
	// would count this host until fleetview.Config.Retention is over.
	r.roster.ExpediteNext()
	r.log(Decision{Step: "drain", Outcome: "started, host reports not ready"})
}

// drainMargin is how many times longer than expected a stream may take on a draining host.
const drainMargin = 2

// outlastsDrain reports whether a request that no server has got yet may be aborted at the end
// of a drain. Requests that may run once are held to their deadline, since callers cannot repeat
// what was aborted; streams to the time that they are expected to take. An idempotent request
// is never held back: it takes far less time than a drain, and may be repeated.
func (r *Relay) outlastsDrain(q *request) bool {
	if r.drainEndsAt.IsZero() || q.started || !q.deadline.After(r.drainEndsAt) {
		return false
	}
	left := r.drainEndsAt.Sub(r.now)
	if q.service.Engine == nil {
		return left <= 0 || !q.retryable()
	}
	expected := r.expectedStreamTime(q, q.expectedOutput)
	return left <= 0 || expected == 0 && !q.retryable() || drainMargin*expected > left
}

// refuseOutlasting refuses a request that may be aborted at the end of a drain, and reports
// whether it did.
func (r *Relay) refuseOutlasting(q *request) bool {
	if !r.outlastsDrain(q) {
		return false
	}
	r.logRequest(q, "drain", "may not be complete at the end of the drain")
	r.fail(q, Stopping, retryAfterSoon)
	return true
}

// drainOver reports whether calls are aborted because the process stops.
func (r *Relay) drainOver() bool {
	return !r.drainEndsAt.IsZero() && !r.now.Before(r.drainEndsAt)
}

// endDrain refuses what no server has got by the end of a drain. Calls under way are aborted by
// the driver, which reports their ends.
func (r *Relay) endDrain() {
	if !r.drainOver() {
		return
	}
	var waiting []*request
	for _, q := range r.requests {
		if q.phase != calling && q.phase != decoding {
			waiting = append(waiting, q)
		}
	}
	for _, q := range waiting {
		r.fail(q, Stopping, retryAfterSoon)
	}
}

// finishDrain ends the process once the load balancer has had time to notice the drain
// and every request has been answered.
func (r *Relay) finishDrain() {
	if r.drainStartedAt.IsZero() || r.exited {
		return
	}
	if r.now.Sub(r.drainStartedAt) < r.cfg.MinDrainTime || len(r.requests) > 0 {
		return
	}
	r.exited = true
	r.log(Decision{Step: "drain", Outcome: "complete"})
	r.emit(Exit{})
}
