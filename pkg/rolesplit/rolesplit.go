// Package rolesplit plans how many engines of a model should prefill and how many
// should decode.
//
// The split follows the average cost of a request in each role, not the current load: a
// change of role takes longer than most bursts, and with the right split both roles
// saturate at the same load. The package does no I/O and reads no clock.
package rolesplit

import (
	"math"
	"time"
)

// Config holds the settings of a Planner.
type Config struct {
	// MinObservation is how long work must have been observed before the first change.
	MinObservation time.Duration
	// AveragingTime is the time constant of the moving averages. A longer one ignores
	// bursts of another mix and follows a lasting shift later.
	AveragingTime time.Duration
	// Cooldown is the time between two changes; it covers the time until a change takes
	// effect.
	Cooldown time.Duration
	// Headroom multiplies the demand for prefill engines. Prompts arrive at random and
	// queue behind each other, so prefill engines are planned for a utilisation of 60%
	// when the decode engines are full.
	Headroom float64
	// Hysteresis is the number of engines, in addition to rounding, by which the target
	// split must differ from the current one before it is changed.
	Hysteresis float64
	// MinPrefill is the number of prefill engines that are kept while there are at least
	// three times as many engines in total, so that the loss of one leaves one.
	MinPrefill int
}

// DefaultConfig returns settings for role changes that take a few seconds.
func DefaultConfig() Config {
	return Config{
		MinObservation: 2 * time.Second,
		AveragingTime:  10 * time.Second,
		Cooldown:       8 * time.Second,
		Headroom:       1.65,
		Hysteresis:     0.15,
		MinPrefill:     2,
	}
}

// Planner tracks the work of one model. It is not safe for concurrent use.
type Planner struct {
	cfg        Config
	prefill    float64 // exponentially decaying sum of engine seconds
	decode     float64
	decayedAt  time.Time
	firstWork  time.Time // first work observed
	lastChange time.Time
}

// New returns a planner without observed work.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// RecordWork records requests with the engine seconds that they need in each role.
func (p *Planner) RecordWork(now time.Time, prefill, decode float64) {
	if prefill <= 0 && decode <= 0 {
		return
	}
	if p.firstWork.IsZero() {
		p.firstWork = now
	}
	if !p.decayedAt.IsZero() {
		keep := math.Exp(-now.Sub(p.decayedAt).Seconds() / p.cfg.AveragingTime.Seconds())
		p.prefill *= keep
		p.decode *= keep
	}
	p.decayedAt = now
	p.prefill += prefill
	p.decode += decode
}

// PrefillEngines returns the number of engines that the recent prompts keep busy.
func (p *Planner) PrefillEngines(now time.Time) float64 {
	if p.firstWork.IsZero() {
		return 0
	}
	// The sums approach their final values as observation goes on.
	seen := 1 - math.Exp(-now.Sub(p.firstWork).Seconds()/p.cfg.AveragingTime.Seconds())
	if seen <= 0 {
		return 0
	}
	keep := math.Exp(-now.Sub(p.decayedAt).Seconds() / p.cfg.AveragingTime.Seconds())
	return p.prefill * keep / (p.cfg.AveragingTime.Seconds() * seen)
}

// RecordChange records that a change was started, which begins the cooldown.
func (p *Planner) RecordChange(now time.Time) { p.lastChange = now }

// Plan returns by how many engines the prefill role should grow; negative if it
// should shrink.
func (p *Planner) Plan(now time.Time, prefill, decode int) int {
	total := prefill + decode
	if total < 2 || p.firstWork.IsZero() || now.Sub(p.firstWork) < p.cfg.MinObservation {
		return 0
	}
	if !p.lastChange.IsZero() && now.Sub(p.lastChange) < p.cfg.Cooldown {
		return 0
	}
	diff := p.targetPrefill(total) - float64(prefill)
	switch {
	case diff > 0.5+p.cfg.Hysteresis:
		return p.clampChange(int(math.Round(diff)), prefill, total)
	case diff < -0.5-p.cfg.Hysteresis:
		return p.clampChange(int(math.Round(diff)), prefill, total)
	}
	return 0
}

// targetPrefill returns the number of prefill engines, not rounded, with which both
// roles saturate at the same load.
func (p *Planner) targetPrefill(total int) float64 {
	need := p.prefill * p.cfg.Headroom
	if need+p.decode == 0 {
		return 0
	}
	return float64(total) * need / (need + p.decode)
}

// clampChange limits a change so that both roles keep engines.
func (p *Planner) clampChange(change, prefill, total int) int {
	least := 1
	if total >= 3*p.cfg.MinPrefill {
		least = p.cfg.MinPrefill
	}
	after := min(max(prefill+change, least), total-1)
	if change < 0 && after > prefill || change > 0 && after < prefill {
		return 0
	}
	return after - prefill
}
