package node

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/retry"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// Node is the state of one entry host. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	now       time.Time // time of the current event
	lastEvent time.Time // time of the previous event
	effects   []Effect

	members     *membership.Group
	configSync  *confsync.Sync
	hosts       *hostlist.Tracker
	limits      *limits.Limiter
	placer      *placement.Placer
	idempotency *idempotency.Store
	retryBudget *retry.Budget
	orders      map[placement.Pool]*poolOrders

	rules    *ruleset.Rules // nil until the first generation is in force
	parsed   parsedRules
	revision ident.Revision
	requests map[ident.RequestID]*request
	moving   []ident.RequestID // requests in the phase moving

	ready               bool
	hasDeferred         bool // a request may be deferred until the configuration is confirmed
	superseded          bool
	drain               drainState
	nextViewRefresh     time.Time
	lastPlacementHosts  []placement.HostView // last passed to the placer
	nextPlacementUpdate time.Time
	nextPoll            time.Time
	nextHostsRead       time.Time
	nextOrders          time.Time
	hostsReadPending    bool
	allPeersAck         bool      // every host of the domain that is not dead acknowledges this one; see allAcked
	lastConfigRead      time.Time // when the last read from the platform was started
	stats               Stats
}

// Stats are counters since the start of the process.
type Stats struct {
	Pauses       uint64
	StaleAnswers uint64 // outcomes of an older attempt, an earlier phase or an ended request
	Retries      uint64
	Refused      map[Code]uint64
}

// New returns a node without rules and peers.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:         cfg,
		now:         now,
		lastEvent:   now,
		members:     membership.New(cfg.Membership, now),
		hosts:       hostlist.New(cfg.HostList, now),
		limits:      limits.New(cfg.Limits, now),
		placer:      placement.New(cfg.Placement, now),
		idempotency: idempotency.New(cfg.Idempotency, now),
		retryBudget: retry.New(cfg.Retry, now),
		orders:      map[placement.Pool]*poolOrders{},
		requests:    map[ident.RequestID]*request{},
		stats:       Stats{Refused: map[Code]uint64{}},
	}
	cfg.ConfSync.Validate = n.parsed.validate
	n.configSync = confsync.New(cfg.ConfSync, now)
	n.placer.SetOwned(n.owns)
	return n
}

// Step applies an event and returns the resulting effects.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	n.now = now
	n.effects = nil
	n.detectPause()
	n.dispatch(ev)
	n.lastEvent = now
	return n.effects
}

func (n *Node) dispatch(ev Event) {
	switch e := ev.(type) {
	case Tick:
		n.tick()
	case PeerMessage:
		n.peerMessage(e)
	case CompletionArrived:
		n.completionArrived(e)
	case ServiceArrived:
		n.serviceArrived(e)
	case CallerGone:
		n.callerGone(e)
	case PrefillEnded:
		n.prefillEnded(e)
	case ImportEnded:
		n.importEnded(e)
	case DecodeStarted:
		n.decodeStarted(e)
	case DecodeEnded:
		n.decodeEnded(e)
	case ServiceEnded:
		n.serviceEnded(e)
	case EngineReported:
		n.forwardReport(e.Report)
		n.applyPlacement(n.placer.Report(n.now, e.Report))
	case EngineUnreachable:
		n.applyPlacement(n.placer.Unreachable(n.now, e.ID))
	case EngineCacheChanged:
		n.placer.ApplyCacheEvents(n.now, e.ID, e.Events)
	case ConfigRead:
		n.configRead(e)
	case HostsRead:
		n.hostsRead(e)
	case OrderEnded:
		n.orderEnded(e)
	case Shutdown:
		n.beginDrain()
	default:
		n.alarm("node", fmt.Sprintf("event of unknown type %T dropped", ev))
	}
}

// detectPause voids all leases after the process was paused, because its peers may
// have given its work to other hosts meanwhile.
func (n *Node) detectPause() {
	if n.now.Sub(n.lastEvent) < n.cfg.PauseThreshold {
		return
	}
	n.stats.Pauses++
	n.applyMembership(n.members.Resumed(n.now))
	n.applyConfigSync(n.configSync.Resumed(n.now))
	n.applyLimits(n.limits.Resumed(n.now))
	n.applyPlacement(n.placer.Resumed(n.now))
	n.applyIdempotency(n.idempotency.Resumed(n.now))
	n.voidOrderLeases()
}

func (n *Node) tick() {
	n.updateLocalState()
	n.applyMembership(n.members.Tick(n.now))
	n.applyConfigSync(n.configSync.Tick(n.now))
	n.bookDeferred()
	n.applyHosts(n.hosts.Tick(n.now))
	n.applyLimits(n.limits.Tick(n.now))
	n.applyPlacement(n.placer.Tick(n.now))
	n.applyIdempotency(n.idempotency.Tick(n.now))
	n.expireMoves()
	n.refreshViewIfDue()
	n.pollIfDue()
	n.ordersIfDue()
	n.watchHostsIfDue()
	n.updateReady()
	n.continueDrain()
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) alarm(part, detail string) { n.emit(Alarm{Part: part, Detail: detail}) }

func (n *Node) send(to ident.HostID, m Message) {
	addr, ok := n.members.Addr(to)
	if !ok {
		return
	}
	n.emit(Send{To: to, Addr: addr, Message: m})
}

func (n *Node) pollIfDue() {
	if n.now.Before(n.nextPoll) {
		return
	}
	n.nextPoll = n.now.Add(n.cfg.PollInterval)
	for _, info := range n.placer.PolledEngines() {
		n.emit(PollEngine{Engine: info})
	}
}

func (n *Node) updateReady() {
	ready := n.rules != nil && n.configSync.Ready() && n.hosts.Version() > 0 && !n.drain.active && !n.superseded
	if ready == n.ready {
		return
	}
	n.ready = ready
	n.emit(SetReady{Ready: ready})
}
