package orders

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// dueLoads returns the load orders to be sent now, starting with the engines that have
// the least work, where the loss of capacity during a load matters least.
func (o *Orders) dueLoads(now time.Time) []OrderEffect {
	var out []OrderEffect
	running := o.Loading()
	for _, m := range o.usable(now) {
		if running >= o.cfg.MaxLoads {
			break
		}
		ord, ok := o.nextLoad(m)
		if !ok || ord.Kind == engine.OrderLoadVersion && !o.canStopServing(m) {
			continue
		}
		out = append(out, o.newOrder(now, m, ord))
		running++
	}
	return out
}

// Loading returns the number of running loads. A host that owns several pools divides
// its limit among them with SetMaxLoads.
func (o *Orders) Loading() int {
	n := 0
	for _, id := range o.engineIDs {
		if o.engines[id].loading() {
			n++
		}
	}
	return n
}

// SetMaxLoads changes the limit on concurrent loads. Running loads continue.
func (o *Orders) SetMaxLoads(n int) {
	o.cfg.MaxLoads = n
}

// nextLoad returns the order for the first version or adapter of the plan that an engine
// lacks.
func (o *Orders) nextLoad(m *member) (engine.Order, bool) {
	if v := o.plan.Version; v != "" && m.report.Version != v {
		return engine.Order{Kind: engine.OrderLoadVersion, Model: o.cfg.Model, Version: v}, true
	}
	for _, a := range o.plan.Adapters {
		if !slices.Contains(m.adapters, a) {
			return engine.Order{Kind: engine.OrderLoadAdapter, Model: o.cfg.Model, Version: a}, true
		}
	}
	return engine.Order{}, false
}

// canStopServing reports whether an engine may stop serving for a load or role change:
// either another engine of its role keeps serving, or it is the only one of its role, so
// that an interruption cannot be avoided.
func (o *Orders) canStopServing(m *member) bool {
	others, serving := 0, 0
	for _, id := range o.engineIDs {
		other := o.engines[id]
		if other == m || other.leaving() || other.report.Role != m.report.Role {
			continue
		}
		others++
		if other.pending == nil {
			serving++
		}
	}
	return others == 0 || serving > 0
}
