package relay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Guards against a caller that repeats a request which has run, because the status that it gets
// promises the opposite.
var _ = Describe("a status that promises that a request has not run", func() {
	promise := BeElementOf(408, 421, 429, 503)

	// status returns the status that leaves the host for the request whose last call has ended.
	status := func(h *host, ended relay.CallEnded) int {
		if r, ok := find[relay.Refuse](h); ok {
			return r.Status
		}
		expect[relay.Deliver](h)
		return ended.Status
	}
	plainCall := func(path string) func(*host) (relay.ID, func() (int, bool)) {
		return func(h *host) (relay.ID, func() (int, bool)) {
			id := h.submit(path, relay.RequestSpec{})
			return id, func() (int, bool) {
				c, ok := find[relay.Call](h)
				return c.Attempt.Attempt, ok
			}
		}
	}
	decodeCall := func(path string) func(*host) (relay.ID, func() (int, bool)) {
		return func(h *host) (relay.ID, func() (int, bool)) {
			id := h.submitModel(path)
			return id, func() (int, bool) {
				if r, ok := find[relay.Reserve](h); ok {
					h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
				}
				if p, ok := find[relay.Prefill](h); ok {
					h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv"})
				}
				d, ok := find[relay.Decode](h)
				return d.Attempt.Attempt, ok
			}
		}
	}

	DescribeTable("leaves the host only if every server has stated it",
		func(submit func(*host) (relay.ID, func() (int, bool))) {
			for code := 400; code < 600; code++ {
				for _, outcome := range []relay.Outcome{relay.Failure, relay.NotRun} {
					h := newHost().ready()
					id, nextCall := submit(h)
					ended := relay.CallEnded{ID: id, Outcome: outcome, Status: code}
					calls := 0
					for attempt, ok := nextCall(); ok; attempt, ok = nextCall() {
						ended.Attempt = attempt
						h.step(ended)
						calls++
					}
					Expect(calls).To(BeNumerically(">", 0))
					if outcome == relay.NotRun {
						Expect(status(h, ended)).To(Equal(503), "status %d with a statement", code)
						continue
					}
					Expect(status(h, ended)).NotTo(promise, "status %d without a statement", code)
				}
			}
		},
		Entry("of a request that may run once", plainCall("/post/1")),
		Entry("of an idempotent request", plainCall("/read/1")),
		Entry("of a stream", decodeCall("/verdict/1")),
		Entry("of a stream that may be resumed", decodeCall("/summary/1")),
	)

	It("is not given after a call of unknown outcome, whatever the next server states", func() {
		h := newHost().ready()
		id := h.submit("/read/1", relay.RequestSpec{})
		h.step(relay.CallEnded{ID: id, Attempt: expect[relay.Call](h).Attempt.Attempt, Outcome: relay.Lost})
		for c, ok := find[relay.Call](h); ok; c, ok = find[relay.Call](h) {
			h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.NotRun, Status: 503})
		}
		Expect(expect[relay.Refuse](h).Status).To(Equal(502))
	})
})
