package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/rolesplit"
)

// roles holds the state for switching engines between prefill and decode. Only one host
// gives role orders at a time: the one with the lowest id among the live hosts. All
// hosts track the work, so that another one can take over.
type roles struct {
	planners    map[ident.Route]*rolesplit.Planner
	own         map[ident.Route]engineWork // work of this host's requests since its start
	peers       map[ident.HostID]map[ident.Route]engineWork
	issued      map[ident.BackendID]issuedOrder
	peerOrderAt time.Time // when another host last gave an order
}

// engineWork is the engine time that requests need.
type engineWork struct {
	prefill float64 // engine seconds
	decode  float64
}

// issuedOrder is a role order given by this host.
type issuedOrder struct {
	stage backends.Stage
	at    time.Time
}

func newRoles() roles {
	return roles{
		planners: map[ident.Route]*rolesplit.Planner{},
		own:      map[ident.Route]engineWork{},
		peers:    map[ident.HostID]map[ident.Route]engineWork{},
		issued:   map[ident.BackendID]issuedOrder{},
	}
}

func (o *roles) planner(service ident.Route) *rolesplit.Planner {
	p := o.planners[service]
	if p == nil {
		p = rolesplit.New(rolesplit.DefaultConfig())
		o.planners[service] = p
	}
	return p
}

// recordWork adds the engine time of a new request.
func (r *Relay) recordWork(q *request) {
	e := q.service.Engine
	if e.MemoryTokens == 0 {
		return
	}
	mean := r.predictor.MeanOutput(q.route.Name, q.spec.MaxOutputTokens)
	w := engineWork{
		prefill: float64(q.spec.PromptTokens) / r.backends.PrefillRate(q.service.Name),
		decode:  r.predictor.MemoryCost(q.spec.PromptTokens, mean) / float64(e.MemoryTokens),
	}
	o := &r.roles
	sum := o.own[q.service.Name]
	o.own[q.service.Name] = engineWork{sum.prefill + w.prefill, sum.decode + w.decode}
	o.planner(q.service.Name).RecordWork(r.now, w.prefill, w.decode)
}

// workReports returns this host's total work for its heartbeats.
func (o *roles) workReports() []WorkNote {
	var notes []WorkNote
	for service, w := range o.own {
		notes = append(notes, WorkNote{Service: service, Prefill: w.prefill, Decode: w.decode})
	}
	return notes
}

// orderReports returns this host's recent role orders for its heartbeats.
func (o *roles) orderReports(now time.Time) []OrderNote {
	var notes []OrderNote
	for id, g := range o.issued {
		notes = append(notes, OrderNote{Backend: id, Stage: g.stage, AgeMS: now.Sub(g.at).Milliseconds()})
	}
	return notes
}

// applyPeerRoles applies another host's reported work and role orders.
func (r *Relay) applyPeerRoles(from ident.HostID, restarted bool, m Message) {
	o := &r.roles
	before := o.peers[from]
	after := make(map[ident.Route]engineWork, len(m.Work))
	for _, n := range m.Work {
		w := engineWork{n.Prefill, n.Decode}
		after[n.Service] = w
		if old, known := before[n.Service]; known && !restarted {
			o.planner(n.Service).RecordWork(r.now, w.prefill-old.prefill, w.decode-old.decode)
		}
	}
	o.peers[from] = after
	for _, n := range m.Orders {
		at := r.now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
		if at.After(o.peerOrderAt) {
			o.peerOrderAt = at
		}
		r.applyOrder(n.Backend, n.Stage, at)
	}
}

// applyOrder keeps work away from an engine while it switches its role.
func (r *Relay) applyOrder(id ident.BackendID, stage backends.Stage, at time.Time) {
	e, ok := r.backends.Entry(id)
	if !ok || r.snapshot == nil {
		return
	}
	sv := r.snapshot.Services[e.Service]
	if sv == nil || sv.Engine == nil {
		return
	}
	r.backends.MarkSwitching(id, stage, at.Add(sv.Engine.RoleSwitch+roleSwitchSlack))
	r.roles.planner(e.Service).RecordChange(at)
}

const (
	// roleSwitchSlack is added to the configured duration of a role switch: the engine
	// finishes running work first, and the list of backend servers lags.
	roleSwitchSlack = 4 * time.Second
	// orderLease is the minimum time between orders of different hosts. It exceeds the
	// platform's bound of 3 s on the delivery of messages by a margin.
	orderLease = 4 * time.Second
	// rolePlanInterval is the interval between checks of the prefill/decode split.
	rolePlanInterval = 500 * time.Millisecond
)

// replanRoles gives role orders if this host is the leader and the prefill/decode split
// no longer fits the work.
func (r *Relay) replanRoles() {
	if !r.cfg.RoleOrders || r.now.Sub(r.rolesPlannedAt) < rolePlanInterval || !r.isRoleLeader() {
		return
	}
	r.rolesPlannedAt = r.now
	for name, sv := range r.snapshot.Services {
		if sv.Engine != nil && sv.Engine.RoleSwitch > 0 && r.now.Sub(r.startedAt) > sv.Engine.RoleSwitch {
			r.planRoles(name, sv)
		}
	}
}

// isRoleLeader reports whether this host may give role orders. It must be able to read the
// platform, have a configuration that is not stale, not be draining, and have been up for
// orderLease. It must have led the fleet for orderLease and a heartbeat interval: the host
// that led before notices as much later that it does not any more, and may have given an
// order that it has not reported. No other host may have given an order within orderLease.
func (r *Relay) isRoleLeader() bool {
	if r.snapshot == nil || r.stale() || !r.connected() || !r.drainStartedAt.IsZero() || r.now.Sub(r.startedAt) < orderLease {
		return false
	}
	if r.now.Sub(r.roles.peerOrderAt) < orderLease {
		return false
	}
	since := r.view.LeadingSince()
	return !since.IsZero() && r.now.Sub(since) >= orderLease+r.roster.Interval()
}

func (r *Relay) planRoles(service ident.Route, sv *catalog.Service) {
	prefill := r.backends.Count(r.now, service, backends.Prefill)
	decode := r.backends.Count(r.now, service, backends.Decode)
	change := r.roles.planner(service).Plan(r.now, prefill, decode)
	if change < 0 && !r.decodeMemoryShort(service, sv) && !r.prefillIdle(service, prefill+change) {
		return
	}
	from, to := backends.Prefill, backends.Decode
	if change > 0 {
		from, to = to, from
	}
	for range max(change, -change) {
		t, ok := r.backends.PickSwitch(r.now, service, from)
		if !ok {
			return
		}
		r.roles.issued[t.ID] = issuedOrder{stage: to, at: r.now}
		r.applyOrder(t.ID, to, r.now)
		r.log(Decision{
			Step: "order", Backend: t.ID, Version: r.snapshot.Version, Age: r.age(),
			Outcome: from.String() + " to " + to.String(),
		})
		r.emit(RoleOrder{To: t, Stage: to, FencingToken: r.fencingToken(r.view.UseSlot())})
	}
}

// decodeShortThreshold is the fraction of decode memory in use above which requests soon
// have to wait. Below it a switch would take an engine out of service without need.
const decodeShortThreshold = 0.85

// idlePrefillUtilisation is the utilisation up to which prefill engines have so much time
// to spare that some of them should decode before a burst needs their memory: a switch
// takes longer than most bursts.
const idlePrefillUtilisation = 0.5

// prefillIdle reports whether fewer prefill engines would still be idle half of the time.
func (r *Relay) prefillIdle(service ident.Route, engines int) bool {
	return r.roles.planner(service).PrefillEngines(r.now) <= idlePrefillUtilisation*float64(engines)
}

// decodeMemoryShort reports whether the decode engines are nearly full.
func (r *Relay) decodeMemoryShort(service ident.Route, sv *catalog.Service) bool {
	return r.backends.MemoryUtilisation(r.now, backends.Query{
		Service:         service,
		Stage:           backends.Decode,
		MemoryPerServer: sv.Engine.MemoryTokens,
	}) >= decodeShortThreshold
}

// fencesPerRevision is the number of distinct fencing tokens per store revision, see
// fleetview.View.Slot.
const fencesPerRevision = fleetview.Slots

// fencesPerEra is the number of distinct fencing tokens per era of the store, in which
// revisions are assigned again from a lower one. Tokens stay below 2^53, up to which JSON
// readers keep numbers exactly.
const fencesPerEra = 1 << 44

// fencingToken returns a token that grows with the revision of the platform's store,
// which all hosts read, and differs between hosts that know each other at the same revision.
func (r *Relay) fencingToken(slot uint64) uint64 {
	return r.storeEra*fencesPerEra + r.storeRevision*fencesPerRevision + slot
}

const (
	// statusStaleToken and statusSwitching are the statuses with which engines refuse an
	// order: they have seen a higher fencing token, or already switch.
	statusStaleToken = 412
	statusSwitching  = 409
)

// orderAnswered drops an order that was refused. An order without an answer is kept,
// because the engine may have accepted it. A refusal shows that another host, which this one
// may not know, gives orders too.
func (r *Relay) orderAnswered(e RoleOrderAnswered) {
	outcome := "taken"
	if !e.OK {
		outcome = "refused or no answer"
	}
	r.log(Decision{Step: "order_answered", Backend: e.Backend, Outcome: outcome})
	if e.OK || e.Status == 0 {
		return
	}
	if e.Status == statusStaleToken {
		r.view.RecordStaleToken(r.now)
	}
	if e.Status == statusStaleToken || e.Status == statusSwitching {
		r.roles.peerOrderAt = r.now
	}
	delete(r.roles.issued, e.Backend)
	r.backends.MarkSwitching(e.Backend, backends.Plain, time.Time{})
}

// expireOrders drops orders that other hosts no longer need to know of.
func (r *Relay) expireOrders() {
	for id, g := range r.roles.issued {
		e, ok := r.backends.Entry(id)
		if !ok || e.Stage == g.stage && r.now.Sub(g.at) > orderLease || r.now.Sub(g.at) > orderTTL {
			delete(r.roles.issued, id)
		}
	}
}

// orderTTL is the maximum time for which an order is reported to other hosts.
const orderTTL = 20 * time.Second
