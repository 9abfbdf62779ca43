package fleetview_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

func TestFleetview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleetview")
}

var timing = fleetview.Timing{Interval: 100 * time.Millisecond, SilentAfter: 500 * time.Millisecond}

// view is a View with a clock and the other hosts that it hears.
type view struct {
	*fleetview.View
	now    time.Time
	heard  map[ident.HostID]fleetview.Heartbeat
	domain func(i int) ident.FailureDomain
}

func newView(change func(*fleetview.Config)) *view {
	v := &view{
		now: time.Unix(1000, 0), heard: map[ident.HostID]fleetview.Heartbeat{},
		domain: func(int) ident.FailureDomain { return "z0" },
	}
	cfg := fleetview.DefaultConfig()
	cfg.Self = roster.Host{ID: "h000", Incarnation: 1, Addr: "a0", Domain: "z0"}
	cfg.Seeds = []string{"a0", "a1", "a2"}
	change(&cfg)
	v.View = fleetview.New(cfg, v.now)
	return v
}

// hear has the hosts from one number to the next send heartbeats from now on.
func (v *view) hear(from, to int) *view {
	for i := from; i < to; i++ {
		h := roster.Host{ID: ident.HostID(fmt.Sprintf("h%03d", i)), Incarnation: 1, Addr: fmt.Sprint("a", i), Domain: v.domain(i)}
		v.heard[h.ID] = fleetview.Heartbeat{From: h, KeepsNotes: true, Report: &fleetview.Report{}}
	}
	return v
}

// run delivers heartbeats for d.
func (v *view) run(d time.Duration) *view {
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(100 * time.Millisecond)
		for _, hb := range v.heard {
			v.Heard(v.now, hb)
		}
		v.Update(v.now, timing)
	}
	return v
}

func (v *view) silence(ids ...ident.HostID) *view {
	for _, id := range ids {
		delete(v.heard, id)
	}
	return v
}

func unchanged(*fleetview.Config) {}

var _ = Describe("the state of a view", func() {
	// Guards against a process that acts for a fleet of which it knows nothing.
	It("is alone, without a share and for any time, while no other host is heard", func() {
		v := newView(unchanged).run(time.Hour)
		Expect(v.State()).To(Equal(fleetview.Alone))
		Expect(v.Share()).To(BeZero())
		Expect(v.LeadingSince()).To(BeZero())
		Expect(v.Assumed(140)).To(Equal(140))
		v.hear(1, 2).run(2 * time.Second)
		Expect(v.State()).To(Equal(fleetview.Member))
		Expect(v.Assumed(140)).To(Equal(2))
	})

	// Guards against a fleet of one host that never acts, and one that goes on to act although
	// an engine has seen the orders of another.
	It("is member of a fleet of one host, until an engine contradicts", func() {
		v := newView(func(c *fleetview.Config) { c.Seeds, c.Domains = []string{"a0"}, 1 }).run(time.Second)
		Expect(v.State()).To(Equal(fleetview.Member))
		Expect(v.Share()).To(Equal(1.0))
		v.RecordStaleToken(v.now)
		v.run(time.Second)
		Expect(v.State()).To(Equal(fleetview.Alone))
		Expect(v.Share()).To(BeZero())
		v = newView(func(c *fleetview.Config) { c.Seeds, c.Domains = []string{"a0"}, 2 }).run(time.Second)
		Expect(v.State()).To(Equal(fleetview.Alone), "another failure domain has hosts")
	})

	// Guards against two parts of a fleet that both take themselves for the larger one.
	DescribeTable("is member with more than half of the hosts, also long after the roster has forgotten the others",
		func(hosts, left int, state fleetview.State) {
			v := newView(unchanged).hear(1, hosts).run(3 * time.Second)
			Expect(v.State()).To(Equal(fleetview.Member))
			v.heard = map[ident.HostID]fleetview.Heartbeat{}
			v.hear(1, left).run(5 * time.Minute)
			Expect(v.State()).To(Equal(state))
			Expect(v.Size()).To(Equal(hosts))
			Expect(v.Share()).To(BeNumerically("~", 1/float64(hosts), 1e-9))
		},
		Entry("4 of 7", 7, 4, fleetview.Member),
		Entry("3 of 7", 7, 3, fleetview.Separated),
		Entry("4 of 8", 8, 4, fleetview.Separated),
		Entry("1 of 2", 2, 1, fleetview.Separated),
	)

	// Guards against hosts that are counted for ever, and one that is cut off from all others
	// and takes itself for the fleet once it has forgotten them.
	It("forgets silent hosts after the retention period while others are heard", func() {
		v := newView(unchanged).hear(1, 7).run(3 * time.Second)
		v.silence("h003", "h004", "h005", "h006").run(fleetview.DefaultRetention - 10*time.Second)
		Expect(v.State()).To(Equal(fleetview.Separated))
		v.run(30 * time.Second)
		Expect(v.State()).To(Equal(fleetview.Member))
		Expect(v.Size()).To(Equal(3))
		v.silence("h001", "h002").run(2 * fleetview.DefaultRetention)
		Expect(v.State()).To(Equal(fleetview.Separated))
		Expect(v.Size()).To(Equal(3))
	})

	// Guards against a fleet that does not act after a rolling replacement.
	It("does not count hosts that announced their stop or were replaced at their address", func() {
		v := newView(unchanged).hear(1, 7).run(3 * time.Second)
		for _, id := range []ident.HostID{"h001", "h002", "h003"} {
			hb := v.heard[id]
			hb.Leaving = true
			v.heard[id] = hb
		}
		v.run(time.Second).silence("h001", "h002", "h003")
		for _, id := range []ident.HostID{"h004", "h005"} {
			hb := v.heard[id]
			hb.From.ID = "new-" + id
			v.heard[hb.From.ID] = hb
			v.silence(id)
		}
		Expect(v.run(10 * time.Second).State()).To(Equal(fleetview.Member))
		Expect(v.run(10 * time.Second).Size()).To(Equal(4))
	})

	// Guards against hosts that each use the whole slack while all of them stop: they accept
	// requests for some time after they have announced it.
	It("divides among the hosts that stop until their last use is over", func() {
		v := newView(unchanged).hear(1, 8).run(3 * time.Second)
		for id, hb := range v.heard {
			hb.Leaving = true
			v.heard[id] = hb
		}
		v.run(3 * time.Second)
		Expect(v.Share()).To(Equal(1.0 / 8))
		v.heard = map[ident.HostID]fleetview.Heartbeat{}
		Expect(v.run(5 * time.Second).Share()).To(Equal(1.0 / 8))
		Expect(v.run(15 * time.Second).Share()).To(Equal(1.0))
	})

	// Guards against a fleet that does not act for the retention period because of hosts that
	// one heartbeat named and that never existed, or because of the predecessor of this host.
	It("forgets hosts that were only named sooner, and ignores others at its own address", func() {
		v := newView(unchanged).hear(1, 4).run(3 * time.Second)
		hb := v.heard["h001"]
		for i := range 100 {
			hb.Known = append(hb.Known, roster.Host{ID: ident.HostID(fmt.Sprint("x", i)), Addr: fmt.Sprint("x", i)})
		}
		v.Heard(v.now, hb)
		Expect(v.run(time.Second).State()).To(Equal(fleetview.Separated))
		Expect(v.Report().Known).To(Equal(4), "only hosts that were heard are reported")
		Expect(v.run(40 * time.Second).State()).To(Equal(fleetview.Member))
		hb.Known = []roster.Host{{ID: "predecessor", Addr: "a0"}}
		v.Heard(v.now, hb)
		Expect(v.run(time.Second).Size()).To(Equal(4))
	})

	// Guards against a process that starts in the smaller part of a fleet and knows only that.
	It("is separated at a host that joins a part whose hosts count more", func() {
		v := newView(unchanged).hear(1, 4)
		for id, hb := range v.heard {
			hb.Report = &fleetview.Report{Known: 8}
			v.heard[id] = hb
		}
		v.run(3 * time.Second)
		Expect(v.State()).To(Equal(fleetview.Separated))
		Expect(v.Share()).To(Equal(1.0 / 8))
	})

	// Guards against processes that start in each failure domain while the domains are cut off
	// from each other and together use more than the whole.
	It("leaves the share of failure domains that are not known", func() {
		sum := 0.0
		for range 4 {
			v := newView(func(c *fleetview.Config) { c.Domains = 4 }).hear(1, 5).run(3 * time.Second)
			Expect(v.State()).To(Equal(fleetview.Separated))
			sum += 5 * v.Share()
		}
		Expect(sum).To(BeNumerically("~", 1, 1e-9))
	})

	// Guards against a large share in the moments in which hosts find each other.
	It("has no share until no new host has appeared for a while", func() {
		v := newView(unchanged)
		for i := range 20 {
			v.hear(1, 2+i).run(time.Second)
			Expect(v.Share()).To(BeZero())
		}
		Expect(v.run(time.Second).Share()).To(BeNumerically("~", 1.0/21, 1e-9))
	})
})

var _ = Describe("leading the fleet", func() {
	// Guards against a host that nobody hears and that goes on to lead beside the next one.
	It("ends when the others see another host with the lowest id", func() {
		v := newView(unchanged).hear(1, 5).run(3 * time.Second)
		Expect(v.LeadingSince()).NotTo(BeZero())
		other := newView(func(c *fleetview.Config) { c.Self.ID, c.Self.Addr = "h001", "a1" }).hear(2, 5).run(time.Second).Report()
		for _, id := range []ident.HostID{"h001", "h002", "h003"} {
			hb := v.heard[id]
			hb.Report = other
			v.heard[id] = hb
		}
		Expect(v.run(time.Second).State()).To(Equal(fleetview.Member))
		Expect(v.LeadingSince()).To(BeZero())
	})

	// Guards against a paused process that acts on the heartbeats that had waited for it.
	It("starts anew after a pause of the process", func() {
		v := newView(unchanged).hear(1, 5).run(10 * time.Second)
		Expect(v.now.Sub(v.LeadingSince())).To(BeNumerically(">", 5*time.Second))
		v.now = v.now.Add(5 * time.Second)
		v.run(time.Second)
		Expect(v.now.Sub(v.LeadingSince())).To(BeNumerically("<=", time.Second))
	})
})

var _ = Describe("slots of fencing tokens", func() {
	const a, b = "front-teku-20", "front-balaju-9" // their hashes are equal
	newSlots := func(self, other ident.HostID, notes bool, r fleetview.Report) *view {
		v := newView(func(c *fleetview.Config) { c.Self.ID = self })
		v.heard[other] = fleetview.Heartbeat{From: roster.Host{ID: other, Addr: "other"}, KeepsNotes: notes, Report: &r}
		return v.run(time.Second)
	}

	// Guards against two hosts that give orders with one fencing token.
	It("differ between two hosts that know each other, also if their hashes are equal", func() {
		alone := func(id ident.HostID) uint64 {
			return newView(func(c *fleetview.Config) { c.Self.ID = id }).Slot()
		}
		Expect(alone(a)).To(Equal(alone(b)))
		old := newSlots(a, b, false, fleetview.Report{})
		Expect(old.Slot()).NotTo(Equal(alone(b)), "an older program uses the hash")
		first := newSlots(a, b, true, fleetview.Report{})
		second := newSlots(b, a, true, fleetview.Report{})
		Expect(first.UseSlot()).NotTo(Equal(second.UseSlot()))
		// One has used the hash before it knew the other.
		used := newView(func(c *fleetview.Config) { c.Self.ID = a })
		slot := used.UseSlot()
		joined := newSlots(b, a, true, *used.Report())
		Expect(joined.UseSlot()).NotTo(Equal(slot))
		used.heard[b] = fleetview.Heartbeat{From: roster.Host{ID: b, Addr: "other"}, KeepsNotes: true, Report: joined.Report()}
		Expect(used.run(time.Second).UseSlot()).To(Equal(slot), "a slot that has been used is kept")
	})
})
