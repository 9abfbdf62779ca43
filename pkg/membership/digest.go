package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// digestEntry is the size of one entry in Heartbeat.Heard, whose index is the
	// slot: 8 bits of a hash of the process, zero for no news, and the low 8 bits of
	// its sequence number.
	digestEntry = 2
	// maxAhead bounds the step of a sequence number by a digest. One restart in 256
	// keeps its hash, and late news of the old process must not lift the number of
	// the new one far above its own.
	maxAhead = 16
	// maxDigest bounds the digest. Hosts in slots above it, and hosts without a
	// slot, are known by direct heartbeats only.
	maxDigest = 256
	// digestNews is the age in intervals up to which news is worth a place in a
	// digest. Older news has reached all peers already.
	digestNews = 2
)

// processHash names a process in a digest. The incarnation is a part of it, so
// that news of an old process does not count for the new one. It is never zero.
func processHash(p ident.Process) uint8 {
	d := xxhash.New()
	_, _ = d.WriteString(string(p.Host))
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(p.Incarnation)))
	return max(1, uint8(d.Sum64()))
}

// digest names the peers with recent news.
func (g *Group) digest(now time.Time) []byte {
	var out []byte
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Dead || now.Sub(p.heardAt) > digestNews*g.cfg.Interval || g.bySlot[p.slot] != p {
			continue
		}
		at := int(p.slot) * digestEntry
		if need := at + digestEntry - len(out); need > 0 {
			out = append(out, make([]byte, need)...)
		}
		out[at], out[at+1] = p.hash, byte(p.seq)
	}
	return out
}

// eachHeard calls f for the known peers named in a digest, with the full sequence
// number if it is higher than the last known one.
func (g *Group) eachHeard(digest []byte, f func(p *peer, seq uint64)) {
	for slot := ident.Slot(0); len(digest) >= digestEntry; slot++ {
		hash, low := digest[0], digest[1]
		digest = digest[digestEntry:]
		p := g.bySlot[slot]
		if p == nil || p.hash != hash || p.state == Dead {
			g.probeSlot(slot, hash)
			continue
		}
		ahead := int8(low - byte(p.seq))
		if ahead > 0 && ahead <= maxAhead {
			f(p, p.seq+uint64(ahead))
		}
	}
}

// probeSlot notes that others hear a process in a slot that counts as dead here,
// so that the host is addressed out of turn. Only its own answer brings it back.
func (g *Group) probeSlot(slot ident.Slot, hash uint8) {
	if hash == 0 || slot == g.cfg.Slot {
		return
	}
	for _, id := range g.order {
		if p := g.peers[id]; p.slot == slot && p.state == Dead {
			p.probe = true
		}
	}
}

// index makes a peer the one that digests name by its slot, unless a newer process
// holds the slot.
func (g *Group) index(p *peer) {
	if p.slot < 0 || p.slot >= maxDigest {
		return
	}
	if other := g.bySlot[p.slot]; other == nil || newer(p.process(), other.process()) {
		g.bySlot[p.slot] = p
	}
}

// reindex rebuilds the index of slots after peers were dropped.
func (g *Group) reindex() {
	clear(g.bySlot)
	for _, id := range g.order {
		if p := g.peers[id]; p.inc != 0 && !p.released {
			g.index(p)
		}
	}
}

// ownAck returns the own sequence number that a digest names, which shows that the
// sender or one that it heard has received it. The digest has only the low bits;
// acked, a full number from the same message, rules out a message so late that
// they mean an earlier one.
func (g *Group) ownAck(digest []byte, acked uint64) (uint64, bool) {
	at := int(g.cfg.Slot) * digestEntry
	if g.cfg.Slot < 0 || at+digestEntry > len(digest) || digest[at] != processHash(g.cfg.Self) {
		return 0, false
	}
	if g.seq-acked >= sentTimes {
		return 0, false
	}
	behind := uint64(byte(g.seq) - digest[at+1])
	return g.seq - min(behind, g.seq), behind < sentTimes
}
