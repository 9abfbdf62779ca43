package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
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
