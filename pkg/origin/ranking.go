package origin

import (
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ranking orders the other hosts for a stream: the best of each failure domain come first,
// then the second of each, by rendezvous hashing. Hosts with the same view of the fleet
// agree on it, apart from themselves.
type ranking struct {
	self    ident.FailureDomain
	domains []ident.FailureDomain // sorted
	hosts   map[ident.FailureDomain][]ident.HostID
	count   int
}

func newRanking(cfg Config, peers []Peer) ranking {
	r := ranking{self: cfg.Domain, hosts: map[ident.FailureDomain][]ident.HostID{}}
	for _, p := range peers {
		if p.ID == cfg.Self || slices.Contains(r.hosts[p.Domain], p.ID) {
			continue
		}
		r.hosts[p.Domain] = append(r.hosts[p.Domain], p.ID)
		r.count++
	}
	for d := range r.hosts {
		r.domains = append(r.domains, d)
	}
	slices.Sort(r.domains)
	return r
}

// best returns the first n hosts for a request. With ownLast, the hosts of the own domain
// follow those of the others of the same rank.
func (r *ranking) best(requestID string, n int, ownLast bool) []ident.HostID {
	n = min(n, r.count)
	if n <= 0 {
		return nil
	}
	if n <= len(r.domains) {
		return r.round(requestID, ownLast, func(d ident.FailureDomain) ident.HostID {
			return ident.Owner(requestID, r.hosts[d])
		})[:n]
	}
	ranked := make(map[ident.FailureDomain][]ident.HostID, len(r.domains))
	for d, hosts := range r.hosts {
		ranked[d] = ident.Rank(requestID, hosts)
	}
	var out []ident.HostID
	for rank := 0; len(out) < n; rank++ {
		out = append(out, r.round(requestID, ownLast, func(d ident.FailureDomain) ident.HostID {
			if rank >= len(ranked[d]) {
				return ""
			}
			return ranked[d][rank]
		})...)
	}
	return out[:n]
}

// round returns the hosts that pick chooses from the domains, in their order.
func (r *ranking) round(requestID string, ownLast bool, pick func(ident.FailureDomain) ident.HostID) []ident.HostID {
	var own ident.HostID
	chosen := make([]ident.HostID, 0, len(r.domains))
	for _, d := range r.domains {
		h := pick(d)
		switch {
		case h == "":
		case ownLast && d == r.self:
			own = h
		default:
			chosen = append(chosen, h)
		}
	}
	chosen = ident.Rank(requestID, chosen)
	if own != "" {
		chosen = append(chosen, own)
	}
	return chosen
}
