package drills_test

import (
	"fmt"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	publications = 24
	// publicationGap is the pause between a publication being in force and the next one.
	publicationGap = 700 * time.Millisecond
)

// Measures the time from a publication to each host's log line that it is in force. Runs
// only with DRILLS_MEASURE=1 and prints the figures of docs/confsync.md.
var _ = Describe("The time from publication to in force", Label("large"), func() {
	BeforeEach(func() {
		if os.Getenv("DRILLS_MEASURE") != "1" {
			Skip("DRILLS_MEASURE is not 1")
		}
	})

	It("is measured without a fault", func() {
		s := onLarge()
		s.measure("none", func(int) []*fleet.Host { return s.Hosts })
	})

	It("is measured with a reader killed at every third publication", func() {
		s := onLarge()
		s.measure("reader killed", func(n int) []*fleet.Host {
			if n%3 != 0 {
				return s.Hosts
			}
			domain := s.Deployment.Plan.Domains[n/3%2]
			i := s.indexOf(ident.Rank("reader/"+string(domain), s.idsOf(domain))[0])
			lost := s.Hosts[i]
			lost.Kill()
			return without(s.Hosts, lost)
		})
	})
})

// measure publishes several times and prints how long the hosts take. before is called
// ahead of each publication and returns the hosts to measure; the others are replaced
// after it.
func (s *site) measure(fault string, before func(n int) []*fleet.Host) {
	GinkgoHelper()
	var all []time.Duration
	for n := range publications {
		hosts := before(n)
		at := s.publish(s.rules + fmt.Sprintf("# publication %d\n", n))
		awaitInForce(hosts, s.revision)
		for _, h := range hosts {
			t, _ := h.InForce(s.revision)
			all = append(all, t.Sub(at))
		}
		for i, h := range s.Hosts {
			if !slices.Contains(hosts, h) {
				Expect(s.Replace(i, "")).To(Succeed())
				Expect(s.WaitReady()).To(Succeed())
			}
		}
		time.Sleep(publicationGap)
	}
	slices.Sort(all)
	fmt.Printf("fault %s: %d publications, %d hosts, %d values: p50 %s p99 %s max %s\n", fault, publications, len(s.Hosts),
		len(all), percentile(all, 50), percentile(all, 99), all[len(all)-1].Round(time.Millisecond))
	Expect(all[len(all)-1]).To(BeNumerically("<", propagationLimit))
}

// percentile returns a percentile of sorted values.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)*percent+99)/100-1].Round(time.Millisecond)
}
