package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/evacuation"
	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/outputlen"
	"github.com/mulberrystream/mulberrystream/pkg/quarantine"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/retry"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Relay holds the routing state of one host. It is not safe for concurrent use.
type Relay struct {
	cfg     Config
	now     time.Time
	effects []Effect

	roster               *roster.Roster
	view                 *fleetview.View
	announcedUnreachable map[ident.BackendID]time.Time // failures that are in notes
	announcedLeaving     map[ident.BackendID]time.Time // when the announcement was last put in a note
	notes                *notes.Carrier
	quota                *quota.Limiter
	parts                *quarantine.Tracker
	partNotesAt          time.Time             // last message of sendPartNotes
	limitsUpdatedAt      time.Time             // last call of updateServerLimits
	limitNewsAt          time.Time             // last news of sendLimitMessages
	keepsLimits          map[ident.HostID]bool // hosts whose program keeps the limits of servers
	keepsCold            map[ident.HostID]bool // hosts whose program limits cold servers
	cold                 map[serverlimit.Process]coldStatement
	coldServices         bool                // any service's servers may be cold
	awaitingPermit       map[uint64]*request // by ask
	origins              *origin.Tracker
	resumption           resumption
	backends             *backends.Directory
	evacuations          *evacuation.Tracker
	budgets              map[ident.Route]*retry.Budget
	queues               map[ident.Route]*queue
	requests             map[ID]*request
	admissionRates       map[ident.Route]*rate

	snapshot    *catalog.Snapshot
	confirmedAt time.Time // the snapshot is at least as recent as this
	// latestPeerConfirmedAt is the latest confirmedAt that any other host has reported.
	latestPeerConfirmedAt time.Time
	peerConfirmedAt       map[ident.HostID]time.Time
	avoidReaderUntil      map[ident.HostID]time.Time
	nextDirectRead        time.Time // see DirectReadFailed
	polledReader          int       // number of polls of readers while the platform is unreachable
	storeEra              uint64    // latest seen era of the platform's store
	storeRevision         uint64    // highest seen revision of storeEra
	offers                []Offer   // of this step
	latestVersion         uint64    // highest version of the configuration that any host has
	backendsListed        bool      // the list of backend servers has been read once
	failingSince          time.Time // first failed read since the last success; zero if connected
	retryRequested        bool      // RetryRead was emitted since failingSince
	reconnectedAt         time.Time // end of the last platform outage

	silentDomains []ident.FailureDomain

	drainStartedAt time.Time // zero unless draining
	drainEndsAt    time.Time // when calls are aborted; zero unless draining within a limited time
	exited         bool

	rng                *rand.Rand
	startedAt          time.Time
	joinedRunningFleet bool // a peer was already running when this host started
	predictor          *outputlen.Predictor
	aggregators        aggregators
	roles              roles
	rolesPlannedAt     time.Time
	speedsReportedAt   time.Time
}

// New returns a Relay that has no configuration yet.
func New(cfg Config, now time.Time) *Relay {
	cfg.Backends.Limits = serverlimit.New(cfg.Limits, now)
	cfg.Fleet.Self, cfg.Fleet.Seeds, cfg.Fleet.StopWindow = cfg.Roster.Self, cfg.Roster.Seeds, cfg.RetryWindow
	var r *Relay
	cfg.Backends.Evacuations = evacuation.New(cfg.Evacuation, func(d ident.FailureDomain) bool { return r.knowsDomain(d) })
	r = &Relay{
		cfg:            cfg,
		now:            now,
		roster:         roster.New(cfg.Roster),
		view:           fleetview.New(cfg.Fleet, now),
		notes:          notes.New(cfg.Notes),
		quota:          quota.New(cfg.Quota, now),
		parts:          quarantine.New(cfg.Parts),
		keepsLimits:    map[ident.HostID]bool{},
		keepsCold:      map[ident.HostID]bool{},
		cold:           map[serverlimit.Process]coldStatement{},
		awaitingPermit: map[uint64]*request{},
		origins:        origin.New(cfg.Origins, now),
		resumption:     newResumption(),
		backends:       backends.NewDirectory(cfg.Backends),
		evacuations:    cfg.Backends.Evacuations,
		budgets:        map[ident.Route]*retry.Budget{},
		queues:         map[ident.Route]*queue{},
		requests:       map[ID]*request{},
		admissionRates: map[ident.Route]*rate{},

		announcedUnreachable: map[ident.BackendID]time.Time{},
		announcedLeaving:     map[ident.BackendID]time.Time{},

		peerConfirmedAt:  map[ident.HostID]time.Time{},
		avoidReaderUntil: map[ident.HostID]time.Time{},
		rng:              rand.New(rand.NewPCG(cfg.Backends.Seed, 1)),

		startedAt: now,
		predictor: outputlen.New(),
		roles:     newRoles(),
	}
	return r
}

// Step handles an event and returns the effects to execute.
func (r *Relay) Step(now time.Time, e Event) []Effect {
	if now.After(r.now) {
		r.now = now
	}
	r.effects = nil
	r.handle(e)
	r.applyOrigins()
	r.refuseQuarantined()
	r.startQueued()
	r.offerFreed()
	r.sendHeartbeat()
	r.relayReports()
	r.sendPartNotes()
	r.sendLimitMessages()
	r.logPartChanges()
	return r.effects
}

func (r *Relay) handle(e Event) {
	switch e := e.(type) {
	case Arrived:
		r.arrived(e)
	case CallerLeft:
		r.callerLeft(e.ID)
	case Reserved:
		r.reserved(e)
	case Prefilled:
		r.prefilled(e)
	case FirstEvent:
		r.firstEvent(e)
	case StreamStarted:
		r.streamStarted(e)
	case CallEnded:
		r.callEnded(e)
	case CrashNoticed:
		r.crashNoticed(e)
	case ConfigRead:
		r.configRead(e.Snapshot)
	case EntriesListed:
		r.entriesListed(e)
	case EntryChanged:
		started := !r.backends.HasProcess(e.Entry.Process())
		r.backends.Put(e.Entry)
		r.coldStated(e.Entry, started)
		r.trackVersion(e.Entry)
	case EntryRemoved:
		r.entryRemoved(e.ID)
	case EvacuationsListed:
		r.evacuationsListed(e)
	case EvacuationChanged:
		r.evacuationChanged(e)
	case ServerNoticed:
		r.serverNoticed(e)
	case PlatformReadSucceeded:
		r.platformReadSucceeded(e)
	case PlatformReadFailed:
		r.platformReadFailed()
	case MessageReceived:
		r.messageReceived(e.Message)
	case SeedsChanged:
		r.cfg.Roster.Seeds = e.Seeds
		r.roster.SetSeeds(e.Seeds)
		r.view.SetSeeds(e.Seeds)
	case Drain:
		r.drain()
	case HistoryRead:
		r.historyRead(e)
	case RoleOrderAnswered:
		r.orderAnswered(e)
	case Tick:
		r.tick()
	}
}

func (r *Relay) emit(e Effect) { r.effects = append(r.effects, e) }

// Next returns the time by which the next Tick is due.
func (r *Relay) Next() time.Time {
	next := r.roster.Next()
	for _, q := range r.queues {
		if q.len() > 0 {
			next = earlier(next, r.now.Add(queuePollInterval))
		}
	}
	if len(r.awaitingPermit) > 0 {
		next = earlier(next, r.now.Add(queuePollInterval))
	}
	if r.now.Before(r.drainEndsAt) {
		next = earlier(next, r.drainEndsAt)
	}
	return r.nextOrigins(next)
}

// queuePollInterval is the interval at which queues are checked when there are no other
// events.
const queuePollInterval = 20 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Ready reports whether the load balancer should send new connections to this host.
func (r *Relay) Ready() bool {
	return r.snapshot != nil && r.backendsListed && !r.stale() && r.drainStartedAt.IsZero() && !r.Isolated()
}

// isolatedAfter is how long reads of the platform must fail before the host counts as
// isolated. It leaves the load balancer time to divert callers before this host has to
// refuse them.
const isolatedAfter = time.Second

// Isolated reports whether this host cannot read the platform while another host can.
func (r *Relay) Isolated() bool {
	return !r.connected() && r.now.Sub(r.failingSince) > isolatedAfter && r.peerHasNewerConfig()
}

// peerHasNewerConfig reports whether another host has a significantly newer
// configuration that is not stale.
func (r *Relay) peerHasNewerConfig() bool {
	return r.latestPeerConfirmedAt.Sub(r.confirmedAt) > isolatedAfter && r.now.Sub(r.latestPeerConfirmedAt) < r.cfg.StaleAfter
}

// Limits returns the limits on callers' requests, or false before the first
// configuration.
func (r *Relay) Limits() (catalog.Limits, bool) {
	if r.snapshot == nil {
		return catalog.Limits{}, false
	}
	return r.snapshot.Limits, true
}

// stale reports whether the configuration is so old that it may contain revoked keys.
func (r *Relay) stale() bool { return r.age() > r.cfg.StaleAfter }

// age returns the maximum age of the configuration.
func (r *Relay) age() time.Duration { return r.now.Sub(r.confirmedAt) }

func (r *Relay) tick() {
	r.updateView()
	r.updateQuotaFleet()
	r.quota.Tick(r.now)
	if r.connected() {
		for _, id := range r.backends.ExpireMissing(r.now) {
			r.log(Decision{Step: "backend_gone", Backend: id, Outcome: "removed, not listed again after the platform outage"})
		}
		r.tickEvacuations()
	}
	r.backends.SetReportAge(r.roster.Interval())
	r.refreshBudgets()
	r.dropSilentHosts()
	r.suspendSilentDomains()
	r.parts.Tick(r.now)
	r.notes.Expire(r.now)
	r.reportSpeeds()
	r.updateServerLimits()
	r.expireAsks()
	r.tickOrigins()
	r.expireOrders()
	r.replanRoles()
	r.endDrain()
	r.finishDrain()
}

// sendHeartbeat sends this host's state to the others when a heartbeat is due.
func (r *Relay) sendHeartbeat() {
	if r.limitNewsDue() || r.backends.HasNewReport() || r.serverLimitNewsDue() || r.notes.HasUrgent() {
		r.roster.ExpediteNext()
	}
	b, to, all := r.roster.Tick(r.now, !r.drainStartedAt.IsZero())
	if all {
		r.quota.MarkReported()
		r.backends.MarkReported()
		r.parts.MarkSent()
		r.backends.Limits().MarkSent()
	}
	if len(to) == 0 {
		return
	}
	m := Message{
		Heartbeat: b,
		Used:      r.quota.Used(),
		Orders:    r.roles.orderReports(r.now),
		Work:      r.roles.workReports(),
		AgeMS:     r.age().Milliseconds(),
		UpMS:      r.now.Sub(r.startedAt).Milliseconds(),
		Version:   r.configVersion(),
		Parts:     r.parts.Notes(r.now),

		KeepsLimits:  true,
		Limits:       r.backends.Limits().Notes(r.now),
		KeepsOrigins: true,
		KeepsNotes:   true,
		Fleet:        r.view.Report(),
		KeepsCold:    r.coldServices,
		Notes:        r.takeNotes(),
	}
	for id, l := range r.backends.OwnLoads() {
		m.Load = append(m.Load, BackendLoad{Backend: id, Requests: l.Requests, Memory: l.Memory, Prompt: l.Prompt})
	}
	r.addOldNotes(&m)
	r.emit(Send{To: to, Message: m})
}

func (r *Relay) messageReceived(m Message) {
	if !m.isHeartbeat() {
		r.quota.ApplyRelayed(r.now, m.Relayed)
		r.parts.Apply(r.now, m.Parts)
		r.applyLimitMessage(m)
		r.applyOriginMessage(m)
		r.applyOffers(m)
		return
	}
	fresh, restarted := r.roster.Receive(r.now, m.Heartbeat)
	if !fresh {
		return
	}
	if restarted {
		r.log(Decision{Step: "peer_restarted", Peer: m.Heartbeat.From.ID, Outcome: "its counters restart at zero"})
	}
	r.applyView(m)
	from := m.Heartbeat.From
	confirmedAt := r.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	r.peerConfirmedAt[from.ID] = confirmedAt
	if confirmedAt.After(r.latestPeerConfirmedAt) {
		r.latestPeerConfirmedAt = confirmedAt
	}
	if !r.connected() && !r.retryRequested && confirmedAt.After(r.failingSince) {
		// At most once per outage, because the platform may be rejecting only this host.
		r.retryRequested = true
		r.nextDirectRead = r.now
		r.emit(RetryRead{})
	}
	r.latestVersion = max(r.latestVersion, m.Version)
	r.updateQuotaFleet()
	up := time.Duration(m.UpMS) * time.Millisecond
	r.joinedRunningFleet = r.joinedRunningFleet || up > r.now.Sub(r.startedAt)+jointStartTolerance
	r.quota.ApplyReport(r.now, quota.Report{Host: from.ID, Incarnation: from.Incarnation, Uptime: up, Sequence: m.Heartbeat.Sequence, Used: m.Used})
	loads := make(map[ident.BackendID]backends.Load, len(m.Load))
	for _, l := range m.Load {
		loads[l.Backend] = backends.Load{Requests: l.Requests, Memory: l.Memory, Prompt: l.Prompt}
	}
	r.backends.SetPeerLoads(from.ID, loads)
	r.applyUnreachableReports(m.Unreachable)
	r.parts.Apply(r.now, m.Parts)
	r.applyLeaving(from.ID, m.Leaving)
	r.keepsLimits[from.ID] = m.KeepsLimits
	r.keepsCold[from.ID] = m.KeepsCold
	r.applyLimitMessage(m)
	r.setKeeper(from.ID, m.KeepsOrigins)
	r.applyOriginMessage(m)
	r.applyPeerRoles(from.ID, restarted, m)
	r.applyNotes(m, restarted)
}

func (r *Relay) applyUnreachableReports(notes []UnreachableNote) {
	reports := make([]backends.UnreachableReport, len(notes))
	for i, n := range notes {
		reports[i] = backends.UnreachableReport{ID: n.Backend, Age: time.Duration(n.AgeMS) * time.Millisecond}
	}
	r.backends.ApplyReports(r.now, reports)
}

// updateQuotaFleet passes the known fleet state to the quota limiter. While a whole fleet
// starts at once and its hosts have not found each other, and until this host has known most
// of them, the limiter assumes as many entry hosts as there are backend servers.
func (r *Relay) updateQuotaFleet() {
	assumed := 0
	if !r.view.Established() || !r.joinedRunningFleet && !r.roster.Converged(r.now) {
		assumed = r.backends.Size()
	}
	r.quota.SetFleet(quota.SilentAfter(r.roster.Interval()), assumed)
	r.quota.SetKnownHosts(r.view.Size())
}

// jointStartTolerance is the maximum difference in uptime between hosts that count as
// started together, as after a power failure. It covers a start with its first read of
// the platform.
const jointStartTolerance = 2 * time.Second

// refreshBudgets sets this host's share of the fleet's retry slack.
func (r *Relay) refreshBudgets() {
	floor, burst := r.retryShare()
	for _, b := range r.budgets {
		b.SetFloor(r.now, floor, burst)
	}
}

// dropSilentHosts discards the reports of hosts that no longer send heartbeats.
func (r *Relay) dropSilentHosts() {
	for _, id := range r.roster.Silent(r.now) {
		r.backends.SetPeerLoads(id, nil)
		delete(r.peerConfirmedAt, id)
		delete(r.avoidReaderUntil, id)
		delete(r.keepsLimits, id)
		delete(r.keepsCold, id)
		r.setKeeper(id, false)
	}
}

// suspendSilentDomains suspends the backend servers of a failure domain once all of its
// hosts have stopped sending heartbeats, because the domain may be partitioned. Otherwise
// requests would discover that one backend server at a time.
func (r *Relay) suspendSilentDomains() {
	silent := r.roster.SilentDomains(r.now)
	for _, domain := range silent {
		if !slices.Contains(r.silentDomains, domain) {
			r.log(Decision{Step: "domain_silent", Domain: domain, Outcome: "its backend servers get one request at a time until they answer"})
			r.backends.SuspendDomain(r.now, domain)
		}
	}
	r.silentDomains = silent
}

func (r *Relay) retryShare() (floor, burst float64) {
	share := r.cfg.RetrySlack * retryMargin * r.view.Share()
	return share * retryFloorShare / r.cfg.RetryWindow.Seconds(), share * retryBurstShare
}

func (r *Relay) budget(service ident.Route) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		floor, burst := r.retryShare()
		b = retry.New(retry.Config{
			Ratio:      r.cfg.RetryRatio * retryMargin,
			Floor:      floor,
			Burst:      burst,
			PerRequest: maxRetries,
			Window:     r.cfg.RetryWindow,
		}, r.now)
		if at := r.view.SettledAt(); !r.view.SingleHost() {
			// Until this host could use its part of the slack, the process before it or other
			// hosts may have used that.
			b.EmptyFloor(r.now, at)
		}
		r.budgets[service] = b
	}
	return b
}

// maxRetries bounds the retries of one request, whatever its route allows.
const maxRetries = 3
