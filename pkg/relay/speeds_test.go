package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

var _ = Describe("a request that no engine can complete in time", func() {
	// complete runs streams whose events take the given time.
	complete := func(h *host, n int, perEvent time.Duration) {
		for i := range n {
			id := h.submit("/verdict/1", relay.RequestSpec{
				RequestID: fmt.Sprint(i), PromptTokens: 100, MaxOutputTokens: 400, OutputHint: 200, TokensKnown: true, Deadline: 14 * time.Second,
			})
			d := h.advanceToDecode(id)
			h.step(relay.StreamStarted{ID: id, Attempt: d.Attempt.Attempt})
			h.now = h.now.Add(20 * perEvent)
			h.platformRead()
			h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200, Started: true, Events: 21, Took: 20 * perEvent})
		}
	}
	late := relay.RequestSpec{PromptTokens: 100, MaxOutputTokens: 4000, OutputHint: 4000, TokensKnown: true, Deadline: 2 * time.Second}

	// Guards against engine time for streams that end at their deadline in any case.
	It("is refused at the start", func() {
		h := newHost().ready()
		complete(h, 40, 20*time.Millisecond)
		h.submit("/verdict/1", late)
		refused := expect[relay.Refuse](h)
		Expect(refused.Status).To(Equal(503))
		Expect(refused.Reason).To(Equal(relay.NoTime))
	})

	// Guards against refusals on weak evidence: few measurements, or a length that is only expected.
	It("is not refused while the speeds are not known, or if a quarter of its output fits", func() {
		h := newHost().ready()
		complete(h, 8, 20*time.Millisecond)
		h.submit("/verdict/1", late)
		expectNone[relay.Refuse](h)
		h = newHost().ready()
		complete(h, 40, 2*time.Millisecond)
		h.submit("/verdict/1", late)
		expectNone[relay.Refuse](h)
	})
})

var _ = Describe("the quota of a stream that uses less than it states", func() {
	// Guards against an organisation that is refused inside its rate, because requests are charged
	// for the longest output that they allow.
	It("is given back when the stream is complete", func() {
		h := newHostWith(func(c *relay.Config) {
			c.Quota.Tolerance = quota.Tolerance{Window: 8 * time.Second, Overage: 0.25, Slack: 200_000}
		}).ready()
		config := snapshot(2, goodKey)
		config.Services["lm"].Engine.TokensPerEvent = 4
		h.step(relay.ConfigRead{Snapshot: config})
		used := func() int64 {
			var tokens int64
			for range 20 {
				h.peerHeartbeat(0)
				h.platformRead()
				for _, e := range h.wait(100 * time.Millisecond) {
					if s, ok := e.(relay.Send); ok && s.Message.Heartbeat.Sequence > 0 {
						tokens = s.Message.Used["org"]
					}
				}
			}
			return tokens
		}
		id := h.submitModel("/verdict/1")
		d := h.advanceToDecode(id)
		h.step(relay.StreamStarted{ID: id, Attempt: d.Attempt.Attempt})
		Expect(used()).To(Equal(int64(6000)))
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200, Started: true, Events: 25})
		Eventually(used).WithPolling(time.Millisecond).Should(Equal(int64(5100)), "prompt of 5,000 and 25 events of 4")
	})
})
