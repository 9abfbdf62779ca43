package origin

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// rankingPeers returns hosts that are in turn in a number of domains.
func rankingPeers(hosts, domains int) []Peer {
	var out []Peer
	for i := range hosts {
		out = append(out, Peer{ident.HostID(fmt.Sprint("h", i)), ident.FailureDomain(fmt.Sprint("d", i%domains))})
	}
	return out
}

// Guards against asking other hosts than those that were told.
var _ = Describe("ranking", func() {
	domain := func(peers []Peer, id ident.HostID) ident.FailureDomain {
		return peers[slices.IndexFunc(peers, func(p Peer) bool { return p.ID == id })].Domain
	}
	of := func(peers []Peer, self int) ranking {
		return newRanking(Config{Self: peers[self].ID, Domain: peers[self].Domain}, peers)
	}

	DescribeTable("lets every host ask those that any host has told", func(hosts, domains int) {
		peers := rankingPeers(hosts, domains)
		for n := range 30 {
			id := fmt.Sprint("r", n)
			for a := range min(hosts, 20) {
				ra := of(peers, a)
				told := ra.best(id, 3, true)
				Expect(told).To(HaveLen(min(3, hosts-1)))
				Expect(told).NotTo(ContainElement(peers[a].ID))
				for b := range min(hosts, 20) {
					rb := of(peers, b)
					asked := rb.best(id, 6, false)
					for _, h := range told {
						if h != peers[b].ID {
							Expect(asked).To(ContainElement(h))
						}
					}
				}
			}
		}
	},
		Entry("2 hosts", 2, 2),
		Entry("8 hosts in one domain", 8, 1),
		Entry("8 hosts in two domains", 8, 2),
		Entry("9 hosts in three domains", 9, 3),
		Entry("195 hosts in 19 domains", 195, 19),
	)

	It("takes different domains, the own one last", func() {
		peers := rankingPeers(9, 3)
		r := of(peers, 0)
		for n := range 50 {
			best := r.best(fmt.Sprint(n), 4, true)
			Expect(domain(peers, best[2])).To(BeEquivalentTo("d0"))
			Expect(domain(peers, best[0])).NotTo(Equal(domain(peers, best[1])))
		}
	})

	It("ignores this host and repeated ones", func() {
		peers := rankingPeers(3, 3)
		r := of(append(peers, peers...), 1)
		Expect(r.count).To(Equal(2))
		Expect(r.best("r", 5, false)).To(ConsistOf(ident.HostID("h0"), ident.HostID("h2")))
	})

	It("spreads the streams over the hosts", func() {
		r, counts := of(rankingPeers(195, 19), 0), map[ident.HostID]int{}
		for n := range 20000 {
			for _, h := range r.best(fmt.Sprint(n), 3, true) {
				counts[h]++
			}
		}
		for _, c := range counts {
			Expect(c).To(BeNumerically("<", 2*60000/194))
		}
	})
})
