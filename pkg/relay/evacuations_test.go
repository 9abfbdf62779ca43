package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// zoned gives a host servers in the failure domains a, its own, and b. Their ids begin with
// the domain.
func zoned() *host { return zonedWith(2) }

func zonedWith(servers int) *host {
	h := newHost()
	h.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
	var entries []backends.Entry
	for _, domain := range []string{"a", "b"} {
		for i := range servers {
			for _, e := range []backends.Entry{
				{ID: "p", Service: "lm", Stage: backends.Prefill},
				{ID: "d", Service: "lm", Stage: backends.Decode},
				{ID: "s", Service: "app", Slots: 6},
			} {
				e.ID = ident.BackendID(fmt.Sprint(domain, e.ID, i))
				e.Addr, e.Domain, e.StartedAt = string(e.ID), ident.FailureDomain(domain), 1
				entries = append(entries, e)
			}
		}
	}
	h.step(relay.EntriesListed{Entries: entries})
	h.wait(10 * time.Second)
	h.platformRead()
	return h
}

func inA(id ident.BackendID) bool { return id[0] == 'a' }

// targets returns the servers to which effects send anything.
func targets(effects []relay.Effect) []ident.BackendID {
	var ids []ident.BackendID
	for _, e := range effects {
		switch e := e.(type) {
		case relay.Call:
			ids = append(ids, e.To.ID)
		case relay.Reserve:
			ids = append(ids, e.To.ID)
		case relay.Prefill:
			ids = append(ids, e.To.ID)
		case relay.Decode:
			ids = append(ids, e.To.ID)
			if e.Source != nil {
				ids = append(ids, e.Source.ID)
			}
		case relay.ReleaseReservation:
			ids = append(ids, e.To.ID)
		case relay.ReleasePrefill:
			ids = append(ids, e.To.ID)
		case relay.RoleOrder:
			ids = append(ids, e.To.ID)
		}
	}
	return ids
}

func (h *host) evacuate(evacuated bool) []relay.Effect {
	return h.step(relay.EvacuationChanged{Domain: "a", Evacuated: evacuated})
}

// Guards against requests and calls to servers that the operators want to be left alone.
var _ = Describe("an evacuated failure domain", func() {
	It("gets no new request, also none that another server refused", func() {
		h := zoned()
		Expect(inA(h.plainTarget())).To(BeTrue(), "the own domain is preferred")
		h.evacuate(true)
		for range 20 {
			id := h.submit("/read/x", relay.RequestSpec{})
			c := expect[relay.Call](h)
			Expect(inA(c.To.ID)).To(BeFalse())
			h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.NotRun})
			Expect(slices.ContainsFunc(targets(h.out), inA)).To(BeFalse())
		}
	})

	It("loses a request that waits for its reservation there to another engine", func() {
		h := zoned()
		id := h.submitModel("/verdict/x")
		r := expect[relay.Reserve](h)
		Expect(inA(r.To.ID)).To(BeTrue())
		h.evacuate(true)
		out := h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
		Expect(targets(out)).To(HaveLen(1), "no release is sent")
		Expect(inA(expect[relay.Reserve](h).To.ID)).To(BeFalse())
	})

	It("loses a request that holds a reservation and a KV cache there, whose handle is not used", func() {
		h := zoned()
		id := h.submitModel("/verdict/x")
		p := h.advanceToPrefill(id)
		Expect(inA(p.To.ID)).To(BeTrue())
		h.evacuate(true)
		out := h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: time.Millisecond})
		Expect(slices.ContainsFunc(targets(out), inA)).To(BeFalse())
		d := expect[relay.Decode](h)
		Expect(d.Source).To(BeNil())
		Expect(d.Hold).To(BeEmpty())
	})

	It("loses a request whose decode was not sent because the evacuation came while a connection was made", func() {
		h := zoned()
		id := h.submitModel("/verdict/x")
		d := h.advanceToDecode(id)
		h.evacuate(true)
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Unsent})
		Expect(inA(expect[relay.Reserve](h).To.ID)).To(BeFalse())
	})

	It("gets no release of a KV cache when a caller leaves, and no part of a stream that breaks", func() {
		h := zoned()
		id := h.submitModel("/verdict/x")
		h.advanceToPrefill(id)
		h.evacuate(true)
		Expect(targets(h.step(relay.CallerLeft{ID: id}))).To(BeEmpty())

		h = zoned()
		id = h.submitModel("/summary/x")
		d := h.advanceToDecode(id)
		h.step(relay.FirstEvent{ID: id, Attempt: d.Attempt.Attempt})
		h.step(relay.StreamStarted{ID: id, Attempt: d.Attempt.Attempt})
		Expect(targets(h.evacuate(true))).To(BeEmpty(), "a stream that runs there continues")
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true, Events: 3})
		Expect(inA(expect[relay.Reserve](h).To.ID)).To(BeFalse())
	})

	It("keeps requests waiting that find no room elsewhere, and refuses them truthfully in the end", func() {
		h := zoned()
		id := h.submitModel("/verdict/x")
		p := h.advanceToPrefill(id)
		h.step(relay.EvacuationChanged{Domain: "b", Evacuated: true})
		h.evacuate(true)
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: time.Millisecond})
		expectNone[relay.Refuse](h)
		h.wait(100 * time.Millisecond)
		expectNone[relay.Refuse](h)
		h.submitModel("/verdict/y")
		Expect(expect[relay.Refuse](h).Status).To(Equal(503), "there is no server for a new request")
		h.wait(2 * time.Second)
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
	})

	// Guards against an outage of the store that ends or begins an evacuation.
	It("stays so while the store is away, and until a complete list without it", func() {
		h := zoned()
		h.evacuate(true)
		h.step(relay.PlatformReadFailed{})
		for range 10 {
			h.wait(time.Second)
			Expect(inA(h.openTarget())).To(BeFalse())
		}
		h.step(relay.EvacuationsListed{})
		h.wait(10 * time.Second)
		Expect(inA(h.openTarget())).To(BeTrue())
	})

	DescribeTable("gets its share back as a ramp", func(servers int) {
		h := zonedWith(servers)
		h.evacuate(true)
		h.evacuate(false)
		var shares []int
		for range 5 {
			n := 0
			for range 100 {
				h.now = h.now.Add(20 * time.Millisecond)
				if inA(h.openTarget()) {
					n++
				}
			}
			h.platformRead()
			shares = append(shares, n)
		}
		Expect(shares[0]).To(And(BeNumerically(">", 0), BeNumerically("<", 40)))
		Expect(shares[4]).To(BeNumerically(">", shares[0]+30))
	}, Entry("with two servers", 2), Entry("with 35 servers, of which one would nearly always be picked", 35))

	// Guards against prefills that no retry budget knows of.
	It("costs a request that is queued again no second prefill while its KV cache is valid, and else a retry", func() {
		for _, valid := range []bool{false, true} {
			for _, unsent := range []bool{false, true} {
				h := zonedWith(2)
				h.step(relay.EvacuationChanged{Domain: "b", Evacuated: true})
				id := h.submitModel("/verdict/x")
				p := h.advanceToPrefill(id)
				if unsent {
					d := h.prefilled(id, p)
					h.evacuate(true)
					h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Unsent})
				} else {
					h.evacuate(true)
					h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: time.Millisecond})
				}
				expectNone[relay.Refuse](h)
				if valid {
					// The engine of the KV cache comes back, so the handle is valid again.
					h.evacuate(false)
				} else {
					h.step(relay.EvacuationChanged{Domain: "b"})
				}
				r := expect[relay.Reserve](h)
				h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
				if valid {
					Expect(expect[relay.Decode](h).Handle).To(Equal("kv"))
					continue
				}
				expect[relay.Prefill](h)
				Expect(h.relay.RetriesTaken(id)).To(Equal(1))
			}
		}
	})
})

func (h *host) prefilled(id relay.ID, p relay.Prefill) relay.Decode {
	GinkgoHelper()
	h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: time.Millisecond})
	return expect[relay.Decode](h)
}

// plainTarget sends a plain request, ends it and returns its server.
func (h *host) plainTarget() ident.BackendID {
	GinkgoHelper()
	return h.completed("/read/x")
}

// openTarget is like plainTarget for a route without a key, which is served with an old
// configuration too.
func (h *host) openTarget() ident.BackendID {
	GinkgoHelper()
	return h.completed("/open/x")
}

func (h *host) completed(path string) ident.BackendID {
	GinkgoHelper()
	id := h.submit(path, relay.RequestSpec{})
	c := expect[relay.Call](h)
	h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
	return c.To.ID
}

// Guards against a path by which a request of any phase gets to an evacuated server, or is left
// without an answer, under load with failing calls, outages of the store and evacuations that
// begin and end at any moment.
var _ = Describe("evacuations under load", func() {
	It("are kept by requests in all phases, each of which is answered once", func() {
		for seed := range uint64(8) {
			l := newEvacuationLoad(seed)
			for range 4000 {
				l.turn()
			}
			l.finish()
			Expect(l.open).To(BeEmpty(), "seed %d: requests without an answer", seed)
			Expect(l.served).To(BeNumerically(">", 300), "seed %d", seed)
		}
	})
})

// evacuationLoad drives one host with random requests, outcomes and evacuations.
type evacuationLoad struct {
	*host
	rng       *rand.Rand
	seed      uint64
	evacuated map[byte]bool
	open      map[relay.ID]bool
	calls     []relay.Effect // that have not been answered
	served    int
}

func newEvacuationLoad(seed uint64) *evacuationLoad {
	return &evacuationLoad{host: zoned(), rng: rand.New(rand.NewPCG(seed, 8)), seed: seed, evacuated: map[byte]bool{}, open: map[relay.ID]bool{}}
}

// see checks and keeps the effects of a step.
func (l *evacuationLoad) see(effects []relay.Effect) {
	GinkgoHelper()
	for _, id := range targets(effects) {
		Expect(l.evacuated[id[0]]).To(BeFalse(), "seed %d: %s", l.seed, id)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case relay.Refuse:
			l.answered(e.ID)
		case relay.Deliver:
			l.answered(e.ID)
			l.served++
		case relay.AbortAnswer:
			l.answered(e.ID)
		case relay.Call, relay.Reserve, relay.Prefill, relay.Decode:
			l.calls = append(l.calls, e)
		}
	}
}

func (l *evacuationLoad) answered(id relay.ID) {
	GinkgoHelper()
	Expect(l.open).To(HaveKey(id), "seed %d: answered twice", l.seed)
	delete(l.open, id)
}

func (l *evacuationLoad) turn() {
	GinkgoHelper()
	l.now = l.now.Add(time.Duration(l.rng.IntN(20)) * time.Millisecond)
	switch n := l.rng.IntN(20); {
	case n == 0:
		domain := "ab"[l.rng.IntN(2)]
		l.evacuated[domain] = !l.evacuated[domain]
		l.see(l.step(relay.EvacuationChanged{Domain: ident.FailureDomain(domain), Evacuated: l.evacuated[domain]}))
	case n == 1:
		l.see(l.step(relay.PlatformReadFailed{}))
	case n < 4:
		l.platformRead()
		l.see(l.out)
	case n < 10:
		l.open[l.last+1] = true
		if l.rng.IntN(2) == 0 {
			l.submit("/read/x", relay.RequestSpec{})
		} else {
			l.submitModel([]string{"/verdict/x", "/summary/x"}[l.rng.IntN(2)])
		}
		l.see(l.out)
	case n < 19 && len(l.calls) > 0:
		at := l.rng.IntN(len(l.calls))
		call := l.calls[at]
		l.calls = slices.Delete(l.calls, at, at+1)
		l.answer(call)
	default:
		l.see(l.step(relay.Tick{}))
	}
}

func (l *evacuationLoad) answer(call relay.Effect) {
	GinkgoHelper()
	outcome := []relay.Outcome{
		relay.Succeeded, relay.Succeeded, relay.Succeeded, relay.Succeeded, relay.NotRun, relay.Unsent, relay.Lost,
	}[l.rng.IntN(7)]
	switch c := call.(type) {
	case relay.Call:
		l.see(l.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: outcome}))
	case relay.Reserve:
		l.see(l.step(relay.Reserved{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: outcome, Hold: "hold"}))
	case relay.Prefill:
		l.see(l.step(relay.Prefilled{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: outcome, Handle: "kv", Took: 50 * time.Millisecond}))
	case relay.Decode:
		started := outcome == relay.Succeeded || outcome == relay.Lost
		if started {
			l.see(l.step(relay.FirstEvent{ID: c.ID, Attempt: c.Attempt.Attempt}))
			l.see(l.step(relay.StreamStarted{ID: c.ID, Attempt: c.Attempt.Attempt}))
		}
		if started && outcome == relay.Succeeded && l.open[c.ID] {
			// The driver itself ends a stream that is complete.
			delete(l.open, c.ID)
			l.served++
		}
		l.see(l.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: outcome, Started: started, Events: 2}))
	}
}

// finish ends the run: it answers what is left, without outages or further evacuations.
func (l *evacuationLoad) finish() {
	GinkgoHelper()
	for end := l.now.Add(90 * time.Second); l.now.Before(end) && len(l.open) > 0; {
		for len(l.calls) > 0 {
			call := l.calls[0]
			l.calls = l.calls[1:]
			l.answer(call)
		}
		l.now = l.now.Add(20 * time.Millisecond)
		l.see(l.step(relay.Tick{}))
	}
}
