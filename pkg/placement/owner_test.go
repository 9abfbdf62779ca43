package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// isRelease is a cut function that drops Release messages.
func isRelease(_, _ ident.HostID, m placement.Message) bool { return m.Release != nil }

var _ = Describe("pool owner", func() {
	var c *cluster
	var owner, client ident.Process
	var r placement.Request

	BeforeEach(func() {
		c = newCluster(3, enginesOf(teku, 1, "v1"), teku)
		var rest []ident.Process
		owner, rest = c.owner(teku)
		client = rest[1]
		r = request(client, 1)
	})

	It("books once when Book and its answer are repeated", func() {
		c.book(client, r)
		c.sent = append(c.sent, c.sent...)
		c.run(100 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		Expect(c.free(owner)).To(Equal(19))
	})

	It("does not book again when a Book arrives after the release", func() {
		c.book(client, r)
		late := c.sent
		c.run(50 * time.Millisecond)
		c.release(client, r.Ref)
		c.run(50 * time.Millisecond)
		c.sent = append(c.sent, late...)
		c.run(50 * time.Millisecond)
		Expect(c.free(owner)).To(Equal(20))
	})

	It("keeps a booking when the Queued message of the same Book arrives after it", func() {
		c.book(client, r)
		c.run(20 * time.Millisecond)
		c.apply(client.Host, c.at(client).Receive(c.now, owner.Host,
			placement.Message{Queued: &placement.Queued{Ref: r.Ref, Round: 1}}))
		c.run(20 * time.Millisecond)
		Expect(c.free(owner)).To(Equal(19))
	})

	It("frees the slot after a lost Release when the host no longer claims the request", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.cut = isRelease
		c.release(client, r.Ref)
		c.run(50 * time.Millisecond)
		Expect(c.free(owner)).To(Equal(19))
		c.run(2 * time.Second)
		Expect(c.free(owner)).To(Equal(20))
	})

	It("frees the slot after a lost Release when the engine no longer holds the request", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.report(owner, reportOf(c.engines[1], 1, r.Ref))
		c.cut = isRelease
		c.release(client, r.Ref)
		c.report(owner, reportOf(c.engines[1], 2))
		Expect(c.free(owner)).To(Equal(20))
	})

	It("keeps a booking that is newer than a report", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.report(owner, reportOf(c.engines[1], 1))
		c.report(owner, reportOf(c.engines[1], 2))
		Expect(c.free(owner)).To(Equal(19))
	})

	It("ignores late reports, including one from before a restart", func() {
		restarted := reportOf(c.engines[1], 1)
		restarted.Start = 2
		c.report(owner, reportOf(c.engines[1], 7, r.Ref))
		c.report(owner, reportOf(c.engines[1], 6))
		Expect(c.free(owner)).To(Equal(19))
		c.report(owner, restarted)
		c.report(owner, reportOf(c.engines[1], 8, r.Ref))
		Expect(c.free(owner)).To(Equal(20))
	})

	It("books no engine that is leaving, unreachable or excluded", func() {
		c.apply(owner.Host, c.at(owner).Unreachable(c.now, c.engines[1].ID))
		c.book(client, r)
		c.run(50 * time.Millisecond)
		Expect(c.refused[r.Ref]).To(HaveLen(1))

		c.report(owner, reportOf(c.engines[1], 1))
		r2 := request(client, 2)
		r2.Exclude = []ident.BackendID{c.engines[0].ID}
		c.book(client, r2)
		c.run(50 * time.Millisecond)
		Expect(c.refused[r2.Ref]).To(ConsistOf(HaveField("Reason", placement.ReasonNoEngine)))

		leaving := reportOf(c.engines[1], 2)
		leaving.Leaving = true
		c.report(owner, leaving)
		r3 := request(client, 3)
		c.book(client, r3)
		c.run(50 * time.Millisecond)
		Expect(c.booked).NotTo(HaveKey(r3.Ref))
	})

	It("does not split a request over versions, which cannot share a KV cache", func() {
		c.apply(owner.Host, c.at(owner).SetEngines(c.now, []engine.Info{
			backend(teku, engine.Prefill, 0, "v1"),
			backend(teku, engine.Decode, 0, "v2"),
		}))
		c.book(client, r)
		c.run(50 * time.Millisecond)
		Expect(c.refused[r.Ref]).To(ConsistOf(HaveField("Reason", placement.ReasonNoEngine)))
	})

	It("refuses requests early that cannot meet their target, with a time to retry", func() {
		var last ident.BackendRef
		for n := range uint64(40) {
			r := request(client, n+1)
			last = r.Ref
			c.book(client, r)
		}
		c.run(20 * time.Millisecond)
		Expect(c.refused[last]).To(HaveLen(1))
		Expect(c.refused[last][0].Reason).To(Equal(placement.ReasonDeadline))
		Expect(c.refused[last][0].RetryAfter).To(BeNumerically(">", 0))
		c.run(2 * time.Second)
		Expect(len(c.booked) + len(c.refused)).To(Equal(40))
	})

	It("queues requests that prefer to wait, up to the limit of the queue", func() {
		for n := range uint64(1100) {
			r := request(client, n+1)
			r.Wait = true
			c.book(client, r)
		}
		c.run(40 * time.Millisecond)
		Expect(c.booked).To(HaveLen(1))
		Expect(len(c.refused)).To(BeNumerically("~", 1100-1024, 2))
		for _, fs := range c.refused {
			Expect(fs).To(ConsistOf(HaveField("Reason", placement.ReasonQueueFull)))
		}
	})

	It("adapts to slower engines and refuses requests that they cannot serve in time", func() {
		for n := range uint64(30) {
			r := request(client, n+1)
			c.book(client, r)
			c.run(400 * time.Millisecond) // instead of the predicted 100 ms
			if len(c.booked[r.Ref]) > 0 {
				c.prefilled(client, r.Ref)
				c.release(client, r.Ref)
			}
			c.run(10 * time.Millisecond)
		}
		big := request(client, 99)
		big.PromptTokens = 12_000 // 0.3 s by default costs, 1.2 s by observed ones
		c.book(client, big)
		c.run(50 * time.Millisecond)
		Expect(c.refused[big.Ref]).To(HaveLen(1))
	})

	It("books the engine that has cached the prefix, with the expected prefix hit", func() {
		c = newCluster(1, append(enginesOf(teku, 1, "v1"), backend(teku, engine.Prefill, 1, "v1")), teku)
		p := host(teku, 0)
		cached := c.engines[2].ID
		c.at(p).ApplyCacheEvents(c.now, cached, []engine.CacheEvent{
			{Sequence: 1, Block: 11, Stored: true},
			{Sequence: 5, Block: 12, Stored: true}, // a gap in the sequence does not clear the cache
			{Sequence: 5, Block: 12, Stored: false},
		})
		r := request(p, 1)
		r.Prefix = []uint64{11, 12, 13, 14}
		c.book(p, r)
		Expect(c.booked[r.Ref]).To(ConsistOf(And(
			HaveField("PrefixHit", 2000),
			HaveField("Prefill.ID", cached))))
	})

	It("serves others by weight while one organisation sends many times its rate", func() {
		for n := range uint64(60) {
			g := request(client, n+1)
			g.Organisation = "greedy"
			g.Wait = true
			c.book(client, g)
		}
		c.run(20 * time.Millisecond)
		small := request(client, 100)
		small.Organisation = "small"
		c.book(client, small)
		for range 3 {
			for ref := range c.booked {
				c.prefilled(client, ref)
			}
			c.run(20 * time.Millisecond)
		}
		Expect(c.booked).To(HaveKey(small.Ref))
	})
})
