package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// peer is the record of a host of the local domain.
type peer struct {
	host        ident.HostID
	incarnation ident.Incarnation // zero until the first heartbeat
	digestHash  uint8             // identifies the process in digests
	addr        string
	slot        ident.Slot

	listed          bool
	listedLeaving   bool
	leaving         bool
	released        bool
	probeDue        bool // a digest names a process in its slot; contact it ahead of the rotation
	ready           bool
	leavingReported bool // HostLeaving has been reported

	state        State
	firstHeardAt time.Time // first direct heartbeat of this incarnation
	seq          uint64    // highest sequence number, direct or relayed
	heardAt      time.Time // when seq grew
	directSeq    uint64    // highest sequence number received directly
	directAt     time.Time
	ackedSeq     uint64 // highest sequence number of this process that the peer has acknowledged

	flaps     int       // times this incarnation came back after it counted as dead
	lastUpAt  time.Time // when this incarnation last came up
	holdUntil time.Time // at best suspect until then

	revision         ident.Revision
	digest           [32]byte
	revisionReported bool // RevisionHeard has been reported
	platformSilent   time.Duration
	free             []PoolFree
}

func (p *peer) process() ident.Process {
	return ident.Process{Host: p.host, Incarnation: p.incarnation}
}

func (p *peer) isLeaving() bool { return p.leaving || p.listedLeaving }

// reportLeaving reports once that a host is leaving.
func (p *peer) reportLeaving(res *Result) {
	if !p.isLeaving() || p.leavingReported || p.incarnation == 0 {
		return
	}
	p.leavingReported = true
	res.Events = append(res.Events, HostLeaving{Process: p.process()})
}

// ensurePeer returns the record of a host of the local domain and creates it if
// needed. It returns nil when maxPeers is reached.
func (g *Group) ensurePeer(now time.Time, id ident.HostID) *peer {
	if p := g.peers[id]; p != nil {
		return p
	}
	if len(g.peers) >= maxPeers {
		return nil
	}
	p := &peer{host: id, heardAt: now}
	g.peers[id] = p
	at, _ := slices.BinarySearch(g.order, id)
	g.order = slices.Insert(g.order, at, id)
	return p
}

// resetPeer resets a record for a newer incarnation. State that belongs to the
// host rather than the process is kept.
func (g *Group) resetPeer(now time.Time, p *peer, hb *Heartbeat) {
	if g.bySlot[p.slot] == p {
		delete(g.bySlot, p.slot)
	}
	*p = peer{
		host:          p.host,
		incarnation:   hb.Incarnation,
		listed:        p.listed,
		listedLeaving: p.listedLeaving && p.incarnation == 0,
		heardAt:       now,
		firstHeardAt:  now,
		slot:          hb.Slot,
		addr:          hb.Addr,
	}
	p.digestHash = processHash(p.process())
	g.indexSlot(p)
}

// advance records a higher sequence number of a host and updates its state.
func (g *Group) advance(now time.Time, p *peer, seq uint64, res *Result) {
	p.seq = seq
	p.heardAt = now
	if p.released || p.state == Live {
		return
	}
	if p.state == Dead {
		g.recordFlap(now, p)
		res.Events = append(res.Events, HostUp{Process: p.process(), Slot: p.slot})
	}
	if now.Before(p.holdUntil) {
		p.state = Suspect
		return
	}
	p.state = Live
}

// recordFlap counts the return of a host that was dead. From the second return
// on, if each follows the last within flapWindow, the host stays suspect for a
// hold-down time, so that ownership does not move with each flap.
func (g *Group) recordFlap(now time.Time, p *peer) {
	if p.lastUpAt.IsZero() {
		p.lastUpAt = now // the first start is not a flap
		return
	}
	if now.Sub(p.lastUpAt) > flapWindow {
		p.flaps = 0
	}
	p.lastUpAt = now
	p.flaps = min(p.flaps+1, maxFlaps)
	if p.flaps > 1 {
		p.holdUntil = now.Add(time.Duration(p.flaps) * g.cfg.DeadAfter)
	}
}

// detectFailures marks hosts as suspect or dead by how long they were silent.
func (g *Group) detectFailures(now time.Time, res *Result) {
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Dead {
			continue
		}
		switch silent := now.Sub(p.heardAt); {
		case silent > g.cfg.DeadAfter:
			g.markDead(p, res)
		case silent > g.cfg.SuspectAfter:
			p.state = Suspect
		}
	}
}

func (g *Group) markDead(p *peer, res *Result) {
	p.state = Dead
	p.free = nil
	res.Events = append(res.Events, HostDead{Process: p.process()})
}

// removeExpired drops the records of unlisted hosts that have been dead for
// retentionPeriod or were never heard from, and expired slot holders and domains.
func (g *Group) removeExpired(now time.Time) {
	drop := func(id ident.HostID) bool {
		p := g.peers[id]
		if p.listed || p.state != Dead {
			return false
		}
		if p.incarnation != 0 && now.Sub(p.heardAt) < retentionPeriod {
			return false
		}
		delete(g.peers, id)
		return true
	}
	before := len(g.order)
	g.order = slices.DeleteFunc(g.order, drop)
	if len(g.order) != before {
		g.rebuildSlotIndex()
	}
	g.removeExpiredHolders(now)
	g.domains.removeExpired(now)
}
