package node

import "time"

// drainState tracks a graceful stop.
type drainState struct {
	active      bool
	acceptUntil time.Time // requests are accepted until then
	handedOver  bool
	exitAt      time.Time
}

// closed reports whether new requests must be refused.
func (d drainState) closed(now time.Time) bool {
	return d.active && !now.Before(d.acceptUntil)
}

// beginDrain reports the host as not ready and as leaving, but accepts requests
// until the load balancer has had time to notice.
func (n *Node) beginDrain() {
	if n.drain.active {
		return
	}
	n.drain = drainState{active: true, acceptUntil: n.now.Add(n.cfg.DrainLinger)}
	n.updateReady()
	n.applyMembership(n.members.Leave(n.now))
	n.refreshView()
}

// continueDrain hands over the host's state to its peers once all requests have
// ended, and exits after the handover messages have had time to be sent.
func (n *Node) continueDrain() {
	if !n.drain.closed(n.now) || len(n.requests) > 0 {
		return
	}
	if !n.drain.handedOver {
		n.drain.handedOver = true
		n.drain.exitAt = n.now.Add(n.cfg.DrainFlush)
		n.applyLimits(n.limits.Drain(n.now))
		n.applyPlacement(n.placer.Drain(n.now))
		n.applyIdempotency(n.idempotency.Drain(n.now))
		n.applyMembership(n.members.Release(n.now))
		return
	}
	if n.now.Before(n.drain.exitAt) {
		return
	}
	n.emit(Exit{})
}
