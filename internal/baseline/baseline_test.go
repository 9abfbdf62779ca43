package baseline_test

import (
	"fmt"
	"testing"

	"github.com/mulberrystream/mulberrystream/internal/baseline"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

var policies = []string{"ideal", "placement", "least-load", "round-robin"}

// BenchmarkGoodput reports the figures of docs/placement.md. Its time per
// operation says nothing; run it with -benchtime 1x.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.7, 0.9, 1.0, 1.3} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, p), func(b *testing.B) {
				report(b, baseline.DefaultOptions(p, load))
			})
		}
	}
}

// BenchmarkLostEngine is BenchmarkGoodput with one engine lost in mid-run.
func BenchmarkLostEngine(b *testing.B) {
	for _, role := range []engine.Role{engine.Decode, engine.Prefill} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=0.9/%s/%s", role, p), func(b *testing.B) {
				o := baseline.DefaultOptions(p, 0.9)
				o.Lose = role
				report(b, o)
			})
		}
	}
}

// BenchmarkLostOwner loses the host that owns the pool in mid-run.
func BenchmarkLostOwner(b *testing.B) {
	o := baseline.DefaultOptions("placement", 0.9)
	o.LoseHost = true
	report(b, o)
}

// BenchmarkLoss loses messages between hosts.
func BenchmarkLoss(b *testing.B) {
	for _, load := range []float64{0.9, 1.3} {
		for _, loss := range []float64{0.001, 0.01, 0.05} {
			b.Run(fmt.Sprintf("load=%.1f/loss=%.3f", load, loss), func(b *testing.B) {
				o := baseline.DefaultOptions("placement", load)
				o.Loss = loss
				report(b, o)
			})
		}
	}
}

// BenchmarkLimited holds the greedy organisation to its rate, as pkg/limits does.
func BenchmarkLimited(b *testing.B) {
	for _, p := range policies {
		b.Run("load=1.3/"+p, func(b *testing.B) {
			o := baseline.DefaultOptions(p, 1.3)
			o.Limit = true
			report(b, o)
		})
	}
}

// BenchmarkHosts varies the number of entry hosts.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{2, 4, 8} {
		for _, p := range []string{"placement", "least-load"} {
			b.Run(fmt.Sprintf("load=0.9/hosts=%d/%s", hosts, p), func(b *testing.B) {
				o := baseline.DefaultOptions(p, 0.9)
				o.Hosts = hosts
				report(b, o)
			})
		}
	}
}

// report runs the experiment with another seed in each iteration and reports
// means, and the worst case of the worst-served organisation.
func report(b *testing.B, o baseline.Options) {
	var sum baseline.Summary
	worst := 1.0
	for n := range b.N {
		o.Seed = uint64(n + 1)
		s := baseline.Run(o)
		sum.Goodput += s.Goodput
		sum.Wasted += s.Wasted
		sum.Mean += s.Mean
		sum.WronglyDenied += s.WronglyDenied
		sum.Retries += s.Retries
		sum.Recovered += s.Recovered
		sum.Orphans = max(sum.Orphans, s.Orphans)
		worst = min(worst, s.Worst)
	}
	percent := func(v float64, unit string) { b.ReportMetric(100*v/float64(b.N), unit) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*worst, "worst%")
	percent(sum.Goodput, "goodput%")
	percent(sum.Wasted, "wasted%")
	percent(sum.Mean, "mean%")
	percent(sum.WronglyDenied, "denied%")
	percent(sum.Retries, "retries%")
	if o.Lose != "" || o.LoseHost {
		percent(sum.Recovered, "recovered%")
	}
	if o.LoseHost {
		b.ReportMetric(sum.Orphans.Seconds(), "orphans-s")
	}
}
