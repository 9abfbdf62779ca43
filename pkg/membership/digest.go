package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// digestEntry is the size of one entry in Heartbeat.Heard: the low 32 bits of a
// hash of the process and the low 16 bits of its sequence number. 90 hosts share
// a hash with a chance of one in a million; such hosts are left out of digests.
const digestEntry = 6

// processHash names a process in a digest. The incarnation is a part of it, so
// that news of an old process never counts for the new one.
func processHash(p ident.Process) uint32 {
	d := xxhash.New()
	_, _ = d.WriteString(string(p.Host))
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(p.Incarnation)))
	return uint32(d.Sum64())
}

// digest returns entries for the peers with news since they were last included,
// least recently included first, so that no peer waits more than a few intervals.
func (g *Group) digest() []byte {
	var fresh []*peer
	for _, id := range g.order {
		p := g.peers[id]
		if p.state != Dead && p.seq > p.includedSeq {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *peer) int { return cmp.Compare(a.includedAt, b.includedAt) })
	fresh = fresh[:min(len(fresh), g.cfg.DigestHosts)]
	out := make([]byte, 0, len(fresh)*digestEntry)
	for _, p := range fresh {
		p.includedSeq, p.includedAt = p.seq, g.seq
		out = binary.LittleEndian.AppendUint32(out, processHash(p.process()))
		out = binary.LittleEndian.AppendUint16(out, uint16(p.seq))
	}
	return out
}

// eachHeard calls f for the known peers named in a digest with the full sequence
// number nearest to the peer's last known one.
func (g *Group) eachHeard(digest []byte, f func(p *peer, seq uint64)) {
	for len(digest) >= digestEntry {
		hash := binary.LittleEndian.Uint32(digest)
		low := binary.LittleEndian.Uint16(digest[4:])
		digest = digest[digestEntry:]
		p := g.byHash[hash]
		if p == nil {
			continue
		}
		ahead := int16(low - uint16(p.seq))
		if ahead > 0 {
			f(p, p.seq+uint64(ahead))
		}
	}
}

// reindex rebuilds the hash index. A hash that two peers share maps to nil.
func (g *Group) reindex() {
	g.byHash = make(map[uint32]*peer, len(g.peers))
	for _, id := range g.order {
		p := g.peers[id]
		if p.inc == 0 || p.released {
			continue
		}
		h := processHash(p.process())
		if _, taken := g.byHash[h]; taken {
			g.byHash[h] = nil
			continue
		}
		g.byHash[h] = p
	}
}
