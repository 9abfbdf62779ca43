package relay

// FencingToken returns the token that the host's next role order would carry.
func (r *Relay) FencingToken() uint64 { return r.fencingToken(r.view.Slot()) }
