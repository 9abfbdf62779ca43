package placement

import "time"

// rate is an exponentially smoothed ratio of observed time to observed work.
// Observations are weighted by their work, so a constant network delay, which
// distorts small ones most, has little effect.
type rate struct {
	seconds float64
	work    float64
	decay   float64 // factor applied to earlier observations at each new one
}

// newRate returns a rate with a prior that counts like an observation of this much
// work.
func newRate(perUnit time.Duration, work, decay float64) rate {
	return rate{seconds: perUnit.Seconds() * work, work: work, decay: decay}
}

func (r *rate) observe(d time.Duration, work float64) {
	if d <= 0 || work <= 0 {
		return
	}
	r.seconds = r.seconds*r.decay + d.Seconds()
	r.work = r.work*r.decay + work
}

// perUnit returns seconds per unit of work.
func (r *rate) perUnit() float64 {
	if r.work == 0 {
		return 0
	}
	return r.seconds / r.work
}

func (r *rate) estimate(work float64) time.Duration {
	return seconds(r.perUnit() * work)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Weights of the configured costs against observed ones, and decay factors.
const (
	priorPrefillTokens = 20_000 // about five prompts
	priorRequests      = 20
	prefillDecay       = 0.9
	slotHoldDecay      = 0.98
)
