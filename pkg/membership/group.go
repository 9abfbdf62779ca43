package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Group is the membership view of one process.
type Group struct {
	cfg   Config
	local Local

	seq      uint64 // own sequence number, one per interval
	sent     [sentTimes]time.Time
	started  time.Time
	lastTick time.Time
	nextBeat time.Time
	announce int // heartbeats still to be sent to all peers
	left     bool
	released bool

	peers  map[ident.HostID]*peer
	order  []ident.HostID // keys of peers, sorted
	bySlot map[ident.Slot]*peer
	turn   rotation // next live peers to send to
	retry  rotation // next dead peers to try
	slots  map[ident.Slot][]holder

	acked      uint64      // highest own sequence number that was acknowledged
	by         *Superseded // set once a newer process holds the slot or host id
	before     *holder     // newest earlier holder of the own slot
	beforeAt   time.Time   // when the first peer answered about it
	beforeDone bool        // SlotReleased was decided
	domains    domains     // other failure domains
	freeSent   []PoolFree  // own free capacity as the delegates last got it
	freeAt     time.Time   // when they got it
}

// New returns the view of a process that starts now and knows no peer.
func New(cfg Config, now time.Time) *Group {
	g := &Group{
		cfg:      cfg,
		started:  now,
		lastTick: now,
		nextBeat: now,
		announce: announceBeats,
		peers:    map[ident.HostID]*peer{},
		bySlot:   map[ident.Slot]*peer{},
		slots:    map[ident.Slot][]holder{},
		domains:  newDomains(),
	}
	g.nextSequence(now) // an answer may leave before the first heartbeat
	return g
}

// SetHosts takes the platform's list of entry hosts of all domains. Hosts that
// are heard but not listed stay: the list lags.
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
			g.domains.list(h)
			continue
		}
		p := g.peer(now, h.ID)
		if p == nil {
			continue
		}
		p.listed = true
		p.listLeaving = h.Leaving
		if p.inc == 0 || p.state == Dead {
			p.addr = h.Addr
		}
		if p.inc == 0 {
			p.slot = h.Slot
		}
		p.noteLeaving(&res)
	}
	g.forget(now)
	return res
}

// SetLocal takes what the next heartbeats say of this process.
func (g *Group) SetLocal(now time.Time, l Local) {
	l.Free = slices.Clone(l.Free)
	g.local = l
}

// Leave announces a graceful shutdown to all peers at once. The process keeps
// its slot and sends heartbeats until Release.
func (g *Group) Leave(now time.Time) Result {
	g.left = true
	return Result{Envelopes: g.beatAll(now)}
}

// Release tells all peers that the process has given up its slot and exits. The
// caller must have stopped to act in the slot. No heartbeat follows.
func (g *Group) Release(now time.Time) Result {
	g.left, g.released = true, true
	return Result{Envelopes: g.beatAll(now)}
}

// Resumed is called after a pause of the process. What was known is old, so that
// no peer counts as live until it is heard again; peers get SuspectAfter to be
// heard before they count as dead, since it was this process that was silent.
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
		g.peers[id].acked = 0
	}
	g.domains.resumed(now)
	g.acked = g.seq // acknowledgements of heartbeats before the pause are no contact
	g.announce = announceBeats
	g.nextBeat = now
	g.lastTick = now
	return Result{}
}

// Tick detects silent hosts and sends heartbeats when they are due.
func (g *Group) Tick(now time.Time) Result {
	var res Result
	g.checkPause(now)
	g.lastTick = now
	g.detect(now, &res)
	g.decideReleased(now, &res)
	if g.released || now.Before(g.nextBeat) {
		return res
	}
	g.nextBeat = now.Add(g.cfg.Interval)
	if g.announce > 0 {
		g.announce--
		res.Envelopes = append(res.Envelopes, g.beatAll(now)...)
	} else {
		g.nextSequence(now)
		res.Envelopes = append(res.Envelopes, g.beat(now, g.targets(now))...)
	}
	res.Envelopes = append(res.Envelopes, g.summaries(now)...)
	g.forget(now)
	return res
}

// checkPause resumes after a gap between ticks. Messages that came during a pause
// are delivered after it, possibly before the first tick, and must not count as
// contact.
func (g *Group) checkPause(now time.Time) {
	if now.Sub(g.lastTick) > max(pauseGap, 2*g.cfg.Interval) {
		g.Resumed(now)
	}
}

// Receive takes a message of a peer.
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
	g.sent[g.seq%sentTimes] = now
}

// sentAt returns when an own sequence number was sent, if it is a recent one.
func (g *Group) sentAt(seq uint64) (time.Time, bool) {
	if seq == 0 || seq > g.seq || g.seq-seq >= sentTimes {
		return time.Time{}, false
	}
	return g.sent[seq%sentTimes], true
}
