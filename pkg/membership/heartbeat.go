package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// rotation iterates over hosts in an order that differs between processes, so that
// the hosts of a domain do not all contact the same peers at the same time.
type rotation struct {
	hosts []ident.HostID // input of the last ranking, sorted
	rank  []ident.HostID
	next  int
}

// take returns the next n hosts.
func (r *rotation) take(self ident.HostID, hosts []ident.HostID, n int) []ident.HostID {
	if !slices.Equal(r.hosts, hosts) {
		r.hosts = hosts
		r.rank = ident.Rank(string(self), hosts)
	}
	n = min(n, len(r.rank))
	out := make([]ident.HostID, 0, n)
	for range n {
		r.next %= len(r.rank)
		out = append(out, r.rank[r.next])
		r.next++
	}
	return out
}

// targets returns the peers that get the next heartbeat. At least one heartbeat of
// the fan-out goes to a dead host if there is one, since it may have come back or
// may only have been unreachable.
func (g *Group) targets(now time.Time) []ident.HostID {
	var live, dead, first []ident.HostID
	for _, id := range g.order {
		switch p := g.peers[id]; {
		case p.released, p.addr == "":
		case p.state != Dead:
			live = append(live, id)
		case p.probeDue && len(first) < g.cfg.Fanout/2:
			p.probeDue = false
			first = append(first, id)
		default:
			dead = append(dead, id)
		}
	}
	if len(live)+len(dead)+len(first) <= g.cfg.Fanout {
		return slices.Concat(live, dead, first)
	}
	if g.freeChanged(now) {
		g.freeSent, g.freeSentAt = g.local.Free, now
		first = append(first, g.delegates()...)
	}
	toDead := min(len(dead), max(1, g.cfg.Fanout-len(first)-len(live)))
	out := append(first, g.deadRotation.take(g.cfg.Self.Host, dead, toDead)...)
	for _, id := range g.liveRotation.take(g.cfg.Self.Host, live, max(1, g.cfg.Fanout-len(out))) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return slices.DeleteFunc(out, func(id ident.HostID) bool { return id == g.cfg.Self.Host })
}

// freeChanged reports whether to send changed free capacity to the delegates before
// the rotation reaches them. This is limited to once in four intervals, since the
// delegates of a large domain get such heartbeats from all pool owners.
func (g *Group) freeChanged(now time.Time) bool {
	return now.Sub(g.freeSentAt) >= 4*g.cfg.Interval && !slices.Equal(g.freeSent, g.local.Free)
}

// heartbeatAll starts a new sequence number and returns heartbeats to all peers that
// have an address and have not released their slot.
func (g *Group) heartbeatAll(now time.Time) []Envelope {
	g.nextSequence(now)
	var all []ident.HostID
	for _, id := range g.order {
		if p := g.peers[id]; p.addr != "" && !p.released {
			all = append(all, id)
		}
	}
	return g.heartbeats(now, all)
}

// heartbeats returns the heartbeats of one interval.
func (g *Group) heartbeats(now time.Time, to []ident.HostID) []Envelope {
	digest := g.digest(now)
	out := make([]Envelope, 0, len(to))
	for i, id := range to {
		hb := g.heartbeat(now, g.peers[id])
		if g.peers[id].state == Dead {
			hb.Flags |= FlagAsk
		}
		hb.HeardDigest = digest
		// The sequence number shifts the choice, so that every peer gets relayed updates.
		if (int(g.seq)+i)%g.cfg.RelayEvery == 0 && i < g.cfg.Fanout {
			hb.Domains = g.domains.nextRelay(now, g.cfg.domainTimeout())
		}
		out = append(out, Envelope{To: id, Message: Message{Heartbeat: hb}})
	}
	return out
}

// heartbeat returns a heartbeat to a peer, without the digest and relayed updates.
func (g *Group) heartbeat(now time.Time, p *peer) *Heartbeat {
	hb := &Heartbeat{
		Incarnation:    g.cfg.Self.Incarnation,
		Sequence:       g.seq,
		Flags:          g.flags(),
		Revision:       g.local.Revision,
		PlatformSilent: millis(g.local.PlatformSilent),
		Free:           g.local.Free,
		Ack:            g.ackFor(now, p),
	}
	if p.ackedSeq == 0 || p.state == Dead {
		hb.Domain, hb.Slot, hb.Addr = g.cfg.Domain, g.cfg.Slot, g.cfg.Addr
	}
	same := p.revision == g.local.Revision && p.digest == g.local.Digest
	if g.local.Revision != 0 && (!same || p.state == Dead) {
		hb.Digest = g.local.Digest[:]
	}
	return hb
}

func (g *Group) flags() Flags {
	var f Flags
	if g.leaving || g.local.Leaving {
		f |= FlagLeaving
	}
	if g.local.Ready {
		f |= FlagReady
	}
	if g.released {
		f |= FlagReleased
	}
	return f
}

// ackFor reports what is known about a peer and its slot. It returns nil for a host
// that was never heard from.
func (g *Group) ackFor(now time.Time, p *peer) *Ack {
	if p.incarnation == 0 {
		return nil
	}
	a := &Ack{Incarnation: p.incarnation, Sequence: p.directSeq}
	for _, h := range g.holders[p.slot] {
		if h.process.Host != p.host && newer(h.process, p.process()) {
			a.Holder = &h.process
			break
		}
	}
	if now.Sub(p.firstHeardAt) < newProcessPeriod {
		a.Previous, a.Released = g.previousHolderOf(p)
	}
	return a
}

func (g *Group) receiveHeartbeat(now time.Time, from ident.HostID, m *Heartbeat, res *Result) {
	copied := *m // completeHeartbeat fills in omitted fields
	hb := &copied
	if hb.Incarnation == 0 || !g.completeHeartbeat(from, hb) {
		return
	}
	sender := ident.Process{Host: from, Incarnation: hb.Incarnation}
	if from == g.cfg.Self.Host {
		g.receiveFromOwnHostID(sender, res)
		return
	}
	p := g.ensurePeer(now, from)
	if p == nil {
		return
	}
	if hb.Incarnation < p.incarnation {
		g.answerStale(now, p, hb, res)
		return
	}
	g.recordHolder(now, hb.Slot, sender, hb.Flags&FlagReleased != 0)
	if hb.Slot == g.cfg.Slot && hb.Slot >= 0 && newer(sender, g.cfg.Self) {
		g.markSuperseded(sender, res)
	}
	first := hb.Incarnation > p.incarnation
	if first {
		g.registerProcess(now, p, hb, res)
	}
	g.applyAck(now, p, hb, res)
	if hb.Sequence > p.directSeq {
		g.applyHeartbeat(now, p, hb, res)
	}
	if first || hb.Flags&FlagAsk != 0 {
		// An immediate answer establishes contact within one round trip with a new
		// process, or with one that counts this one as dead or has never heard from it.
		res.Envelopes = append(res.Envelopes, g.answer(now, p))
	}
	g.forEachAdvanced(hb.HeardDigest, func(p *peer, seq uint64) { g.advance(now, p, seq, res) })
	for i := range hb.Domains {
		g.domains.receive(now, g.cfg.Domain, &hb.Domains[i])
	}
}

// completeHeartbeat fills in the fields that a heartbeat omits because they are known
// already. It returns false for a heartbeat from another domain, or if fields are
// omitted and the process is unknown.
func (g *Group) completeHeartbeat(from ident.HostID, hb *Heartbeat) bool {
	if hb.Domain != "" {
		return hb.Domain == g.cfg.Domain
	}
	p := g.peers[from]
	if p == nil || p.incarnation != hb.Incarnation {
		return false
	}
	hb.Slot, hb.Addr = p.slot, p.addr
	return true
}

// registerProcess resets a peer's record for a process that was not known.
func (g *Group) registerProcess(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	previous := p.incarnation
	g.resetPeer(now, p, hb)
	if previous == 0 {
		return // advance reports HostUp
	}
	p.state = Live
	p.lastUpAt = now
	res.Events = append(res.Events, HostRestarted{Process: p.process(), Previous: previous, Slot: hb.Slot})
}

// applyHeartbeat updates a peer's record from a heartbeat that is newer than all
// direct ones before it.
func (g *Group) applyHeartbeat(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	p.directSeq, p.directAt = hb.Sequence, now
	p.addr = hb.Addr
	p.leaving = hb.Flags&FlagLeaving != 0
	p.ready = hb.Flags&FlagReady != 0
	p.platformSilent = fromMillis(hb.PlatformSilent)
	p.free = hb.Free
	if hb.Sequence > p.seq {
		g.advance(now, p, hb.Sequence, res)
	}
	p.reportLeaving(res)
	if hb.Flags&FlagReleased != 0 && !p.released {
		g.markReleased(p, res)
	}
	g.applyRevision(p, hb.Revision, hb.Digest, res)
}

// markReleased handles the last message of a host that released its slot: the host
// counts as dead at once.
func (g *Group) markReleased(p *peer, res *Result) {
	p.released = true
	if p.state != Dead {
		g.markDead(p, res)
	}
	g.rebuildSlotIndex()
	res.Events = append(res.Events, SlotReleased{Process: p.process(), Slot: p.slot})
}

func (g *Group) applyRevision(p *peer, r ident.Revision, digest []byte, res *Result) {
	var d [32]byte
	copy(d[:], digest)
	if len(digest) == 0 {
		// The sender omits a digest that this process has sent it. If the local
		// revision has changed since, the digest of the old one no longer matters.
		if r != g.local.Revision {
			return
		}
		d = g.local.Digest
	}
	if r == 0 || p.revisionReported && p.revision == r && p.digest == d {
		return
	}
	p.revisionReported, p.revision, p.digest = true, r, d
	res.Events = append(res.Events, RevisionHeard{From: p.host, Revision: r, Digest: d})
}

// applyAck handles an acknowledgement. It counts as contact only if the peer knows no
// newer process under this host id or in this slot. In a large domain direct
// acknowledgements are as old as the rotation period, so the peer's digest counts too:
// it shows that a heartbeat has reached at least one host.
func (g *Group) applyAck(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	a := hb.Ack
	if a == nil {
		return
	}
	if a.Incarnation > g.cfg.Self.Incarnation {
		g.markSuperseded(ident.Process{Host: g.cfg.Self.Host, Incarnation: a.Incarnation}, res)
		return
	}
	if a.Holder != nil && newer(*a.Holder, g.cfg.Self) {
		g.markSuperseded(*a.Holder, res)
		return
	}
	if a.Incarnation < g.cfg.Self.Incarnation {
		return // the peer only knows the previous process
	}
	g.applyPreviousHolder(now, a)
	if a.Sequence > g.seq {
		return
	}
	p.ackedSeq = max(p.ackedSeq, a.Sequence)
	seq := a.Sequence
	if relayed, ok := g.ackFromDigest(hb.HeardDigest, a.Sequence); ok {
		seq = max(seq, relayed)
	}
	sent, ok := g.sentAt(seq)
	if !ok || seq <= g.ackedSeq || g.superseded != nil {
		return
	}
	g.ackedSeq = seq
	res.Events = append(res.Events, Contact{From: p.process(), Sent: sent})
}

// answer returns a heartbeat outside the rotation. It never sets FlagAsk, so that two
// hosts cannot keep answering each other.
func (g *Group) answer(now time.Time, p *peer) Envelope {
	return Envelope{To: p.host, Message: Message{Heartbeat: g.heartbeat(now, p)}}
}

// answerStale tells a process of an old incarnation about its successor. It is sent to
// the address in the heartbeat, since the host id now resolves to the new process.
func (g *Group) answerStale(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	if hb.Addr == "" || hb.Addr == p.addr {
		return
	}
	e := g.answer(now, p)
	e.Addr = hb.Addr
	res.Envelopes = append(res.Envelopes, e)
}

// receiveFromOwnHostID handles a heartbeat of another process under this host id.
func (g *Group) receiveFromOwnHostID(sender ident.Process, res *Result) {
	if sender.Incarnation > g.cfg.Self.Incarnation {
		g.markSuperseded(sender, res)
	}
}

// markSuperseded reports once that a newer process has replaced this one.
func (g *Group) markSuperseded(by ident.Process, res *Result) {
	if g.superseded != nil {
		return
	}
	g.superseded = &Superseded{By: by}
	res.Events = append(res.Events, *g.superseded)
}
