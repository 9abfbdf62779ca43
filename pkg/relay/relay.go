package relay

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/outlook"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/retry"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// Relay is the state of one host. It is not safe for concurrent use.
type Relay struct {
	cfg Config
	now time.Time
	out []Effect

	roster   *roster.Roster
	quota    *quota.Limiter
	backends *backends.Directory
	budgets  map[ident.Route]*retry.Budget
	queues   map[ident.Route]*queue
	requests map[ID]*request
	rates    map[ident.Route]*rate // of accepted requests

	conf  *catalog.Snapshot
	proof time.Time // the configuration is at least as new as this
	// peerProof is the same of the best informed other host.
	peerProof   time.Time
	peerProofs  map[ident.HostID]time.Time
	directUntil time.Time // until then this host reads the platform itself
	revision    uint64    // of the platform's store
	listed      bool      // the backend servers have been listed
	failedAt    time.Time // first failed read since the last successful one
	readAgain   bool      // asked for since failedAt, because another host could read
	backAt      time.Time // last return of the platform

	silentDomains []ident.FailureDomain

	drainAt time.Time // zero unless stopping
	exited  bool

	startedAt time.Time
	joined    bool // a host is heard that ran before this one started
	outlook   *outlook.Predictor
	roles     roles
	rolesAt   time.Time
}

// queue holds the requests of a model service that wait for room.
type queue struct {
	items *fairqueue.Queue[ID, *request]
	// freed is the decaying average of the tokens of KV cache that become free in a
	// second by the requests of this host.
	freed rate
}

// New returns a relay without configuration.
func New(cfg Config, now time.Time) *Relay {
	return &Relay{
		cfg:      cfg,
		now:      now,
		roster:   roster.New(cfg.Roster),
		quota:    quota.New(cfg.Quota, now),
		backends: backends.NewDirectory(cfg.Backends),
		budgets:  map[ident.Route]*retry.Budget{},
		queues:   map[ident.Route]*queue{},
		requests: map[ID]*request{},
		rates:    map[ident.Route]*rate{},

		peerProofs: map[ident.HostID]time.Time{},

		startedAt: now,
		outlook:   outlook.New(),
		roles:     newRoles(),
	}
}

// Step takes an event and returns what has to be done.
func (r *Relay) Step(now time.Time, e Event) []Effect {
	if now.After(r.now) {
		r.now = now
	}
	r.out = nil
	r.handle(e)
	r.pump()
	r.beat()
	return r.out
}

func (r *Relay) handle(e Event) {
	switch e := e.(type) {
	case Arrived:
		r.arrived(e)
	case Left:
		r.left(e.ID)
	case Reserved:
		r.reserved(e)
	case Prefilled:
		r.prefilled(e)
	case Begun:
		r.begun(e)
	case Ended:
		r.ended(e)
	case ConfigRead:
		r.configRead(e.Snapshot)
	case EntriesListed:
		r.entriesListed(e.Entries)
	case EntryChanged:
		r.backends.Put(e.Entry)
	case EntryRemoved:
		r.entryRemoved(e.ID)
	case Contact:
		r.contact(e)
	case ContactFailed:
		r.contactFailed()
	case Heard:
		r.heard(e.Message)
	case SeedsChanged:
		r.roster.SetSeeds(e.Seeds)
	case Drain:
		r.drain()
	case Ordered:
		r.ordered(e)
	case Tick:
		r.tick()
	}
}

func (r *Relay) emit(e Effect) { r.out = append(r.out, e) }

// Next returns when Tick is due at the latest.
func (r *Relay) Next() time.Time {
	next := r.roster.Next()
	for _, q := range r.queues {
		if q.items.Len() > 0 {
			next = earlier(next, r.now.Add(queueTick))
		}
	}
	return next
}

// queueTick is the pause between looks at waiting requests while nothing happens.
const queueTick = 20 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Ready tells whether the load balancer should send new connections.
func (r *Relay) Ready() bool {
	return r.conf != nil && r.listed && !r.stale() && r.drainAt.IsZero() && !r.Isolated()
}

// isolatedAfter is how long reads of the platform fail before callers should turn to
// hosts that can read it. It leaves the load balancer time to notice before this host
// has to refuse them.
const isolatedAfter = time.Second

// Isolated tells whether this host cannot read the platform while another one can.
func (r *Relay) Isolated() bool {
	return !r.connected() && r.now.Sub(r.failedAt) > isolatedAfter && r.peerFresh()
}

// peerFresh tells whether another host has a much newer configuration.
func (r *Relay) peerFresh() bool {
	return r.peerProof.Sub(r.proof) > isolatedAfter && r.now.Sub(r.peerProof) < r.cfg.StaleAfter
}

// Limits returns what callers may send, and false before the first configuration.
func (r *Relay) Limits() (catalog.Limits, bool) {
	if r.conf == nil {
		return catalog.Limits{}, false
	}
	return r.conf.Limits, true
}

// stale tells whether a withdrawn key might still be in the configuration.
func (r *Relay) stale() bool { return r.age() > r.cfg.StaleAfter }

// age returns how old the configuration may be.
func (r *Relay) age() time.Duration { return r.now.Sub(r.proof) }

func (r *Relay) tick() {
	r.sizeQuota()
	r.quota.Tick(r.now)
	if r.connected() {
		for _, id := range r.backends.Expire(r.now) {
			r.log(Decision{Step: "backend_gone", Backend: id, Outcome: "not listed again after the platform's return"})
		}
	}
	r.refreshBudgets()
	r.forgetSilentHosts()
	r.doubtSilentDomains()
	r.forgetOrders()
	r.considerRoles()
	r.finishDrain()
}

// beat sends the state of this host to the others when it is due.
func (r *Relay) beat() {
	if r.quota.Urgent(r.now) || r.backends.Urgent() {
		r.roster.Hasten()
	}
	b, to, all := r.roster.Tick(r.now, !r.drainAt.IsZero())
	if all {
		r.quota.Told()
		r.backends.Told()
	}
	if len(to) == 0 {
		return
	}
	m := Message{
		Beat:   b,
		Used:   r.quota.Used(),
		Orders: r.roles.orderNotes(r.now),
		Work:   r.roles.workNotes(),
		AgeMS:  r.age().Milliseconds(),
		UpMS:   r.now.Sub(r.startedAt).Milliseconds(),
	}
	for id, l := range r.backends.Own() {
		m.Load = append(m.Load, BackendLoad{Backend: id, Requests: l.Requests, Memory: l.Memory, Prompt: l.Prompt})
	}
	for _, d := range r.backends.Doubts(r.now) {
		m.Doubts = append(m.Doubts, DoubtNote{Backend: d.ID, AgeMS: d.Age.Milliseconds()})
	}
	r.emit(Send{To: to, Message: m})
}

func (r *Relay) heard(m Message) {
	fresh, restarted := r.roster.Hear(r.now, m.Beat)
	if !fresh {
		return
	}
	if restarted {
		r.log(Decision{Step: "peer_restarted", Peer: m.Beat.From.ID, Outcome: "counts start anew"})
	}
	from := m.Beat.From
	proof := r.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	r.peerProofs[from.ID] = proof
	if proof.After(r.peerProof) {
		r.peerProof = proof
	}
	if !r.connected() && !r.readAgain && proof.After(r.failedAt) {
		// Once for each outage: the platform may turn only this host away.
		r.readAgain = true
		r.emit(ReadAgain{})
	}
	r.sizeQuota()
	up := time.Duration(m.UpMS) * time.Millisecond
	r.joined = r.joined || up > r.now.Sub(r.startedAt)+startedTogether
	r.quota.Heard(r.now, quota.Report{Host: from.ID, Incarnation: from.Incarnation, Up: up, Used: m.Used})
	loads := make(map[ident.BackendID]backends.Load, len(m.Load))
	for _, l := range m.Load {
		loads[l.Backend] = backends.Load{Requests: l.Requests, Memory: l.Memory, Prompt: l.Prompt}
	}
	r.backends.SetPeer(from.ID, loads)
	r.hearDoubts(m.Doubts)
	r.hearRoles(from.ID, restarted, m)
}

func (r *Relay) hearDoubts(notes []DoubtNote) {
	doubts := make([]backends.Doubt, len(notes))
	for i, n := range notes {
		doubts[i] = backends.Doubt{ID: n.Backend, Age: time.Duration(n.AgeMS) * time.Millisecond}
	}
	r.backends.HearDoubts(r.now, doubts)
}

// sizeQuota tells the limiter what is known of the fleet. A fleet that starts as a whole
// is taken to have as many entry hosts as backend servers until its hosts are known.
func (r *Relay) sizeQuota() {
	assumed := 0
	if !r.joined && !r.roster.Settled(r.now) {
		assumed = r.backends.Size()
	}
	r.quota.SetFleet(r.roster.SilentAfter(), assumed)
}

// startedTogether is the difference of the ages of hosts that start at the same time, as
// after a loss of power: the time of a start with its first read of the platform.
const startedTogether = 2 * time.Second

// refreshBudgets gives this host its equal part of the fleet's retry slack.
func (r *Relay) refreshBudgets() {
	floor, saved := r.retryShare()
	for _, b := range r.budgets {
		b.SetFloor(r.now, floor, saved)
	}
}

// forgetSilentHosts drops what hosts that are not heard any more have said of themselves.
func (r *Relay) forgetSilentHosts() {
	for _, id := range r.roster.Silent(r.now) {
		r.backends.SetPeer(id, nil)
		delete(r.peerProofs, id)
	}
}

// doubtSilentDomains takes a failure domain whose hosts have all fallen silent for one
// that may be cut off, before requests find that out one backend server at a time.
func (r *Relay) doubtSilentDomains() {
	silent := r.roster.SilentDomains(r.now)
	for _, domain := range silent {
		if !slices.Contains(r.silentDomains, domain) {
			r.log(Decision{Step: "domain_silent", Domain: domain, Outcome: "its backend servers are tried one request at a time"})
			r.backends.Doubt(r.now, domain)
		}
	}
	r.silentDomains = silent
}

func (r *Relay) retryShare() (floor, saved float64) {
	share := r.cfg.RetrySlack * retryMargin / float64(r.roster.Size())
	return share * floorShare / r.cfg.RetryWindow.Seconds(), share * savedShare
}

func (r *Relay) budget(service ident.Route) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		floor, saved := r.retryShare()
		b = retry.New(retry.Config{
			Ratio:      r.cfg.RetryRatio * retryMargin,
			Floor:      floor,
			Saved:      saved,
			PerRequest: maxRetries,
			Window:     r.cfg.RetryWindow,
		}, r.now)
		r.budgets[service] = b
	}
	return b
}

// maxRetries bounds the repeated calls of one request, whatever its route allows.
const maxRetries = 3
