package orders

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pauseGap is the time between two ticks above which the process is taken to have
// been paused.
const pauseGap = time.Second

// Orders decides which orders to send to the engines of one pool.
type Orders struct {
	cfg  Config
	plan Plan

	owned          bool
	leaseWaitStart time.Time // start of the wait for a former owner's lease to end
	leaseEnd       time.Time // end of this host's lease
	lastTick       time.Time

	highestFence uint64 // highest fencing token seen or used
	nextID       uint64
	engines      map[ident.BackendID]*member
	engineIDs    []ident.BackendID // keys of engines, sorted
	demand       demand
}

// New returns the state of a pool that has no engines yet and that this host does
// not own.
func New(cfg Config) *Orders {
	return &Orders{cfg: cfg, engines: map[ident.BackendID]*member{}}
}

// SetOwned sets whether this host owns the pool. A new owner sends nothing until the
// lease of any former owner has certainly ended.
func (o *Orders) SetOwned(now time.Time, owned bool) {
	if owned && !o.owned {
		o.startLeaseWait(now)
	}
	o.owned = owned
}

// Contact extends the lease after a peer has acknowledged a heartbeat. at is the
// time at which the heartbeat was sent, so that a late acknowledgement does not
// extend the lease too far. If the lease had expired, another host may have become
// the owner, so the wait for a former owner starts again.
func (o *Orders) Contact(at time.Time) {
	if at.After(o.leaseEnd) {
		o.startLeaseWait(at)
	}
	if end := at.Add(o.cfg.Lease); end.After(o.leaseEnd) {
		o.leaseEnd = end
	}
}

// Resumed ends the lease and starts the wait again. It is called after the process
// was paused.
func (o *Orders) Resumed(now time.Time) {
	o.leaseEnd = time.Time{}
	o.lastTick = now
	o.startLeaseWait(now)
}

// SetPlan sets the state that the rules require of the engines.
func (o *Orders) SetPlan(p Plan) {
	o.plan = p
}

// Tick expires orders that took too long and returns those to be sent now.
func (o *Orders) Tick(now time.Time) []OrderEffect {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseGap {
		o.Resumed(now)
	}
	o.lastTick = now
	o.expireOrders(now)
	if !o.maySend(now) {
		o.demand.directionSince = time.Time{}
		return nil
	}
	out := o.dueLoads(now)
	if e := o.roleChange(now); e != nil {
		out = append(out, *e)
	}
	return out
}

// OrderDone records the outcome of an order. A load that the engine accepted is
// complete only once a report of the engine shows it.
func (o *Orders) OrderDone(now time.Time, id uint64, err error) {
	for _, b := range o.engineIDs {
		m := o.engines[b]
		if m.pending == nil || m.pending.id != id {
			continue
		}
		if err == nil {
			m.markAccepted(now)
			return
		}
		m.recordFailure(now, o.cfg)
		if errors.Is(err, ErrStaleFence) {
			o.startLeaseWait(now) // another owner has sent a higher fencing token
		}
		return
	}
}

// startLeaseWait starts, or restarts, the wait for a former owner's lease to end.
func (o *Orders) startLeaseWait(now time.Time) {
	if now.After(o.leaseWaitStart) {
		o.leaseWaitStart = now
	}
}

// maySend reports whether this host is certainly the only sender of orders.
func (o *Orders) maySend(now time.Time) bool {
	waited := now.Sub(o.leaseWaitStart) > o.cfg.Lease+o.cfg.InFlight
	return o.owned && waited && now.Before(o.deadline())
}

func (o *Orders) deadline() time.Time { return o.leaseEnd.Add(-o.cfg.SendMargin) }

// newOrder returns an order to an engine with the next fencing token and marks it as
// pending.
func (o *Orders) newOrder(now time.Time, m *member, ord engine.Order) OrderEffect {
	o.highestFence++
	o.nextID++
	ord.Fence = o.highestFence
	m.pending = &pending{id: o.nextID, order: ord, sentAt: now, deadline: o.deadline()}
	return OrderEffect{ID: o.nextID, Backend: m.info, Order: ord, Deadline: o.deadline()}
}

// expireOrders fails orders without an outcome and accepted ones that took too long.
func (o *Orders) expireOrders(now time.Time) {
	for _, id := range o.engineIDs {
		m := o.engines[id]
		if m.pending == nil {
			continue
		}
		limit := o.cfg.LoadTimeout
		if !m.pending.accepted {
			limit = m.pending.deadline.Sub(m.pending.sentAt) + o.cfg.InFlight
		}
		if now.Sub(m.pending.sentAt) > limit {
			m.recordFailure(now, o.cfg)
		}
	}
}

// usable returns the engines that can get an order, sorted by load and ID. An
// engine must have reported since the wait began: an earlier report may lack the
// former owner's last fencing token.
func (o *Orders) usable(now time.Time) []*member {
	var out []*member
	for _, id := range o.engineIDs {
		m := o.engines[id]
		switch {
		case m.pending != nil, m.leaving(), now.Before(m.retryAt):
		case !m.reportedAt.After(o.leaseWaitStart), now.Sub(m.reportedAt) > o.cfg.ReportStale:
		case m.outcomeUnknown && o.ignoresFence(m):
		default:
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) })
	return out
}

func (o *Orders) ignoresFence(m *member) bool {
	return slices.Contains(o.plan.IgnoresFence, m.info.Group)
}
