package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// answerPrefill answers a prefill with a handle.
func (h *host) answerPrefill(p relay.Prefill) {
	h.step(relay.Prefilled{ID: p.ID, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: 100 * time.Millisecond})
}

// sourceEntry returns the entry of the engine that a prefill was sent to, as ready lists it.
func sourceEntry(p relay.Prefill) backends.Entry {
	return backends.Entry{ID: p.To.ID, Service: "lm", Stage: backends.Prefill, Addr: p.To.Addr, Domain: "a", StartedAt: p.To.StartedAt}
}

// Guards against a request that goes on from the prompt of another one: a process that has
// started again counts its handles anew.
var _ = Describe("the KV cache handle of a prefill engine that changes before its answer arrives", func() {
	changes := []any{
		Entry("is not used if another process has started under the engine's id and address", func(h *host, p relay.Prefill) {
			e := sourceEntry(p)
			e.StartedAt++
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("is not used if the engine has another address", func(h *host, p relay.Prefill) {
			e := sourceEntry(p)
			e.Addr = "elsewhere"
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("is not used if another engine has got its address", func(h *host, p relay.Prefill) {
			e := sourceEntry(p)
			e.ID, e.StartedAt = "new", e.StartedAt+1
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("is not used if a server of another service has got its address", func(h *host, p relay.Prefill) {
			e := sourceEntry(p)
			e.ID, e.Service, e.Stage = "new", "app", backends.Plain
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("is not used if the engine is no longer listed", func(h *host, p relay.Prefill) {
			h.step(relay.EntryRemoved{ID: p.To.ID})
		}),
	}

	DescribeTable("decode", append([]any{func(change func(*host, relay.Prefill)) {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		reserved := expect[relay.Reserve](h)
		p := h.advanceToPrefill(id)
		change(h, p)
		h.answerPrefill(p)
		d := expect[relay.Decode](h)
		Expect(d.Source).To(BeNil())
		Expect(d.Handle).To(BeEmpty())
		Expect(d.To.ID).To(Equal(reserved.To.ID))
		Expect(d.Hold).To(Equal("hold"))
	}}, changes...)...)

	DescribeTable("release", append([]any{func(change func(*host, relay.Prefill)) {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		p := h.advanceToPrefill(id)
		change(h, p)
		h.step(relay.ServerNoticed{From: backends.Target{ID: "d1", StartedAt: 1}, Notice: backends.Notice{Leaving: true}})
		h.step(relay.ServerNoticed{From: backends.Target{ID: "d2", StartedAt: 1}, Notice: backends.Notice{Leaving: true}})
		h.answerPrefill(p)
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
		expectNone[relay.ReleasePrefill](h)
	}}, changes...)...)

	It("is used and released if only other fields of the entry have changed", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		p := h.advanceToPrefill(id)
		e := sourceEntry(p)
		e.Slots, e.Draining = 9, true
		h.step(relay.EntryChanged{Entry: e})
		h.answerPrefill(p)
		Expect(expect[relay.Decode](h).Handle).To(Equal("kv"))

		h = newHost().ready()
		id = h.submitModel("/verdict/1")
		p = h.advanceToPrefill(id)
		h.step(relay.ServerNoticed{From: backends.Target{ID: "d1", StartedAt: 1}, Notice: backends.Notice{Leaving: true}})
		h.step(relay.ServerNoticed{From: backends.Target{ID: "d2", StartedAt: 1}, Notice: backends.Notice{Leaving: true}})
		h.answerPrefill(p)
		Expect(expect[relay.ReleasePrefill](h).Handle).To(Equal("kv"))
	})

	It("is not affected by an entry with its address that was listed before the prefill", func() {
		h := newHost().ready()
		for _, id := range []string{"p1", "p2"} {
			h.step(relay.EntryChanged{Entry: backends.Entry{ID: ident.BackendID("odd-" + id), Service: "app", Addr: id, StartedAt: 9}})
		}
		id := h.submitModel("/verdict/1")
		h.answerPrefill(h.advanceToPrefill(id))
		Expect(expect[relay.Decode](h).Handle).To(Equal("kv"))
	})
})

// withHandleTTL gives a ready host a configuration that states how long handles live.
func withHandleTTL(ttl time.Duration) *host {
	h := newHost().ready()
	s := snapshot(2, goodKey)
	s.Services["lm"].Engine.HandleTTL = ttl
	h.step(relay.ConfigRead{Snapshot: s})
	return h
}

var _ = Describe("the age of a KV cache handle", func() {
	const ttl = 500 * time.Millisecond

	// Guards against a handle that is sent after a dial as long as the handle lives, or by a
	// host that was suspended meanwhile.
	It("bounds when it may be sent", func() {
		h := withHandleTTL(ttl)
		id := h.submitModel("/verdict/1")
		d := h.advanceToDecode(id)
		Expect(d.HandleExpiry).To(Equal(h.now.Add(ttl)))
		Expect(h.relay.HandleValid(h.now.Add(ttl-1), *d.Source, d.HandleExpiry)).To(BeTrue())
		Expect(h.relay.HandleValid(h.now.Add(ttl), *d.Source, d.HandleExpiry)).To(BeFalse())
	})

	// Guards against an answer that a suspended host reads long after it was given.
	It("counts from the deadline of the prefill if its answer was read later", func() {
		h := withHandleTTL(ttl)
		id := h.submitModel("/verdict/1")
		p := h.advanceToPrefill(id)
		h.now = p.Deadline.Add(ttl)
		h.answerPrefill(p)
		Expect(expect[relay.Decode](h).Source).To(BeNil())
	})

	It("does not matter if the configuration states no time limit", func() {
		h := withHandleTTL(0)
		d := h.advanceToDecode(h.submitModel("/verdict/1"))
		Expect(d.HandleExpiry).To(BeZero())
		Expect(h.relay.HandleValid(h.now.Add(time.Hour), *d.Source, d.HandleExpiry)).To(BeTrue())
	})
})

var _ = Describe("a KV cache handle that becomes invalid while its request waits for a connection", func() {
	// Guards against a handle that is sent although the list has changed since the decode was
	// started.
	It("is invalid as soon as the list shows another process", func() {
		h := newHost().ready()
		p := h.advanceToPrefill(h.submitModel("/verdict/1"))
		h.answerPrefill(p)
		d := expect[relay.Decode](h)
		Expect(h.relay.HandleValid(h.now, *d.Source, d.HandleExpiry)).To(BeTrue())
		e := sourceEntry(p)
		e.StartedAt++
		h.step(relay.EntryChanged{Entry: e})
		Expect(h.relay.HandleValid(h.now, *d.Source, d.HandleExpiry)).To(BeFalse())
	})

	// Guards against a request that fails, or takes a retry from the budget, because its handle
	// was dropped.
	It("leaves its request at the engine with the reservation, whatever is left of the retry budget", func() {
		h := newHostWith(func(c *relay.Config) { c.RetryRatio, c.RetrySlack = 0, 0 }).ready()
		id := h.submitModel("/verdict/1")
		d := h.advanceToDecode(id)
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Unsent, HandleInvalid: true})
		again := expect[relay.Decode](h)
		Expect(again.To.ID).To(Equal(d.To.ID))
		Expect(again.Hold).To(Equal(d.Hold))
		Expect(again.Source).To(BeNil())
		h.step(relay.CallEnded{ID: id, Attempt: again.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
		expectNone[relay.Refuse](h)
		h.advanceToDecode(h.submitModel("/verdict/2"))
	})
})

// Guards against the answer to another request that is taken for that of this one.
var _ = Describe("a prefill answer for a prompt of another length", func() {
	answerTokens := func(spec relay.RequestSpec, tokens int64) *host {
		h := newHost().ready()
		id := h.submit("/verdict/1", spec)
		p := h.advanceToPrefill(id)
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Tokens: tokens})
		return h
	}
	stated := relay.RequestSpec{PromptTokens: 5000, MaxOutputTokens: 1000, TokensKnown: true, Deadline: 14 * time.Second}

	It("is not used, and the prompt is prefilled by another engine", func() {
		h := answerTokens(stated, 4999)
		expectNone[relay.Decode](h)
		expect[relay.Prefill](h)
	})

	It("is told only where the request and the answer state the length", func() {
		Expect(expect[relay.Decode](answerTokens(stated, 5000)).Handle).To(Equal("kv"))
		Expect(expect[relay.Decode](answerTokens(stated, 0)).Handle).To(Equal("kv"))
		Expect(expect[relay.Decode](answerTokens(relay.RequestSpec{Deadline: 14 * time.Second}, 4999)).Handle).To(Equal("kv"))
	})
})

// Guards against a request that is refused for lack of a permit although the permit that it
// had was not used.
var _ = Describe("a decode that is not sent because its KV cache handle has become invalid", func() {
	It("keeps its permit for an engine that has named a limit", func() {
		h := newHost().ready()
		for _, id := range []ident.BackendID{"d1", "d2"} {
			limit := serverlimit.Statement{Kind: serverlimit.Named, PerSecond: 5}
			h.step(relay.ServerNoticed{From: backends.Target{ID: id, StartedAt: 1}, SentAt: h.now, Notice: backends.Notice{Limit: limit}})
		}
		h.wait(time.Second)
		h.platformRead()
		h.submitModel("/verdict/1")
		h.wait(time.Second)
		h.submitModel("/verdict/2")
		h.answerPrefill(expect[relay.Prefill](h))
		d := expect[relay.Decode](h)
		h.step(relay.CallEnded{ID: d.ID, Attempt: d.Attempt.Attempt, Outcome: relay.Unsent, HandleInvalid: true})
		Expect(expect[relay.Decode](h).To.ID).To(Equal(d.To.ID))
	})
})
