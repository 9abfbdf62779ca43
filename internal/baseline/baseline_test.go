package baseline_test

import (
	"fmt"
	"testing"

	"github.com/mulberrystream/mulberrystream/internal/baseline"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

var policies = []string{"ideal", "placement", "least-load", "round-robin"}

// BenchmarkGoodput reports the figures of docs/placement.md. Its time per operation
// is meaningless; run it with -benchtime 1x.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.7, 0.9, 1.0, 1.3} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, p), func(b *testing.B) {
				report(b, baseline.DefaultOptions(p, load))
			})
		}
	}
}

// BenchmarkLostEngine crashes one engine halfway through the run.
func BenchmarkLostEngine(b *testing.B) {
	for _, role := range []engine.Role{engine.Decode, engine.Prefill} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=0.9/%s/%s", role, p), func(b *testing.B) {
				o := baseline.DefaultOptions(p, 0.9)
				o.CrashEngine = role
				report(b, o)
			})
		}
	}
}

// BenchmarkLostOwner crashes the host that owns the pool halfway through the run.
func BenchmarkLostOwner(b *testing.B) {
	o := baseline.DefaultOptions("placement", 0.9)
	o.CrashOwner = true
	report(b, o)
}

// BenchmarkLoss drops a share of the messages between hosts.
func BenchmarkLoss(b *testing.B) {
	for _, load := range []float64{0.9, 1.3} {
		for _, loss := range []float64{0.001, 0.01, 0.05} {
			b.Run(fmt.Sprintf("load=%.1f/loss=%.3f", load, loss), func(b *testing.B) {
				o := baseline.DefaultOptions("placement", load)
				o.MessageLoss = loss
				report(b, o)
			})
		}
	}
}

// BenchmarkLimited limits the greedy organisation to its rate, as pkg/limits does.
func BenchmarkLimited(b *testing.B) {
	for _, p := range policies {
		b.Run("load=1.3/"+p, func(b *testing.B) {
			o := baseline.DefaultOptions(p, 1.3)
			o.LimitGreedy = true
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

// report runs the simulation with another seed in each iteration. It reports means
// over the iterations, but the minimum of WorstShare and the maximum of OrphanTime.
func report(b *testing.B, o baseline.Options) {
	var sum baseline.Summary
	worst := 1.0
	for n := range b.N {
		o.Seed = uint64(n + 1)
		s := baseline.Run(o)
		sum.Goodput += s.Goodput
		sum.WastedPrefill += s.WastedPrefill
		sum.MeanShare += s.MeanShare
		sum.WronglyRefused += s.WronglyRefused
		sum.Retries += s.Retries
		sum.Recovered += s.Recovered
		sum.OrphanTime = max(sum.OrphanTime, s.OrphanTime)
		worst = min(worst, s.WorstShare)
	}
	percent := func(v float64, unit string) { b.ReportMetric(100*v/float64(b.N), unit) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*worst, "worst%")
	percent(sum.Goodput, "goodput%")
	percent(sum.WastedPrefill, "wasted%")
	percent(sum.MeanShare, "mean%")
	percent(sum.WronglyRefused, "denied%")
	percent(sum.Retries, "retries%")
	if o.CrashEngine != "" || o.CrashOwner {
		percent(sum.Recovered, "recovered%")
	}
	if o.CrashOwner {
		b.ReportMetric(sum.OrphanTime.Seconds(), "orphans-s")
	}
}
