package node

import "time"

// drainState tracks a graceful stop.
type drainState struct {
	active    bool
	acceptTil time.Time // work is still accepted until then
	handed    bool
	exitAt    time.Time
}

// closed reports whether new work must be refused.
func (d drainState) closed(now time.Time) bool {
	return d.active && !now.Before(d.acceptTil)
}

// beginDrain leaves the load balancer first and keeps serving meanwhile.
func (n *Node) beginDrain() {
	if n.drain.active {
		return
	}
	n.drain = drainState{active: true, acceptTil: n.now.Add(n.cfg.DrainLinger)}
	n.updateReady()
	n.applyMembership(n.members.Leave(n.now))
	n.refreshView()
}

// continueDrain hands over what the host holds once its requests have ended, and
// exits when the messages have had time to leave.
func (n *Node) continueDrain() {
	if !n.drain.closed(n.now) || len(n.requests) > 0 {
		return
	}
	if !n.drain.handed {
		n.drain.handed = true
		n.drain.exitAt = n.now.Add(n.cfg.DrainFlush)
		n.applyLimits(n.limits.Drain(n.now))
		n.applyPlacement(n.place.Drain(n.now))
		n.applyOnce(n.once.Drain(n.now))
		n.applyMembership(n.members.Release(n.now))
		return
	}
	if n.now.Before(n.drain.exitAt) {
		return
	}
	n.emit(Exit{})
}
