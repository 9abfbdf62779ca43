package relay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Guards against the release of another request's reservation: a process that has started
// again numbers its reservations anew.
var _ = Describe("the reservation of a request", func() {
	entry := func(to backends.Target) backends.Entry {
		return backends.Entry{ID: to.ID, Service: "lm", Stage: backends.Decode, Addr: to.Addr, Domain: "a", StartedAt: to.StartedAt}
	}

	DescribeTable("is not released",
		func(change func(h *host, e backends.Entry)) {
			h := newHost().ready()
			id := h.submitModel("/verdict/1")
			reserved := expect[relay.Reserve](h)
			h.advanceToPrefill(id)
			change(h, entry(reserved.To))
			h.step(relay.CallerLeft{ID: id})
			expectNone[relay.ReleaseReservation](h)
		},
		Entry("at another process that has started under the engine's id and address", func(h *host, e backends.Entry) {
			e.StartedAt++
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("at another engine that has got the engine's address", func(h *host, e backends.Entry) {
			e.ID = "new"
			h.step(relay.EntryChanged{Entry: e})
		}),
		Entry("at an engine that is no longer listed", func(h *host, e backends.Entry) {
			h.step(relay.EntryRemoved{ID: e.ID})
		}),
	)

	It("is released if only other fields of the entry have changed", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		reserved := expect[relay.Reserve](h)
		h.advanceToPrefill(id)
		e := entry(reserved.To)
		e.Slots, e.Draining = 9, true
		h.step(relay.EntryChanged{Entry: e})
		h.step(relay.CallerLeft{ID: id})
		Expect(expect[relay.ReleaseReservation](h).Hold).To(Equal("hold"))
	})
})
