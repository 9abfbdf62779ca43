package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Range is a range of token counts. Values follow a log-uniform distribution, so
// that short lengths are as common as the much wider range of long ones.
type Range struct {
	Min, Max int
}

func (r Range) draw(rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	lo, hi := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(lo + rng.Float64()*(hi-lo))))
}

// mean returns the mean of the distribution.
func (r Range) mean() float64 {
	if r.Max <= r.Min {
		return float64(r.Min)
	}
	return float64(r.Max-r.Min) / math.Log(float64(r.Max)/float64(r.Min))
}

// Organisation describes an organisation that sends requests.
type Organisation struct {
	Name   ident.Organisation
	Key    string  // "<key id>.<secret>"
	Rate   float64 // tokens per second allowed by the rules
	Burst  float64 // tokens
	Prompt Range
	Output Range
	// Factor multiplies the request rate that uses Rate exactly; 0 means 1. Above 1
	// the organisation is not well-behaved.
	Factor float64
}

// KeyID returns the part of the key before the secret.
func (o Organisation) KeyID() ident.KeyID {
	id, _, _ := strings.Cut(o.Key, ".")
	return ident.KeyID(id)
}

func (o Organisation) factor() float64 {
	if o.Factor <= 0 {
		return 1
	}
	return o.Factor
}

// requestRate returns the requests per second that use the rate exactly.
func (o Organisation) requestRate() float64 {
	return o.Rate / (o.Prompt.mean() + o.Output.mean())
}

// Call describes one kind of call to a plain service.
type Call struct {
	Path             string
	NonIdempotent    bool    // sent with an idempotency key, unless NoIdempotencyKey
	NoIdempotencyKey bool    // sent without an idempotency key and never retried by the caller
	Open             bool    // sent without an API key
	PerSec           float64 // total of all organisations
}

// Peak is an interval of higher load.
type Peak struct {
	From, To time.Duration
	Factor   float64
}

// Workload describes the load of one run.
type Workload struct {
	Name            string
	Model           ident.Model
	Organisations   []Organisation
	Calls           []Call
	Duration        time.Duration
	Load            float64 // factor on all request rates
	Peak            Peak
	Prefixes        int     // shared prompt prefixes per organisation
	PrefixTokens    int     // length of a shared prefix
	PrefixShare     float64 // share of prompts that start with a shared prefix, if long enough
	CancelShare     float64 // share of callers that disconnect during the answer
	StopShare       float64 // share of answers that end before max_tokens
	UnstreamedShare float64 // share of completions requested without streaming
	Seed            uint64
}

// Arrival is one request of a run.
type Arrival struct {
	Index        int
	At           time.Duration
	Organisation int
	Call         *Call // nil for a completion
	Prompt       int   // tokens
	MaxTokens    int
	Prefix       int  // index of the shared prefix; negative for none
	Stop         int  // number of tokens after which the answer ends; 0 for MaxTokens
	CancelAfter  int  // number of tokens after which the caller disconnects; 0 for never
	Host         int  // random number that selects the entry host
	Unstreamed   bool // not streamed
}

// CompletionRate returns the completions per second at load 1 and their mean prompt and
// output tokens, with each organisation at its rate.
func (w Workload) CompletionRate() (perSecond, prompt, output float64) {
	for _, o := range w.Organisations {
		n := o.requestRate()
		perSecond += n
		prompt += n * o.Prompt.mean()
		output += n * o.Output.mean()
	}
	return perSecond, ratio(prompt, perSecond), ratio(output, perSecond)
}

// Arrivals returns all requests ordered by time. Each organisation and each kind of
// call has its own random number generator, so a change to one does not affect the
// others.
func (w Workload) Arrivals() []Arrival {
	var out []Arrival
	for i, o := range w.Organisations {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)+1))
		rate := o.requestRate() * o.factor() * w.Load
		for _, at := range w.times(rng, rate) {
			out = append(out, w.completion(rng, at, i))
		}
	}
	for i := range w.Calls {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)+1_000_001))
		for _, at := range w.times(rng, w.Calls[i].PerSec*w.Load) {
			org := rng.IntN(len(w.Organisations))
			out = append(out, Arrival{At: at, Organisation: org, Call: &w.Calls[i], Prefix: -1, Host: rng.Int()})
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range out {
		out[i].Index = i
	}
	return out
}

// times returns Poisson arrivals. They are drawn at the peak rate and thinned to the
// normal rate outside the peak.
func (w Workload) times(rng *rand.Rand, rate float64) []time.Duration {
	top := max(1, w.Peak.Factor)
	if rate <= 0 {
		return nil
	}
	var out []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / (rate * top)
		t := time.Duration(at * float64(time.Second))
		keep := rng.Float64() < w.factorAt(t)/top
		if t >= w.Duration {
			return out
		}
		if keep {
			out = append(out, t)
		}
	}
}

func (w Workload) factorAt(t time.Duration) float64 {
	if w.Peak.Factor > 0 && t >= w.Peak.From && t < w.Peak.To {
		return w.Peak.Factor
	}
	return 1
}

func (w Workload) completion(rng *rand.Rand, at time.Duration, org int) Arrival {
	o := w.Organisations[org]
	a := Arrival{At: at, Organisation: org, Prefix: -1, Prompt: o.Prompt.draw(rng), MaxTokens: o.Output.draw(rng)}
	// Every number is drawn for every request, so that changing a share changes only
	// the requests it applies to.
	prefix, usePrefix := rng.IntN(max(1, w.Prefixes)), rng.Float64()
	stop, useStop := 1+rng.IntN(a.MaxTokens), rng.Float64()
	cancel, useCancel := 1+rng.IntN(a.MaxTokens), rng.Float64()
	a.Host = rng.Int()
	// Reuses bits of Host: another draw would change the arrivals of existing seeds.
	a.Unstreamed = float64(a.Host>>16&0xffff) < w.UnstreamedShare*0x10000
	if w.Prefixes > 0 && usePrefix < w.PrefixShare && a.Prompt > w.PrefixTokens+reservedWords {
		a.Prefix = prefix
	}
	if useStop < w.StopShare {
		a.Stop = stop
	}
	if useCancel < w.CancelShare {
		a.CancelAfter = cancel
	}
	return a
}

// reservedWords is the number of words in a prompt reserved for the unique word and
// the stop word.
const reservedWords = 2

// Prompt builds the prompt of a completion. The word that makes the prompt unique
// follows the shared prefix.
func (w Workload) Prompt(a Arrival) string {
	o := w.Organisations[a.Organisation]
	words := make([]string, 0, a.Prompt)
	if a.Prefix >= 0 {
		for i := range w.PrefixTokens {
			words = append(words, fmt.Sprintf("p%d%s%d", a.Prefix, o.Name[:1], i))
		}
	}
	words = append(words, fmt.Sprintf("%s-%d-%d", o.Name, w.Seed, a.Index))
	if a.Stop > 0 {
		words = append(words, content.StopWord(a.Stop))
	}
	for i := len(words); i < a.Prompt; i++ {
		words = append(words, fmt.Sprintf("w%d", i%997))
	}
	return strings.Join(words, " ")
}

// Body builds the body of a call to a plain service. It is unique per request, so
// that a duplicate execution can be detected.
func (w Workload) Body(a Arrival) []byte {
	return fmt.Appendf(nil, `{"id":"%d-%d","organisation":%q}`, w.Seed, a.Index, w.Organisations[a.Organisation].Name)
}
