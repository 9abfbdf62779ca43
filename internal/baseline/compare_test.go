package baseline_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/baseline"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

func TestBaseline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "baseline")
}

var _ = Describe("placement against the baselines in one run", func() {
	run := func(policy string, load float64, change func(*baseline.Options)) baseline.Summary {
		o := baseline.DefaultOptions(policy, load)
		o.Duration = 24 * time.Second
		o.Hosts = 4
		if change != nil {
			change(&o)
		}
		return baseline.Run(o)
	}

	It("reaches near-ideal goodput at load 0.9 with little wasted prefill, no worse than the baselines", func() {
		ours := run("placement", 0.9, nil)
		Expect(ours.Goodput).To(BeNumerically(">=", 0.97*run("ideal", 0.9, nil).Goodput))
		Expect(ours.WastedPrefill).To(BeNumerically("<", 0.01))
		for _, p := range []string{"least-load", "round-robin"} {
			theirs := run(p, 0.9, nil)
			Expect(ours.Goodput).To(BeNumerically(">=", theirs.Goodput), p)
			Expect(ours.WorstShare).To(BeNumerically(">=", theirs.WorstShare), p)
		}
	})

	It("keeps its goodput at load 1.3 and serves the organisations within their rate equally", func() {
		over := run("placement", 1.3, nil)
		Expect(over.Goodput).To(BeNumerically(">=", 0.9*run("placement", 1.0, nil).Goodput))
		Expect(over.WorstShare).To(BeNumerically(">=", 0.97*over.MeanShare))
	})

	It("recovers from the loss of an engine or of the pool owner", func() {
		lost := run("placement", 0.9, func(o *baseline.Options) { o.CrashEngine = engine.Decode })
		Expect(lost.Recovered).To(BeNumerically(">=", 0.9*0.9*8/9))
		owner := run("placement", 0.9, func(o *baseline.Options) { o.CrashOwner = true })
		Expect(owner.OrphanTime).To(BeNumerically("<", 5*time.Second))
		Expect(owner.WastedPrefill).To(BeNumerically("<", 0.01))
	})

	It("ends every request when messages between hosts are lost", func() {
		lossy := run("placement", 1.0, func(o *baseline.Options) { o.MessageLoss = 0.05 })
		Expect(lossy.Unfinished).To(BeZero())
	})

	It("gives the same result for the same seed", func() {
		Expect(run("placement", 0.9, nil)).To(Equal(run("placement", 0.9, nil)))
	})
})
