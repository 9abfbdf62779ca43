package orders

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// demand is the smoothed demand of the pool and the state of the hysteresis.
type demand struct {
	updatedAt time.Time
	prefill   float64 // tokens per second
	decode    float64 // tokens per second
	queue     float64 // waiting requests

	directionSince time.Time // since when direction has its value; zero restarts the stabilisation window
	direction      int       // 1 if the pool needs more prefill engines, -1 if fewer, else 0
	lastRoleChange time.Time
}

// SetDemand adds a measurement to the moving averages of the pool's demand.
func (o *Orders) SetDemand(now time.Time, d Demand) {
	if d.Model != o.cfg.Model {
		return
	}
	s := &o.demand
	weight := 1.0
	if !s.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.updatedAt).Seconds()/o.cfg.Smoothing.Seconds())
	}
	s.updatedAt = now
	s.prefill += weight * (d.PrefillTokensPerSecond - s.prefill)
	s.decode += weight * (d.DecodeTokensPerSecond - s.decode)
	s.queue += weight * (float64(d.Queue) - s.queue)
}

// roleChange returns an order that moves one engine to the role that lacks capacity,
// if the lack has lasted for StabilisationWindow and the cooldown has passed.
func (o *Orders) roleChange(now time.Time) *OrderEffect {
	from, ok := o.surplusRole(now)
	if !ok || now.Sub(o.demand.lastRoleChange) < o.cfg.Cooldown {
		return nil
	}
	to := engine.Prefill
	if from == engine.Prefill {
		to = engine.Decode
	}
	for _, m := range o.usable(now) {
		if m.report.Role != from || !o.canStopServing(m) {
			continue
		}
		o.demand.lastRoleChange, o.demand.directionSince = now, time.Time{}
		e := o.newOrder(now, m, engine.Order{Kind: engine.OrderChangeRole, Model: o.cfg.Model, Role: to})
		return &e
	}
	return nil
}

// surplusRole returns the role that should give up an engine. The wanted number of
// prefill engines divides the pool in proportion to demand. It must differ from the
// actual number by more than rounding and Hysteresis, in the same direction, for
// StabilisationWindow.
func (o *Orders) surplusRole(now time.Time) (engine.Role, bool) {
	d := &o.demand
	prefill, decode := o.countRoles()
	needPrefill := d.prefill / o.cfg.PrefillTokensPerSecond
	needDecode := d.decode / o.cfg.DecodeTokensPerSecond
	direction := 0
	if o.busy(needPrefill, needDecode, prefill, decode) {
		wanted := float64(prefill+decode) * needPrefill / (needPrefill + needDecode)
		switch diff := wanted - float64(prefill); {
		case diff > 0.5+o.cfg.Hysteresis && decode > 1:
			direction = 1
		case diff < -0.5-o.cfg.Hysteresis && prefill > 1:
			direction = -1
		}
	}
	if direction != d.direction || d.directionSince.IsZero() {
		d.directionSince, d.direction = now, direction
	}
	if direction == 0 || now.Sub(d.directionSince) < o.cfg.StabilisationWindow {
		return "", false
	}
	if direction > 0 {
		return engine.Decode, true
	}
	return engine.Prefill, true
}

// busy reports whether a role is close to its capacity. A pool that is not busy keeps
// its roles, since a change interrupts work and gains nothing.
func (o *Orders) busy(needPrefill, needDecode float64, prefill, decode int) bool {
	if needPrefill+needDecode == 0 {
		return false
	}
	return needPrefill > o.cfg.BusyUtilisation*float64(prefill) ||
		needDecode > o.cfg.BusyUtilisation*float64(decode) ||
		o.demand.queue >= o.cfg.BusyQueueLength
}

// countRoles returns the number of engines in each role. Engines whose role change is
// pending count in their new role.
func (o *Orders) countRoles() (prefill, decode int) {
	for _, id := range o.engineIDs {
		m := o.engines[id]
		if m.leaving() {
			continue
		}
		role := m.report.Role
		if p := m.pending; p != nil && p.order.Kind == engine.OrderChangeRole {
			role = p.order.Role
		}
		if role == engine.Prefill {
			prefill++
			continue
		}
		decode++
	}
	return prefill, decode
}
