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
	cfg  Config
	now  time.Time // time of the event in hand
	last time.Time // time of the event before
	out  []Effect

	members *membership.Group
	conf    *confsync.Sync
	hosts   *hostlist.Tracker
	limits  *limits.Limiter
	place   *placement.Placer
	once    *idempotency.Memory
	budget  *retry.Budget
	orders  map[placement.Pool]*poolOrders

	rules    *ruleset.Rules // nil until the first generation is in force
	parsed   parsedRules
	revision ident.Revision
	requests map[ident.RequestID]*request
	moving   []ident.RequestID // requests in the phase moving

	ready      bool
	holding    bool // a request may wait for the end of a pause
	superseded bool
	drain      drainState
	viewAt     time.Time
	placeHosts []placement.HostView // last given to the placement
	placeAt    time.Time
	pollAt     time.Time
	hostsAt    time.Time
	ordersAt   time.Time
	hostsBusy  bool
	heard      bool      // every host of the domain that is not dead hears this one
	readAt     time.Time // last read of the configuration from the platform
	stats      Stats
}

// Stats counts what the reducer has seen since the start of the process.
type Stats struct {
	Pauses       uint64
	StaleAnswers uint64 // answers of an older attempt or an ended request
	Retries      uint64
	Refused      map[Code]uint64
}

// New returns a node that has neither rules nor peers.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:      cfg,
		now:      now,
		last:     now,
		members:  membership.New(cfg.Membership, now),
		hosts:    hostlist.New(cfg.HostList, now),
		limits:   limits.New(cfg.Limits, now),
		place:    placement.New(cfg.Placement, now),
		once:     idempotency.New(cfg.Idempotency, now),
		budget:   retry.New(cfg.Retry, now),
		orders:   map[placement.Pool]*poolOrders{},
		requests: map[ident.RequestID]*request{},
		stats:    Stats{Refused: map[Code]uint64{}},
	}
	cfg.ConfSync.Validate = n.parsed.validate
	n.conf = confsync.New(cfg.ConfSync, now)
	n.place.Owned(n.owns)
	return n
}

// Step applies an event and returns the effects that follow from it.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	n.now = now
	n.out = nil
	n.detectPause()
	n.dispatch(ev)
	n.last = now
	return n.out
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
		n.reportToOrders(e.Report)
		n.applyPlacement(n.place.Report(n.now, e.Report))
	case EngineUnreachable:
		n.applyPlacement(n.place.Unreachable(n.now, e.ID))
	case EngineCacheChanged:
		n.place.Events(n.now, e.ID, e.Events)
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

// detectPause voids every lease after a gap in which the process cannot have
// acted, because peers have given its work to others meanwhile.
func (n *Node) detectPause() {
	if n.now.Sub(n.last) < n.cfg.PauseAfter {
		return
	}
	n.stats.Pauses++
	n.applyMembership(n.members.Resumed(n.now))
	n.applyConf(n.conf.Resumed(n.now))
	n.applyLimits(n.limits.Resumed(n.now))
	n.applyPlacement(n.place.Resumed(n.now))
	n.applyOnce(n.once.Resumed(n.now))
	n.resumeOrders()
}

func (n *Node) tick() {
	n.tellLocal()
	n.applyMembership(n.members.Tick(n.now))
	n.applyConf(n.conf.Tick(n.now))
	n.bookHeld()
	n.applyHosts(n.hosts.Tick(n.now))
	n.applyLimits(n.limits.Tick(n.now))
	n.applyPlacement(n.place.Tick(n.now))
	n.applyOnce(n.once.Tick(n.now))
	n.expireMoves()
	n.refreshViewIfDue()
	n.pollIfDue()
	n.ordersIfDue()
	n.watchHostsIfDue()
	n.updateReady()
	n.continueDrain()
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) alarm(part, detail string) { n.emit(Alarm{Part: part, Detail: detail}) }

func (n *Node) send(to ident.HostID, m Message) {
	addr, ok := n.members.Addr(to)
	if !ok {
		return
	}
	n.emit(Send{To: to, Addr: addr, Message: m})
}

func (n *Node) pollIfDue() {
	if n.now.Before(n.pollAt) {
		return
	}
	n.pollAt = n.now.Add(n.cfg.PollInterval)
	for _, info := range n.place.Polls() {
		n.emit(PollEngine{Engine: info})
	}
}

func (n *Node) updateReady() {
	ready := n.rules != nil && n.conf.Ready() && n.hosts.Version() > 0 && !n.drain.active && !n.superseded
	if ready == n.ready {
		return
	}
	n.ready = ready
	n.emit(SetReady{Ready: ready})
}
