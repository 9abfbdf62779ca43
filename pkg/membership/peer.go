package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// peer is what is known of a host of the own domain.
type peer struct {
	host ident.HostID
	inc  ident.Incarnation // zero until heard
	hash uint8             // names the process in digests
	addr string
	slot ident.Slot

	listed      bool
	listLeaving bool
	leaving     bool
	released    bool
	probe       bool // others hear a process in its slot
	ready       bool
	toldLeaving bool // HostLeaving was reported

	state    State
	upAt     time.Time // first direct heartbeat of this incarnation
	seq      uint64    // highest sequence number, direct or relayed
	heardAt  time.Time // when seq grew
	direct   uint64    // highest sequence number that came directly
	directAt time.Time
	acked    uint64 // highest own sequence number that it has acknowledged

	flaps    int // returns from the dead of this incarnation
	flapAt   time.Time
	holdTill time.Time // stays suspect until then

	revision       ident.Revision
	digest         [32]byte
	told           bool // a RevisionHeard was reported
	platformSilent time.Duration
	free           []PoolFree
}

func (p *peer) process() ident.Process {
	return ident.Process{Host: p.host, Incarnation: p.inc}
}

func (p *peer) isLeaving() bool { return p.leaving || p.listLeaving }

// noteLeaving reports once that a host leaves.
func (p *peer) noteLeaving(res *Result) {
	if !p.isLeaving() || p.toldLeaving || p.inc == 0 {
		return
	}
	p.toldLeaving = true
	res.Events = append(res.Events, HostLeaving{Process: p.process()})
}

// peer returns the record of a host of the own domain, made if needed. It is nil
// when the bound on peers is reached.
func (g *Group) peer(now time.Time, id ident.HostID) *peer {
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

// restart resets a record for a newer incarnation. What concerns the host and
// not the process stays.
func (g *Group) restart(now time.Time, p *peer, hb *Heartbeat) {
	if g.bySlot[p.slot] == p {
		delete(g.bySlot, p.slot)
	}
	*p = peer{
		host:        p.host,
		inc:         hb.Incarnation,
		listed:      p.listed,
		listLeaving: p.listLeaving && p.inc == 0,
		heardAt:     now,
		upAt:        now,
		slot:        hb.Slot,
		addr:        hb.Addr,
	}
	p.hash = processHash(p.process())
	g.index(p)
}

// heard records that a host's sequence number has grown.
func (g *Group) heard(now time.Time, p *peer, seq uint64, res *Result) {
	p.seq = seq
	p.heardAt = now
	if p.released || p.state == Live {
		return
	}
	if p.state == Dead {
		g.revive(now, p)
		res.Events = append(res.Events, HostUp{Process: p.process(), Slot: p.slot})
	}
	if now.Before(p.holdTill) {
		p.state = Suspect
		return
	}
	p.state = Live
}

// revive counts a return from the dead. From the second within a minute on the
// host stays suspect for a while, so that a flapping host does not move ownership
// with each flap.
func (g *Group) revive(now time.Time, p *peer) {
	if p.flapAt.IsZero() {
		p.flapAt = now // the first time up is no flap
		return
	}
	if now.Sub(p.flapAt) > flapWindow {
		p.flaps = 0
	}
	p.flapAt = now
	p.flaps = min(p.flaps+1, maxFlaps)
	if p.flaps > 1 {
		p.holdTill = now.Add(time.Duration(p.flaps) * g.cfg.DeadAfter)
	}
}

// detect moves hosts to suspect and dead by their silence.
func (g *Group) detect(now time.Time, res *Result) {
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Dead {
			continue
		}
		switch silent := now.Sub(p.heardAt); {
		case silent > g.cfg.DeadAfter:
			g.die(p, res)
		case silent > g.cfg.SuspectAfter:
			p.state = Suspect
		}
	}
}

func (g *Group) die(p *peer, res *Result) {
	p.state = Dead
	p.free = nil
	res.Events = append(res.Events, HostDead{Process: p.process()})
}

// forget drops hosts that are in no list and have been dead for long.
func (g *Group) forget(now time.Time) {
	drop := func(id ident.HostID) bool {
		p := g.peers[id]
		if p.listed || p.state != Dead {
			return false
		}
		if p.inc != 0 && now.Sub(p.heardAt) < forgetAfter {
			return false
		}
		delete(g.peers, id)
		return true
	}
	before := len(g.order)
	g.order = slices.DeleteFunc(g.order, drop)
	if len(g.order) != before {
		g.reindex()
	}
	g.forgetHolders(now)
	g.domains.forget(now)
}
