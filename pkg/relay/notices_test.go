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

// notice has a server say something of itself.
func (h *host) notice(id ident.BackendID, n backends.Notice) {
	h.step(relay.ServerNoticed{From: backends.Target{ID: id, Addr: string(id), StartedAt: 1}, Notice: n})
}

// Guards against work for an engine that has asked for time, or announced that it leaves,
// after it was reserved for a request.
var _ = Describe("a reserved engine that takes no new requests any more", func() {
	other := map[ident.BackendID]ident.BackendID{"d1": "d2", "d2": "d1"}

	It("is not used when the reservation is answered", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		r := expect[relay.Reserve](h)
		h.notice(r.To.ID, backends.Notice{Leaving: true})
		h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
		Expect(expect[relay.ReleaseReservation](h).To.ID).To(Equal(r.To.ID))
		Expect(expect[relay.Reserve](h).To.ID).To(Equal(other[r.To.ID]))
	})

	It("is not used when the prompt has been prefilled", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		r := expect[relay.Reserve](h)
		h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
		p := expect[relay.Prefill](h)
		h.notice(r.To.ID, backends.Notice{Wait: 2 * time.Second})
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv"})
		d := expect[relay.Decode](h)
		Expect(d.To.ID).To(Equal(other[r.To.ID]))
		Expect(d.Hold).To(BeEmpty(), "the reservation is at the other engine")
		Expect(d.Handle).To(Equal("kv"))
		// The engine wants nothing from this host.
		expectNone[relay.ReleaseReservation](h)
	})

	It("ends the request with the end of the earliest wait if it was the last one", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		r := expect[relay.Reserve](h)
		h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
		p := expect[relay.Prefill](h)
		h.notice("d1", backends.Notice{Wait: 2 * time.Second})
		h.notice("d2", backends.Notice{Wait: 4 * time.Second})
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv"})
		refusal := expect[relay.Refuse](h)
		Expect(refusal.Status).To(Equal(503), "it has not run")
		Expect(refusal.RetryAfter).To(BeNumerically(">=", 2*time.Second))
		Expect(refusal.RetryAfter).To(BeNumerically("<", 4*time.Second))
	})

	It("ends queued requests at once if all engines have asked for time", func() {
		h := newHost().ready()
		h.peerLoad(1, 59_000)
		h.submitModel("/verdict/1")
		expectNone[relay.Refuse](h) // it waits for memory
		h.notice("d1", backends.Notice{Wait: time.Second})
		h.notice("d2", backends.Notice{Wait: time.Second})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.AskedToWait))
	})

	It("is passed on to the other hosts if it leaves, but not if it asked for time", func() {
		h := newHost().ready()
		h.peerHeartbeat(0)
		h.notice("d1", backends.Notice{Leaving: true})
		h.notice("d2", backends.Notice{Wait: time.Second})
		h.wait(200 * time.Millisecond)
		Expect(expect[relay.Send](h).Message.Leaving).To(Equal([]relay.LeavingNote{{Backend: "d1", StartedAt: 1}}))
	})

	It("is avoided if another host has heard that it leaves", func() {
		h := newHost().ready()
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: 1},
			Leaving:   []relay.LeavingNote{{Backend: "d1", StartedAt: 1}, {Backend: "d2", StartedAt: 7}},
		}})
		h.submitModel("/verdict/1")
		Expect(expect[relay.Reserve](h).To.ID).To(Equal(ident.BackendID("d2")), "the note is about another process")
	})
})
