package limits_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/limits"
)

func uniform(t time.Duration) int { return int(t / time.Microsecond % 8) }

// skewed sends most requests to one host and the rest everywhere.
func skewed(t time.Duration) int {
	if t/time.Microsecond%10 < 7 {
		return 2
	}
	return uniform(t)
}

// outcome runs one load and reports which arrivals were granted.
func outcome(seed uint64, hosts, domains int, p limits.Policy, load float64, pick func(time.Duration) int, change func(*sim)) *sim {
	s := newSim(seed, hosts, domains, p)
	s.platform, s.thrifty = true, true
	change(s)
	s.load(8*time.Second, 23*time.Second, load, pick)
	s.run(25 * time.Second)
	return s
}

// wronglyRefused counts the arrivals that s refused and ideal granted.
func wronglyRefused(s, ideal *sim) float64 {
	n := 0.0
	for i, a := range s.arrivals {
		if !a.granted && ideal.arrivals[i].granted {
			n++
		}
	}
	return n
}

var _ = Describe("wrongly refused work", func() {
	DescribeTable("is less than with static shares, so that loans are worth their messages",
		func(load float64, pick func(time.Duration) int, burstSeconds, loss, limit float64) {
			p := limits.Policy{Rate: policy.Rate, Burst: policy.Rate * burstSeconds}
			var all, with, without, ideals, grants, statics, messages float64
			for seed := range uint64(4) {
				ideal := outcome(seed, 1, 1, p, load, pick, func(*sim) {})
				loans := outcome(seed, 8, 4, p, load, pick, func(s *sim) { s.loss = loss })
				static := outcome(seed, 8, 4, p, load, pick, func(s *sim) {
					s.peers = func(*process) []limits.Peer { return nil }
				})
				all += float64(len(ideal.arrivals))
				with += wronglyRefused(loans, ideal)
				without += wronglyRefused(static, ideal)
				ideals += float64(len(ideal.uses))
				grants += float64(len(loans.uses))
				statics += float64(len(static.uses))
				messages += float64(loans.messages)
			}
			AddReportEntry("wrongly refused", fmt.Sprintf("with loans %.2f%%, static shares %.2f%% of %.0f arrivals; granted ideal %.0f, loans %.0f, static %.0f; %.2f messages per request",
				100*with/all, 100*without/all, all, ideals, grants, statics, messages/all))
			Expect(with).To(BeNumerically("<=", without))
			Expect(100 * with / all).To(BeNumerically("<", limit))
		},
		Entry("0.5 of the rate, one host", 0.5, oneHost, 1.0, 0.0, 0.5),
		Entry("0.5 of the rate, moving", 0.5, moving, 1.0, 0.0, 0.5),
		Entry("0.9 of the rate, one host", 0.9, oneHost, 1.0, 0.0, 0.5),
		Entry("0.9 of the rate, moving", 0.9, moving, 1.0, 0.0, 1.0),
		Entry("0.9 of the rate, skewed", 0.9, skewed, 1.0, 0.0, 1.0),
		Entry("0.9 of the rate, uniform", 0.9, uniform, 1.0, 0.0, 1.5),
		Entry("0.9 of the rate, moving, burst of 2 s", 0.9, moving, 2.0, 0.0, 0.5),
		Entry("0.9 of the rate, skewed, burst of 2 s", 0.9, skewed, 2.0, 0.0, 0.5),
		Entry("0.9 of the rate, uniform, burst of 2 s", 0.9, uniform, 2.0, 0.0, 0.5),
		Entry("0.9 of the rate, one host, 5% loss", 0.9, oneHost, 1.0, 0.05, 100.0),
		Entry("3 times the rate, one host", 3.0, oneHost, 1.0, 0.0, 100.0),
		Entry("3 times the rate, uniform", 3.0, uniform, 1.0, 0.0, 100.0),
	)
})
