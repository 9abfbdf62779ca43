package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// RelayedUse is the use of one organisation by one host, as that host reported it to the
// host that relays it. In a large fleet hosts report to all others too seldom: until the
// next report, each of them admits requests against the same tokens. A host that gets the
// reports of an organisation at once relays them while few tokens are left.
type RelayedUse struct {
	_            struct{} `cbor:",toarray"`
	Host         ident.HostID
	Incarnation  ident.Incarnation
	Sequence     uint64 // of the report
	Organisation ident.Organisation
	Used         int64 // tokens admitted since the process started
}

func (b *bucket) markToRelay(host ident.HostID) {
	if b.toRelay == nil {
		b.toRelay = map[ident.HostID]struct{}{}
	}
	b.toRelay[host] = struct{}{}
}

// relayDue reports whether reports about an organisation should be relayed now.
func (l *Limiter) relayDue(now time.Time, org ident.Organisation) bool {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 || len(b.toRelay) == 0 && b.used == b.relayedUsed {
		return false
	}
	l.refill(now, b)
	return b.level < b.limit.Burst*urgentBurstShare
}

// Relays returns the reports about the organisations that should be relayed to all hosts
// now, with this host's own figures. nextReport identifies this host and assigns the
// sequence of a report to it; it is called only if there is something to relay.
func (l *Limiter) Relays(now time.Time, orgs []ident.Organisation, nextReport func() Report) []RelayedUse {
	var uses []RelayedUse
	var own Report
	for _, org := range orgs {
		if !l.relayDue(now, org) {
			continue
		}
		b := l.orgs[org]
		for host := range b.toRelay {
			if p := l.peers[host]; p != nil {
				uses = append(uses, RelayedUse{Host: host, Incarnation: p.incarnation, Sequence: p.sequence, Organisation: org, Used: p.used[org]})
			}
		}
		clear(b.toRelay)
		if own.Host == "" {
			own = nextReport()
		}
		uses = append(uses, RelayedUse{Host: own.Host, Incarnation: own.Incarnation, Sequence: own.Sequence, Organisation: org, Used: b.used})
		b.relayedUsed = b.used
	}
	slices.SortFunc(uses, func(a, b RelayedUse) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Host, b.Host))
	})
	return uses
}

// ApplyRelayed charges the reports that another host has relayed, unless later ones have
// arrived. It does not count as hearing from the hosts that they are about.
func (l *Limiter) ApplyRelayed(now time.Time, uses []RelayedUse) {
	for _, u := range uses {
		p, b := l.peers[u.Host], l.orgs[u.Organisation]
		if p == nil || b == nil || p.incarnation != u.Incarnation || u.Sequence <= max(p.sequence, p.relayed[u.Organisation]) {
			continue
		}
		l.refill(now, b)
		b.level = min(l.capacity(now, b), b.level-float64(u.Used-p.used[u.Organisation]))
		p.used = with(p.used, u.Organisation, u.Used)
		if p.relayed == nil {
			p.relayed = map[ident.Organisation]uint64{}
		}
		p.relayed[u.Organisation] = u.Sequence
	}
}

// latest returns the figures of a report, with the relayed ones where they are later.
func (p *peer) latest(r Report) map[ident.Organisation]int64 {
	used := r.Used
	for org, sequence := range p.relayed {
		if sequence <= r.Sequence {
			delete(p.relayed, org)
			continue
		}
		used = with(used, org, p.used[org])
	}
	return used
}

// with returns a copy of used with one more value. The maps of reports belong to their
// senders.
func with(used map[ident.Organisation]int64, org ident.Organisation, tokens int64) map[ident.Organisation]int64 {
	c := make(map[ident.Organisation]int64, len(used)+1)
	maps.Copy(c, used)
	c[org] = tokens
	return c
}
