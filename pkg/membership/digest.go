package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// digestEntrySize is the size in bytes of one entry in Heartbeat.HeardDigest,
	// which is indexed by slot: an 8-bit hash of the process, zero for an empty
	// entry, and the low 8 bits of its sequence number.
	digestEntrySize = 2
	// maxSequenceStep bounds how far a digest can advance a sequence number. One
	// restart in 256 keeps its hash, and a late digest entry of the old process must
	// not raise the number of the new one far above its actual value.
	maxSequenceStep = 16
	// maxDigestSlots bounds the digest. Hosts in slots from this number on, and hosts
	// without a slot, are tracked by direct heartbeats only.
	maxDigestSlots = 256
	// digestMaxAge is the age in intervals up to which a sequence number is included
	// in a digest. An older one has reached all peers already.
	digestMaxAge = 2
)

// processHash identifies a process in a digest. It covers the incarnation, so that
// entries of an old process do not count for the new one. It is never zero.
func processHash(p ident.Process) uint8 {
	d := xxhash.New()
	_, _ = d.WriteString(string(p.Host))
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(p.Incarnation)))
	return max(1, uint8(d.Sum64()))
}

// digest encodes the sequence numbers of the peers heard from recently.
func (g *Group) digest(now time.Time) []byte {
	var out []byte
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Dead || now.Sub(p.heardAt) > digestMaxAge*g.cfg.Interval || g.bySlot[p.slot] != p {
			continue
		}
		at := int(p.slot) * digestEntrySize
		if need := at + digestEntrySize - len(out); need > 0 {
			out = append(out, make([]byte, need)...)
		}
		out[at], out[at+1] = p.digestHash, byte(p.seq)
	}
	return out
}

// forEachAdvanced calls f for each known peer whose sequence number in a digest is
// higher than the last known one, with the full number.
func (g *Group) forEachAdvanced(digest []byte, f func(p *peer, seq uint64)) {
	for slot := ident.Slot(0); len(digest) >= digestEntrySize; slot++ {
		hash, low := digest[0], digest[1]
		digest = digest[digestEntrySize:]
		p := g.bySlot[slot]
		if p == nil || p.digestHash != hash || p.state == Dead {
			g.probeSlot(slot, hash)
			continue
		}
		ahead := int8(low - byte(p.seq))
		if ahead > 0 && ahead <= maxSequenceStep {
			f(p, p.seq+uint64(ahead))
		}
	}
}

// probeSlot records that another host hears from a process in a slot whose host
// counts as dead here, so that it is contacted ahead of the rotation. Only a direct
// answer makes it live again.
func (g *Group) probeSlot(slot ident.Slot, hash uint8) {
	if hash == 0 || slot == g.cfg.Slot {
		return
	}
	for _, id := range g.order {
		if p := g.peers[id]; p.slot == slot && p.state == Dead {
			p.probeDue = true
		}
	}
}

// indexSlot makes a peer the one that a digest entry of its slot refers to, unless a
// newer process holds the slot.
func (g *Group) indexSlot(p *peer) {
	if p.slot < 0 || p.slot >= maxDigestSlots {
		return
	}
	if other := g.bySlot[p.slot]; other == nil || newer(p.process(), other.process()) {
		g.bySlot[p.slot] = p
	}
}

// rebuildSlotIndex rebuilds bySlot after peers were dropped or released their slot.
func (g *Group) rebuildSlotIndex() {
	clear(g.bySlot)
	for _, id := range g.order {
		if p := g.peers[id]; p.incarnation != 0 && !p.released {
			g.indexSlot(p)
		}
	}
}

// ackFromDigest returns the sequence number of this process in a digest, which shows
// that the digest's sender, or a host it heard from, has received it. The digest has
// only the low bits; acked, a full number from the same message, rules out a message
// so late that the bits stand for an earlier number.
func (g *Group) ackFromDigest(digest []byte, acked uint64) (uint64, bool) {
	at := int(g.cfg.Slot) * digestEntrySize
	if g.cfg.Slot < 0 || at+digestEntrySize > len(digest) || digest[at] != processHash(g.cfg.Self) {
		return 0, false
	}
	if g.seq-acked >= sentHistory {
		return 0, false
	}
	behind := uint64(byte(g.seq) - digest[at+1])
	return g.seq - min(behind, g.seq), behind < sentHistory
}
