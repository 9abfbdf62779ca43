package relay

func (r *Relay) drain() {
	if !r.drainStartedAt.IsZero() {
		return
	}
	r.drainStartedAt = r.now
	// In a large fleet the others would not all hear of it before the process ends, and
	// would count this host until fleetview.Config.Retention is over.
	r.roster.ExpediteNext()
	r.log(Decision{Step: "drain", Outcome: "started, host reports not ready"})
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
