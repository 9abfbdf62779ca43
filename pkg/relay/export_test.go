package relay

// FencingToken returns the token that the host's next role order would carry.
func (r *Relay) FencingToken() uint64 { return r.fencingToken() }

// RetriesTaken returns the retries that a request has taken from the budget.
func (r *Relay) RetriesTaken(id ID) int { return r.requests[id].retries }
