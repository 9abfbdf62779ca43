package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func rankDelegates(domain ident.FailureDomain, hosts []ident.HostID) []ident.HostID {
	return ident.Rank("delegate/"+string(domain), hosts)
}

// delegates returns the hosts that represent the local domain, in rendezvous order
// over the hosts that are neither dead nor leaving. Hosts with different views may
// elect different delegates, which only costs extra messages.
func (g *Group) delegates() []ident.HostID {
	var hosts []ident.HostID
	for _, id := range g.order {
		if p := g.peers[id]; p.state != Dead && !p.isLeaving() {
			hosts = append(hosts, id)
		}
	}
	if !g.leaving && !g.local.Leaving {
		hosts = append(hosts, g.cfg.Self.Host)
	}
	rank := rankDelegates(g.cfg.Domain, hosts)
	return rank[:min(len(rank), g.cfg.Delegates)]
}

// summaries returns the messages to other domains if this host is a delegate. It
// sends at most half a fan-out per interval, or one, rotating over the domains, since
// a delegate also sends heartbeats.
func (g *Group) summaries(now time.Time) []Envelope {
	delegates := g.delegates()
	if !slices.Contains(delegates, g.cfg.Self.Host) {
		return nil
	}
	d := &g.domains
	n := min(len(d.order), max(1, g.cfg.Fanout/2))
	out := make([]Envelope, 0, n)
	for range n {
		d.nextDomain %= len(d.order)
		dom := d.byName[d.order[d.nextDomain]]
		d.nextDomain++
		if to := g.remoteDelegate(now, dom); to != "" {
			out = append(out, g.summaryTo(now, to, dom, delegates))
		}
	}
	return out
}

// remoteDelegate returns the host of another domain to contact. It rotates over the
// known delegates or, without a recent update, over the listed hosts.
func (g *Group) remoteDelegate(now time.Time, dom *domain) ident.HostID {
	var hosts []ident.HostID
	if o := dom.latest(now, g.cfg.domainTimeout()); o != nil {
		for _, del := range o.news.Delegates {
			hosts = append(hosts, del.Host)
		}
	}
	if len(hosts) == 0 {
		hosts = dom.candidates()
	}
	if len(hosts) == 0 {
		return ""
	}
	dom.nextTarget++
	return hosts[dom.nextTarget%len(hosts)]
}

func (g *Group) summaryTo(now time.Time, to ident.HostID, dom *domain, delegates []ident.HostID) Envelope {
	s := &Summary{
		News:  g.ownNews(now, delegates),
		Hears: dom.latest(now, g.cfg.domainTimeout()) != nil,
	}
	if g.local.Revision != 0 {
		s.Digest = g.local.Digest[:]
	}
	return Envelope{To: to, Message: Message{Summary: s}}
}

// ownNews returns an update of the local domain.
func (g *Group) ownNews(now time.Time, delegates []ident.HostID) DomainNews {
	n := DomainNews{
		Domain:   g.cfg.Domain,
		Origin:   g.cfg.Self,
		Sequence: g.seq,
		Revision: g.local.Revision,
		Free:     g.freePools(),
	}
	if !g.leaving && !g.local.Leaving {
		n.Live = 1
	}
	silent := g.local.PlatformSilent
	for _, id := range g.order {
		p := g.peers[id]
		if p.state == Live && !p.isLeaving() {
			n.Live++
		}
		if p.state != Dead {
			silent = min(silent, p.platformSilent)
		}
	}
	n.PlatformSilent = millis(silent)
	for _, id := range delegates {
		addr := g.cfg.Addr
		if p := g.peers[id]; p != nil {
			addr = p.addr
		}
		n.Delegates = append(n.Delegates, Delegate{Host: id, Addr: addr})
	}
	return n
}

// freePools returns the subset of the domain's pools that this interval's summary
// lists. If several hosts report a pool, the most recent direct report counts, and
// the report of this process takes precedence.
func (g *Group) freePools() []PoolFree {
	type claim struct {
		free int
		at   time.Time
	}
	claims := map[ident.Model]claim{}
	for _, id := range g.order {
		p := g.peers[id]
		for _, f := range p.free {
			if c, ok := claims[f.Model]; !ok || p.directAt.After(c.at) {
				claims[f.Model] = claim{free: f.Free, at: p.directAt}
			}
		}
	}
	for _, f := range g.local.Free {
		claims[f.Model] = claim{free: f.Free}
	}
	all := make([]PoolFree, 0, len(claims))
	for m, c := range claims {
		all = append(all, PoolFree{Model: m, Free: c.free})
	}
	slices.SortFunc(all, func(a, b PoolFree) int { return cmp.Compare(a.Model, b.Model) })
	size := g.cfg.SummaryPools
	if len(all) <= size {
		return all
	}
	parts := (len(all) + size - 1) / size
	from := int(g.seq%uint64(parts)) * size
	return all[from:min(from+size, len(all))]
}

// receiveSummary handles an update from another domain. A host that is not a
// delegate answers, so that the sender learns the delegates.
func (g *Group) receiveSummary(now time.Time, from ident.HostID, s *Summary, res *Result) {
	if from != s.News.Origin.Host {
		return
	}
	news := s.News
	news.OneWay = !s.Hears
	o := g.domains.receive(now, g.cfg.Domain, &news)
	if o == nil {
		return
	}
	heard := RevisionHeard{From: from, Revision: s.News.Revision}
	copy(heard.Digest[:], s.Digest)
	if heard.Revision != 0 && heard != o.lastReported {
		o.lastReported = heard
		res.Events = append(res.Events, heard)
	}
	delegates := g.delegates()
	if g.released || slices.Contains(delegates, g.cfg.Self.Host) {
		return
	}
	dom := g.domains.byName[s.News.Domain]
	res.Envelopes = append(res.Envelopes, g.summaryTo(now, from, dom, delegates))
}
