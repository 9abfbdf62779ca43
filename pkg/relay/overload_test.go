package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// peerLoad reports the load of another host: memory at one decode engine, and all memory
// of the other one.
func (h *host) peerLoad(sequence uint64, memory int64) {
	h.step(relay.MessageReceived{Message: relay.Message{
		Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: sequence},
		Load: []relay.BackendLoad{
			{Backend: "d1", Requests: 9, Memory: memory}, {Backend: "d2", Requests: 9, Memory: 60_000},
		},
	}})
}

func (h *host) submitWithHint(hint int64) relay.ID {
	return h.submit("/verdict/1", relay.RequestSpec{PromptTokens: 5000, MaxOutputTokens: 2000, OutputHint: hint, TokensKnown: true, Deadline: 14 * time.Second})
}

var _ = Describe("a burst beyond the memory of the decode engines", func() {
	It("reserves for the expected output, not for the maximum", func() {
		h := newHost().ready()
		h.submitWithHint(250)
		r := expect[relay.Reserve](h)
		Expect(r.Tokens).To(BeNumerically(">", 5000))
		Expect(r.Tokens).To(BeNumerically("<", 6000))
	})

	It("does not queue a request until its deadline when all engines that it may use are lost", func() {
		h := newHost().ready()
		id := h.submitModel("/summary/1")
		for range 2 {
			d := h.advanceToDecode(id)
			h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Unsent})
		}
		began := h.now
		for h.now.Sub(began) < time.Second {
			h.platformRead()
			h.wait(50 * time.Millisecond)
			if r, refused := find[relay.Refuse](h); refused {
				Expect(r.Status).To(Equal(503), "it has not run")
				return
			}
		}
		Fail("still queued after a second")
	})

	It("starts the cheapest queued request first", func() {
		h := newHost().ready()
		h.peerLoad(1, 59_000)
		long := h.submitWithHint(2000)
		short := h.submitWithHint(100)
		middle := h.submitWithHint(500)
		var order []relay.ID
		for n := range 3 {
			// Memory for one request at a time.
			h.peerLoad(uint64(2+2*n), 53_000)
			r := expect[relay.Reserve](h)
			order = append(order, r.ID)
			h.step(relay.Reserved{ID: r.ID, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "h"})
			h.peerLoad(uint64(3+2*n), 59_000)
			h.step(relay.CallerLeft{ID: r.ID})
		}
		Expect(order).To(Equal([]relay.ID{short, middle, long}))
	})
})

var _ = Describe("the split of engines between prefill and decode", func() {
	// sendLoad sends requests of the same size for six seconds, so that the planner learns
	// their cost, and returns the orders. Ten requests a second keep one engine prefilling.
	sendLoad := func(h *host, tenths int) []relay.RoleOrder {
		var got []relay.RoleOrder
		for range 60 {
			for _, e := range h.wait(100 * time.Millisecond) {
				if o, ok := e.(relay.RoleOrder); ok {
					got = append(got, o)
				}
			}
			h.platformRead()
			for range tenths {
				id := h.submitWithHint(900)
				h.step(relay.CallerLeft{ID: id})
			}
		}
		return got
	}
	// warmUp keeps three of five engines prefilling.
	warmUp := func(h *host) { Expect(sendLoad(h, 3)).To(BeEmpty()) }
	listEngines := func(h *host) {
		var entries []backends.Entry
		for _, id := range []ident.BackendID{"p1", "p2", "p3", "p4", "p5", "d1", "d2"} {
			stage := backends.Prefill
			if id[0] == 'd' {
				stage = backends.Decode
			}
			entries = append(entries, backends.Entry{ID: id, Service: "lm", Addr: string(id), Domain: "a", Stage: stage, StartedAt: 1})
		}
		h.step(relay.EntriesListed{Entries: entries})
	}
	var sequence uint64
	fillDecode := func(h *host) {
		sequence++
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "zz", Incarnation: 1, Addr: "zz"}, Sequence: sequence},
			Load:      []relay.BackendLoad{{Backend: "d1", Memory: 59_000}, {Backend: "d2", Memory: 59_000}},
		}})
	}
	collectOrders := func(h *host, d time.Duration) []relay.RoleOrder {
		var got []relay.RoleOrder
		for end := h.now.Add(d); h.now.Before(end); {
			fillDecode(h)
			h.platformRead()
			for _, e := range h.wait(100 * time.Millisecond) {
				if o, ok := e.(relay.RoleOrder); ok {
					got = append(got, o)
				}
			}
		}
		return got
	}

	It("shifts to decode when decode memory is short and prefill is not", func() {
		h := newHostWith(func(c *relay.Config) { c.RoleOrders = true }).ready()
		listEngines(h)
		warmUp(h)
		Expect(collectOrders(h, time.Second)).NotTo(BeEmpty())
	})

	// The pattern is a burst that needs decode memory for less time than a switch takes,
	// on a fleet whose prefill engines have little to do.
	It("shifts to decode before decode memory is short, while prefill engines are idle", func() {
		h := newHostWith(func(c *relay.Config) { c.RoleOrders = true }).ready()
		listEngines(h)
		orders := sendLoad(h, 1)
		Expect(orders).NotTo(BeEmpty())
		for _, o := range orders {
			Expect(o.Stage).To(Equal(backends.Decode))
		}
		Expect(len(orders)).To(BeNumerically("<=", 3), "one engine is busy, and two are to be half idle")
	})

	It("stays the same while decode memory is free and prefill engines are busy, or while another host gives the orders", func() {
		h := newHostWith(func(c *relay.Config) { c.RoleOrders = true }).ready()
		listEngines(h)
		warmUp(h)
		for range 20 {
			h.wait(100 * time.Millisecond)
			h.platformRead()
			expectNone[relay.RoleOrder](h)
		}
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "a-first", Incarnation: 1, Addr: "a"}, Sequence: 1},
			Orders:    []relay.OrderNote{{Backend: "p5", Stage: backends.Decode, AgeMS: 100}},
		}})
		Expect(collectOrders(h, time.Second)).To(BeEmpty())
	})

	It("gives fencing tokens that grow with the store revision and differ between hosts", func() {
		h := newHostWith(func(c *relay.Config) { c.RoleOrders = true }).ready()
		listEngines(h)
		warmUp(h)
		other := newHostWith(func(c *relay.Config) { c.RoleOrders, c.Roster.Self.ID = true, "other" }).ready()
		listEngines(other)
		warmUp(other)
		a, b := collectOrders(h, time.Second), collectOrders(other, time.Second)
		Expect(a).NotTo(BeEmpty())
		Expect(b).NotTo(BeEmpty())
		Expect(a[0].FencingToken).NotTo(Equal(b[0].FencingToken))
		h.step(relay.PlatformReadSucceeded{Sent: h.now, Revision: 11})
		later := collectOrders(h, 30*time.Second)
		for _, o := range later {
			Expect(o.FencingToken).To(BeNumerically(">", a[0].FencingToken))
		}
	})
})
