package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

// Placer books engines for the requests of one entry host, and owns pools. It is
// not safe for concurrent use.
type Placer struct {
	cfg    Config
	picker picker
	scorer scorer
	filter filter
	fleet  fleet
	now    time.Time

	hosts    map[ident.HostID]HostView
	ranks    map[Pool][]ident.HostID // cache, cleared when hosts change
	free     map[Pool]int            // of other domains
	draining bool

	// Owner side.
	pools    map[Pool]*pool
	released released
	tracker  *reclaim.Tracker

	// Client side.
	pending  map[ident.BackendRef]*pending
	leases   map[ident.BackendRef]*lease
	calls    map[ident.BackendRef]ident.BackendID // plain services
	inFlight map[ident.BackendID]int              // this host's work
	owned    func(ident.BackendRef) bool

	inbox []Message // to this host itself, handled before a call returns
	out   Result
}

// New returns a Placer that knows no host but itself and no engine.
func New(cfg Config, now time.Time) *Placer {
	p := &Placer{
		cfg:      cfg,
		picker:   newPicker(cfg.Seed),
		fleet:    newFleet(),
		now:      now,
		hosts:    map[ident.HostID]HostView{},
		ranks:    map[Pool][]ident.HostID{},
		free:     map[Pool]int{},
		pools:    map[Pool]*pool{},
		released: newReleased(cfg.ReleasedTTL),
		pending:  map[ident.BackendRef]*pending{},
		leases:   map[ident.BackendRef]*lease{},
		calls:    map[ident.BackendRef]ident.BackendID{},
		inFlight: map[ident.BackendID]int{},
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
	p.out = Result{}
}

// finish handles the messages of this host to itself and returns the Result.
func (p *Placer) finish(now time.Time) Result {
	for len(p.inbox) > 0 {
		m := p.inbox[0]
		p.inbox = p.inbox[1:]
		p.handle(now, p.cfg.Self.Host, m)
	}
	out := p.out
	p.out = Result{}
	return out
}

// send queues a message; one to this host itself is handled by finish.
func (p *Placer) send(to ident.HostID, m Message) {
	if to == p.cfg.Self.Host {
		p.inbox = append(p.inbox, m)
		return
	}
	p.out.Envelopes = append(p.out.Envelopes, Envelope{To: to, Message: m})
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

// Tick advances timers. It must be called at least a few times per OwnerTimeout.
func (p *Placer) Tick(now time.Time) Result {
	p.begin(now)
	p.tickPending(now)
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
	for _, e := range pl.order {
		e.expireJobs(now)
	}
	p.sweep(now, pl)
	p.dispatch(now, pl)
	if p.ownerOf(pl.key) != p.cfg.Self.Host && !now.Before(pl.actingUntil) {
		p.handOver(now, pl)
	}
}

// SetFree takes the free capacity that other domains have published.
func (p *Placer) SetFree(now time.Time, pools []PoolFree) {
	p.now = now
	clear(p.free)
	for _, f := range pools {
		if f.Domain != p.cfg.Domain {
			p.free[Pool{Model: f.Model, Domain: f.Domain}] = f.Free
		}
	}
}

// SetEngines takes the platform's list of backend servers.
func (p *Placer) SetEngines(now time.Time, engines []engine.Info) Result {
	p.begin(now)
	p.fleet.set(engines)
	for _, pl := range p.sortedPools() {
		for _, id := range pl.sync(&p.cfg, p.fleet.pools[pl.key]) {
			p.tracker.Forget(id)
		}
	}
	p.adoptPools(now)
	for _, pl := range p.sortedPools() {
		p.recheckQueue(now, pl)
		p.dispatch(now, pl)
	}
	return p.finish(now)
}

// SetHosts takes the membership view.
func (p *Placer) SetHosts(now time.Time, hosts []HostView) Result {
	p.begin(now)
	p.hosts = make(map[ident.HostID]HostView, len(hosts))
	known := make(map[ident.HostID]reclaim.Host, len(hosts))
	for _, h := range hosts {
		p.hosts[h.Process.Host] = h
		if h.Domain == p.cfg.Domain || h.Live {
			// Of a host in a domain that cannot be reached nothing is known; its
			// silence to claim queries decides.
			known[h.Process.Host] = reclaim.Host{Incarnation: h.Process.Incarnation, Live: h.Live}
		}
	}
	known[p.cfg.Self.Host] = reclaim.Host{Incarnation: p.cfg.Self.Incarnation, Live: true}
	p.tracker.SetHosts(known)
	clear(p.ranks)
	p.movePools(now)
	p.moveRequests(now)
	return p.finish(now)
}

// rank returns the live hosts that may own a pool, the owner first: those of its
// domain. A domain whose hosts have all died still has engines that hold memory,
// so then all known hosts take part. Hosts of different domains can then choose
// different owners, which costs overbooking only.
func (p *Placer) rank(key Pool) []ident.HostID {
	if r, ok := p.ranks[key]; ok {
		return r
	}
	live := p.liveIn(func(d ident.FailureDomain) bool { return d == key.Domain })
	if len(live) == 0 {
		live = p.liveIn(func(ident.FailureDomain) bool { return true })
	}
	r := ident.Rank("pool/"+string(key.Model)+"/"+string(key.Domain), live)
	p.ranks[key] = r
	return r
}

// mayOwn tells whether this host can be the owner of a pool: it is of the own
// domain, or that domain has no live host.
func (p *Placer) mayOwn(key Pool) bool {
	if key.Domain == p.cfg.Domain {
		return true
	}
	return len(p.liveIn(func(d ident.FailureDomain) bool { return d == key.Domain })) == 0
}

// liveIn returns the live hosts of some domains in a fixed order.
func (p *Placer) liveIn(wanted func(ident.FailureDomain) bool) []ident.HostID {
	var live []ident.HostID
	for id, h := range p.hosts {
		if h.Live && !h.Leaving && wanted(h.Domain) && id != p.cfg.Self.Host {
			live = append(live, id)
		}
	}
	if wanted(p.cfg.Domain) && !p.draining {
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

// process returns the process that runs as a host, as far as membership knows.
func (p *Placer) process(id ident.HostID) ident.Process {
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

// Idle tells whether this host has neither undecided requests nor bookings.
func (p *Placer) Idle() bool {
	return len(p.pending) == 0 && len(p.leases) == 0 && len(p.calls) == 0
}
