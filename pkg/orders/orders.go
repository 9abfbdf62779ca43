package orders

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pauseGap is the gap between ticks that counts as a pause of the process.
const pauseGap = time.Second

// Orders decides the orders of one pool.
type Orders struct {
	cfg  Config
	plan Plan

	owned    bool
	since    time.Time // start of the wait for a former owner
	lease    time.Time // end of the own lease
	lastTick time.Time

	fence   uint64 // highest number that was seen or used
	nextID  uint64
	engines map[ident.BackendID]*member
	order   []ident.BackendID // keys of engines, sorted
	demand  demand
}

// New returns a pool without engines that this host does not own.
func New(cfg Config) *Orders {
	return &Orders{cfg: cfg, engines: map[ident.BackendID]*member{}}
}

// SetOwned says whether this host owns the pool. A new owner sends nothing until a
// former one's lease has certainly ended.
func (o *Orders) SetOwned(now time.Time, owned bool) {
	if owned && !o.owned {
		o.wait(now)
	}
	o.owned = owned
}

// Contact renews the lease. at is when the heartbeat that a peer acknowledged was
// sent, so that a late acknowledgement does not stretch the lease. After an expired
// lease another host may have become the owner, so that the wait begins again.
func (o *Orders) Contact(at time.Time) {
	if at.After(o.lease) {
		o.wait(at)
	}
	if end := at.Add(o.cfg.Lease); end.After(o.lease) {
		o.lease = end
	}
}

// Resumed is called after a pause: the lease is void.
func (o *Orders) Resumed(now time.Time) {
	o.lease = time.Time{}
	o.lastTick = now
	o.wait(now)
}

// SetPlan sets what the rules want.
func (o *Orders) SetPlan(p Plan) {
	o.plan = p
}

// Tick returns the orders that are due.
func (o *Orders) Tick(now time.Time) []OrderEffect {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseGap {
		o.Resumed(now)
	}
	o.lastTick = now
	o.expire(now)
	if !o.maySend(now) {
		o.demand.differs = time.Time{}
		return nil
	}
	out := o.loads(now)
	if e := o.roleChange(now); e != nil {
		out = append(out, *e)
	}
	return out
}

// OrderDone takes the outcome of an order. An engine that accepts a load still has
// to report it.
func (o *Orders) OrderDone(now time.Time, id uint64, err error) {
	for _, b := range o.order {
		m := o.engines[b]
		if m.pending == nil || m.pending.id != id {
			continue
		}
		if err == nil {
			m.accepted(now)
			return
		}
		m.failed(now, o.cfg)
		if errors.Is(err, ErrStaleFence) {
			o.wait(now) // another owner has sent a higher number
		}
		return
	}
}

// wait begins the wait for a former owner.
func (o *Orders) wait(now time.Time) {
	if now.After(o.since) {
		o.since = now
	}
}

// maySend reports whether this host is the only sender.
func (o *Orders) maySend(now time.Time) bool {
	waited := now.Sub(o.since) > o.cfg.Lease+o.cfg.InFlight
	return o.owned && waited && now.Before(o.deadline())
}

func (o *Orders) deadline() time.Time { return o.lease.Add(-o.cfg.SendMargin) }

// send makes an order to an engine with the next fencing number.
func (o *Orders) send(now time.Time, m *member, ord engine.Order) OrderEffect {
	o.fence++
	o.nextID++
	ord.Fence = o.fence
	m.pending = &pending{id: o.nextID, order: ord, sentAt: now, deadline: o.deadline()}
	return OrderEffect{ID: o.nextID, Backend: m.info, Order: ord, Deadline: o.deadline()}
}

// expire ends orders without an outcome and loads that took too long.
func (o *Orders) expire(now time.Time) {
	for _, id := range o.order {
		m := o.engines[id]
		if m.pending == nil {
			continue
		}
		limit := o.cfg.LoadTimeout
		if !m.pending.accepted {
			limit = m.pending.deadline.Sub(m.pending.sentAt) + o.cfg.InFlight
		}
		if now.Sub(m.pending.sentAt) > limit {
			m.failed(now, o.cfg)
		}
	}
}

// usable returns the engines that can get an order, sorted by load and id. An
// engine must have reported since the wait began: an earlier report may not have
// the former owner's last fencing number.
func (o *Orders) usable(now time.Time) []*member {
	var out []*member
	for _, id := range o.order {
		m := o.engines[id]
		switch {
		case m.pending != nil, m.leaving(), now.Before(m.retryAt):
		case !m.reportedAt.After(o.since), now.Sub(m.reportedAt) > o.cfg.ReportStale:
		case m.uncertain && o.ignoresFence(m):
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
