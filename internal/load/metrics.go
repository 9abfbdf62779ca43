package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Targets are the latency targets of a good answer.
type Targets struct {
	FirstToken time.Duration
	InterToken time.Duration // mean over the answer
}

// DefaultTargets returns the targets of docs/design.md.
func DefaultTargets() Targets {
	return Targets{FirstToken: 950 * time.Millisecond, InterToken: 39 * time.Millisecond}
}

// Scaled returns the targets for a run at time scale f.
func (t Targets) Scaled(f float64) Targets {
	t.FirstToken = time.Duration(float64(t.FirstToken) * f)
	t.InterToken = time.Duration(float64(t.InterToken) * f)
	return t
}

// Latency summarises a histogram.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Counts counts requests by outcome.
type Counts struct {
	Requests  int `json:"requests"`
	Answered  int `json:"answered"`
	Denied    int `json:"denied"`
	Broken    int `json:"broken"`
	Abandoned int `json:"abandoned"`
	Wrong     int `json:"wrong"` // answered with the wrong content
}

func (c *Counts) add(r Result) {
	c.Requests++
	switch r.Outcome {
	case record.Answered:
		c.Answered++
	case record.Denied:
		c.Denied++
	case record.Abandoned:
		c.Abandoned++
	default:
		c.Broken++
	}
	if r.Mismatch() {
		c.Wrong++
	}
}

// OrganisationSummary has the results of one organisation.
type OrganisationSummary struct {
	Name           ident.Organisation `json:"name"`
	Counts         Counts             `json:"counts"`
	Good           int                `json:"good"`
	Demanded       int                `json:"demanded_tokens"` // of requests that were not abandoned
	Served         int                `json:"served_tokens"`   // of answered requests, prompt and output
	Share          float64            `json:"share"`           // Served / Demanded
	WithinRate     int                `json:"within_rate"`     // requests within the rate and burst
	WronglyRefused int                `json:"wrongly_refused"` // those of WithinRate that were denied
	WellBehaved    bool               `json:"well_behaved"`    // Factor * min(1, Load) is at most 1
	FirstToken     Latency            `json:"first_token"`
}

// WastedPrefill counts the prefill work of engines and how much of it was wasted.
type WastedPrefill struct {
	Known  bool    `json:"known"` // engine records were available
	Tokens int     `json:"tokens"`
	Wasted int     `json:"wasted_tokens"`
	Share  float64 `json:"share"`
}

// Summary has the four metrics of a run and the figures they are computed from.
type Summary struct {
	Policy   string        `json:"policy"`
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Load     float64       `json:"load"`
	Scale    float64       `json:"time_scale"`
	Duration time.Duration `json:"duration_ns"`

	Goodput         float64       `json:"goodput"`     // good requests per second
	GoodTokens      float64       `json:"good_tokens"` // output tokens of good requests per second
	GoodShare       float64       `json:"good_share"`  // good share of completions that were not abandoned
	Wasted          WastedPrefill `json:"wasted_prefill"`
	WorstServed     float64       `json:"worst_served"` // lowest share of a well-behaved organisation / their mean share
	WorstServedName string        `json:"worst_served_name"`
	WronglyRefused  float64       `json:"wrongly_refused"` // denied share of requests within the rate

	Completions   Counts                `json:"completions"`
	Calls         Counts                `json:"calls"`
	FirstToken    Latency               `json:"first_token"`
	InterToken    Latency               `json:"inter_token"`
	CallTime      Latency               `json:"call_time"`
	Codes         map[string]int        `json:"codes"` // refusals by code
	Organisations []OrganisationSummary `json:"organisations"`
}

// newHistogram returns a histogram of times in microseconds, up to five minutes, with
// three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), h.HighestTrackableValue()))
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) time.Duration { return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond }
	return Latency{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// interToken returns the mean time between two tokens.
func (r Result) interToken() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.Last - r.First) / time.Duration(r.Tokens-1)
}

// good reports whether an answer is complete, correct and within both targets.
func (r Result) good(t Targets) bool {
	return r.Outcome == record.Answered && !r.Mismatch() &&
		r.First <= t.FirstToken && r.interToken() <= t.InterToken
}

// Summarise computes the metrics of a run. t must already be scaled to the time scale
// of cfg. If engines, the records of the engines, is nil, the wasted prefill is
// unknown.
func Summarise(w Workload, cfg Config, policy string, results []Result, engines []record.Record, t Targets) Summary {
	cfg = cfg.withDefaults()
	s := Summary{
		Policy: policy, Workload: w.Name, Seed: w.Seed, Load: w.Load, Scale: cfg.TimeScale,
		Duration: time.Duration(float64(w.Duration) * cfg.TimeScale), Codes: map[string]int{},
	}
	first, inter, calls := newHistogram(), newHistogram(), newHistogram()
	good, tokens := 0, 0
	for _, r := range results {
		if r.Code != "" {
			s.Codes[r.Code]++
		}
		if r.Arrival.Call != nil {
			s.Calls.add(r)
			if r.Outcome == record.Answered {
				observe(calls, r.Last)
			}
			continue
		}
		s.Completions.add(r)
		if r.Tokens > 0 {
			observe(first, r.First)
		}
		if r.Tokens > 1 {
			observe(inter, r.interToken())
		}
		if r.good(t) {
			good++
			tokens += r.Tokens
		}
	}
	seconds := s.Duration.Seconds()
	s.Goodput = ratio(float64(good), seconds)
	s.GoodTokens = ratio(float64(tokens), seconds)
	s.GoodShare = ratio(float64(good), float64(s.Completions.Requests-s.Completions.Abandoned))
	s.FirstToken, s.InterToken, s.CallTime = latency(first), latency(inter), latency(calls)
	s.Wasted = wastedPrefill(w, results, engines)
	s.summariseOrganisations(w, results, t)
	return s
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// summariseOrganisations computes the summary of each organisation and the metrics
// that compare them.
func (s *Summary) summariseOrganisations(w Workload, results []Result, t Targets) {
	within := withinRate(w, results)
	hists := make([]*hdrhistogram.Histogram, len(w.Organisations))
	for i, o := range w.Organisations {
		hists[i] = newHistogram()
		// A load above 1 applies to all alike, so no organisation counts as misbehaving
		// because of it.
		behaved := o.factor()*min(1, w.Load) <= 1
		s.Organisations = append(s.Organisations, OrganisationSummary{Name: o.Name, WellBehaved: behaved})
	}
	for i, r := range results {
		if r.Arrival.Call == nil {
			o := &s.Organisations[r.Arrival.Organisation]
			o.add(r, within[i], t)
			if r.Tokens > 0 {
				observe(hists[r.Arrival.Organisation], r.First)
			}
		}
	}
	inRate, refused := 0, 0
	for i := range s.Organisations {
		o := &s.Organisations[i]
		o.FirstToken = latency(hists[i])
		o.Share = ratio(float64(o.Served), float64(o.Demanded))
		inRate += o.WithinRate
		refused += o.WronglyRefused
	}
	s.WronglyRefused = ratio(float64(refused), float64(inRate))
	s.findWorstServed()
}

func (o *OrganisationSummary) add(r Result, within bool, t Targets) {
	o.Counts.add(r)
	if r.good(t) {
		o.Good++
	}
	if r.Outcome != record.Abandoned {
		o.Demanded += r.Arrival.Prompt + answerTokens(r.Arrival)
	}
	if r.Outcome == record.Answered {
		o.Served += r.Arrival.Prompt + r.Tokens
	}
	if within {
		o.WithinRate++
		if r.Outcome == record.Denied {
			o.WronglyRefused++
		}
	}
}

// answerTokens returns the expected length of an answer.
func answerTokens(a Arrival) int {
	if a.Stop > 0 {
		return min(a.Stop, a.MaxTokens)
	}
	return a.MaxTokens
}

// findWorstServed compares the worst-served of the well-behaved organisations with
// their mean.
func (s *Summary) findWorstServed() {
	behaved := slices.Clone(s.Organisations)
	behaved = slices.DeleteFunc(behaved, func(o OrganisationSummary) bool { return !o.WellBehaved })
	sum, least := 0.0, 0
	for i, o := range behaved {
		sum += o.Share
		if o.Share < behaved[least].Share {
			least = i
		}
	}
	if len(behaved) > 0 {
		s.WorstServedName = string(behaved[least].Name)
		s.WorstServed = ratio(behaved[least].Share, sum/float64(len(behaved)))
	}
}

// withinRate reports for each result whether the request was within the rate and
// burst of its organisation. It applies a token bucket that is charged with prompt
// and maximum output of each request that fits. Rates are per second of real time.
func withinRate(w Workload, results []Result) []bool {
	type bucket struct {
		level float64
		last  time.Time
	}
	buckets := make([]bucket, len(w.Organisations))
	for i, o := range w.Organisations {
		buckets[i].level = o.Burst
	}
	out := make([]bool, len(results))
	for i, r := range results {
		if r.Arrival.Call != nil {
			continue
		}
		o, b := w.Organisations[r.Arrival.Organisation], &buckets[r.Arrival.Organisation]
		if !b.last.IsZero() {
			b.level = min(o.Burst, b.level+o.Rate*max(0, r.Sent.Sub(b.last).Seconds()))
		}
		b.last = r.Sent
		cost := float64(r.Arrival.Prompt + r.Arrival.MaxTokens)
		if cost <= b.level {
			b.level -= cost
			out[i] = true
		}
	}
	return out
}

// wastedPrefill counts as wasted the prefills of requests without a complete answer
// and repeated prefills of a request. Requests abandoned by their caller are ignored.
func wastedPrefill(w Workload, results []Result, engines []record.Record) WastedPrefill {
	if engines == nil {
		return WastedPrefill{}
	}
	outcome := map[string]record.Kind{}
	for _, r := range results {
		if r.Arrival.Call == nil {
			outcome[content.PromptHash(w.Prompt(r.Arrival)).String()] = r.Outcome
		}
	}
	out := WastedPrefill{Known: true}
	useful := map[string]bool{}
	for _, x := range engines {
		if x.Kind != record.End || x.Step != "prefill" || outcome[x.Content] == record.Abandoned {
			continue
		}
		out.Tokens += x.Prompt
		if outcome[x.Content] != record.Answered || useful[x.Content] {
			out.Wasted += x.Prompt
		}
		useful[x.Content] = true
	}
	out.Share = ratio(float64(out.Wasted), float64(out.Tokens))
	return out
}
