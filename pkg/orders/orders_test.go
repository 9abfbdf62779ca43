package orders_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/orders"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

const tick = 100 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool is a set of fake engines with a virtual clock.
type pool struct {
	now     time.Time
	engines []*fakeEngine
	checks  bool          // engines refuse fencing tokens lower than one they have seen
	lag     time.Duration // age of the reports that hosts receive
}

// fakeEngine carries out orders at once and records which hosts sent them.
type fakeEngine struct {
	info   engine.Info
	report engine.Report
	past   []engine.Report // one per tick, newest last
	by     []string        // names of the senders, in the order of arrival
}

func newPool(prefill, decode int) *pool {
	p := &pool{now: epoch, checks: true}
	for i := range prefill + decode {
		role := engine.Prefill
		if i >= prefill {
			role = engine.Decode
		}
		id := ident.BackendID(fmt.Sprintf("e-%02d", i))
		info := engine.Info{ID: id, Role: role, Model: "m", Version: "v1", Group: "g"}
		p.engines = append(p.engines, &fakeEngine{info: info,
			report: engine.Report{ID: id, Start: 1, Role: role, Model: "m", Version: "v1", Fence: 40}})
	}
	return p
}

// host is one router host that may own the pool.
type host struct {
	*orders.Orders
	pool  *pool
	name  string
	queue []orders.OrderEffect // not yet sent by the driver
	sent  []orders.OrderEffect
	hold  bool // the test reports the outcomes of orders itself
}

func (p *pool) host(name string) *host {
	h := &host{Orders: orders.New(orders.DefaultConfig("m")), pool: p, name: name}
	var infos []engine.Info
	for _, e := range p.engines {
		infos = append(infos, e.info)
	}
	h.SetEngines(infos)
	return h
}

// step advances the clock by one tick and delivers the reports of all engines.
func (p *pool) step(hosts ...*host) {
	p.now = p.now.Add(tick)
	for _, e := range p.engines {
		e.report.Sequence++
		e.past = append(e.past, e.report)
		if i := len(e.past) - 1 - int(p.lag/tick); i >= 0 {
			for _, h := range hosts {
				h.Report(p.now, e.past[i])
			}
		}
	}
}

// run advances the clock by d while the host's lease is renewed at each tick. Orders are
// sent at once.
func (h *host) run(d time.Duration) {
	for end := h.pool.now.Add(d); h.pool.now.Before(end); {
		h.pool.step(h)
		h.Contact(h.pool.now)
		h.queue = append(h.queue, h.Tick(h.pool.now)...)
		for _, e := range h.queue {
			h.send(e)
		}
		h.queue = nil
	}
}

// send stands in for the driver: it checks the deadline and delivers the order.
func (h *host) send(e orders.OrderEffect) {
	h.sent = append(h.sent, e)
	if h.pool.now.After(e.Deadline) {
		h.OrderDone(h.pool.now, e.ID, errors.New("deadline has passed"))
		return
	}
	err := h.pool.apply(h.name, e)
	if !h.hold {
		h.OrderDone(h.pool.now, e.ID, err)
	}
}

// apply carries out an order that has arrived at an engine.
func (p *pool) apply(by string, e orders.OrderEffect) error {
	for _, eng := range p.engines {
		if eng.info.ID != e.Backend.ID {
			continue
		}
		if p.checks && e.Order.Fence < eng.report.Fence {
			return orders.ErrStaleFence
		}
		eng.by = append(eng.by, by)
		eng.report.Fence = max(eng.report.Fence, e.Order.Fence)
		switch e.Order.Kind {
		case engine.OrderLoadVersion:
			eng.report.Version = e.Order.Version
		case engine.OrderChangeRole:
			eng.report.Role = e.Order.Role
		}
	}
	return nil
}

// prefillEngines returns the number of prefill engines.
func (p *pool) prefillEngines() (prefill int) {
	for _, e := range p.engines {
		if e.report.Role == engine.Prefill {
			prefill++
		}
	}
	return prefill
}

var _ = Describe("the owner of a pool", func() {
	It("waits for a former owner's lease to end and sends with higher fencing tokens, inside its own lease", func() {
		p := newPool(2, 2)
		h := p.host("a")
		h.SetPlan(orders.Plan{Version: "v2"})
		h.run(time.Second)
		h.SetOwned(p.now, true)
		h.run(2500 * time.Millisecond)
		Expect(h.sent).To(BeEmpty())
		h.run(time.Second)
		Expect(h.sent).To(HaveLen(4))
		for i, e := range h.sent {
			Expect(e.Order.Fence).To(BeNumerically(">", 40+i))
			Expect(e.Deadline).To(BeTemporally("<", p.now.Add(2*time.Second)))
		}
	})

	It("sends nothing after its lease has expired, and waits again once the lease is renewed", func() {
		p := newPool(2, 2)
		h := p.host("a")
		h.SetOwned(p.now, true)
		h.run(4 * time.Second)
		for range 30 {
			p.step(h)
			h.Tick(p.now)
		}
		h.SetPlan(orders.Plan{Version: "v2"})
		Expect(h.Tick(p.now)).To(BeEmpty())
		h.run(2 * time.Second)
		Expect(h.sent).To(BeEmpty())
		h.run(2 * time.Second)
		Expect(h.sent).NotTo(BeEmpty())
	})

	It("waits again when an engine has seen a higher fencing token", func() {
		p := newPool(2, 2)
		h := p.host("a")
		p.lag = time.Second
		h.SetOwned(p.now, true)
		h.SetPlan(orders.Plan{Version: "v2"})
		h.run(2500 * time.Millisecond)
		for _, e := range p.engines {
			e.report.Fence = 90 // another owner's token, not yet in the lagging reports
		}
		h.run(500 * time.Millisecond)
		refused := len(h.sent)
		Expect(refused).To(BeNumerically(">", 0))
		h.run(2 * time.Second)
		Expect(h.sent).To(HaveLen(refused))
		h.run(8 * time.Second)
		Expect(p.engines[0].report.Version).To(Equal(ident.Version("v2")))
	})

	It("sends no order that arrives after one of the next owner, with pauses, partitions and a slow driver", func() {
		handedOver := 0
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 1))
			p := newPool(3, 3)
			p.checks = false // only the lease prevents stale orders
			a, b := p.host("a"), p.host("b")
			a.SetOwned(p.now, true)
			a.run(3 * time.Second)
			plan := orders.Plan{Version: "v2", Adapters: []ident.Version{"x", "y", "z"}, IgnoresFence: []string{"g"}}
			a.SetPlan(plan)
			b.SetPlan(plan)
			cut := p.now.Add(time.Duration(rng.IntN(10)) * tick)
			pause := cut.Add(time.Duration(rng.IntN(15)) * tick)
			wake := pause.Add(time.Duration(rng.IntN(80)) * tick)
			end := p.now.Add(9 * time.Second)
			type arrival struct {
				at time.Time
				h  *host
				e  orders.OrderEffect
			}
			var transit []arrival
			for p.now.Before(end) {
				p.step(a, b)
				if !p.now.After(cut) {
					a.Contact(p.now)
				} else {
					b.SetOwned(p.now, true)
				}
				b.Contact(p.now)
				for _, h := range []*host{a, b} {
					if h == a && p.now.After(pause) && p.now.Before(wake) {
						continue
					}
					h.queue = append(h.queue, h.Tick(p.now)...)
					var late []orders.OrderEffect
					for _, e := range h.queue {
						switch {
						case rng.IntN(3) > 0:
							late = append(late, e) // a slow driver sends it in a later tick
						case !p.now.After(e.Deadline):
							transit = append(transit, arrival{p.now.Add(time.Duration(rng.IntN(5)) * tick), h, e})
						}
					}
					h.queue = late
				}
				for _, x := range transit {
					if x.at.Equal(p.now) {
						_ = p.apply(x.h.name, x.e)
					}
				}
			}
			for _, e := range p.engines {
				byB := false
				for _, by := range e.by {
					byB = byB || by == "b"
					Expect(byB && by == "a").To(BeFalse(), "seed %d: %v", seed, e.by)
				}
				if byB {
					handedOver++
				}
			}
		}
		Expect(handedOver).To(BeNumerically(">", 100), "too few engines got orders from the next owner")
	})

	DescribeTable("sends no order that was due before a pause", func(pause time.Duration) {
		p := newPool(2, 2)
		h := p.host("a")
		h.SetOwned(p.now, true)
		h.run(4 * time.Second)
		h.SetPlan(orders.Plan{Version: "v2"})
		p.now = p.now.Add(pause)
		h.Contact(p.now) // an acknowledgement that waited in a buffer during the pause
		Expect(h.Tick(p.now)).To(BeEmpty())
		h.run(2 * time.Second)
		Expect(h.sent).To(BeEmpty())
	},
		Entry("shorter than the lease", 1500*time.Millisecond),
		Entry("longer than the lease", 5*time.Second),
	)
})

var _ = Describe("loads", func() {
	var p *pool
	var h *host

	BeforeEach(func() {
		p = newPool(3, 3)
		h = p.host("a")
		h.SetOwned(p.now, true)
		h.run(3 * time.Second)
	})

	It("run two at a time and keep an engine of each role serving", func() {
		h.hold = true
		h.SetPlan(orders.Plan{Version: "v2"})
		h.run(time.Second)
		Expect(h.sent).To(HaveLen(2))
		Expect(h.Loading()).To(Equal(2))
		for _, e := range h.sent {
			h.OrderDone(p.now, e.ID, nil)
		}
		h.run(time.Second)
		Expect(h.sent).To(HaveLen(4))
		small := newPool(2, 2)
		s := small.host("s")
		s.SetOwned(small.now, true)
		s.SetMaxLoads(4)
		s.run(3 * time.Second)
		s.SetPlan(orders.Plan{Version: "v2"})
		out := s.Tick(small.now)
		Expect(out).To(HaveLen(2))
		Expect(out[0].Backend.Role).NotTo(Equal(out[1].Backend.Role))
	})

	It("are retried with back-off when they fail, and never sent to a leaving engine", func() {
		p.engines[5].report.Leaving = true
		h.run(time.Second)
		h.SetPlan(orders.Plan{Version: "v2", Adapters: []ident.Version{"x"}})
		failing := p.engines[0].info.ID
		count := 0
		for range 600 {
			p.step(h)
			h.Contact(p.now)
			for _, e := range h.Tick(p.now) {
				Expect(e.Backend.ID).NotTo(Equal(p.engines[5].info.ID))
				if e.Backend.ID == failing {
					count++
					h.OrderDone(p.now, e.ID, errors.New("no memory"))
					continue
				}
				h.send(e)
			}
		}
		Expect(count).To(BeNumerically("~", 6, 1))
		Expect(p.engines[1].report.Version).To(Equal(ident.Version("v2")))
	})

	It("are not sent again to an engine that ignores fencing tokens while an earlier one may still arrive", func() {
		h.SetPlan(orders.Plan{Adapters: []ident.Version{"x"}, IgnoresFence: []string{"g"}})
		first := h.Tick(p.now)
		Expect(first).To(HaveLen(2))
		h.OrderDone(p.now, first[0].ID, errors.New("timeout"))
		h.send(first[1])
		again := func() (count int) {
			p.step(h)
			h.Contact(p.now)
			for _, e := range h.Tick(p.now) {
				if e.Backend.ID == first[0].Backend.ID {
					count++
				}
				h.send(e)
			}
			return count
		}
		p.lag = time.Hour // no more reports
		for range 40 {
			Expect(again()).To(BeZero())
		}
		p.lag = 0
		Expect(again()).To(Equal(1))
	})

	It("are not repeated because of an outdated report, but are after a restart", func() {
		h.SetPlan(orders.Plan{Version: "v2"})
		h.run(2 * time.Second)
		sent := len(h.sent)
		Expect(sent).To(Equal(6))
		h.Report(p.now, p.engines[0].past[3])
		Expect(h.Tick(p.now)).To(BeEmpty())
		h.run(time.Second)
		Expect(h.sent).To(HaveLen(sent))
		p.engines[0].report.Start, p.engines[0].report.Version = 2, "v1"
		h.run(2 * time.Second)
		Expect(h.sent).To(HaveLen(sent + 1))
	})
})

var _ = Describe("roles", func() {
	var p *pool
	var h *host

	BeforeEach(func() {
		p = newPool(4, 8)
		h = p.host("a")
		h.SetOwned(p.now, true)
		h.run(3 * time.Second)
	})

	demand := func(d time.Duration, load func(i int) orders.Demand) {
		for i := range int(d / time.Second) {
			x := load(i)
			x.Model = "m"
			h.SetDemand(p.now, x)
			h.run(time.Second)
		}
	}

	It("do not change with noisy demand or low utilisation", func() {
		demand(5*time.Minute, func(i int) orders.Demand {
			return orders.Demand{PrefillTokensPerSecond: 80_000 * float64(i%2*2), DecodeTokensPerSecond: 8_000}
		})
		Expect(p.prefillEngines()).To(Equal(4))
		demand(5*time.Minute, func(int) orders.Demand {
			return orders.Demand{PrefillTokensPerSecond: 30_000, DecodeTokensPerSecond: 100}
		})
		Expect(p.prefillEngines()).To(Equal(4))
	})

	It("follow lasting demand one engine at a time, and do not oscillate", func() {
		demand(time.Minute, func(int) orders.Demand {
			return orders.Demand{PrefillTokensPerSecond: 160_000, DecodeTokensPerSecond: 4_000, Queue: 5}
		})
		Expect(p.prefillEngines()).To(Equal(5))
		demand(10*time.Minute, func(int) orders.Demand {
			return orders.Demand{PrefillTokensPerSecond: 160_000, DecodeTokensPerSecond: 4_000, Queue: 5}
		})
		Expect(p.prefillEngines()).To(Equal(8))
		Expect(h.sent).To(HaveLen(4))
	})

	It("always keep an engine of each role", func() {
		demand(20*time.Minute, func(int) orders.Demand {
			return orders.Demand{PrefillTokensPerSecond: 900_000, Queue: 50}
		})
		Expect(p.prefillEngines()).To(Equal(11))
	})
})
