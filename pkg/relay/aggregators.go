package relay

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// In a large fleet, each organisation has aggregators: hosts to which all others report at
// once what they admit for it, and which relay that to all hosts while little is left of
// its limit. Without them a host learns of the others' admissions with their next
// heartbeats, and an organisation that suddenly asks for several times its rate is
// admitted several times its burst, and then refused until that is paid back.
const (
	// aggregatorsPerOrganisation is the number of aggregators, in different failure
	// domains. Hosts that are cut off are noticed late in a large fleet; with three, one of
	// them is nearly always reached.
	aggregatorsPerOrganisation = 3
	// aggregatorInterval is the heartbeat interval from which on there are aggregators.
	// With a shorter one, hosts send their own heartbeats early.
	aggregatorInterval = 250 * time.Millisecond
	// aggregatorCheckInterval is how often the live hosts are compared with those of the
	// assignment.
	aggregatorCheckInterval = time.Second
	// relayInterval is the minimum time between two messages that an aggregator relays.
	relayInterval = 100 * time.Millisecond
)

// aggregators is the assignment of aggregators to organisations as this host sees it.
type aggregators struct {
	checkedAt time.Time
	version   uint64         // of the configuration that names the organisations
	alive     []ident.HostID // the hosts among which they were chosen

	hosts map[ident.Organisation][]roster.Host
	own   []ident.Organisation // of which this host is an aggregator

	relayedAt time.Time // see relayReports
}

// hasAggregators reports whether the fleet is so large that organisations have
// aggregators.
func (r *Relay) hasAggregators() bool { return r.roster.Interval() > aggregatorInterval }

// assignAggregators renews the assignment if the live hosts or the organisations have
// changed. All hosts with the same view of the fleet arrive at the same one.
func (r *Relay) assignAggregators() {
	a := &r.aggregators
	if r.snapshot == nil || !r.hasAggregators() || r.now.Sub(a.checkedAt) < aggregatorCheckInterval {
		return
	}
	a.checkedAt = r.now
	alive := append(r.roster.Alive(r.now), r.cfg.Roster.Self)
	ids := make([]ident.HostID, len(alive))
	byID := make(map[ident.HostID]roster.Host, len(alive))
	for i, h := range alive {
		ids[i], byID[h.ID] = h.ID, h
	}
	if a.version == r.snapshot.Version && slices.Equal(a.alive, ids) {
		return
	}
	a.version, a.alive = r.snapshot.Version, ids
	a.hosts, a.own = map[ident.Organisation][]roster.Host{}, nil
	r.snapshot.Organisations(func(o *catalog.Organisation) {
		if o.Rate <= 0 {
			return
		}
		var chosen []roster.Host
		for _, id := range ident.Rank(string(o.Name), ids) {
			h := byID[id]
			if slices.ContainsFunc(chosen, func(c roster.Host) bool { return c.Domain == h.Domain }) {
				continue
			}
			chosen = append(chosen, h)
			if id == r.cfg.Roster.Self.ID {
				a.own = append(a.own, o.Name)
			}
			if len(chosen) == aggregatorsPerOrganisation {
				break
			}
		}
		a.hosts[o.Name] = chosen
	})
}

// reportToAggregators sends this host's figures to the aggregators of an organisation for
// which it has admitted a request.
func (r *Relay) reportToAggregators(org ident.Organisation) {
	r.assignAggregators()
	for _, h := range r.aggregators.hosts[org] {
		if h.ID != r.cfg.Roster.Self.ID {
			r.roster.Notify(h.Addr)
		}
	}
}

// limitNewsDue reports whether this host should tell all others at once what it has
// admitted. While the hosts of a large fleet have not found each other, they may disagree
// on the aggregators.
func (r *Relay) limitNewsDue() bool {
	return (!r.hasAggregators() || !r.roster.Converged(r.now)) && r.quota.ReportDue(r.now)
}

// relayReports sends what other hosts have reported to this one as an aggregator. The
// message has nothing else in it: a heartbeat to all hosts of a large fleet occupies the
// link of a host for a tenth of a second.
func (r *Relay) relayReports() {
	if !r.hasAggregators() || r.now.Sub(r.aggregators.relayedAt) < relayInterval {
		return
	}
	r.assignAggregators()
	self := r.cfg.Roster.Self
	uses := r.quota.Relays(r.now, r.aggregators.own, func() quota.Report {
		return quota.Report{Host: self.ID, Incarnation: self.Incarnation, Sequence: r.roster.NextSequence()}
	})
	if len(uses) == 0 {
		return
	}
	r.aggregators.relayedAt = r.now
	r.sendToAll(Message{Relayed: uses})
}

// sendToAll sends a message that is no heartbeat to all live hosts.
func (r *Relay) sendToAll(m Message) {
	m.Heartbeat = roster.Heartbeat{From: r.cfg.Roster.Self}
	var to []string
	for _, h := range r.roster.Alive(r.now) {
		to = append(to, h.Addr)
	}
	r.emit(Send{To: to, Message: m})
}

// isHeartbeat reports whether a message is a heartbeat, whose sequence starts at 1, and not
// one of sendToAll.
func (m *Message) isHeartbeat() bool { return m.Heartbeat.Sequence > 0 }
