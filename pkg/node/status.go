package node

import (
	"encoding/hex"
	"maps"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// Status returns the node's view of itself and of the fleet.
func (n *Node) Status(now time.Time) status.Status {
	gen, _ := n.configSync.Current()
	v := n.members.View(now)
	s := status.Status{
		Host:        n.cfg.Self.Host,
		Incarnation: n.cfg.Self.Incarnation,
		Domain:      n.cfg.Domain,
		Slot:        n.cfg.Slot,
		Ready:       n.ready,
		Leaving:     n.drain.active,
		Revision:    n.revision,
		Digest:      hex.EncodeToString(gen.Digest[:]),
		ConfigAgeMS: n.configSync.Age(now).Milliseconds(),
		Stale:       n.rules != nil && n.stale(),
		CanMint:     n.limits.CanMint(now),
		Peers:       peerStatus(v.Hosts),
		Domains:     domainStatus(v.Domains),
		InFlight:    len(n.requests),
		Refused:     map[string]uint64{},
	}
	for _, f := range n.placer.Free() {
		s.Pools = append(s.Pools, status.Pool{Model: f.Model, Free: f.Free})
	}
	for code, count := range n.stats.Refused {
		s.Refused[string(code)] = count
	}
	return s
}

func peerStatus(hosts []membership.Host) []status.Peer {
	out := make([]status.Peer, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, status.Peer{
			Host:     h.Process.Host,
			Domain:   h.Domain,
			State:    peerState(h),
			SilentMS: h.Silent.Milliseconds(),
		})
	}
	return out
}

func peerState(h membership.Host) status.PeerState {
	switch {
	case h.State == membership.Dead:
		return status.Dead
	case h.Leaving:
		return status.Leaving
	case h.State == membership.Suspect:
		return status.Suspect
	}
	return status.Live
}

func domainStatus(domains []membership.DomainSummary) []status.Domain {
	out := make([]status.Domain, 0, len(domains))
	for _, d := range domains {
		out = append(out, status.Domain{Domain: d.Domain, Reachable: d.Reachable, Revision: d.Revision})
	}
	return out
}

// Stats returns a copy of the node's counters.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Refused = maps.Clone(n.stats.Refused)
	return s
}

// ActiveRequests returns the ids of the requests that have not ended, in order.
func (n *Node) ActiveRequests() []ident.RequestID {
	var out []ident.RequestID
	for _, r := range n.sortedRequests() {
		out = append(out, r.id)
	}
	return out
}
