package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// rotation steps through hosts in an order of its own for each process, so that
// the hosts of a domain do not all address the same peers at the same time.
type rotation struct {
	hosts []ident.HostID // in sorted order when last ranked
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

// targets returns the peers that get the next heartbeat. One place of the
// fan-out goes to dead hosts, which may be back or only cut off.
func (g *Group) targets(now time.Time) []ident.HostID {
	var live, dead, first []ident.HostID
	for _, id := range g.order {
		switch p := g.peers[id]; {
		case p.released, p.addr == "":
		case p.state != Dead:
			live = append(live, id)
		case p.probe && len(first) < g.cfg.Fanout/2:
			p.probe = false
			first = append(first, id)
		default:
			dead = append(dead, id)
		}
	}
	if len(live)+len(dead)+len(first) <= g.cfg.Fanout {
		return slices.Concat(live, dead, first)
	}
	if g.freeChanged(now) {
		g.freeSent, g.freeAt = g.local.Free, now
		first = append(first, g.delegates()...)
	}
	toDead := min(len(dead), max(1, g.cfg.Fanout-len(first)-len(live)))
	out := append(first, g.retry.take(g.cfg.Self.Host, dead, toDead)...)
	for _, id := range g.turn.take(g.cfg.Self.Host, live, max(1, g.cfg.Fanout-len(out))) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return slices.DeleteFunc(out, func(id ident.HostID) bool { return id == g.cfg.Self.Host })
}

// freeChanged reports whether the delegates should hear of new free capacity
// before the rotation reaches them. Limited to one in four intervals, since the
// delegates of a large domain get it from all pool owners.
func (g *Group) freeChanged(now time.Time) bool {
	return now.Sub(g.freeAt) >= 4*g.cfg.Interval && !slices.Equal(g.freeSent, g.local.Free)
}

// beatAll sends a heartbeat to all peers.
func (g *Group) beatAll(now time.Time) []Envelope {
	g.nextSequence(now)
	var all []ident.HostID
	for _, id := range g.order {
		if p := g.peers[id]; p.addr != "" && !p.released {
			all = append(all, id)
		}
	}
	return g.beat(now, all)
}

// beat makes the heartbeats of one interval.
func (g *Group) beat(now time.Time, to []ident.HostID) []Envelope {
	digest := g.digest(now)
	out := make([]Envelope, 0, len(to))
	for i, id := range to {
		hb := g.heartbeat(now, g.peers[id])
		if g.peers[id].state == Dead {
			hb.Flags |= FlagAsk
		}
		hb.Heard = digest
		// The sequence number shifts the choice, so that every peer has its turn.
		if (int(g.seq)+i)%g.cfg.RelayEvery == 0 && i < g.cfg.Fanout {
			hb.Domains = g.domains.relay(now, g.cfg.domainSilent())
		}
		out = append(out, Envelope{To: id, Message: Message{Heartbeat: hb}})
	}
	return out
}

// heartbeat returns a heartbeat for a peer without digest and relayed summaries.
func (g *Group) heartbeat(now time.Time, p *peer) *Heartbeat {
	hb := &Heartbeat{
		Incarnation:    g.cfg.Self.Incarnation,
		Sequence:       g.seq,
		Flags:          g.flags(),
		Revision:       g.local.Revision,
		PlatformSilent: millis(g.local.PlatformSilent),
		Free:           g.local.Free,
		Ack:            g.ack(now, p),
	}
	if p.acked == 0 || p.state == Dead {
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
	if g.left || g.local.Leaving {
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

// ack says what is known of a peer and its slot. It is nil for a host that was
// never heard.
func (g *Group) ack(now time.Time, p *peer) *Ack {
	if p.inc == 0 {
		return nil
	}
	a := &Ack{Incarnation: p.inc, Sequence: p.direct}
	for _, h := range g.slots[p.slot] {
		if h.process.Host != p.host && newer(h.process, p.process()) {
			a.Holder = &h.process
			break
		}
	}
	if now.Sub(p.upAt) < youngFor {
		a.Before, a.Released = g.holderBefore(p)
	}
	return a
}

func (g *Group) receiveHeartbeat(now time.Time, from ident.HostID, m *Heartbeat, res *Result) {
	copied := *m // identify completes it
	hb := &copied
	if hb.Incarnation == 0 || !g.identify(from, hb) {
		return
	}
	sender := ident.Process{Host: from, Incarnation: hb.Incarnation}
	if from == g.cfg.Self.Host {
		g.hearNamesake(sender, res)
		return
	}
	p := g.peer(now, from)
	if p == nil {
		return
	}
	if hb.Incarnation < p.inc {
		g.answerOld(now, p, hb, res)
		return
	}
	g.noteHolder(now, hb.Slot, sender, hb.Flags&FlagReleased != 0)
	if hb.Slot == g.cfg.Slot && hb.Slot >= 0 && newer(sender, g.cfg.Self) {
		g.supersede(sender, res)
	}
	first := hb.Incarnation > p.inc
	if first {
		g.hearNew(now, p, hb, res)
	}
	g.hearAck(now, p, hb, res)
	if hb.Sequence > p.direct {
		g.hearFields(now, p, hb, res)
	}
	if first || hb.Flags&FlagAsk != 0 {
		// An immediate answer gives a new process, or one that has never heard this
		// one, contact within one round trip.
		res.Envelopes = append(res.Envelopes, g.answer(now, p))
	}
	g.eachHeard(hb.Heard, func(p *peer, seq uint64) { g.heard(now, p, seq, res) })
	for i := range hb.Domains {
		g.domains.hear(now, g.cfg.Domain, &hb.Domains[i])
	}
}

// identify completes a heartbeat that leaves out what is known of its sender. It is
// false for one from another domain, or from a process that is not known.
func (g *Group) identify(from ident.HostID, hb *Heartbeat) bool {
	if hb.Domain != "" {
		return hb.Domain == g.cfg.Domain
	}
	p := g.peers[from]
	if p == nil || p.inc != hb.Incarnation {
		return false
	}
	hb.Slot, hb.Addr = p.slot, p.addr
	return true
}

// hearNew starts the record of a process that was not known.
func (g *Group) hearNew(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	previous := p.inc
	g.restart(now, p, hb)
	if previous == 0 {
		return // HostUp follows from heard
	}
	p.state = Live
	p.flapAt = now
	res.Events = append(res.Events, HostRestarted{Process: p.process(), Previous: previous, Slot: hb.Slot})
}

// hearFields takes what a heartbeat newer than all direct ones says of its sender.
func (g *Group) hearFields(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	p.direct, p.directAt = hb.Sequence, now
	p.addr = hb.Addr
	p.leaving = hb.Flags&FlagLeaving != 0
	p.ready = hb.Flags&FlagReady != 0
	p.platformSilent = fromMillis(hb.PlatformSilent)
	p.free = hb.Free
	if hb.Sequence > p.seq {
		g.heard(now, p, hb.Sequence, res)
	}
	p.noteLeaving(res)
	if hb.Flags&FlagReleased != 0 && !p.released {
		g.release(p, res)
	}
	g.hearRevision(p, hb.Revision, hb.Digest, res)
}

// release takes a host's last message: it counts as dead without a wait.
func (g *Group) release(p *peer, res *Result) {
	p.released = true
	if p.state != Dead {
		g.die(p, res)
	}
	g.reindex()
	res.Events = append(res.Events, SlotReleased{Process: p.process(), Slot: p.slot})
}

func (g *Group) hearRevision(p *peer, r ident.Revision, digest []byte, res *Result) {
	var d [32]byte
	copy(d[:], digest)
	if len(digest) == 0 {
		// The sender has heard this digest from here. If the revision here is
		// another by now, the digest of the old one no longer matters.
		if r != g.local.Revision {
			return
		}
		d = g.local.Digest
	}
	if r == 0 || p.told && p.revision == r && p.digest == d {
		return
	}
	p.told, p.revision, p.digest = true, r, d
	res.Events = append(res.Events, RevisionHeard{From: p.host, Revision: r, Digest: d})
}

// hearAck takes an acknowledgement. It counts as contact only when the peer knows
// no newer process in this one's place. In a large domain the direct ones are as
// old as the rotation, so that the peer's digest counts too: it shows that a
// heartbeat has reached someone.
func (g *Group) hearAck(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	a := hb.Ack
	if a == nil {
		return
	}
	if a.Incarnation > g.cfg.Self.Incarnation {
		g.supersede(ident.Process{Host: g.cfg.Self.Host, Incarnation: a.Incarnation}, res)
		return
	}
	if a.Holder != nil && newer(*a.Holder, g.cfg.Self) {
		g.supersede(*a.Holder, res)
		return
	}
	if a.Incarnation < g.cfg.Self.Incarnation {
		return // it has only heard the previous process
	}
	g.hearBefore(now, a)
	if a.Sequence > g.seq {
		return
	}
	p.acked = max(p.acked, a.Sequence)
	seq := a.Sequence
	if relayed, ok := g.ownAck(hb.Heard, a.Sequence); ok {
		seq = max(seq, relayed)
	}
	sent, ok := g.sentAt(seq)
	if !ok || seq <= g.acked || g.by != nil {
		return
	}
	g.acked = seq
	res.Events = append(res.Events, Contact{From: p.process(), Sent: sent})
}

// answer returns a heartbeat outside of the rotation. It never asks for an answer,
// so that two hosts cannot keep answering each other.
func (g *Group) answer(now time.Time, p *peer) Envelope {
	return Envelope{To: p.host, Message: Message{Heartbeat: g.heartbeat(now, p)}}
}

// answerOld tells the process of an old incarnation of its successor. It goes to
// the address that the old process gave, since the host id leads to the new one.
func (g *Group) answerOld(now time.Time, p *peer, hb *Heartbeat, res *Result) {
	if hb.Addr == "" || hb.Addr == p.addr {
		return
	}
	e := g.answer(now, p)
	e.Addr = hb.Addr
	res.Envelopes = append(res.Envelopes, e)
}

// hearNamesake takes a heartbeat of another process under the own host id.
func (g *Group) hearNamesake(sender ident.Process, res *Result) {
	if sender.Incarnation > g.cfg.Self.Incarnation {
		g.supersede(sender, res)
	}
}

// supersede reports once that a newer process has taken this one's place.
func (g *Group) supersede(by ident.Process, res *Result) {
	if g.by != nil {
		return
	}
	g.by = &Superseded{By: by}
	res.Events = append(res.Events, *g.by)
}
