package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

var _ = Describe("recall", func() {
	var c *cluster
	var owner, client ident.Process
	var r placement.Request
	bad := placement.Recall{Versions: []placement.ModelVersion{{Model: model, Version: "v1"}}}

	BeforeEach(func() {
		c = newCluster(3, append(enginesOf(teku, 1, "v1"), enginesOf(teku, 1, "v2")...), teku)
		for i := range c.engines[2:] {
			c.engines[2+i].ID += "-v2"
		}
		for _, v := range c.views {
			c.apply(v.Process.Host, c.at(v.Process).SetEngines(c.now, c.engines))
		}
		var rest []ident.Process
		owner, rest = c.owner(teku)
		client = rest[1]
		r = request(client, 1)
		r.Versions = []ident.Version{"v1", "v2"}
	})

	// occupy keeps the prefill engines of the given versions busy.
	occupy := func(versions ...ident.Version) {
		for i, v := range versions {
			o := request(client, uint64(100+i))
			o.Versions = []ident.Version{v}
			c.book(client, o)
			c.run(2 * step)
		}
	}

	It("books no recalled version, group or adapter and refuses with that reason", func() {
		c.recall(owner, bad)
		c.book(client, r)
		c.run(50 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Decode.Version", ident.Version("v2"))))

		only := request(client, 2)
		only.Versions = []ident.Version{"v1"}
		c.book(client, only)
		adapted := request(client, 3)
		adapted.Adapter = "lora"
		c.recall(owner, placement.Recall{Versions: bad.Versions, Adapters: []ident.Version{"lora"}})
		c.book(client, adapted)
		c.run(50 * time.Millisecond)
		c.recall(owner, placement.Recall{Groups: []string{"batch-v1", "batch-v2"}})
		grouped := request(client, 4)
		c.book(client, grouped)
		c.run(50 * time.Millisecond)
		for _, q := range []placement.Request{only, adapted, grouped} {
			Expect(c.refused[q.Ref]).To(ConsistOf(HaveField("Reason", placement.ReasonRecalled)))
		}
	})

	It("books queued requests on an allowed version and refuses the others", func() {
		occupy("v1", "v2")
		only := request(client, 2)
		only.Versions = []ident.Version{"v1"}
		c.book(client, r)
		c.book(client, only)
		c.run(2 * step)
		c.recall(owner, bad)
		c.run(200 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Decode.Version", ident.Version("v2"))))
		Expect(c.refused[only.Ref]).To(ConsistOf(And(
			HaveField("Reason", placement.ReasonRecalled), HaveField("Booked", false))))
	})

	It("ends bookings on a recalled version when only the owner knows of the recall", func() {
		c.book(client, r)
		c.run(30 * time.Millisecond)
		c.recall(owner, bad)
		c.run(30 * time.Millisecond)
		Expect(c.refused[r.Ref]).To(ConsistOf(And(
			HaveField("Reason", placement.ReasonRecalled), HaveField("Booked", true))))
		Expect(c.cancels).To(HaveLen(2))
	})

	It("ends bookings on a recalled version while a partition keeps the recall from the owner", func() {
		c.book(client, r)
		c.run(30 * time.Millisecond)
		c.cut = func(_, _ ident.HostID, _ placement.Message) bool { return true }
		c.recall(client, bad)
		Expect(c.refused[r.Ref]).To(HaveLen(1))
		Expect(c.cancels).To(HaveLen(2))

		// Without an owner the host places requests itself and respects its own recall.
		r2 := request(client, 2)
		c.book(client, r2)
		c.run(200 * time.Millisecond)
		Expect(c.booked[r2.Ref]).To(ConsistOf(And(
			HaveField("Local", true), HaveField("Prefill.Version", ident.Version("v2")))))
	})

	It("returns a booking on a recalled version by an owner with a stale configuration", func() {
		c.recall(client, bad)
		c.book(client, r)
		c.run(100 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Prefill.Version", ident.Version("v2"))))
		Expect(c.free(owner)).To(Equal(39))
	})

	It("voids the bookings of a host when a recall came during its pause", func() {
		occupy("v1")
		c.book(client, r)
		c.run(30 * time.Millisecond)
		ref := ident.BackendRef{Request: ident.NewRequestID(client, 100), Attempt: 1}
		c.prefilled(client, ref)
		c.recall(owner, bad)
		c.sent = nil
		c.now = c.now.Add(5 * time.Second)
		c.apply(client.Host, c.at(client).Resumed(c.now))
		c.recall(client, bad)
		c.run(100 * time.Millisecond)
		Expect(c.refused).To(HaveKey(ref), "its stream would come from a recalled engine")
		Expect(c.cancels).NotTo(BeEmpty())
	})

	It("refuses queued requests of a host that started with a stale configuration", func() {
		// The host owns the pool and gets the recall after the request was queued.
		self := request(owner, 1)
		self.Versions = []ident.Version{"v1"}
		occupy("v1", "v2")
		c.book(owner, self)
		c.run(step)
		c.recall(owner, bad)
		c.run(step)
		Expect(c.refused[self.Ref]).To(ConsistOf(HaveField("Reason", placement.ReasonRecalled)))
		Expect(c.booked).NotTo(HaveKey(self.Ref))
	})
})
