package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Group holds the membership state of one process. It is not safe for concurrent
// use.
type Group struct {
	cfg   Config
	local Local

	seq               uint64 // sequence number of this process
	sent              [sentHistory]time.Time
	started           time.Time
	lastTick          time.Time
	nextHeartbeat     time.Time
	announcementsLeft int // intervals left in which all peers get a heartbeat
	leaving           bool
	released          bool

	peers        map[ident.HostID]*peer
	order        []ident.HostID // keys of peers, sorted
	bySlot       map[ident.Slot]*peer
	liveRotation rotation // selects the next live peers to send to
	deadRotation rotation // selects the next dead peers to try
	holders      map[ident.Slot][]holder

	ackedSeq       uint64      // highest sequence number of this process that was acknowledged
	superseded     *Superseded // set once a newer process holds the slot or host id
	previousHolder *holder     // newest earlier holder of this process's slot, as peers report it
	firstAckAt     time.Time   // when the first peer acknowledged this incarnation
	releaseDecided bool        // whether to report SlotReleased for previousHolder has been decided
	domains        domains     // other failure domains
	freeSent       []PoolFree  // free capacity of this process as last sent to the delegates out of turn
	freeSentAt     time.Time   // when freeSent was sent
}

// New returns a Group for a process that starts now and knows no peers.
func New(cfg Config, now time.Time) *Group {
	g := &Group{
		cfg:               cfg,
		started:           now,
		lastTick:          now,
		nextHeartbeat:     now,
		announcementsLeft: announceHeartbeats,
		peers:             map[ident.HostID]*peer{},
		bySlot:            map[ident.Slot]*peer{},
		holders:           map[ident.Slot][]holder{},
		domains:           newDomains(),
	}
	g.nextSequence(now) // an answer may be sent before the first heartbeat
	return g
}

// SetHosts applies the platform's list of entry hosts of all domains. Hosts that are
// heard from but not listed are kept, since the list lags.
func (g *Group) SetHosts(now time.Time, hosts []HostInfo) Result {
	var res Result
	for _, id := range g.order {
		g.peers[id].listed = false
	}
	g.domains.clearListed()
	for _, h := range hosts {
		if h.ID == g.cfg.Self.Host {
			continue
		}
		if h.Domain != g.cfg.Domain {
			g.domains.addListed(h)
			continue
		}
		p := g.ensurePeer(now, h.ID)
		if p == nil {
			continue
		}
		p.listed = true
		p.listedLeaving = h.Leaving
		if p.incarnation == 0 || p.state == Dead {
			p.addr = h.Addr
		}
		if p.incarnation == 0 {
			p.slot = h.Slot
		}
		p.reportLeaving(&res)
	}
	g.removeExpired(now)
	return res
}

// SetLocal sets the state of this process that the next heartbeats report.
func (g *Group) SetLocal(now time.Time, l Local) {
	l.Free = slices.Clone(l.Free)
	g.local = l
}

// Leave announces a graceful shutdown to all peers immediately. The process keeps
// its slot and sends heartbeats until Release.
func (g *Group) Leave(now time.Time) Result {
	g.leaving = true
	return Result{Envelopes: g.heartbeatAll(now)}
}

// Release tells all peers that the process has released its slot and exits. The
// caller must have stopped acting in the slot. No heartbeat follows.
func (g *Group) Release(now time.Time) Result {
	g.leaving, g.released = true, true
	return Result{Envelopes: g.heartbeatAll(now)}
}

// Resumed must be called after a pause of the process. The state from before the
// pause is stale, so no peer counts as live until it is heard from again. Peers get
// SuspectAfter to be heard from before they count as dead, since it was this process
// that was silent.
func (g *Group) Resumed(now time.Time) Result {
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Dead {
			continue
		}
		p.heardAt = now.Add(g.cfg.SuspectAfter - g.cfg.DeadAfter)
		p.state = Suspect
	}
	for _, id := range g.order {
		g.peers[id].ackedSeq = 0
	}
	g.domains.expireAll(now)
	g.ackedSeq = g.seq // acknowledgements of heartbeats sent before the pause do not count as contact
	g.announcementsLeft = announceHeartbeats
	g.nextHeartbeat = now
	g.lastTick = now
	return Result{}
}

// Tick detects silent hosts and sends heartbeats when they are due.
func (g *Group) Tick(now time.Time) Result {
	var res Result
	g.checkPause(now)
	g.lastTick = now
	g.detectFailures(now, &res)
	g.reportPreviousRelease(now, &res)
	if g.released || now.Before(g.nextHeartbeat) {
		return res
	}
	g.nextHeartbeat = now.Add(g.cfg.Interval)
	if g.announcementsLeft > 0 {
		g.announcementsLeft--
		res.Envelopes = append(res.Envelopes, g.heartbeatAll(now)...)
	} else {
		g.nextSequence(now)
		res.Envelopes = append(res.Envelopes, g.heartbeats(now, g.targets(now))...)
	}
	res.Envelopes = append(res.Envelopes, g.summaries(now)...)
	g.removeExpired(now)
	return res
}

// checkPause calls Resumed after a gap between ticks. Messages that arrived during a
// pause are delivered after it, possibly before the first tick, and must not count
// as contact.
func (g *Group) checkPause(now time.Time) {
	if now.Sub(g.lastTick) > max(pauseGap, 2*g.cfg.Interval) {
		g.Resumed(now)
	}
}

// Receive handles a message from another host.
func (g *Group) Receive(now time.Time, from ident.HostID, m Message) Result {
	var res Result
	g.checkPause(now)
	switch {
	case m.Heartbeat != nil:
		g.receiveHeartbeat(now, from, m.Heartbeat, &res)
	case m.Summary != nil:
		g.receiveSummary(now, from, m.Summary, &res)
	}
	return res
}

// Addr returns the address of a known entry host of any domain.
func (g *Group) Addr(id ident.HostID) (string, bool) {
	if p := g.peers[id]; p != nil {
		return p.addr, p.addr != ""
	}
	return g.domains.addr(id)
}

func (g *Group) nextSequence(now time.Time) {
	g.seq++
	g.sent[g.seq%sentHistory] = now
}

// sentAt returns when a sequence number of this process was sent, if it is among the
// last sentHistory ones.
func (g *Group) sentAt(seq uint64) (time.Time, bool) {
	if seq == 0 || seq > g.seq || g.seq-seq >= sentHistory {
		return time.Time{}, false
	}
	return g.sent[seq%sentHistory], true
}
