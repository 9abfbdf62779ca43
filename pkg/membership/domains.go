package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// domains holds one bounded record per other failure domain.
type domains struct {
	byName map[ident.FailureDomain]*domain
	order  []ident.FailureDomain // keys of byName, sorted
	turn   int                   // next domain to send a summary to
	relays uint64                // counts relayed news
}

type domain struct {
	name    ident.FailureDomain
	listed  map[ident.HostID]HostInfo
	origins []*origin // newest news first
	free    map[ident.Model]poolNews
	relayed uint64 // domains.relays when last relayed
	probe   int    // next listed host to try while no delegate answers
}

// origin is the latest news from one delegate of a domain.
type origin struct {
	news   DomainNews
	at     time.Time
	relays int           // times this news was relayed
	told   RevisionHeard // last reported
}

type poolNews struct {
	free int
	at   time.Time
}

func newDomains() domains {
	return domains{byName: map[ident.FailureDomain]*domain{}}
}

func (d *domains) domain(name ident.FailureDomain) *domain {
	if o := d.byName[name]; o != nil {
		return o
	}
	o := &domain{name: name, listed: map[ident.HostID]HostInfo{}, free: map[ident.Model]poolNews{}}
	d.byName[name] = o
	at, _ := slices.BinarySearch(d.order, name)
	d.order = slices.Insert(d.order, at, name)
	return o
}

func (d *domains) clearListed() {
	for _, o := range d.byName {
		clear(o.listed)
	}
}

func (d *domains) list(h HostInfo) {
	d.domain(h.Domain).listed[h.ID] = h
}

// addr looks a host up among the delegates, whose own word is newer than the
// list, and then in the list.
func (d *domains) addr(id ident.HostID) (string, bool) {
	for _, name := range d.order {
		for _, o := range d.byName[name].origins {
			for _, del := range o.news.Delegates {
				if del.Host == id {
					return del.Addr, true
				}
			}
		}
	}
	for _, name := range d.order {
		if h, ok := d.byName[name].listed[id]; ok {
			return h.Addr, true
		}
	}
	return "", false
}

// hear takes news of a domain, direct or relayed. Only a sequence number above
// the known one of the same delegate counts. It returns nil for old news.
func (d *domains) hear(now time.Time, own ident.FailureDomain, n *DomainNews) *origin {
	if n.Domain == own || n.Domain == "" {
		return nil
	}
	if d.byName[n.Domain] == nil && len(d.order) >= maxPeers {
		return nil
	}
	dom := d.domain(n.Domain)
	at := slices.IndexFunc(dom.origins, func(o *origin) bool { return o.news.Origin == n.Origin })
	o := &origin{}
	if at >= 0 {
		o = dom.origins[at]
		if n.Sequence <= o.news.Sequence {
			return nil
		}
		dom.origins = slices.Delete(dom.origins, at, at+1)
	}
	o.news, o.at, o.relays = *n, now, 0
	dom.origins = slices.Insert(dom.origins, 0, o)
	dom.origins = dom.origins[:min(len(dom.origins), maxOrigins)]
	for _, f := range n.Free {
		dom.free[f.Model] = poolNews{free: f.Free, at: now}
	}
	return o
}

// relay returns news for a heartbeat: the least relayed, of the domain relayed
// longest ago. One per heartbeat bounds its size. News goes out more than once,
// since each time it goes to another peer.
func (d *domains) relay(now time.Time, silence time.Duration) []DomainNews {
	var pick *domain
	for _, name := range d.order {
		dom := d.byName[name]
		if dom.fresh(now, silence) != nil && (pick == nil || dom.relayedLess(pick)) {
			pick = dom
		}
	}
	if pick == nil {
		return nil
	}
	d.relays++
	pick.relayed = d.relays
	pick.origins[0].relays++
	return []DomainNews{pick.origins[0].news}
}

func (dom *domain) relayedLess(other *domain) bool {
	a, b := dom.origins[0].relays, other.origins[0].relays
	return a < b || a == b && dom.relayed < other.relayed
}

// resumed marks all news as old after a pause.
func (d *domains) resumed(now time.Time) {
	for _, dom := range d.byName {
		for _, o := range dom.origins {
			o.at = time.Time{}
		}
		clear(dom.free)
	}
}

// forget drops domains without listed hosts and without news, and old free
// capacity.
func (d *domains) forget(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(name ident.FailureDomain) bool {
		dom := d.byName[name]
		for m, f := range dom.free {
			if now.Sub(f.at) > freeExpiry {
				delete(dom.free, m)
			}
		}
		dom.origins = slices.DeleteFunc(dom.origins, func(o *origin) bool { return now.Sub(o.at) > forgetAfter })
		if len(dom.listed) > 0 || len(dom.origins) > 0 {
			return false
		}
		delete(d.byName, name)
		return true
	})
}

// fresh returns the newest news if it is younger than silence.
func (dom *domain) fresh(now time.Time, silence time.Duration) *origin {
	if len(dom.origins) == 0 || now.Sub(dom.origins[0].at) > silence {
		return nil
	}
	return dom.origins[0]
}

// candidates returns the listed hosts in rendezvous order, leaving ones last.
func (dom *domain) candidates() []ident.HostID {
	var staying, leaving []ident.HostID
	for id, h := range dom.listed {
		if h.Leaving {
			leaving = append(leaving, id)
			continue
		}
		staying = append(staying, id)
	}
	return append(rankDelegates(dom.name, staying), rankDelegates(dom.name, leaving)...)
}

// summary returns what the view says of a domain.
func (dom *domain) summary(now time.Time, silence time.Duration, delegates int) DomainSummary {
	s := DomainSummary{Domain: dom.name}
	o := dom.fresh(now, silence)
	if o == nil {
		hosts := dom.candidates()
		s.Delegates = hosts[:min(len(hosts), delegates)]
		return s
	}
	s.Reachable = !o.news.OneWay
	s.Revision, s.Live = o.news.Revision, o.news.Live
	s.PlatformSilent = fromMillis(o.news.PlatformSilent) + now.Sub(o.at)
	for _, d := range o.news.Delegates {
		s.Delegates = append(s.Delegates, d.Host)
	}
	for m, f := range dom.free {
		if now.Sub(f.at) <= freeExpiry {
			s.Free = append(s.Free, PoolFree{Model: m, Free: f.free})
		}
	}
	slices.SortFunc(s.Free, func(a, b PoolFree) int { return cmp.Compare(a.Model, b.Model) })
	return s
}
