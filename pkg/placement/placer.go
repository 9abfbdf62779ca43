package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

// Placer books engines for the requests of one entry host and acts as owner of its
// share of the pools. It is not safe for concurrent use.
type Placer struct {
	cfg    Config
	picker picker
	scorer scorer
	filter filter
	fleet  fleet
	now    time.Time

	hosts      map[ident.HostID]HostView
	rankCache  map[Pool][]ident.HostID // cleared when hosts change
	freeByPool map[Pool]int            // free slots in other domains
	draining   bool

	// Owner side.
	pools    map[Pool]*pool
	released released
	tracker  *reclaim.Tracker

	// Client side.
	pending      map[ident.BackendRef]*pending
	leases       map[ident.BackendRef]*lease
	serviceCalls map[ident.BackendRef]ident.BackendID // calls of plain services
	inFlight     map[ident.BackendID]int              // this host's work per backend server
	ownedByNode  func(ident.BackendRef) bool

	inbox  []Message // messages to this host itself, handled before a call returns
	result Result
}

// New returns a Placer that knows no engine and no other host.
func New(cfg Config, now time.Time) *Placer {
	p := &Placer{
		cfg:          cfg,
		picker:       newPicker(cfg.Seed),
		fleet:        newFleet(),
		now:          now,
		hosts:        map[ident.HostID]HostView{},
		rankCache:    map[Pool][]ident.HostID{},
		freeByPool:   map[Pool]int{},
		pools:        map[Pool]*pool{},
		released:     newReleased(cfg.ReleasedTTL),
		pending:      map[ident.BackendRef]*pending{},
		leases:       map[ident.BackendRef]*lease{},
		serviceCalls: map[ident.BackendRef]ident.BackendID{},
		inFlight:     map[ident.BackendID]int{},
	}
	p.scorer = scorer{cfg: &p.cfg}
	p.tracker = newTracker(cfg)
	return p
}

func newTracker(cfg Config) *reclaim.Tracker {
	return reclaim.New(reclaim.Config{ClaimInterval: cfg.ClaimInterval, OrphanGrace: cfg.OrphanGrace})
}

// begin starts a call that returns a Result.
func (p *Placer) begin(now time.Time) {
	p.now = now
	p.result = Result{}
}

// finish handles the messages of this host to itself and returns the Result.
func (p *Placer) finish(now time.Time) Result {
	for len(p.inbox) > 0 {
		m := p.inbox[0]
		p.inbox = p.inbox[1:]
		p.handle(now, p.cfg.Self.Host, m)
	}
	out := p.result
	p.result = Result{}
	return out
}

// send queues a message; one to this host itself is handled by finish.
func (p *Placer) send(to ident.HostID, m Message) {
	if to == p.cfg.Self.Host {
		p.inbox = append(p.inbox, m)
		return
	}
	p.result.Envelopes = append(p.result.Envelopes, Envelope{To: to, Message: m})
}

// Receive handles a message of another host.
func (p *Placer) Receive(now time.Time, from ident.HostID, m Message) Result {
	p.begin(now)
	p.handle(now, from, m)
	return p.finish(now)
}

func (p *Placer) handle(now time.Time, from ident.HostID, m Message) {
	switch {
	case m.Book != nil:
		b := *m.Book
		p.onBook(now, &b)
	case m.Queued != nil:
		p.onQueued(now, from, m.Queued)
	case m.Booked != nil:
		p.onBooked(now, from, m.Booked)
	case m.Refused != nil:
		p.onRefused(now, from, m.Refused)
	case m.Prefill != nil:
		p.onPrefilled(now, m.Prefill)
	case m.Release != nil:
		p.onRelease(now, m.Release)
	case m.Query != nil:
		p.onQuery(from, *m.Query)
	case m.Reply != nil:
		p.onOrphans(now, p.tracker.Receive(now, from, *m.Reply))
	case m.Move != nil:
		p.onMove(now, from, m.Move)
	case m.Handover != nil:
		p.onHandover(now, m.Handover)
	}
}

// Tick processes timeouts. It must be called at least a few times per OwnerTimeout.
func (p *Placer) Tick(now time.Time) Result {
	p.begin(now)
	p.retryOverdue(now)
	for _, pl := range p.sortedPools() {
		p.tickPool(now, pl)
	}
	p.released.expire(now)
	queries, orphans := p.tracker.Tick(now)
	for _, q := range queries {
		p.send(q.Process.Host, Message{Query: &q})
	}
	p.onOrphans(now, orphans)
	return p.finish(now)
}

func (p *Placer) tickPool(now time.Time, pl *pool) {
	for _, e := range pl.sortedEngines {
		e.expireJobs(now)
	}
	p.refuseLate(now, pl)
	p.dispatch(now, pl)
	if p.ownerOf(pl.key) != p.cfg.Self.Host && !now.Before(pl.fallbackUntil) {
		p.handOver(now, pl)
	}
}

// SetFree sets the free capacity that other domains have published.
func (p *Placer) SetFree(now time.Time, pools []PoolFree) {
	p.now = now
	clear(p.freeByPool)
	for _, f := range pools {
		if f.Domain != p.cfg.Domain {
			p.freeByPool[Pool{Model: f.Model, Domain: f.Domain}] = f.Free
		}
	}
}

// SetEngines sets the platform's list of backend servers.
func (p *Placer) SetEngines(now time.Time, engines []engine.Info) Result {
	p.begin(now)
	p.fleet.setEngines(engines)
	for _, pl := range p.sortedPools() {
		for _, id := range pl.syncEngines(&p.cfg, p.fleet.pools[pl.key]) {
			p.tracker.Forget(id)
		}
	}
	p.createOwnedPools(now)
	for _, pl := range p.sortedPools() {
		p.recheckQueue(now, pl)
		p.dispatch(now, pl)
	}
	return p.finish(now)
}

// SetHosts sets the membership view.
func (p *Placer) SetHosts(now time.Time, hosts []HostView) Result {
	p.begin(now)
	p.hosts = make(map[ident.HostID]HostView, len(hosts))
	known := make(map[ident.HostID]reclaim.Host, len(hosts))
	for _, h := range hosts {
		p.hosts[h.Process.Host] = h
		if h.Domain == p.cfg.Domain || h.Live {
			// A host of another domain that is not live is left unknown, since its
			// domain may only be unreachable; whether it answers claim queries
			// decides.
			known[h.Process.Host] = reclaim.Host{Incarnation: h.Process.Incarnation, Live: h.Live}
		}
	}
	known[p.cfg.Self.Host] = reclaim.Host{Incarnation: p.cfg.Self.Incarnation, Live: true}
	p.tracker.SetHosts(known)
	clear(p.rankCache)
	p.handOverLostPools(now)
	p.reassignRequests(now)
	return p.finish(now)
}

// rank returns the live hosts that may own a pool, the owner first. These are the
// hosts of its domain. When all of them have died, the engines still hold memory, so
// all known live hosts are candidates. Hosts of different domains can then choose
// different owners, which at worst overbooks engines.
func (p *Placer) rank(key Pool) []ident.HostID {
	if r, ok := p.rankCache[key]; ok {
		return r
	}
	live := p.liveIn(func(d ident.FailureDomain) bool { return d == key.Domain })
	if len(live) == 0 {
		live = p.liveIn(func(ident.FailureDomain) bool { return true })
	}
	r := ident.Rank("pool/"+string(key.Model)+"/"+string(key.Domain), live)
	p.rankCache[key] = r
	return r
}

// mayOwn reports whether this host can own a pool: the pool is in the local domain,
// or its domain has no live host.
func (p *Placer) mayOwn(key Pool) bool {
	if key.Domain == p.cfg.Domain {
		return true
	}
	return len(p.liveIn(func(d ident.FailureDomain) bool { return d == key.Domain })) == 0
}

// liveIn returns the live hosts of the domains that include accepts, sorted.
func (p *Placer) liveIn(include func(ident.FailureDomain) bool) []ident.HostID {
	var live []ident.HostID
	for id, h := range p.hosts {
		if h.Live && !h.Leaving && include(h.Domain) && id != p.cfg.Self.Host {
			live = append(live, id)
		}
	}
	if include(p.cfg.Domain) && !p.draining {
		live = append(live, p.cfg.Self.Host)
	}
	slices.Sort(live)
	return live
}

// ownerOf returns the owner of a pool, or "" when no live host is known.
func (p *Placer) ownerOf(key Pool) ident.HostID {
	if r := p.rank(key); len(r) > 0 {
		return r[0]
	}
	return ""
}

// processOf returns the process of a host; its incarnation is zero when membership
// does not know the host.
func (p *Placer) processOf(id ident.HostID) ident.Process {
	if h, ok := p.hosts[id]; ok {
		return h.Process
	}
	if id == p.cfg.Self.Host {
		return p.cfg.Self
	}
	return ident.Process{Host: id}
}

func (p *Placer) sortedPools() []*pool {
	out := make([]*pool, 0, len(p.pools))
	for _, key := range sortedKeys(p.pools, comparePools) {
		out = append(out, p.pools[key])
	}
	return out
}

func compareHosts(a, b ident.HostID) int { return cmp.Compare(a, b) }

// Idle reports whether this host has no undecided requests, bookings or calls of
// plain services.
func (p *Placer) Idle() bool {
	return len(p.pending) == 0 && len(p.leases) == 0 && len(p.serviceCalls) == 0
}
