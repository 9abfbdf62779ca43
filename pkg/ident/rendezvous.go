package ident

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the hosts in rendezvous order for key: the first is the owner, the
// next its replacement. Removing a host moves only the keys that it owned. The
// result does not depend on the order of hosts.
func Rank(key string, hosts []HostID) []HostID {
	type weighted struct {
		host   HostID
		weight uint64
	}
	ws := make([]weighted, len(hosts))
	for i, h := range hosts {
		ws[i] = weighted{host: h, weight: weight(key, string(h))}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	out := make([]HostID, len(ws))
	for i, w := range ws {
		out[i] = w.host
	}
	return out
}

// Owner returns the first host in rendezvous order for key, or "" without hosts.
func Owner(key string, hosts []HostID) HostID {
	var best HostID
	var bestWeight uint64
	for _, h := range hosts {
		w := weight(key, string(h))
		if best == "" || w > bestWeight || w == bestWeight && h < best {
			best, bestWeight = h, w
		}
	}
	return best
}

// weight hashes key and member with a separator that neither contains.
func weight(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return finalize(d.Sum64())
}

// finalize applies the 64-bit finalizer of MurmurHash3. Without it, ids that differ
// only in their last character get correlated weights for short keys.
func finalize(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
