package relay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

const (
	coldPerSecond = 18.0
	coldBound     = 1.5*coldPerSecond + 5
)

// coldSnapshot is a configuration whose services take perSecond requests at a cold server.
func coldSnapshot(version uint64, perSecond float64) *catalog.Snapshot {
	s := snapshot(version, goodKey)
	for _, sv := range s.Services {
		sv.ColdPerSecond, sv.ColdStart = perSecond, 5*time.Second
	}
	s.Organisation("org").Rate = 0 // no limit
	return s
}

// coldEntry is the entry of a server of the plain service that states how long it is cold.
func coldEntry(id ident.BackendID, cold time.Duration, sequence uint64) backends.Entry {
	return backends.Entry{
		ID: id, Service: "app", Slots: 6, Addr: string(id), Domain: "a", StartedAt: 1, ColdStated: true, Cold: cold, Sequence: sequence,
	}
}

// arrivals sends plain requests, one each interval, ends each at once and returns the times
// at which a server got one.
func (h *host) arrivals(id ident.BackendID, n int, interval time.Duration) []time.Time {
	var at []time.Time
	for range n {
		h.now = h.now.Add(interval)
		h.platformRead()
		h.step(relay.Tick{})
		q := h.submit("/open/x", relay.RequestSpec{})
		c, sent := find[relay.Call](h)
		if !sent {
			continue
		}
		if c.To.ID == id {
			at = append(at, h.now)
		}
		h.step(relay.CallEnded{ID: q, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
	}
	return at
}

func mostInSecond(at []time.Time) int {
	n, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Guards against a server that crashes because it gets as much while it is cold as later, and
// against a change for services whose servers do not get cold.
var _ = Describe("a cold server", func() {
	const interval = 5 * time.Millisecond
	entries := func(cold time.Duration) relay.EntriesListed {
		return relay.EntriesListed{Entries: []backends.Entry{coldEntry("s1", cold, 1), coldEntry("s2", 0, 1)}}
	}

	It("is limited until it is warm, and then gets a growing share", func() {
		h := newHost().ready()
		h.step(relay.ConfigRead{Snapshot: coldSnapshot(2, coldPerSecond)})
		h.step(entries(4 * time.Second))
		Expect(mostInSecond(h.arrivals("s1", 790, interval))).To(BeNumerically("<=", coldBound))
		first := len(h.arrivals("s1", 400, interval))
		h.arrivals("s1", 1200, interval)
		last := len(h.arrivals("s1", 400, interval))
		Expect(first).To(BeNumerically("<", 100))
		Expect(last).To(BeNumerically(">", first+50))
	})

	It("may turn cold at any moment, and is warm again when its entry says so", func() {
		h := newHost().ready()
		h.step(relay.ConfigRead{Snapshot: coldSnapshot(2, coldPerSecond)})
		h.step(entries(0))
		Expect(mostInSecond(h.arrivals("s1", 400, interval))).To(BeNumerically(">", coldBound))
		h.step(relay.EntryChanged{Entry: coldEntry("s1", time.Minute, 2)})
		Expect(mostInSecond(h.arrivals("s1", 600, interval))).To(BeNumerically("<=", coldBound))
		h.step(relay.EntryChanged{Entry: coldEntry("s1", 0, 3)})
		h.arrivals("s1", 2000, interval)
		Expect(mostInSecond(h.arrivals("s1", 400, interval))).To(BeNumerically(">", coldBound))
		h.step(relay.EntryChanged{Entry: coldEntry("s1", time.Minute, 2)})
		Expect(mostInSecond(h.arrivals("s1", 400, interval))).To(BeNumerically(">", coldBound), "an older entry says nothing new")
	})

	It("is limited from its start if it is new and does not say how long it stays cold", func() {
		h := newHost().ready()
		h.step(relay.ConfigRead{Snapshot: coldSnapshot(2, coldPerSecond)})
		e := coldEntry("s3", 0, 1)
		e.ColdStated = false
		h.step(relay.EntryChanged{Entry: e})
		Expect(mostInSecond(h.arrivals("s3", 900, interval))).To(BeNumerically("<=", coldBound))
	})

	It("is used like any other in a service that states no limit", func() {
		h := newHost().ready()
		h.step(entries(time.Minute))
		Expect(mostInSecond(h.arrivals("s1", 400, interval))).To(BeNumerically(">", coldBound))
		Expect(h.relay.KnowsServerLimits()).To(BeFalse())
	})
})

// coldFleet is a fleet of hosts in one process that all start when all engines are cold.
type coldFleet struct {
	hosts    []*host
	byAddr   map[string]*host
	rng      *rand.Rand
	now      time.Time
	due      map[time.Time][]func()
	side     func(host int) int
	arrivals map[ident.BackendID][]time.Time
	served   int
	refused  int
}

const (
	coldTick     = 10 * time.Millisecond
	fleetEngines = 20 // of each stage
)

func newColdFleet(hosts int, cold time.Duration) *coldFleet {
	f := &coldFleet{
		byAddr: map[string]*host{}, rng: rand.New(rand.NewPCG(1, 9)), now: time.Unix(1000, 0).UTC(),
		due: map[time.Time][]func(){}, arrivals: map[ident.BackendID][]time.Time{}, side: func(int) int { return 0 },
	}
	var entries []backends.Entry
	for i := range fleetEngines {
		for id, stage := range map[string]backends.Stage{"p": backends.Prefill, "d": backends.Decode} {
			e := coldEntry(ident.BackendID(fmt.Sprint(id, i)), cold, 1)
			e.Service, e.Stage = "lm", stage
			entries = append(entries, e)
		}
	}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		h := newHostWith(func(c *relay.Config) {
			*c = relay.DefaultConfig(roster.Host{ID: ident.HostID(name), Incarnation: 1, Addr: name, Domain: "a"}, []string{"h000", "h001", "h002"})
		})
		f.hosts, f.byAddr[name] = append(f.hosts, h), h
		f.step(i, relay.ConfigRead{Snapshot: coldSnapshot(1, coldPerSecond)})
		f.step(i, relay.EntriesListed{Entries: entries})
	}
	return f
}

func (f *coldFleet) later(d time.Duration, do func()) {
	at := f.now.Add(max(coldTick, d.Truncate(coldTick)))
	f.due[at] = append(f.due[at], do)
}

func (f *coldFleet) step(i int, e relay.Event) {
	h := f.hosts[i]
	h.now = f.now
	for _, e := range h.step(e) {
		switch e := e.(type) {
		case relay.Send:
			for _, addr := range e.To {
				if to := f.byAddr[addr]; to != nil {
					n := f.index(to)
					f.later(coldTick, func() {
						if f.side(i) == f.side(n) {
							f.step(n, relay.MessageReceived{Message: e.Message})
						}
					})
				}
			}
		case relay.Reserve:
			f.arrive(e.To.ID)
			f.later(coldTick, func() {
				f.step(i, relay.Reserved{ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "h"})
			})
		case relay.Prefill:
			f.arrive(e.To.ID)
			f.later(100*time.Millisecond, func() {
				f.step(i, relay.Prefilled{ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: 100 * time.Millisecond})
			})
		case relay.Decode:
			f.arrive(e.To.ID)
			f.served++
			f.later(time.Second, func() {
				f.step(i, relay.CallEnded{ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: relay.Succeeded, Events: 5})
			})
		case relay.Refuse:
			f.refused++
		}
	}
}

func (f *coldFleet) index(h *host) int {
	var n int
	for i, other := range f.hosts {
		if other == h {
			n = i
		}
	}
	return n
}

func (f *coldFleet) arrive(id ident.BackendID) { f.arrivals[id] = append(f.arrivals[id], f.now) }

func (f *coldFleet) run(length time.Duration, perSecond float64) {
	due := 0.0
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(coldTick)
		for _, do := range f.due[f.now] {
			do()
		}
		delete(f.due, f.now)
		for i, h := range f.hosts {
			if !h.relay.Next().After(f.now) {
				f.step(i, relay.Tick{})
			}
			if f.now.UnixMilli()%500 == int64(i%50)*10 {
				f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 10})
			}
		}
		for due += perSecond * coldTick.Seconds(); due >= 1; due-- {
			i := f.rng.IntN(len(f.hosts))
			h := f.hosts[i]
			h.last++
			f.step(i, relay.Arrived{ID: h.last, Spec: relay.RequestSpec{
				Host: "h", Path: "/verdict/x", Key: goodKey, RequestID: "r", PromptTokens: 1000, MaxOutputTokens: 100, TokensKnown: true, Deadline: 14 * time.Second,
			}})
		}
	}
}

func (f *coldFleet) most() int {
	n := 0
	for _, at := range f.arrivals {
		n = max(n, mostInSecond(at))
	}
	return n
}

// Guards against a fleet that overloads its engines, or serves nothing, when all hosts start
// while all engines are cold.
var _ = DescribeTable("77 hosts that start while all engines are cold",
	func(demand float64, sides int, served float64) {
		f := newColdFleet(77, time.Minute)
		f.side = func(host int) int { return host % sides }
		f.run(8*time.Second, demand)
		GinkgoWriter.Printf("at most %d in a second (allowed %.0f), %d served, %d refused\n", f.most(), coldBound, f.served, f.refused)
		Expect(float64(f.most())).To(BeNumerically("<=", coldBound))
		Expect(float64(f.served)).To(BeNumerically(">=", served*float64(f.served+f.refused)))
	},
	Entry("and find each other, at the usual load", 127.0, 1, 0.5),
	Entry("and find each other, at several times the load", 600.0, 1, 0.0),
	Entry("and never hear of each other", 600.0, 77, 0.0),
)
