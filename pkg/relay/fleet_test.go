package relay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

const (
	fleetTick    = 10 * time.Millisecond
	fleetDomains = 4
	fleetSlack   = 54
)

// relayFleet is a fleet of relays in one process. Messages arrive at once unless cut drops
// them.
type relayFleet struct {
	now       time.Time
	rng       *rand.Rand
	hosts     []*relay.Relay
	addrs     map[string]int
	cut       func(from, to int) bool
	configure func(*relay.Config)
	entries   []backends.Entry
	effect    func(host int, e relay.Effect) // called for each effect other than Send
	lastID    relay.ID
}

func newRelayFleet(n int, seed uint64) *relayFleet {
	f := &relayFleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2)), hosts: make([]*relay.Relay, n), addrs: map[string]int{},
		cut: func(int, int) bool { return false }, configure: func(*relay.Config) {}, effect: func(int, relay.Effect) {},
	}
	for i := range n {
		f.addrs[fmt.Sprint("a", i)] = i
	}
	return f
}

func (f *relayFleet) hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("h%03d", i)) }

// start starts the process of a host, which has read the store before it meets others.
func (f *relayFleet) start(i int) {
	self := roster.Host{
		ID: f.hostID(i), Incarnation: ident.Incarnation(f.now.UnixMilli()), Addr: fmt.Sprint("a", i),
		Domain: ident.FailureDomain(fmt.Sprint("z", i%fleetDomains)),
	}
	cfg := relay.DefaultConfig(self, []string{"a0", "a1", "a2"})
	cfg.Quota.MinHosts = fleetDomains
	cfg.RetrySlack = fleetSlack
	f.configure(&cfg)
	f.hosts[i] = relay.New(cfg, f.now)
	f.step(i, relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
	f.step(i, relay.EntriesListed{Entries: f.entries})
	f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 1})
}

func (f *relayFleet) step(i int, e relay.Event) {
	for _, effect := range f.hosts[i].Step(f.now, e) {
		send, ok := effect.(relay.Send)
		if !ok {
			f.effect(i, effect)
			continue
		}
		for _, to := range send.To {
			if j, known := f.addrs[to]; known && j != i && f.hosts[j] != nil && !f.cut(i, j) {
				f.step(j, relay.MessageReceived{Message: send.Message})
			}
		}
	}
}

// run advances the clock. each is called for each tick.
func (f *relayFleet) run(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		for i, h := range f.hosts {
			if h == nil {
				continue
			}
			if f.now.UnixMilli()%500 == 0 {
				f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 1})
			}
			if !f.now.Before(h.Next()) {
				f.step(i, relay.Tick{})
			}
		}
		each()
	}
}

// arrivals holds the first calls of requests and the calls at servers beyond the first of each request.
type arrivals struct {
	requests, retries []time.Time
}

// worst returns the window with the most retries beyond the ratio of its requests.
func (a *arrivals) worst(window time.Duration, ratio float64) (retries int, allowed float64) {
	most := -1e9
	first, request, end := 0, 0, 0
	for i, at := range a.retries {
		for a.retries[first].Before(at.Add(-window)) {
			first++
		}
		for end < len(a.requests) && !a.requests[end].After(at) {
			end++
		}
		for request < end && a.requests[request].Before(at.Add(-window)) {
			request++
		}
		n, limit := i-first+1, ratio*float64(end-request)+fleetSlack
		if over := float64(n) - limit; over > most {
			most, retries, allowed = over, n, limit
		}
	}
	return retries, allowed
}

var _ = Describe("a fleet whose hosts all restart while the seeds are unreachable", func() {
	// Guards against hosts that each use the retry budget of the whole fleet because they
	// know no other host. The servers reject two in five calls.
	DescribeTable("keeps the retries of all hosts within the ratio and the slack",
		func(hosts int, perHost float64, before time.Duration) {
			f := newRelayFleet(hosts, 1)
			for n := range 2 * hosts {
				id := ident.BackendID(fmt.Sprintf("s%03d", n))
				f.entries = append(f.entries, backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "z0", Slots: 1000, StartedAt: 1})
			}
			var seen arrivals
			calls := map[relay.ID]int{}
			f.effect = func(i int, e relay.Effect) {
				c, ok := e.(relay.Call)
				if !ok {
					return
				}
				if calls[c.ID]++; calls[c.ID] > 1 {
					seen.retries = append(seen.retries, f.now)
				} else {
					seen.requests = append(seen.requests, f.now)
				}
				outcome := relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200}
				if f.rng.Float64() < 0.4 {
					outcome.Outcome, outcome.Status = relay.NotRun, 503
				}
				f.step(i, outcome)
			}
			perTick := perHost * float64(hosts) * fleetTick.Seconds()
			load := func() {
				for n := perTick; n > 0; n-- {
					if n < 1 && f.rng.Float64() > n {
						break
					}
					f.lastID++
					f.step(f.rng.IntN(hosts), relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{Host: "h", Path: "/read/1", Key: goodKey, Deadline: time.Second}})
				}
			}
			restart := func() {
				for i := range f.hosts {
					f.hosts[i] = nil
				}
				for i := range f.hosts {
					f.start(i)
				}
			}
			if before > 0 {
				restart()
				f.run(before, load)
			}
			f.cut = func(from, to int) bool { return from < 3 || to < 3 }
			restart()
			f.run(12*time.Second, load)
			f.cut = func(int, int) bool { return false }
			f.run(4*time.Second, load)
			retries, allowed := seen.worst(10*time.Second, 0.2)
			GinkgoWriter.Printf("%d hosts: %d retries in 10 s, %.0f allowed; %d of %d requests in all\n", hosts, retries, allowed, len(seen.retries), len(seen.requests))
			Expect(len(seen.retries)).To(BeNumerically(">", len(seen.requests)/20), "the ratio is still used")
			Expect(float64(retries)).To(BeNumerically("<=", allowed))
		},
		Entry("of 8 hosts", 8, 17.0, 4*time.Second),
		Entry("of 85 hosts", 85, 1.7, 4*time.Second),
		Entry("of 195 hosts, which met nobody before", 195, 1.7, time.Duration(0)),
	)
})

var _ = Describe("the limit of an organisation over all hosts", func() {
	// Guards against hosts that each use the part of a failure domain, or half of a fleet that
	// uses the whole once it has forgotten the other. The bound is the platform's tolerance.
	DescribeTable("holds while hosts do not hear each other",
		func(hosts int, meet bool, cut func(from, to int) bool) {
			const window, rate, tokens = 8 * time.Second, 100_000, 200
			f := newRelayFleet(hosts, 5)
			f.configure = func(c *relay.Config) {
				c.Quota.Tolerance = quota.Tolerance{Window: window, Overage: 0.25, Slack: 190_000}
			}
			for n := range 2 * hosts {
				id := ident.BackendID(fmt.Sprintf("s%03d", n))
				f.entries = append(f.entries, backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "z0", Slots: 1000, StartedAt: 1})
			}
			var admitted arrivals
			f.effect = func(i int, e relay.Effect) {
				if c, ok := e.(relay.Call); ok {
					admitted.retries = append(admitted.retries, f.now)
					f.step(i, relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
				}
			}
			for i := range f.hosts {
				f.start(i)
			}
			run := func(d time.Duration, load float64) {
				perTick := load * rate / tokens * fleetTick.Seconds()
				f.run(d, func() {
					for range int(perTick) {
						f.lastID++
						f.step(f.rng.IntN(hosts), relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{Host: "h", Path: "/read/1", Key: goodKey, Deadline: time.Second}})
					}
				})
			}
			if meet {
				run(20*time.Second, 1)
			}
			f.cut = cut
			run(60*time.Second, 2)
			most, _ := admitted.worst(window, 0)
			GinkgoWriter.Printf("%d hosts: %d tokens in %s\n", hosts, most*tokens, window)
			Expect(most * tokens).To(BeNumerically("<=", (rate*8+rate)*5/4+190_000))
		},
		Entry("in a fleet of 8 that is cut in half for a minute", 8, true, func(from, to int) bool { return from < 4 != (to < 4) }),
		Entry("in a fleet of 40 of which each host is cut off and knows no other", 40, false, func(int, int) bool { return true }),
	)
})

var _ = Describe("the limit of a server over all hosts", func() {
	// Guards against hosts that know no other and each issue the permits of a failure domain.
	It("holds while each host is cut off from all others", func() {
		const hosts, perSecond = 12, 100
		f := newRelayFleet(hosts, 6)
		f.cut = func(int, int) bool { return true }
		f.entries = append(f.entries, backends.Entry{ID: "s0", Service: "app", Addr: "s0", Domain: "z0", Slots: 1000, StartedAt: 1})
		for n := range 2 * hosts {
			id := ident.BackendID(fmt.Sprint("e", n))
			f.entries = append(f.entries, backends.Entry{ID: id, Service: "lm", Addr: string(id), Domain: "z0", Stage: backends.Decode, StartedAt: 1})
		}
		limit := serverlimit.Statement{Kind: serverlimit.Named, PerSecond: perSecond}
		calls := 0
		f.effect = func(i int, e relay.Effect) {
			if c, ok := e.(relay.Call); ok {
				calls++
				f.step(i, relay.ServerNoticed{From: c.To, SentAt: f.now, Notice: backends.Notice{Limit: limit}})
				f.step(i, relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
			}
		}
		for i := range f.hosts {
			f.start(i)
		}
		load := func() {
			f.lastID++
			f.step(f.rng.IntN(hosts), relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{Host: "h", Path: "/open/1", Deadline: time.Second}})
			f.lastID++
			f.step(f.rng.IntN(hosts), relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{Host: "h", Path: "/open/1", Deadline: time.Second}})
		}
		f.run(5*time.Second, load)
		calls = 0
		f.run(10*time.Second, load)
		GinkgoWriter.Printf("%d calls in 10 s\n", calls)
		Expect(calls).To(BeNumerically(">", 0))
		Expect(calls).To(BeNumerically("<=", 10*perSecond))
	})
})

var _ = Describe("the order in which hosts probe a quarantined part", func() {
	// Guards against a part that crashes a server under each host at the same time, because
	// each takes itself for the first in the order.
	DescribeTable("differs between hosts that do not hear each other",
		func(meet time.Duration, most int) {
			f := newRelayFleet(20, 7)
			for n := range 40 {
				id := ident.BackendID(fmt.Sprint("s", n))
				f.entries = append(f.entries, backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "z0", Slots: 1, StartedAt: 1})
			}
			f.cut = func(int, int) bool { return meet == 0 }
			for i := range f.hosts {
				f.start(i)
			}
			f.run(meet, func() {})
			f.cut = func(int, int) bool { return true }
			f.run(time.Minute, func() {})
			turns := map[int]int{}
			for _, h := range f.hosts {
				turns[h.ProbeTurn(ident.PartTrait("part"))]++
			}
			for turn, hosts := range turns {
				Expect(hosts).To(BeNumerically("<=", most), "turn %d", turn)
			}
		},
		Entry("and never have", time.Duration(0), 3),
		Entry("any more", 5*time.Second, 1),
	)
})

// roleFleet is a relayFleet with engines that can be ordered to switch.
type roleFleet struct {
	*relayFleet
	orders []roleOrder
}

type roleOrder struct {
	host  int
	to    ident.BackendID
	at    time.Time
	token uint64
}

// lease is the platform's bound on orders of two hosts at one engine.
const lease = 3 * time.Second

func newRoleFleet(hosts int) *roleFleet {
	f := &roleFleet{relayFleet: newRelayFleet(hosts, 3)}
	f.configure = func(c *relay.Config) { c.RoleOrders = true }
	for n := range 7 {
		e := backends.Entry{Service: "lm", Domain: "z0", Stage: backends.Prefill, StartedAt: 1}
		if n > 4 {
			e.Stage = backends.Decode
		}
		e.ID = ident.BackendID(fmt.Sprint("e", n))
		e.Addr = string(e.ID)
		f.entries = append(f.entries, e)
	}
	f.effect = func(i int, e relay.Effect) {
		if o, ok := e.(relay.RoleOrder); ok {
			f.orders = append(f.orders, roleOrder{i, o.To.ID, f.now, o.FencingToken})
		}
	}
	return f
}

// load sends ten requests a second, so that prefill engines are idle and the leader gives
// orders. The engines are listed with their first role again now and then, so that it goes on.
func (f *roleFleet) load() {
	if i := f.rng.IntN(len(f.hosts)); f.now.UnixMilli()%100 == 0 && f.hosts[i] != nil {
		f.lastID++
		f.step(i, relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{
			Host: "h", Path: "/verdict/1", Key: goodKey, Deadline: 14 * time.Second,
			PromptTokens: 5000, MaxOutputTokens: 2000, OutputHint: 900, TokensKnown: true,
		}})
		f.step(i, relay.CallerLeft{ID: f.lastID})
	}
	if f.now.UnixMilli()%15_000 == 0 {
		for i, h := range f.hosts {
			if h != nil {
				f.step(i, relay.EntriesListed{Entries: f.entries})
			}
		}
	}
}

// givers returns the hosts that gave orders from a time on.
func (f *roleFleet) givers(from time.Time) map[int]int {
	givers := map[int]int{}
	for _, o := range f.orders {
		if !o.at.Before(from) {
			givers[o.host]++
		}
	}
	return givers
}

// conflicts returns the orders of two hosts at one engine within the lease, and those with
// equal fencing tokens.
func (f *roleFleet) conflicts() []string {
	var found []string
	for i, b := range f.orders {
		for _, a := range f.orders[:i] {
			if a.host != b.host && a.to == b.to && (b.at.Sub(a.at) < lease || a.token == b.token) {
				found = append(found, fmt.Sprintf("%s of %d and %d, %s apart, tokens %d and %d", b.to, a.host, b.host, b.at.Sub(a.at), a.token, b.token))
			}
		}
	}
	return found
}

var _ = Describe("role orders of a partitioned fleet", func() {
	// Guards against a leader on each side once the hosts of the other side have been
	// forgotten.
	DescribeTable("are given by one host while a partition lasts longer than hosts are remembered by the roster",
		func(hosts int, minority func(int) bool) {
			f := newRoleFleet(hosts)
			for i := range hosts {
				f.start(i)
			}
			f.run(20*time.Second, f.load)
			Expect(f.orders).NotTo(BeEmpty())
			f.cut = func(from, to int) bool { return minority(from) != minority(to) }
			cutAt := f.now
			f.run(100*time.Second, f.load)
			givers := f.givers(cutAt.Add(2 * time.Second))
			Expect(givers).To(HaveLen(1), "orders of each host: %v", givers)
			Expect(f.conflicts()).To(BeEmpty())
			f.cut = func(int, int) bool { return false }
			healedAt := f.now
			f.run(40*time.Second, f.load)
			Expect(f.givers(healedAt)).To(HaveKey(0))
			Expect(f.conflicts()).To(BeEmpty())
		},
		Entry("with the leader in the smaller part", 9, func(i int) bool { return i < 3 }),
		Entry("with the leader in the larger part", 9, func(i int) bool { return i >= 6 }),
		Entry("with one host cut off", 7, func(i int) bool { return i == 0 }),
	)

	// Guards against two leaders of a fleet that is cut into equal parts.
	It("are given by no host while neither part has a majority", func() {
		f := newRoleFleet(8)
		for i := range f.hosts {
			f.start(i)
		}
		f.run(20*time.Second, f.load)
		Expect(f.orders).NotTo(BeEmpty())
		f.cut = func(from, to int) bool { return from < 4 != (to < 4) }
		cutAt := f.now
		f.run(60*time.Second, f.load)
		Expect(f.givers(cutAt.Add(2 * time.Second))).To(BeEmpty())
	})

	// Guards against a leader that goes on beside the next one when the others do not hear it
	// any more, and one that takes over at once from a leader that died with its last order.
	It("keep the lease when the host that gives them is not heard any more, and when it dies", func() {
		for run := range 8 {
			f := newRoleFleet(5)
			for i := range f.hosts {
				f.start(i)
			}
			f.cut = func(from, _ int) bool { return from == 0 && len(f.orders) > 0 }
			f.run(20*time.Second+time.Duration(run)*70*time.Millisecond, f.load)
			f.hosts[0] = nil
			f.run(40*time.Second, f.load)
			Expect(f.conflicts()).To(BeEmpty())
		}
	})

	// Guards against a host that acts as the whole fleet although an engine has seen
	// the orders of another.
	It("are not given any more by a fleet of one host when an engine refuses a fencing token", func() {
		f := newRoleFleet(1)
		f.configure = func(c *relay.Config) { c.RoleOrders, c.Roster.Seeds = true, nil }
		f.start(0)
		f.run(20*time.Second, f.load)
		Expect(f.orders).NotTo(BeEmpty())
		last := f.orders[len(f.orders)-1]
		f.step(0, relay.RoleOrderAnswered{Backend: last.to, Status: 412})
		given := len(f.orders)
		f.run(time.Minute, f.load)
		Expect(f.orders).To(HaveLen(given))
	})

	// Guards against orders of hosts that started in a part of the fleet after the partition
	// began and know no other host, or only some in their own part.
	It("are given by no host that has never heard of most of the fleet", func() {
		f := newRoleFleet(9)
		f.configure = func(c *relay.Config) { c.RoleOrders, c.Fleet.Domains = true, fleetDomains }
		part := func(i int) int { return i % fleetDomains }
		f.cut = func(from, to int) bool { return part(from) != part(to) }
		for i := range f.hosts {
			f.start(i)
		}
		f.run(60*time.Second, f.load)
		Expect(f.givers(time.Time{})).To(BeEmpty())
		f.cut = func(int, int) bool { return false }
		f.run(40*time.Second, f.load)
		Expect(f.givers(time.Time{})).To(HaveLen(1))
	})
})
