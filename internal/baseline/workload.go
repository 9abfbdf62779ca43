package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// tenant is one organisation of the workload.
type tenant struct {
	name   ident.Organisation
	weight float64 // share of the capacity that its rate entitles it to
	sends  float64 // multiple of its share that it sends
}

// tenants are five organisations, a few of them large, of which one sends four
// times its rate.
var tenants = []tenant{
	{"org-a", 0.35, 1},
	{"org-b", 0.25, 1},
	{"org-c", 0.20, 1},
	{"org-d", 0.12, 4},
	{"org-e", 0.08, 1},
}

// greedy is the organisation above its rate.
const greedy ident.Organisation = "org-d"

// arrival is one request of the workload.
type arrival struct {
	at       time.Duration
	host     int
	tenant   tenant
	prompt   int
	output   int
	template int // requests with the same one share leading blocks
}

const (
	templates      = 4 // per organisation
	templateBlocks = 2
	maxPrompt      = 16_000
	maxOutput      = 1000
)

// draw makes one request without its time.
func draw(rng *rand.Rand, hosts int) arrival {
	return arrival{
		host:     rng.IntN(hosts),
		tenant:   drawTenant(rng),
		prompt:   min(maxPrompt, 30+int(2000*math.Exp(rng.NormFloat64()))),
		output:   min(maxOutput, 5+int(160*math.Exp(0.7*rng.NormFloat64()))),
		template: rng.IntN(templates),
	}
}

func drawTenant(rng *rand.Rand) tenant {
	var sum float64
	for _, t := range tenants {
		sum += t.weight * t.sends
	}
	x := rng.Float64() * sum
	for _, t := range tenants {
		if x -= t.weight * t.sends; x < 0 {
			return t
		}
	}
	return tenants[0]
}

// prefix returns the block hashes of a prompt. n makes the rest of it unique.
func (a arrival) prefix(n int) []uint64 {
	var out []uint64
	for i := range a.prompt / placement.BlockTokens {
		h := uint64(n)<<20 | uint64(i) | 1<<63
		if i < templateBlocks {
			h = uint64(a.tenant.name[4])<<16 | uint64(a.template)<<8 | uint64(i)
		}
		out = append(out, h)
	}
	return out
}

// capacity returns the requests per second that the engines can serve, from the
// mean of many requests with perfect prefix reuse left out.
func capacity(o Options) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	const n = 20_000
	var prefill, hold float64
	for range n {
		a := draw(rng, 1)
		prefill += prefillTime(a.prompt).Seconds()
		hold += float64(a.output) * stepTime(slots).Seconds()
	}
	byPrefill := float64(o.Prefill) * n / prefill
	byDecode := float64(o.Decode) * slots * n / hold
	return min(byPrefill, byDecode)
}

// arrivals draws Poisson arrivals at a share of the capacity.
func arrivals(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed+1))
	rate := o.Load * capacity(o)
	var out []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / rate
		if at > o.Duration.Seconds() {
			return out
		}
		a := draw(rng, o.Hosts)
		a.at = time.Duration(at * float64(time.Second))
		out = append(out, a)
	}
}
