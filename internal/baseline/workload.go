package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// organisation describes an organisation that sends requests.
type organisation struct {
	name   ident.Organisation
	weight float64 // its rate as a share of the capacity
	sends  float64 // request rate as a multiple of its rate
}

// organisations lists five organisations of unequal size, one of which sends four
// times its rate.
var organisations = []organisation{
	{"org-a", 0.35, 1},
	{"org-b", 0.25, 1},
	{"org-c", 0.20, 1},
	{"org-d", 0.12, 4},
	{"org-e", 0.08, 1},
}

// greedy is the organisation that sends more than its rate.
const greedy ident.Organisation = "org-d"

// arrival is one request of the workload.
type arrival struct {
	at           time.Duration
	host         int
	organisation organisation
	prompt       int
	output       int
	template     int // requests of an organisation with the same template share leading blocks
}

const (
	templates      = 4      // per organisation
	templateBlocks = 2      // leading blocks that the prompts of a template share
	maxPrompt      = 16_000 // tokens
	maxOutput      = 1000   // tokens
)

// draw returns a random request without its arrival time.
func draw(rng *rand.Rand, hosts int) arrival {
	return arrival{
		host:         rng.IntN(hosts),
		organisation: drawOrganisation(rng),
		prompt:       min(maxPrompt, 30+int(2000*math.Exp(rng.NormFloat64()))),
		output:       min(maxOutput, 5+int(160*math.Exp(0.7*rng.NormFloat64()))),
		template:     rng.IntN(templates),
	}
}

func drawOrganisation(rng *rand.Rand) organisation {
	var sum float64
	for _, t := range organisations {
		sum += t.weight * t.sends
	}
	x := rng.Float64() * sum
	for _, t := range organisations {
		if x -= t.weight * t.sends; x < 0 {
			return t
		}
	}
	return organisations[0]
}

func greedyShare() float64 {
	for _, t := range organisations {
		if t.name == greedy {
			return t.weight
		}
	}
	return 0
}

// prefix returns the block hashes of a prompt. The blocks after the template's are
// unique to n.
func (a arrival) prefix(n int) []uint64 {
	var out []uint64
	for i := range a.prompt / placement.BlockTokens {
		h := uint64(n)<<20 | uint64(i) | 1<<63
		if i < templateBlocks {
			h = uint64(a.organisation.name[4])<<16 | uint64(a.template)<<8 | uint64(i)
		}
		out = append(out, h)
	}
	return out
}

// capacity returns the requests per second that the engines can serve, computed from
// the mean cost of many random requests. It assumes no prefix reuse.
func capacity(o Options) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	const n = 20_000
	var prefill, hold float64
	for range n {
		a := draw(rng, 1)
		prefill += prefillTime(a.prompt).Seconds()
		hold += float64(a.output) * stepTime(engineSlots).Seconds()
	}
	byPrefill := float64(o.Prefill) * n / prefill
	byDecode := float64(o.Decode) * engineSlots * n / hold
	return min(byPrefill, byDecode)
}

// arrivals draws Poisson arrivals at a share of the capacity.
func arrivals(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed+1))
	rate := o.Load * capacity(o)
	allowed := bucket{rate: greedyShare() * capacity(o)}
	var out []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / rate
		if at > o.Duration.Seconds() {
			return out
		}
		a := draw(rng, o.Hosts)
		a.at = time.Duration(at * float64(time.Second))
		if !o.LimitGreedy || a.organisation.name != greedy || allowed.take(a.at) {
			out = append(out, a)
		}
	}
}

// bucket is a token bucket that stands in for pkg/limits.
type bucket struct {
	rate   float64 // requests per second
	level  float64
	filled time.Duration
}

// burstSeconds is the size of the bucket, in seconds of its rate.
const burstSeconds = 5

func (b *bucket) take(at time.Duration) bool {
	b.level = min(b.rate*burstSeconds, b.level+(at-b.filled).Seconds()*b.rate)
	b.filled = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
