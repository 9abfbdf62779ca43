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

// DefaultTargets are those of the design page.
func DefaultTargets() Targets {
	return Targets{FirstToken: 950 * time.Millisecond, InterToken: 39 * time.Millisecond}
}

// Scaled returns the targets of a run at a time scale.
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
	Wrong     int `json:"wrong"` // answered, but not with the right content
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

// OrganisationSummary is what one organisation got.
type OrganisationSummary struct {
	Name       ident.Organisation `json:"name"`
	Counts     Counts             `json:"counts"`
	Good       int                `json:"good"`
	Demanded   int                `json:"demanded_tokens"` // of requests that were not abandoned
	Served     int                `json:"served_tokens"`   // of answered requests, prompt and output
	Share      float64            `json:"share"`           // served of demanded
	WithinRate int                `json:"within_rate"`     // requests within rate and burst
	Refused    int                `json:"wrongly_refused"` // of these
	Behaved    bool               `json:"well_behaved"`    // sends no higher multiple of its rate than the load
	FirstToken Latency            `json:"first_token"`
}

// WastedPrefill compares the prefill work of engines with what was of use.
type WastedPrefill struct {
	Known  bool    `json:"known"` // the engines' records were given
	Tokens int     `json:"tokens"`
	Wasted int     `json:"wasted_tokens"`
	Share  float64 `json:"share"`
}

// Summary has the four metrics and what they derive from.
type Summary struct {
	Policy   string        `json:"policy"`
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Load     float64       `json:"load"`
	Scale    float64       `json:"time_scale"`
	Duration time.Duration `json:"duration_ns"`

	Goodput        float64       `json:"goodput"`        // good requests a second
	GoodTokens     float64       `json:"good_tokens"`    // their output tokens a second
	GoodShare      float64       `json:"good_share"`     // of completions that were not abandoned
	Wasted         WastedPrefill `json:"wasted_prefill"` // metric 2
	WorstServed    float64       `json:"worst_served"`   // share of the worst-served over the mean of the well-behaved
	WorstName      string        `json:"worst_served_name"`
	WronglyRefused float64       `json:"wrongly_refused"` // of requests within the rate

	Completions   Counts                `json:"completions"`
	Calls         Counts                `json:"calls"`
	FirstToken    Latency               `json:"first_token"`
	InterToken    Latency               `json:"inter_token"`
	CallTime      Latency               `json:"call_time"`
	Codes         map[string]int        `json:"codes"` // refusals by code
	Organisations []OrganisationSummary `json:"organisations"`
}

// histogram records times from a microsecond to five minutes with three digits.
func histogram() *hdrhistogram.Histogram {
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

// good says that an answer is whole, right and within both targets.
func (r Result) good(t Targets) bool {
	return r.Outcome == record.Answered && !r.Mismatch() &&
		r.First <= t.FirstToken && r.interToken() <= t.InterToken
}

// Summarise computes the metrics. The targets are those of the time scale of cfg.
// Records of engines may be nil; then the wasted
// prefill is unknown.
func Summarise(w Workload, cfg Config, policy string, results []Result, engines []record.Record, t Targets) Summary {
	cfg = cfg.withDefaults()
	s := Summary{
		Policy: policy, Workload: w.Name, Seed: w.Seed, Load: w.Load, Scale: cfg.Scale,
		Duration: time.Duration(float64(w.Duration) * cfg.Scale), Codes: map[string]int{},
	}
	first, inter, calls := histogram(), histogram(), histogram()
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
	s.Wasted = wasted(w, results, engines)
	s.organisations(w, results, t)
	return s
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// organisations fills in what each organisation got, and the metrics that compare
// them.
func (s *Summary) organisations(w Workload, results []Result, t Targets) {
	within := withinRate(w, results)
	hists := make([]*hdrhistogram.Histogram, len(w.Organisations))
	for i, o := range w.Organisations {
		hists[i] = histogram()
		// A load above 1 is the same for all, so it makes none of them misbehave.
		behaved := o.factor()*min(1, w.Load) <= 1
		s.Organisations = append(s.Organisations, OrganisationSummary{Name: o.Name, Behaved: behaved})
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
		refused += o.Refused
	}
	s.WronglyRefused = ratio(float64(refused), float64(inRate))
	s.worst()
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
			o.Refused++
		}
	}
}

// answerTokens returns the length of the answer to a request.
func answerTokens(a Arrival) int {
	if a.Stop > 0 {
		return min(a.Stop, a.MaxTokens)
	}
	return a.MaxTokens
}

// worst compares the worst-served organisation with the mean of the well-behaved.
func (s *Summary) worst() {
	behaved := slices.Clone(s.Organisations)
	behaved = slices.DeleteFunc(behaved, func(o OrganisationSummary) bool { return !o.Behaved })
	sum, least := 0.0, 0
	for i, o := range behaved {
		sum += o.Share
		if o.Share < behaved[least].Share {
			least = i
		}
	}
	if len(behaved) > 0 {
		s.WorstName = string(behaved[least].Name)
		s.WorstServed = ratio(behaved[least].Share, sum/float64(len(behaved)))
	}
}

// withinRate says for each result whether the request was within the rate and
// burst of its organisation, counting prompt and maximum output of those before
// it that were within it too. Rates are per second of real time.
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

// wasted counts prefills of requests that got no whole answer, and second ones.
// Requests whose caller went away are left out.
func wasted(w Workload, results []Result, engines []record.Record) WastedPrefill {
	if engines == nil {
		return WastedPrefill{}
	}
	outcome := map[string]record.Kind{}
	for _, r := range results {
		if r.Arrival.Call == nil {
			outcome[content.Of(w.Prompt(r.Arrival)).String()] = r.Outcome
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
