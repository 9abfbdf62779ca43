package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// domains holds one bounded record per other failure domain.
type domains struct {
	byName     map[ident.FailureDomain]*domain
	order      []ident.FailureDomain // keys of byName, sorted
	nextDomain int                   // index of the next domain to send a summary to
	relayCount uint64                // number of updates relayed so far
}

type domain struct {
	name       ident.FailureDomain
	listed     map[ident.HostID]HostInfo
	origins    []*origin // most recently received first
	free       map[ident.Model]poolCapacity
	lastRelay  uint64 // domains.relayCount when last relayed
	nextTarget int    // rotates over the delegates, or over the listed hosts while no delegate answers
}

// origin holds the latest update from one delegate of a domain.
type origin struct {
	news         DomainNews
	at           time.Time
	relayCount   int           // times this update was relayed
	lastReported RevisionHeard // last event reported for this delegate
}

type poolCapacity struct {
	free int
	at   time.Time
}

func newDomains() domains {
	return domains{byName: map[ident.FailureDomain]*domain{}}
}

func (d *domains) ensureDomain(name ident.FailureDomain) *domain {
	if o := d.byName[name]; o != nil {
		return o
	}
	o := &domain{name: name, listed: map[ident.HostID]HostInfo{}, free: map[ident.Model]poolCapacity{}}
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

func (d *domains) addListed(h HostInfo) {
	d.ensureDomain(h.Domain).listed[h.ID] = h
}

// addr looks a host up among the delegates first, since their updates are newer
// than the platform's list, and then in the list.
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

// receive applies an update of a domain, direct or relayed. It returns nil for an
// update that is not newer than the last one of the same delegate, names the
// local domain or none, or would exceed the limit on domains.
func (d *domains) receive(now time.Time, local ident.FailureDomain, n *DomainNews) *origin {
	if n.Domain == local || n.Domain == "" {
		return nil
	}
	if d.byName[n.Domain] == nil && len(d.order) >= maxPeers {
		return nil
	}
	dom := d.ensureDomain(n.Domain)
	at := slices.IndexFunc(dom.origins, func(o *origin) bool { return o.news.Origin == n.Origin })
	o := &origin{}
	if at >= 0 {
		o = dom.origins[at]
		if n.Sequence <= o.news.Sequence {
			return nil
		}
		dom.origins = slices.Delete(dom.origins, at, at+1)
	}
	o.news, o.at, o.relayCount = *n, now, 0
	dom.origins = slices.Insert(dom.origins, 0, o)
	dom.origins = dom.origins[:min(len(dom.origins), maxOrigins)]
	for _, f := range n.Free {
		dom.free[f.Model] = poolCapacity{free: f.Free, at: now}
	}
	return o
}

// nextRelay returns the update that a heartbeat relays: the least relayed one; on
// a tie, that of the domain relayed longest ago. One per heartbeat bounds its
// size. An update is relayed repeatedly because each heartbeat goes to another
// peer.
func (d *domains) nextRelay(now time.Time, maxAge time.Duration) []DomainNews {
	var pick *domain
	for _, name := range d.order {
		dom := d.byName[name]
		if dom.latest(now, maxAge) != nil && (pick == nil || dom.relayBefore(pick)) {
			pick = dom
		}
	}
	if pick == nil {
		return nil
	}
	d.relayCount++
	pick.lastRelay = d.relayCount
	pick.origins[0].relayCount++
	return []DomainNews{pick.origins[0].news}
}

func (dom *domain) relayBefore(other *domain) bool {
	a, b := dom.origins[0].relayCount, other.origins[0].relayCount
	return a < b || a == b && dom.lastRelay < other.lastRelay
}

// expireAll marks all updates as expired and drops all free capacity after a pause.
func (d *domains) expireAll(now time.Time) {
	for _, dom := range d.byName {
		for _, o := range dom.origins {
			o.at = time.Time{}
		}
		clear(dom.free)
	}
}

// removeExpired drops expired updates and free capacity, and domains that have
// neither listed hosts nor updates.
func (d *domains) removeExpired(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(name ident.FailureDomain) bool {
		dom := d.byName[name]
		for m, f := range dom.free {
			if now.Sub(f.at) > freeExpiry {
				delete(dom.free, m)
			}
		}
		dom.origins = slices.DeleteFunc(dom.origins, func(o *origin) bool { return now.Sub(o.at) > retentionPeriod })
		if len(dom.listed) > 0 || len(dom.origins) > 0 {
			return false
		}
		delete(d.byName, name)
		return true
	})
}

// latest returns the newest update, or nil if it is older than maxAge.
func (dom *domain) latest(now time.Time, maxAge time.Duration) *origin {
	if len(dom.origins) == 0 || now.Sub(dom.origins[0].at) > maxAge {
		return nil
	}
	return dom.origins[0]
}

// candidates returns the listed hosts in rendezvous order, with leaving hosts
// last.
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

// summary returns the entry of a domain in the view.
func (dom *domain) summary(now time.Time, maxAge time.Duration, delegates int) DomainSummary {
	s := DomainSummary{Domain: dom.name}
	o := dom.latest(now, maxAge)
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
