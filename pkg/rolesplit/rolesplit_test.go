package rolesplit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/rolesplit"
)

func TestRolesplit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rolesplit")
}

var _ = Describe("a planner", func() {
	var (
		p   *rolesplit.Planner
		cfg rolesplit.Config
		now time.Time
	)

	BeforeEach(func() {
		cfg = rolesplit.DefaultConfig()
		p = rolesplit.New(cfg)
		now = time.Unix(1000, 0)
	})

	// run records requests at a constant rate. prefill and decode are the engine seconds
	// that one request needs in each role.
	run := func(d time.Duration, perSecond, prefill, decode float64) {
		const step = 100 * time.Millisecond
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			n := perSecond * step.Seconds()
			p.RecordWork(now, n*prefill, n*decode)
		}
	}

	It("changes nothing without work or right after the first", func() {
		Expect(p.Plan(now, 5, 7)).To(BeZero())
		run(time.Second, 13, 0.09, 0.36)
		Expect(p.Plan(now, 5, 7)).To(BeZero())
	})

	It("assigns surplus prefill engines to decode, at any load", func() {
		for _, rate := range []float64{2, 13, 30} {
			p = rolesplit.New(cfg)
			run(5*time.Second, rate, 0.06, 0.36)
			Expect(p.Plan(now, 5, 7)).To(Equal(-2), "rate %v", rate)
		}
	})

	It("keeps a good split, even in a burst of the same mix", func() {
		run(5*time.Second, 13, 0.09, 0.36)
		Expect(p.Plan(now, 4, 8)).To(BeZero())
		run(5*time.Second, 30, 0.09, 0.36)
		Expect(p.Plan(now, 4, 8)).To(BeZero())
	})

	It("follows a lasting shift to long prompts, and the loss of prefill engines", func() {
		run(5*time.Second, 13, 0.09, 0.36)
		Expect(p.Plan(now, 1, 11)).To(BeNumerically(">", 0))
		run(30*time.Second, 13, 0.3, 0.3)
		Expect(p.Plan(now, 3, 9)).To(BeNumerically(">=", 3))
	})

	It("waits for the cooldown between changes", func() {
		run(5*time.Second, 13, 0.06, 0.36)
		p.RecordChange(now)
		Expect(p.Plan(now, 5, 7)).To(BeZero())
		now = now.Add(cfg.Cooldown)
		Expect(p.Plan(now, 5, 7)).To(Equal(-2))
	})

	It("never empties a role", func() {
		run(5*time.Second, 13, 0, 0.36)
		Expect(p.Plan(now, 5, 7)).To(Equal(-3), "the loss of one must leave one")
		Expect(p.Plan(now, 2, 1)).To(Equal(-1))
		p = rolesplit.New(cfg)
		run(5*time.Second, 13, 0.09, 0)
		Expect(p.Plan(now, 5, 2)).To(Equal(1))
	})

	It("does not oscillate at any boundary", func() {
		for share := 0.02; share < 0.98; share += 0.01 {
			p = rolesplit.New(cfg)
			run(6*time.Second, 10, share, 1-share)
			prefill, total, changes := 5, 12, 0
			for range 10 {
				if d := p.Plan(now, prefill, total-prefill); d != 0 {
					prefill += d
					changes++
				}
			}
			Expect(changes).To(BeNumerically("<=", 1), "share %v", share)
		}
	})
})
