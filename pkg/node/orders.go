package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/orders"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// ordersInterval is the time between two evaluations of the owned pools.
const ordersInterval = 500 * time.Millisecond

// poolOrders is the state of the orders to the engines of one pool.
type poolOrders struct {
	orders     *orders.Orders
	lastDemand placement.DemandTotals // cumulative, at lastUpdate
	lastUpdate time.Time
}

func comparePool(a, b placement.Pool) int {
	if c := cmp.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	return cmp.Compare(a.Domain, b.Domain)
}

// ordersIfDue sends the orders that the owned pools of the local domain need. Pools
// of other domains are left out, because the membership leases show only within the
// domain whether this host is the only sender.
func (n *Node) ordersIfDue() {
	if n.rules == nil || n.now.Before(n.nextOrders) {
		return
	}
	n.nextOrders = n.now.Add(ordersInterval)
	owned := map[placement.Pool]bool{}
	for _, d := range n.placer.Demand() {
		if d.Pool.Domain == n.cfg.Domain && !n.drain.active && n.allPeersAck {
			owned[d.Pool] = true
			n.updateDemand(d)
		}
	}
	for _, key := range n.sortedPools() {
		n.tickOrders(key, owned[key])
	}
}

func (n *Node) sortedPools() []placement.Pool {
	keys := make([]placement.Pool, 0, len(n.orders))
	for k := range n.orders {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, comparePool)
	return keys
}

// updateDemand passes the plan, the engines and the demand of a pool to its orders.
func (n *Node) updateDemand(d placement.PoolDemand) {
	p := n.orders[d.Pool]
	if p == nil {
		p = &poolOrders{orders: orders.New(n.ordersConfig(d.Pool)), lastUpdate: n.now, lastDemand: d.Totals}
		n.orders[d.Pool] = p
	}
	p.orders.SetPlan(n.plan(d.Pool))
	p.orders.SetEngines(n.poolEngines(d.Pool))
	elapsed := n.now.Sub(p.lastUpdate).Seconds()
	if elapsed <= 0 || !n.cfg.RoleOrders {
		return
	}
	p.orders.SetDemand(n.now, orders.Demand{
		Model:                  d.Pool.Model,
		PrefillTokensPerSecond: float64(d.Totals.PrefillTokens-p.lastDemand.PrefillTokens) / elapsed,
		DecodeTokensPerSecond:  float64(d.Totals.DecodeTokens-p.lastDemand.DecodeTokens) / elapsed,
		Queue:                  d.Queued,
	})
	p.lastUpdate, p.lastDemand = n.now, d.Totals
}

func (n *Node) ordersConfig(key placement.Pool) orders.Config {
	cfg := n.cfg.Orders
	cfg.Model = key.Model
	return cfg
}

// plan returns the version that the engines of a pool should serve, and the groups of
// engines that do not check fencing tokens. The version is the preferred one that is not
// recalled; engines of a recalled version return to service with it.
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

// poolEngines returns the engines in the host list that may be ordered to load a
// version for a pool. Engines of a recalled group may not.
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

// forwardReport passes a load report to the orders of the engine's model.
func (n *Node) forwardReport(r engine.Report) {
	for _, key := range n.sortedPools() {
		if key.Model == r.Model {
			n.orders[key].orders.Report(n.now, r)
		}
	}
}

// renewOrderLeases renews the leases under which this host sends orders.
func (n *Node) renewOrderLeases(sent time.Time) {
	for _, key := range n.sortedPools() {
		n.orders[key].orders.Contact(sent)
	}
}

// voidOrderLeases voids the leases under which this host sends orders, after a pause.
func (n *Node) voidOrderLeases() {
	for _, key := range n.sortedPools() {
		n.orders[key].orders.Resumed(n.now)
	}
}
