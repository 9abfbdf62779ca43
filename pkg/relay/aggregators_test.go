package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a large fleet in which one organisation suddenly asks for several times its rate", func() {
	// Without aggregators every host admits against the full bucket until the next
	// heartbeats of the others, and the organisation is refused for seconds afterwards.
	const hosts = 120

	It("admits little more than the limit in the first second, and its rate from then on", func() {
		f := newRestartFleet(hosts, 3)
		f.run(6*time.Second, 0.5)
		f.admittedAt = nil
		start := f.now
		f.run(5*time.Second, 7.5)
		Expect(f.maxAdmitted(time.Second)).To(BeNumerically("<", 1.5*2*restartRate), "the burst and one second of the rate, and half of that again")
		later := 0
		for _, at := range f.admittedAt {
			if at.Sub(start) >= 2*time.Second {
				later++
			}
		}
		Expect(float64(later * restartTokens)).To(BeNumerically(">", 0.85*3*restartRate))
		Expect(float64(later * restartTokens)).To(BeNumerically("<", 1.25*3*restartRate))
	})

	It("does so too when the failure domain of one aggregator is lost", func() {
		f := newRestartFleet(hosts, 4)
		f.run(6*time.Second, 0.5)
		for i := range f.hosts {
			if i%4 == 1 {
				f.hosts[i], f.startsAt[i] = nil, time.Time{}
			}
		}
		f.admittedAt = nil
		f.run(4*time.Second, 7.5)
		Expect(f.maxAdmitted(time.Second)).To(BeNumerically("<", 1.5*2*restartRate))
	})
})
