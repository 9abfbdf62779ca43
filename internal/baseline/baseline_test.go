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

func report(b *testing.B, o baseline.Options) {
	var s baseline.Summary
	for range b.N {
		s = baseline.Run(o)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*s.Goodput, "goodput%")
	b.ReportMetric(100*s.Wasted, "wasted%")
	b.ReportMetric(100*s.Worst, "worst%")
	b.ReportMetric(100*s.Mean, "mean%")
	b.ReportMetric(100*s.WronglyDenied, "denied%")
	b.ReportMetric(100*s.Retries, "retries%")
	if o.Lose != "" {
		b.ReportMetric(100*s.Recovered, "recovered%")
	}
}
