package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// detectionBound is the longest time in which a dead host must be reported: DeadAfter,
// the intervals that its last sequence number takes to spread, and one tick.
const detectionBound = 3*time.Second + 4*500*time.Millisecond + tickEvery

var _ = Describe("failure detection", func() {
	DescribeTable("every host reports a crash in time and no live host as dead, within its bandwidth limit",
		func(hosts, domains int, loss float64) {
			n, ps := startFleet(hosts, domains, loss)
			n.delayMax = 80 * time.Millisecond
			n.run(2 * time.Second)
			for _, p := range ps {
				p.sent = 0
			}
			for r := range 2 {
				n.setLoad(r)
				n.run(time.Second)
				for _, p := range ps {
					Expect(n.now.Sub(p.lastContact)).To(BeNumerically("<", 3*time.Second), "contact timeout")
				}
			}
			for _, p := range ps {
				Expect(p.sent/2).To(BeNumerically("<", 11_000), "bytes per second")
			}
			crash := n.now
			ps[0].stopped = true
			n.run(detectionBound)
			for _, p := range ps[1:] {
				dead, at := eventsOf[membership.HostDead](p)
				Expect(dead).To(HaveLen(1), "%s", p.self)
				Expect(dead[0].Process).To(Equal(ps[0].self))
				Expect(at[0].Sub(crash)).To(BeNumerically(">", 2*time.Second))
				Expect(p.host(ps[0].self.Host).State).To(Equal(membership.Dead))
			}
		},
		Entry("8 hosts", 8, 1, 0.0),
		Entry("8 hosts, lossy, duplicating, reordering network", 8, 4, 0.1),
		Entry("90 hosts among 19 domains, lossy, duplicating, reordering network", 90, 19, 0.1),
	)

	It("bounds its state under a flood of made-up host ids", func() {
		n := newNetwork(1)
		p := n.start("a-00", "a", 0)
		for i := range 3000 {
			hb := &membership.Heartbeat{Incarnation: 1, Sequence: 1, Domain: "a", Slot: ident.Slot(i)}
			p.Receive(n.now, ident.HostID(fmt.Sprint("x", i)), membership.Message{Heartbeat: hb})
		}
		Expect(len(p.View(n.now).Hosts)).To(BeNumerically("<=", 1024))
	})

	It("detects a crash although messages arrive seconds late", func() {
		n := newNetwork(3)
		ps := n.startDomain("a", 8)
		n.listAll()
		n.delayMax = 2 * time.Second
		n.run(10 * time.Second)
		ps[0].stopped = true
		n.run(2*time.Second + detectionBound)
		for _, p := range ps[1:] {
			Expect(p.host("a-00").State).To(Equal(membership.Dead))
		}
	})

	It("does not report a listed host as up before it is heard from", func() {
		n := newNetwork(1)
		ps := n.startDomain("a", 3)
		ps[2].stopped = true
		for _, p := range ps[:2] {
			p.SetHosts(n.now, []membership.HostInfo{
				{ID: "a-00", Addr: ps[0].addr, Domain: "a"}, {ID: "a-01", Addr: ps[1].addr, Domain: "a", Slot: 1},
				{ID: "a-02", Addr: ps[2].addr, Domain: "a", Slot: 2}})
		}
		n.run(5 * time.Second)
		Expect(ps[0].host("a-02").State).To(Equal(membership.Dead))
		ups, _ := eventsOf[membership.HostUp](ps[0])
		Expect(ups).To(HaveLen(1))
	})

	It("accepts a host that is not listed, since the list lags", func() {
		n := newNetwork(1)
		ps := n.startDomain("a", 3)
		n.listAll()
		n.run(2 * time.Second)
		late := n.start("a-03", "a", 3)
		late.SetHosts(n.now, []membership.HostInfo{{ID: "a-00", Addr: ps[0].addr, Domain: "a"},
			{ID: "a-01", Addr: ps[1].addr, Domain: "a", Slot: 1}, {ID: "a-02", Addr: ps[2].addr, Domain: "a", Slot: 2}})
		n.run(2 * time.Second)
		Expect(ps[0].host("a-03").State).To(Equal(membership.Live))
		Expect(ps[0].host("a-03").Acked).To(BeTrue())
	})

	It("keeps a flapping host suspect, so that ownership does not move with each flap", func() {
		n := newNetwork(1)
		ps := n.startDomain("a", 3)
		n.listAll()
		n.run(2 * time.Second)
		flapper, live := ps[2], 0
		n.cut = func(from, to *process) bool { return (from == flapper || to == flapper) && n.now.Unix()%5 != 0 }
		for range 300 {
			n.run(100 * time.Millisecond)
			if ps[0].host("a-02").State == membership.Live && n.now.Sub(epoch) > 12*time.Second {
				live++
			}
		}
		ups, _ := eventsOf[membership.HostUp](ps[0])
		Expect(len(ups)).To(BeNumerically(">", 4))
		Expect(live).To(BeZero())
		n.cut = func(_, _ *process) bool { return false }
		n.run(20 * time.Second)
		Expect(ps[0].host("a-02").State).To(Equal(membership.Live))
	})

	It("shows one-way reachability as missing acknowledgements", func() {
		n := newNetwork(1)
		ps := n.startDomain("a", 4)
		n.listAll()
		n.run(3 * time.Second)
		n.cut = func(from, to *process) bool { return from == ps[0] && to == ps[1] }
		n.run(5 * time.Second)
		Expect(ps[0].host("a-01").State).To(Equal(membership.Live))
		Expect(ps[0].host("a-01").Acked).To(BeFalse())
		Expect(ps[1].host("a-00").State).To(Equal(membership.Live), "other hosts' digests name it")
		Expect(ps[1].host("a-00").Acked).To(BeFalse(), "its acknowledgements do not arrive")
		Expect(ps[2].host("a-00").Acked).To(BeTrue())
	})

	It("reports no contact on a host that receives messages but whose own are lost", func() {
		n := newNetwork(1)
		ps := n.startDomain("a", 4)
		n.listAll()
		n.run(3 * time.Second)
		cut := n.now
		n.cut = func(from, _ *process) bool { return from == ps[0] }
		n.run(6 * time.Second)
		contacts, _ := eventsOf[membership.Contact](ps[0])
		Expect(contacts[len(contacts)-1].Sent).To(BeTemporally("<=", cut))
		Expect(ps[1].host("a-00").State).To(Equal(membership.Dead))
	})

	It("produces the same events for the same seed", func() {
		trace := func() string {
			n := newNetwork(11)
			n.loss, n.dup, n.delayMax = 0.2, 0.2, time.Second
			ps := append(n.startDomain("a", 12), n.startDomain("b", 3)...)
			n.listAll()
			n.run(6 * time.Second)
			out := ""
			for _, p := range ps {
				out += fmt.Sprint(p.events, p.View(n.now), p.sent, "\n")
			}
			return out
		}
		Expect(trace()).To(Equal(trace()))
	})
})

var _ = Describe("incarnations and slots", func() {
	var n *network
	var ps []*process

	BeforeEach(func() {
		n = newNetwork(5)
		ps = n.startDomain("a", 5)
		n.listAll()
		n.run(3 * time.Second)
	})

	It("distinguishes a restarted host from its previous process and ignores late heartbeats of the latter", func() {
		old := ps[0]
		old.paused = true
		n.run(time.Second)
		fresh := n.start("a-00", "a", 0)
		n.listAll()
		n.run(2 * time.Second)
		restarted, _ := eventsOf[membership.HostRestarted](ps[1])
		Expect(restarted).To(ConsistOf(membership.HostRestarted{Process: fresh.self, Previous: old.self.Incarnation}))
		contacts, _ := eventsOf[membership.Contact](old)
		old.paused = false
		for range 20 {
			n.run(100 * time.Millisecond)
			Expect(ps[1].host("a-00").Addr).To(Equal(fresh.addr))
		}
		Expect(ps[1].host("a-00").Process).To(Equal(fresh.self))
		Expect(ps[1].host("a-00").State).To(Equal(membership.Live))
		superseded, _ := eventsOf[membership.Superseded](old)
		Expect(superseded).To(ConsistOf(membership.Superseded{By: fresh.self}))
		after, _ := eventsOf[membership.Contact](old)
		Expect(after).To(HaveLen(len(contacts)), "a superseded process must not report contact")
	})

	It("tells a process that a host with another id holds its slot", func() {
		ps[0].paused = true
		n.run(5 * time.Second)
		fresh := n.start("b-00", "a", 0)
		n.listAll()
		n.run(2 * time.Second)
		contacts, _ := eventsOf[membership.Contact](ps[0])
		ps[0].paused = false
		n.cut = func(from, to *process) bool { return from == fresh && to == ps[0] }
		n.run(3 * time.Second)
		superseded, _ := eventsOf[membership.Superseded](ps[0])
		Expect(superseded).To(ConsistOf(membership.Superseded{By: fresh.self}))
		after, _ := eventsOf[membership.Contact](ps[0])
		Expect(after).To(HaveLen(len(contacts)))
	})

	It("after a pause neither reports peers as dead nor counts old acknowledgements as contact", func() {
		ps[0].paused = true
		n.run(20 * time.Second)
		wake := n.now
		contacts, _ := eventsOf[membership.Contact](ps[0])
		ps[0].paused = false
		n.run(4 * time.Second)
		dead, _ := eventsOf[membership.HostDead](ps[0])
		Expect(dead).To(BeEmpty())
		after, _ := eventsOf[membership.Contact](ps[0])
		Expect(len(after)).To(BeNumerically(">", len(contacts)))
		Expect(after[len(contacts)].Sent).To(BeTemporally(">=", wake))
		Expect(ps[0].host("a-01").State).To(Equal(membership.Live))
	})

	DescribeTable("tells the next process whether its slot was released",
		func(graceful bool, expected int) {
			if graceful {
				ps[0].apply(ps[0].Leave(n.now))
				n.run(100 * time.Millisecond)
				leaving, _ := eventsOf[membership.HostLeaving](ps[1])
				Expect(leaving).To(HaveLen(1))
				ps[0].apply(ps[0].Release(n.now))
			}
			n.run(10 * time.Millisecond)
			ps[0].stopped = true
			n.run(time.Second)
			seen, _ := eventsOf[membership.SlotReleased](ps[1])
			Expect(seen).To(HaveLen(expected))
			fresh := n.start("a-07", "a", 0)
			n.listAll()
			n.run(4 * time.Second)
			reported, _ := eventsOf[membership.SlotReleased](fresh)
			Expect(reported).To(HaveLen(expected))
		},
		Entry("after a graceful shutdown", true, 1),
		Entry("after a crash", false, 0),
	)

	It("ignores the fields of a late heartbeat", func() {
		heartbeat := func(seq uint64, r ident.Revision) membership.Result {
			hb := &membership.Heartbeat{Incarnation: 9, Sequence: seq, Domain: "a", Slot: 9, Revision: r, Digest: []byte{byte(r)}}
			return ps[0].Receive(n.now, "a-09", membership.Message{Heartbeat: hb})
		}
		heartbeat(5, 2)
		Expect(heartbeat(4, 1).Events).To(BeEmpty())
		Expect(ps[0].host("a-09").Revision).To(Equal(ident.Revision(2)))
	})

	It("reports a revision once per host and change", func() {
		ps[0].SetLocal(n.now, membership.Local{Revision: 7, Digest: [32]byte{1}, Ready: true})
		n.run(2 * time.Second)
		heard, _ := eventsOf[membership.RevisionHeard](ps[1])
		Expect(heard).To(ConsistOf(membership.RevisionHeard{From: "a-00", Revision: 7, Digest: [32]byte{1}}))
		Expect(ps[1].host("a-00").Ready).To(BeTrue())
	})
})

var _ = Describe("other domains", func() {
	var n *network
	var a, b []*process

	BeforeEach(func() {
		n = newNetwork(9)
		a, b = n.startDomain("a", 6), n.startDomain("b", 6)
		n.listAll()
		n.run(10 * time.Second)
	})

	It("reach every host as summaries with delegates and free capacity", func() {
		b[4].SetLocal(n.now, membership.Local{Revision: 3, Free: []membership.PoolFree{{Model: "m", Free: 5}}})
		n.run(10 * time.Second)
		for _, p := range a {
			s := p.summary("b")
			Expect(s.Reachable).To(BeTrue())
			Expect(s.Live).To(Equal(6))
			Expect(s.Free).To(Equal([]membership.PoolFree{{Model: "m", Free: 5}}))
			Expect(s.Delegates).To(HaveLen(2))
			_, ok := p.Addr(s.Delegates[0])
			Expect(ok).To(BeTrue())
		}
	})

	It("become unreachable in a partition and reachable after it, while the local view is kept", func() {
		n.cut = func(from, to *process) bool { return from.domain != to.domain }
		n.run(15 * time.Second)
		Expect(a[3].summary("b").Reachable).To(BeFalse())
		Expect(a[3].summary("b").Delegates).NotTo(BeEmpty())
		Expect(a[3].host("a-05").State).To(Equal(membership.Live))
		n.cut = func(_, _ *process) bool { return false }
		n.run(10 * time.Second)
		Expect(a[3].summary("b").Reachable).To(BeTrue())
	})

	It("count as unreachable when they do not receive our messages", func() {
		n.cut = func(from, to *process) bool { return from.domain == "a" && to.domain == "b" }
		n.run(25 * time.Second)
		Expect(a[3].summary("b").Reachable).To(BeFalse())
	})

	It("are found again when all known delegates have died", func() {
		dead := map[ident.HostID]bool{}
		for _, id := range a[0].summary("b").Delegates {
			dead[id] = true
		}
		for _, p := range b {
			p.stopped = dead[p.self.Host]
		}
		n.run(30 * time.Second)
		s := a[3].summary("b")
		Expect(s.Reachable).To(BeTrue())
		Expect(s.Live).To(Equal(4))
		for _, id := range s.Delegates {
			Expect(dead[id]).To(BeFalse())
		}
	})
})
