package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/orders"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// orderInterval is the time between two looks at what the owned pools need.
const orderInterval = 500 * time.Millisecond

// poolOrders is what this host orders of the engines of one pool.
type poolOrders struct {
	orders *orders.Orders
	asked  placement.Asked // at the last look
	at     time.Time
}

func comparePool(a, b placement.Pool) int {
	if c := cmp.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	return cmp.Compare(a.Domain, b.Domain)
}

// ordersIfDue sends the orders that the owned pools of the own domain need. Only
// there do membership's leases tell whether this host is the only sender.
func (n *Node) ordersIfDue() {
	if n.rules == nil || n.now.Before(n.ordersAt) {
		return
	}
	n.ordersAt = n.now.Add(orderInterval)
	owned := map[placement.Pool]bool{}
	for _, d := range n.place.Demand() {
		if d.Pool.Domain == n.cfg.Domain && !n.drain.active && n.heard {
			owned[d.Pool] = true
			n.noteDemand(d)
		}
	}
	for _, key := range n.sortedOrders() {
		n.tickOrders(key, owned[key])
	}
}

func (n *Node) sortedOrders() []placement.Pool {
	keys := make([]placement.Pool, 0, len(n.orders))
	for k := range n.orders {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, comparePool)
	return keys
}

// noteDemand gives a pool's orders what they act on.
func (n *Node) noteDemand(d placement.PoolDemand) {
	p := n.orders[d.Pool]
	if p == nil {
		p = &poolOrders{orders: orders.New(n.ordersConfig(d.Pool)), at: n.now, asked: d.Asked}
		n.orders[d.Pool] = p
	}
	p.orders.SetPlan(n.plan(d.Pool))
	p.orders.SetEngines(n.poolEngines(d.Pool))
	elapsed := n.now.Sub(p.at).Seconds()
	if elapsed <= 0 || !n.cfg.RoleOrders {
		return
	}
	p.orders.SetDemand(n.now, orders.Demand{
		Model:                  d.Pool.Model,
		PrefillTokensPerSecond: float64(d.Asked.PrefillTokens-p.asked.PrefillTokens) / elapsed,
		DecodeTokensPerSecond:  float64(d.Asked.DecodeTokens-p.asked.DecodeTokens) / elapsed,
		Queue:                  d.Queued,
	})
	p.at, p.asked = n.now, d.Asked
}

func (n *Node) ordersConfig(key placement.Pool) orders.Config {
	cfg := n.cfg.Orders
	cfg.Model = key.Model
	return cfg
}

// plan is what the rules want of a pool: the preferred version that is not
// recalled. Engines of a recalled version come back into service with it.
func (n *Node) plan(key placement.Pool) orders.Plan {
	var p orders.Plan
	if v := n.versions(key.Model); len(v) > 0 {
		p.Version = v[0]
	}
	for _, e := range n.poolEngines(key) {
		if !n.rules.FencingChecked(e.Group) && !slices.Contains(p.IgnoresFence, e.Group) {
			p.IgnoresFence = append(p.IgnoresFence, e.Group)
		}
	}
	slices.Sort(p.IgnoresFence)
	return p
}

// poolEngines returns the listed engines of a pool that may be loaded. A recalled
// group takes no load.
func (n *Node) poolEngines(key placement.Pool) []engine.Info {
	var out []engine.Info
	for _, e := range n.hosts.Backends() {
		recalled := n.rules.Recalled(e.Model, "", "", e.Group)
		if e.Role != engine.Service && e.Model == key.Model && e.Domain == key.Domain && !e.Leaving && !recalled {
			out = append(out, e)
		}
	}
	return out
}

func (n *Node) tickOrders(key placement.Pool, owned bool) {
	p := n.orders[key]
	p.orders.SetOwned(n.now, owned)
	for _, o := range p.orders.Tick(n.now) {
		n.emit(SendOrder{Pool: key, ID: o.ID, Backend: o.Backend, Order: o.Order, Deadline: o.Deadline})
	}
}

func (n *Node) orderEnded(e OrderEnded) {
	p := n.orders[e.Pool]
	if p == nil {
		return
	}
	var err error
	switch {
	case e.StaleFence:
		err = orders.ErrStaleFence
	case e.Err != nil:
		err = e.Err
	}
	p.orders.OrderDone(n.now, e.ID, err)
}

// reportToOrders passes a load report to the pool of the engine.
func (n *Node) reportToOrders(r engine.Report) {
	for _, key := range n.sortedOrders() {
		if key.Model == r.Model {
			n.orders[key].orders.Report(n.now, r)
		}
	}
}

// contactOrders renews the leases of the orders.
func (n *Node) contactOrders(sent time.Time) {
	for _, key := range n.sortedOrders() {
		n.orders[key].orders.Contact(sent)
	}
}

// resumeOrders voids the leases of the orders after a pause.
func (n *Node) resumeOrders() {
	for _, key := range n.sortedOrders() {
		n.orders[key].orders.Resumed(n.now)
	}
}
