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

// Range is a range of tokens. Values are drawn evenly on a logarithmic scale, so
// that short ones are as common as the wide range of long ones.
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

// mean returns the mean of what is drawn.
func (r Range) mean() float64 {
	if r.Max <= r.Min {
		return float64(r.Min)
	}
	return float64(r.Max-r.Min) / math.Log(float64(r.Max)/float64(r.Min))
}

// Organisation is a sender of requests.
type Organisation struct {
	Name   ident.Organisation
	Key    string  // "<key id>.<secret>"
	Rate   float64 // tokens per second that the rules allow
	Burst  float64 // tokens
	Prompt Range
	Output Range
	// Factor on the requests that use the rate exactly; 0 is 1. Above 1 the
	// organisation is not well-behaved.
	Factor float64
}

// KeyID returns the public part of the key.
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

// requests returns the requests a second that use the rate.
func (o Organisation) requests() float64 {
	return o.Rate / (o.Prompt.mean() + o.Output.mean())
}

// Call is a kind of call of a plain service.
type Call struct {
	Path     string
	NoRepeat bool    // sent with an idempotency key, unless NoKey
	NoKey    bool    // sent without an idempotency key, and by its caller only once
	Open     bool    // sent without a caller key
	PerSec   float64 // over all organisations
}

// Peak is a time of higher load.
type Peak struct {
	From, To time.Duration
	Factor   float64
}

// Workload describes a run.
type Workload struct {
	Name          string
	Model         ident.Model
	Organisations []Organisation
	Calls         []Call
	Duration      time.Duration
	Load          float64 // factor on all requests
	Peak          Peak
	Prefixes      int     // shared prompt prefixes of each organisation
	PrefixTokens  int     // their length
	PrefixShare   float64 // share of prompts that begin with one, if long enough
	CancelShare   float64 // share of callers that go away in the middle
	StopShare     float64 // share of answers that end before max_tokens
	WholeShare    float64 // share of completions that are not streamed
	Seed          uint64
}

// Arrival is one request of a run.
type Arrival struct {
	Index        int
	At           time.Duration
	Organisation int
	Call         *Call // nil for a completion
	Prompt       int   // tokens
	MaxTokens    int
	Prefix       int // shared prefix, negative is none
	Stop         int // answer ends after so many tokens; 0 is max_tokens
	CancelAfter  int // the caller goes away after so many tokens; 0 is never
	Host         int // random number that chooses the entry host
	Whole        bool
}

// Requests returns the completions a second at load 1 and their mean tokens, with
// each organisation at its rate.
func (w Workload) Requests() (perSecond, prompt, output float64) {
	for _, o := range w.Organisations {
		n := o.requests()
		perSecond += n
		prompt += n * o.Prompt.mean()
		output += n * o.Output.mean()
	}
	return perSecond, ratio(prompt, perSecond), ratio(output, perSecond)
}

// Arrivals returns all requests in order of time. Each organisation and each kind
// of call has its own random numbers, so a change of one leaves the others alone.
func (w Workload) Arrivals() []Arrival {
	var out []Arrival
	for i, o := range w.Organisations {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)+1))
		rate := o.requests() * o.factor() * w.Load
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

// times draws Poisson arrivals. Outside the peak a part of those drawn for it is
// left out.
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
	// All numbers are drawn for each request, so that a share changes only the
	// requests that it concerns.
	prefix, usePrefix := rng.IntN(max(1, w.Prefixes)), rng.Float64()
	stop, useStop := 1+rng.IntN(a.MaxTokens), rng.Float64()
	cancel, useCancel := 1+rng.IntN(a.MaxTokens), rng.Float64()
	a.Host = rng.Int()
	// A draw of its own would change the arrivals of the seeds in use.
	a.Whole = float64(a.Host>>16&0xffff) < w.WholeShare*0x10000
	if w.Prefixes > 0 && usePrefix < w.PrefixShare && a.Prompt > w.PrefixTokens+extraWords {
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

// extraWords are the words of a prompt that make it unique and end its answer.
const extraWords = 2

// Prompt builds the prompt of a completion. The word that makes it unique comes
// after the shared prefix.
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

// Body builds the body of a call of a plain service. It is unique, so that a
// second execution is visible.
func (w Workload) Body(a Arrival) []byte {
	return fmt.Appendf(nil, `{"id":"%d-%d","organisation":%q}`, w.Seed, a.Index, w.Organisations[a.Organisation].Name)
}
