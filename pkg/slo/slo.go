package slo

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Defaults of Config, as docs/design.md section 1.8 states the targets.
const (
	DefaultFirstTokenTarget = 950 * time.Millisecond
	DefaultInterTokenTarget = 39 * time.Millisecond
	DefaultObjective        = 0.95
	DefaultBuckets          = 8
	DefaultMaxSeries        = 16_384
)

// Other is the organisation and model of the series that collects observations
// beyond the limit MaxSeries.
const Other = "(other)"

// Config has the targets, the windows and their resolution. A zero field means its
// default.
type Config struct {
	// FirstTokenTarget is the longest time to first token that counts as met.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the longest gap between two tokens that counts as met.
	InterTokenTarget time.Duration
	// Objective is the share of requests and of gaps, above 0 and below 1, that
	// must meet its target.
	Objective float64
	// Windows are the periods over which attainment is reported.
	Windows []time.Duration
	// Buckets is the number of buckets in each window. A window covers its length
	// plus at most one bucket. More buckets reduce that error and cost 24 bytes
	// each for every series and window.
	Buckets int
	// MaxSeries limits the pairs of organisation and model. 410 organisations and
	// 37 models make 15,170 pairs; pairs beyond the limit share the series Other.
	MaxSeries int
}

func (c Config) withDefaults() Config {
	if c.FirstTokenTarget <= 0 {
		c.FirstTokenTarget = DefaultFirstTokenTarget
	}
	if c.InterTokenTarget <= 0 {
		c.InterTokenTarget = DefaultInterTokenTarget
	}
	if !(c.Objective > 0 && c.Objective < 1) {
		c.Objective = DefaultObjective
	}
	c.Windows = slices.DeleteFunc(slices.Clone(c.Windows), func(w time.Duration) bool { return w < time.Second })
	if len(c.Windows) == 0 {
		c.Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
	}
	slices.Sort(c.Windows)
	c.Windows = slices.Compact(c.Windows)
	if c.Buckets <= 0 {
		c.Buckets = DefaultBuckets
	}
	if c.MaxSeries <= 0 {
		c.MaxSeries = DefaultMaxSeries
	}
	return c
}

// Outcome is how a request ended.
type Outcome string

// Outcomes of requests.
const (
	Completed Outcome = "completed" // the caller has the whole answer
	Failed    Outcome = "failed"    // broken stream or unknown outcome: misses the first-token target
	Cancelled Outcome = "cancelled" // by the caller: not counted if it cancelled before any token was due
	Refused   Outcome = "refused"   // not run: counted, but it neither meets nor misses a target
)

// Observation is one ended request.
type Observation struct {
	Organisation ident.Organisation
	Model        ident.Model
	Outcome      Outcome
	// FirstToken is the time to the first token, or to the end of a request
	// without one.
	FirstToken time.Duration
	// Delivered reports whether at least one token reached the caller.
	Delivered bool
	// Gaps is the number of gaps between consecutive tokens and GapsInTarget how
	// many of them were at most InterTokenTarget.
	Gaps         int
	GapsInTarget int
}

type seriesKey struct {
	organisation ident.Organisation
	model        ident.Model
}

// Tracker counts the observations of one host. It is not safe for concurrent
// use.
type Tracker struct {
	cfg       Config
	series    map[seriesKey][]ring // one ring for each window
	nextEvict time.Time
}

// New returns a Tracker without observations.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), series: map[seriesKey][]ring{}}
}

// Config returns the effective settings, including defaults.
func (t *Tracker) Config() Config {
	c := t.cfg
	c.Windows = slices.Clone(c.Windows)
	return c
}

// Observe counts one request at the time now. Calls must be in order of time,
// except after the clock was set back: a time more than a whole window earlier
// clears that window.
func (t *Tracker) Observe(now time.Time, o Observation) {
	n, counted := t.counts(o)
	if !counted {
		return
	}
	rings := t.rings(now, seriesKey{o.Organisation, o.Model})
	for i := range rings {
		rings[i].add(t.bucketNumber(now, i), t.cfg.Buckets+1, n)
	}
}

// counts returns the counts that an observation adds to a bucket, or false if it
// is not counted.
func (t *Tracker) counts(o Observation) (bucket, bool) {
	if o.Outcome == Refused {
		return bucket{refused: 1}, true
	}
	inTarget := o.FirstToken <= t.cfg.FirstTokenTarget
	if o.Outcome == Cancelled && !o.Delivered && inTarget {
		return bucket{}, false
	}
	gaps := max(o.Gaps, 0)
	n := bucket{requests: 1, gaps: saturatingUint32(gaps), gapsInTarget: saturatingUint32(min(max(o.GapsInTarget, 0), gaps))}
	if o.Outcome == Failed {
		n.failed = 1
	} else if inTarget {
		n.firstInTarget = 1
	}
	return n, true
}

// rings returns the rings of a series, or those of Other if MaxSeries is reached.
func (t *Tracker) rings(now time.Time, p seriesKey) []ring {
	if rings, ok := t.series[p]; ok {
		return rings
	}
	if len(t.series) >= t.cfg.MaxSeries-1 {
		t.evict(now)
	}
	if len(t.series) >= t.cfg.MaxSeries-1 {
		p = seriesKey{Other, Other}
	}
	if rings, ok := t.series[p]; ok {
		return rings
	}
	rings := make([]ring, len(t.cfg.Windows))
	t.series[p] = rings
	return rings
}

// evict removes the series without observations in any window. It runs at most
// once per bucket of the shortest window, since it visits every series.
func (t *Tracker) evict(now time.Time) {
	if now.Before(t.nextEvict) {
		return
	}
	t.nextEvict = now.Add(t.bucketWidth(0))
	last := len(t.cfg.Windows) - 1
	oldest := t.bucketNumber(now, last) - int64(t.cfg.Buckets)
	for p, rings := range t.series {
		if rings[last].head < oldest {
			delete(t.series, p)
		}
	}
}

// bucketWidth returns the length of a bucket of window i.
func (t *Tracker) bucketWidth(i int) time.Duration {
	return max(t.cfg.Windows[i]/time.Duration(t.cfg.Buckets), 1)
}

// bucketNumber returns the number of the bucket of window i that contains now.
func (t *Tracker) bucketNumber(now time.Time, i int) int64 {
	return now.UnixNano() / int64(t.bucketWidth(i))
}
