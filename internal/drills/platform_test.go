package drills_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// otherThan selects the requests to other hosts.
func otherThan(id ident.HostID) func(sent) bool {
	return func(s sent) bool { return s.host != id }
}

// expectRevision checks that every host has the newest revision in force.
func (s *site) expectRevision() {
	GinkgoHelper()
	for _, h := range s.Hosts {
		st, err := h.Status()
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Revision).To(Equal(s.revision), "host %s", h.ID)
	}
}

var _ = Describe("The configuration service", func() {
	// Guards against a new host that waits for the platform although its peers have the
	// generation, and against a fleet that stops serving during a platform outage.
	It("is down while a host is replaced", Label("bagmati"), func() {
		s := onBagmati()
		lost := s.Hosts[0]
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(10)
		s.Deployment.Platform.Down()
		DeferCleanup(func() { _ = s.Deployment.Platform.Up() })
		lost.Kill()
		l.setTargets(s.Hosts[1:]...)
		Expect(s.Replace(0, lost.ID)).To(Succeed())
		awaitInForce(s.Hosts[:1], s.revision)
		Expect(s.WaitReady()).To(Succeed())
		s.expectRevision()
		replaced := time.Now()
		l.setTargets(s.Hosts...)
		l.waitAnswers(40)
		Expect(s.Deployment.Platform.Up()).To(Succeed())
		s.expectInForce(s.publish(s.rules))
		l.expectCorrect(func(a sent) bool { return a.host != lost.ID || a.at.After(replaced) })
	})

	// Guards against hosts that accept an older generation, and against hosts that do not
	// follow the service when it is current again.
	It("serves old generations and no host reverts", Label("bagmati"), func() {
		s := onBagmati()
		l := startLoad(keyHimal, s.Hosts)
		s.expectInForce(s.publish(fleet.WithoutKey(s.rules, "everest-1")))
		withdrawn := s.revision
		s.Deployment.Platform.RollBack(1)
		DeferCleanup(s.Deployment.Platform.Unfreeze)
		By("reading the lower revision")
		Expect(fleet.Await("an alarm", func() bool { return s.logged("lower generation") })).To(Succeed())
		s.expectRevision()
		for _, h := range s.Hosts {
			Expect(ask(h, keyEverest).Status).To(Equal(401), "host %s reverted to an older generation", h.ID)
		}
		By("publishing while the service is stale")
		s.publish(s.rules)
		l.waitAnswers(20)
		for _, h := range s.Hosts {
			_, early := h.InForce(s.revision)
			Expect(early).To(BeFalse(), "the service still serves old generations")
			st, err := h.Status()
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Revision).To(Equal(withdrawn))
		}
		s.Deployment.Platform.Unfreeze()
		awaitInForce(s.Hosts, s.revision)
		l.expectAllCorrect()
	})

	// Guards against a domain that keeps an old generation because the host that reads
	// the configuration for it dies just before a publication.
	It("is read by another host when a reader dies", Label("large"), func() {
		s := onLarge()
		readers := ident.Rank("reader/teku", s.idsOf("teku"))
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(10)
		i := s.indexOf(readers[0])
		lost := s.Hosts[i]
		lost.Kill()
		at := s.publish(s.rules + fmt.Sprintf("# revision %d\n", s.revision+1))
		l.setTargets(without(s.Hosts, lost)...)
		last := awaitInForce(without(s.Hosts, lost), s.revision)
		Expect(last.Sub(at)).To(BeNumerically("<", propagationLimit))
		l.waitAnswers(20)
		l.expectCorrect(otherThan(lost.ID))
		Expect(s.Replace(i, "")).To(Succeed())
		s.restore()
	})
})

// logged reports whether any host has logged a text.
func (s *site) logged(text string) bool {
	for _, h := range s.Hosts {
		if ok, _ := ContainSubstring(text).Match(h.Log()); ok {
			return true
		}
	}
	return false
}

func (s *site) idsOf(domain ident.FailureDomain) []ident.HostID {
	var out []ident.HostID
	for _, h := range s.hostsIn(domain) {
		out = append(out, h.ID)
	}
	return out
}

// hostsIn returns the hosts of a domain.
func (s *site) hostsIn(domain ident.FailureDomain) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range s.Hosts {
		if h.Domain == domain {
			out = append(out, h)
		}
	}
	return out
}

func (s *site) indexOf(id ident.HostID) int {
	GinkgoHelper()
	for i, h := range s.Hosts {
		if h.ID == id {
			return i
		}
	}
	Fail("no host " + string(id))
	return 0
}
