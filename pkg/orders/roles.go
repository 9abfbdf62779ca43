package orders

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// demand is the smoothed work of the pool and the state of the hysteresis.
type demand struct {
	at      time.Time
	prefill float64
	decode  float64
	queue   float64

	differs   time.Time // since when the wanted count differs; zero if it does not
	direction int       // of the difference
	changed   time.Time // last role change
}

// SetDemand takes the work that arrives for the pool.
func (o *Orders) SetDemand(now time.Time, d Demand) {
	if d.Model != o.cfg.Model {
		return
	}
	s := &o.demand
	weight := 1.0
	if !s.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.at).Seconds()/o.cfg.Smoothing.Seconds())
	}
	s.at = now
	s.prefill += weight * (d.PrefillTokensPerSecond - s.prefill)
	s.decode += weight * (d.DecodeTokensPerSecond - s.decode)
	s.queue += weight * (float64(d.Queue) - s.queue)
}

// roleChange returns an order that moves one engine to the role that lacks more,
// if the lack has lasted and no change runs.
func (o *Orders) roleChange(now time.Time) *OrderEffect {
	from, ok := o.surplus(now)
	if !ok || now.Sub(o.demand.changed) < o.cfg.Cooldown {
		return nil
	}
	to := engine.Prefill
	if from == engine.Prefill {
		to = engine.Decode
	}
	for _, m := range o.usable(now) {
		if m.report.Role != from || !o.spare(m) {
			continue
		}
		o.demand.changed, o.demand.differs = now, time.Time{}
		e := o.send(now, m, engine.Order{Kind: engine.OrderChangeRole, Model: o.cfg.Model, Role: to})
		return &e
	}
	return nil
}

// surplus returns the role that should give up an engine. The wanted number of
// prefill engines divides the pool in proportion to demand; it must differ from
// the actual one by more than rounding and Hysteresis, in one direction, for Hold.
func (o *Orders) surplus(now time.Time) (engine.Role, bool) {
	d := &o.demand
	prefill, decode := o.counts()
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
	if direction != d.direction || d.differs.IsZero() {
		d.differs, d.direction = now, direction
	}
	if direction == 0 || now.Sub(d.differs) < o.cfg.Hold {
		return "", false
	}
	if direction > 0 {
		return engine.Decode, true
	}
	return engine.Prefill, true
}

// busy reports whether a role lacks capacity. An idle pool keeps its roles, since
// a change interrupts work and gains nothing.
func (o *Orders) busy(needPrefill, needDecode float64, prefill, decode int) bool {
	if needPrefill+needDecode == 0 {
		return false
	}
	return needPrefill > o.cfg.Busy*float64(prefill) ||
		needDecode > o.cfg.Busy*float64(decode) ||
		o.demand.queue >= o.cfg.QueueBusy
}

// counts returns the engines of each role, with running changes as if done.
func (o *Orders) counts() (prefill, decode int) {
	for _, id := range o.order {
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
