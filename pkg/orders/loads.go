package orders

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// loads returns the load orders that are due, least loaded engines first, so that
// a new version takes capacity where it is missed least.
func (o *Orders) loads(now time.Time) []OrderEffect {
	var out []OrderEffect
	running := o.Loading()
	for _, m := range o.usable(now) {
		if running >= o.cfg.MaxLoads {
			break
		}
		ord, ok := o.missing(m)
		if !ok || ord.Kind == engine.OrderLoadVersion && !o.spare(m) {
			continue
		}
		out = append(out, o.send(now, m, ord))
		running++
	}
	return out
}

// Loading returns how many loads run. A host that owns several pools shares its
// bound among them with SetMaxLoads.
func (o *Orders) Loading() int {
	n := 0
	for _, id := range o.order {
		if o.engines[id].loading() {
			n++
		}
	}
	return n
}

// SetMaxLoads changes the bound on loads at once. Running loads go on.
func (o *Orders) SetMaxLoads(n int) {
	o.cfg.MaxLoads = n
}

// missing returns the order for what an engine lacks.
func (o *Orders) missing(m *member) (engine.Order, bool) {
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

// spare reports whether an engine can stop serving for a load: another one of its
// role goes on, or it is the only one and there is no way around.
func (o *Orders) spare(m *member) bool {
	others, serving := 0, 0
	for _, id := range o.order {
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
