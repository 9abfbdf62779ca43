package placement

import "time"

// rate is a smoothed ratio of observed time to observed work. Larger pieces of
// work count more, so a constant network delay distorts small ones only.
type rate struct {
	seconds float64
	work    float64
	keep    float64 // share of the past that each observation keeps
}

// newRate starts from a prior that counts like work.
func newRate(perUnit time.Duration, work, keep float64) rate {
	return rate{seconds: perUnit.Seconds() * work, work: work, keep: keep}
}

func (r *rate) observe(d time.Duration, work float64) {
	if d <= 0 || work <= 0 {
		return
	}
	r.seconds = r.seconds*r.keep + d.Seconds()
	r.work = r.work*r.keep + work
}

// perUnit returns seconds per unit of work.
func (r *rate) perUnit() float64 {
	if r.work == 0 {
		return 0
	}
	return r.seconds / r.work
}

func (r *rate) of(work float64) time.Duration {
	return seconds(r.perUnit() * work)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Weights of the configured costs against observed ones.
const (
	priorPrefillTokens = 20_000 // about five prompts
	priorRequests      = 20
	keepPrefill        = 0.9
	keepHold           = 0.98
)
