package membership

import "time"

// View returns a snapshot of the membership at the given time.
func (g *Group) View(now time.Time) View {
	v := View{
		Hosts:   make([]Host, 0, len(g.order)),
		Domains: make([]DomainSummary, 0, len(g.domains.order)),
	}
	for _, id := range g.order {
		v.Hosts = append(v.Hosts, g.host(now, g.peers[id]))
	}
	for _, name := range g.domains.order {
		dom := g.domains.byName[name]
		v.Domains = append(v.Domains, dom.summary(now, g.cfg.domainTimeout(), g.cfg.Delegates))
	}
	return v
}

func (g *Group) host(now time.Time, p *peer) Host {
	h := Host{
		Process:        p.process(),
		Addr:           p.addr,
		Domain:         g.cfg.Domain,
		Slot:           p.slot,
		State:          p.state,
		Leaving:        p.isLeaving(),
		Ready:          p.ready,
		Acked:          g.ackedRecently(now, p),
		Revision:       p.revision,
		Digest:         p.digest,
		PlatformSilent: p.platformSilent,
		Silent:         now.Sub(p.heardAt),
	}
	return h
}

// ackedRecently reports whether a peer that is not dead has acknowledged a
// heartbeat of this process that is no older than SuspectAfter plus two rotation
// periods: one to reach the peer and one for its answer.
func (g *Group) ackedRecently(now time.Time, p *peer) bool {
	if p.state == Dead || p.ackedSeq == 0 {
		return false
	}
	sent, ok := g.sentAt(p.ackedSeq)
	return ok && now.Sub(sent) <= g.cfg.SuspectAfter+2*g.rotationPeriod()
}

// rotationPeriod returns the time in which the rotation reaches every live peer.
func (g *Group) rotationPeriod() time.Duration {
	perInterval := max(1, g.cfg.Fanout-1)
	intervals := (len(g.order) + perInterval - 1) / perInterval
	if len(g.order) <= g.cfg.Fanout {
		intervals = 1
	}
	return time.Duration(intervals) * g.cfg.Interval
}
