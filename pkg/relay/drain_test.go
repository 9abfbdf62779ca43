package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Guards against requests that a stopping host takes although it cannot give them their answer
// any more.
var _ = Describe("a host that stops within a limited time", func() {
	const drainTime = 7 * time.Second

	draining := func() *host {
		h := newHostWith(func(c *relay.Config) {
			c.DrainTime = drainTime
			c.DrainAccept = drainTime // the end of the drain alone decides
		}).ready()
		h.step(relay.Drain{})
		return h
	}
	// wait is like host.wait, but the host goes on reading the platform.
	wait := func(h *host, d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.wait(min(time.Second, end.Sub(h.now)))
			ended := h.out
			h.platformRead()
			h.out = append(ended, h.out...)
		}
	}

	It("takes a request that may run once only if its deadline is within that time", func() {
		for after := time.Duration(0); after < drainTime; after += 500 * time.Millisecond {
			h := draining()
			wait(h, after)
			h.submit("/post/1", relay.RequestSpec{}) // the route's timeout is a second
			if after+time.Second <= drainTime {
				expect[relay.Call](h)
				continue
			}
			r := expect[relay.Refuse](h)
			Expect([]any{r.Status, r.Reason}).To(Equal([]any{503, relay.Stopping}), "after %v", after)
			expectNone[relay.Call](h)
		}
	})

	It("takes no stream that may not be resumed and whose length is unknown", func() {
		h := draining()
		h.submitModel("/verdict/1")
		r := expect[relay.Refuse](h)
		Expect([]any{r.Status, r.Reason}).To(Equal([]any{503, relay.Stopping}))
	})

	It("does not send on what has waited too long", func() {
		h := newHostWith(func(c *relay.Config) { c.DrainTime = drainTime }).ready()
		id := h.submitModel("/verdict/1")
		p := h.advanceToPrefill(id)
		h.step(relay.Drain{})
		h.now = h.now.Add(drainTime - 100*time.Millisecond)
		h.platformRead()
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: 100 * time.Millisecond})
		expectNone[relay.Decode](h)
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
	})

	It("refuses what no server has got when the time is over", func() {
		h := newHostWith(func(c *relay.Config) { c.DrainTime = drainTime }).ready()
		id := h.submitModel("/verdict/1")
		expect[relay.Reserve](h)
		h.step(relay.Drain{})
		Expect(h.relay.Next()).NotTo(BeTemporally(">", h.now.Add(drainTime)))
		h.now = h.now.Add(drainTime)
		h.step(relay.Tick{})
		r := expect[relay.Refuse](h)
		Expect([]any{r.ID, r.Status, r.Reason}).To(Equal([]any{id, 503, relay.Stopping}))
	})

	It("promises nothing to a caller whose call was aborted", func() {
		h := newHostWith(func(c *relay.Config) { c.DrainTime = 500 * time.Millisecond }).ready()
		id := h.submit("/post/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.Drain{})
		h.now = h.now.Add(500 * time.Millisecond)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Aborted})
		r := expect[relay.Refuse](h)
		Expect([]any{r.Status, r.Reason}).To(Equal([]any{502, relay.Stopping}))
	})
})
