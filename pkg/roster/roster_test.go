package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

// fleet runs rosters over a simulated network that the test can partition.
type fleet struct {
	now        time.Time
	hosts      map[string]*roster.Roster // by address
	dropped    func(from, to string) bool
	heartbeats int
}

func newFleet() *fleet {
	return &fleet{
		now:     time.Unix(1000, 0),
		hosts:   map[string]*roster.Roster{},
		dropped: func(string, string) bool { return false },
	}
}

func (f *fleet) start(name string, inc int, seeds ...string) *roster.Roster {
	self := roster.Host{ID: ident.HostID(name), Incarnation: ident.Incarnation(inc), Addr: name}
	r := roster.New(roster.DefaultConfig(self, seeds))
	f.hosts[name] = r
	return r
}

// run advances the time in steps of 10 ms. Messages are delivered immediately.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for from, r := range f.hosts {
			b, to, _ := r.Tick(f.now, false)
			for _, addr := range to {
				f.heartbeats++
				if other := f.hosts[addr]; other != nil && !f.dropped(from, addr) {
					other.Receive(f.now, b)
				}
			}
		}
	}
}

func (f *fleet) alive(name string) []ident.HostID {
	var ids []ident.HostID
	for _, h := range f.hosts[name].Alive(f.now) {
		ids = append(ids, h.ID)
	}
	return ids
}

var _ = Describe("rosters", func() {
	It("discover every host through one seed when the others are stale", func() {
		f := newFleet()
		for i := range 9 {
			f.start(fmt.Sprint("h", i), 1, "stale-1", "h3", "stale-2")
		}
		f.run(2 * time.Second)
		for name := range f.hosts {
			Expect(f.alive(name)).To(HaveLen(8), name)
		}
	})

	It("keep each other after the seed has died, and admit a new host that knows one of them", func() {
		f := newFleet()
		for i := range 5 {
			f.start(fmt.Sprint("h", i), 1, "h0")
		}
		f.run(2 * time.Second)
		delete(f.hosts, "h0")
		f.run(2 * time.Second)
		f.start("new", 1, "h0", "h4")
		f.run(2 * time.Second)
		Expect(f.alive("new")).To(ConsistOf(ident.HostID("h1"), ident.HostID("h2"), ident.HostID("h3"), ident.HostID("h4")))
		Expect(f.alive("h1")).To(ContainElement(ident.HostID("new")))
	})

	It("discover each other again after a partition longer than ForgetAfter", func() {
		f := newFleet()
		for i := range 4 {
			f.start(fmt.Sprint("h", i), 1, "h0")
		}
		f.run(time.Second)
		side := func(n string) bool { return n < "h2" }
		f.dropped = func(a, b string) bool { return side(a) != side(b) }
		f.run(5 * time.Second)
		Expect(f.alive("h0")).To(ConsistOf(ident.HostID("h1")))
		Expect(f.hosts["h0"].Silent(f.now)).To(ConsistOf(ident.HostID("h2"), ident.HostID("h3")))
		f.run(40 * time.Second)
		Expect(f.hosts["h0"].Size()).To(Equal(2))
		f.dropped = func(string, string) bool { return false }
		f.run(3 * time.Second)
		Expect(f.alive("h3")).To(HaveLen(3))
	})

	It("use new seeds when the old ones are dead", func() {
		f := newFleet()
		f.start("a", 1)
		b := f.start("b", 1, "stale")
		f.run(time.Second)
		Expect(f.alive("b")).To(BeEmpty())
		b.SetSeeds([]string{"a"})
		f.run(time.Second)
		Expect(f.alive("b")).To(ConsistOf(ident.HostID("a")))
		Expect(f.alive("a")).To(ConsistOf(ident.HostID("b")))
	})

	It("detect a restarted host as a new process, even if its clock was set back", func() {
		f := newFleet()
		a := f.start("a", 1, "b")
		f.start("b", 50, "a")
		f.run(time.Second)
		f.start("b", 20, "a")
		f.run(3 * time.Second)
		Expect(a.Alive(f.now)).To(ConsistOf(HaveField("Incarnation", ident.Incarnation(20))))
	})

	It("ignore a delayed heartbeat", func() {
		f := newFleet()
		a := f.start("a", 1)
		b := roster.Heartbeat{From: roster.Host{ID: "b", Incarnation: 5, Addr: "b"}, Sequence: 7}
		fresh, restarted := a.Receive(f.now, b)
		Expect([]bool{fresh, restarted}).To(Equal([]bool{true, false}))
		b.Sequence = 6
		fresh, _ = a.Receive(f.now, b)
		Expect(fresh).To(BeFalse())
		b.From.Incarnation, b.Sequence = 4, 99
		fresh, _ = a.Receive(f.now, b)
		Expect(fresh).To(BeFalse(), "an older process of a host that is alive")
	})

	It("bound the heartbeats of a host in a large fleet", func() {
		const n = 120
		f := newFleet()
		for i := range n {
			f.start(fmt.Sprintf("h%03d", i), 1, "h000", "h001")
		}
		f.run(5 * time.Second)
		f.heartbeats = 0
		f.run(5 * time.Second)
		cfg := roster.DefaultConfig(roster.Host{}, nil)
		Expect(float64(f.heartbeats) / n / 5).To(BeNumerically("<=", cfg.MaxHeartbeatsPerSecond*1.1))
		Expect(f.alive("h077")).To(HaveLen(n - 1))
	})

	// Guards against a host that takes the first few hosts that it hears from for the whole
	// fleet.
	It("have converged only when all hosts that started together are known", func() {
		const n = 60
		f := newFleet()
		for i := range n {
			f.start(fmt.Sprintf("h%03d", i), 1, "h000", "h001")
		}
		for range 500 {
			f.run(10 * time.Millisecond)
			for name, r := range f.hosts {
				if r.Converged(f.now) {
					Expect(r.Size()).To(Equal(n), name)
				}
			}
		}
		Expect(f.hosts["h033"].Converged(f.now)).To(BeTrue())
	})

	It("send an expedited heartbeat early, but not more often than the minimum interval", func() {
		f := newFleet()
		a := f.start("a", 1)
		a.Receive(f.now, roster.Heartbeat{From: roster.Host{ID: "b", Incarnation: 5, Addr: "b"}, Sequence: 7})
		f.run(10 * time.Millisecond)
		heartbeats := 0
		for end := f.now.Add(400 * time.Millisecond); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
			a.ExpediteNext()
			if _, _, all := a.Tick(f.now, false); all {
				heartbeats++
			}
		}
		Expect(heartbeats).To(Equal(8))
	})

	It("converge after random message loss and restarts", func() {
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			f := newFleet()
			for i := range 7 {
				f.start(fmt.Sprint("h", i), 1, "h0", "h3", "h5")
			}
			for range 5 {
				lossRate := rnd.Float64()
				f.dropped = func(string, string) bool { return rnd.Float64() < lossRate }
				if rnd.IntN(2) == 0 {
					f.start(fmt.Sprint("h", rnd.IntN(7)), rnd.IntN(100), "h0", "h3", "h5")
				}
				f.run(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			f.dropped = func(string, string) bool { return false }
			f.run(3 * time.Second)
			for name := range f.hosts {
				Expect(f.alive(name)).To(HaveLen(6), "seed %d, host %s", seed, name)
			}
		}
	})

	// Guards against heartbeats to all hosts of a large fleet at once, which occupy a slow
	// link for a tenth of a second while callers wait.
	It("sends the heartbeats of a large fleet in small batches, each host once per interval", func() {
		const hosts = 100
		self := roster.Host{ID: "self", Incarnation: 1, Addr: "self"}
		r := roster.New(roster.DefaultConfig(self, nil))
		now := time.Unix(1000, 0)
		for i := range hosts {
			r.Receive(now, roster.Heartbeat{From: roster.Host{ID: ident.HostID(fmt.Sprint("h", i)), Incarnation: 1, Addr: fmt.Sprint("h", i)}, Sequence: 1})
		}
		for !r.Converged(now) {
			now = now.Add(100 * time.Millisecond)
			r.Tick(now, false)
		}
		now = r.Next()
		for i := range hosts {
			r.Receive(now, roster.Heartbeat{From: roster.Host{ID: ident.HostID(fmt.Sprint("h", i)), Incarnation: 1, Addr: fmt.Sprint("h", i)}, Sequence: 2})
		}
		sent := map[string]int{}
		for end := now.Add(r.Interval()).Add(50 * time.Millisecond); now.Before(end); now = now.Add(5 * time.Millisecond) {
			_, to, all := r.Tick(now, false)
			Expect(all).To(BeFalse())
			Expect(len(to)).To(BeNumerically("<=", 16))
			for _, addr := range to {
				sent[addr]++
			}
		}
		Expect(sent).To(HaveLen(hosts))
		for addr, n := range sent {
			Expect(n).To(BeNumerically("<=", 2), addr)
		}
		r.ExpediteNext()
		_, to, all := r.Tick(now.Add(time.Second), false)
		Expect(all).To(BeTrue())
		Expect(to).To(HaveLen(hosts))
	})

	// Guards against a domain whose only host is replaced as planned: its backend servers
	// would get one request at a time.
	It("do not take a domain for silent whose hosts have stopped as announced", func() {
		r := roster.New(roster.DefaultConfig(roster.Host{ID: "self", Incarnation: 1, Addr: "self", Domain: "a"}, nil))
		now := time.Unix(1000, 0)
		for i, domain := range []ident.FailureDomain{"b", "c"} {
			from := roster.Host{ID: ident.HostID(domain), Incarnation: 1, Addr: string(domain), Domain: domain}
			r.Receive(now, roster.Heartbeat{From: from, Sequence: 1, Leaving: i == 0})
		}
		now = now.Add(2 * time.Second)
		Expect(r.SilentDomains(now)).To(Equal([]ident.FailureDomain{"c"}))
	})
})
