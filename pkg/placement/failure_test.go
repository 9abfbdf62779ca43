package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

var _ = Describe("failures", func() {
	var c *cluster
	var owner, next, client ident.Process
	var r placement.Request

	BeforeEach(func() {
		c = newCluster(3, enginesOf(teku, 1, "v1"), teku)
		var rest []ident.Process
		owner, rest = c.owner(teku)
		next, client = rest[0], rest[1]
		r = request(client, 1)
	})

	// fill books n requests at the owner.
	fill := func(n uint64) []ident.BackendRef {
		var refs []ident.BackendRef
		for i := range n {
			f := request(client, 1000+i)
			f.Wait = true
			c.book(client, f)
			c.run(2 * step)
			c.prefilled(client, f.Ref)
			refs = append(refs, f.Ref)
		}
		c.run(50 * time.Millisecond)
		return refs
	}

	It("asks the next host when the owner does not answer, and then places without an owner", func() {
		c.kill(owner)
		c.book(client, r)
		c.run(90 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Local", false)))

		c.kill(next)
		r2 := request(client, 2)
		c.book(client, r2)
		c.run(150 * time.Millisecond)
		Expect(c.booked[r2.Ref]).To(ConsistOf(HaveField("Local", true)))
	})

	It("returns the booking of an owner that answered after the fallback owner", func() {
		var held []packet
		c.cut = func(from, to ident.HostID, m placement.Message) bool {
			if from == owner.Host && m.Booked != nil {
				held = append(held, packet{from, to, m, c.now})
				return true
			}
			return false
		}
		c.book(client, r)
		c.run(100 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		c.cut = nil
		c.sent = append(c.sent, held...)
		c.run(50 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		Expect(c.free(owner)).To(Equal(20))
	})

	It("moves queued requests to the next owner when the owner dies", func() {
		fill(20)
		r.Wait = true
		c.book(client, r)
		c.run(30 * time.Millisecond)
		Expect(c.booked).NotTo(HaveKey(r.Ref))
		c.kill(owner)
		c.declareDead(owner)
		c.run(30 * time.Millisecond)
		Expect(c.booked).NotTo(HaveKey(r.Ref), "the next owner knows that the engine is full")
		c.release(client, request(client, 1000).Ref)
		c.run(30 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
	})

	It("rebuilds the bookings of a dead owner from hosts and reports", func() {
		refs := fill(5)
		c.kill(owner)
		c.declareDead(owner)
		c.run(20 * time.Millisecond)
		Expect(c.free(next)).To(Equal(15))
		unbooked := ident.BackendRef{Request: ident.NewRequestID(owner, 5), Attempt: 1}
		c.report(next, reportOf(c.engines[1], 1, append(refs, unbooked)...))
		Expect(c.free(next)).To(Equal(14))
	})

	It("frees engine memory of a dead entry host within 5 s, and repeats lost cancels", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.kill(client)
		var first time.Duration
		for at := time.Duration(0); at < 8*time.Second; at += 250 * time.Millisecond {
			if at == 3*time.Second {
				c.declareDead(client)
			}
			c.report(owner, reportOf(c.engines[1], uint64(at)+1, r.Ref))
			c.run(250 * time.Millisecond)
			if first == 0 && len(c.cancels) > 0 {
				first = at
			}
		}
		Expect(first).To(BeNumerically("<", 5*time.Second))
		Expect(first).To(BeNumerically(">", 2*time.Second), "a host that is only slow keeps its work for the grace period")
		Expect(len(c.cancels)).To(BeNumerically(">=", 3))
		Expect(c.cancels).To(HaveEach(placement.Cancel{Backend: c.engines[1], Ref: r.Ref}))
	})

	It("cancels the work of an older incarnation at once", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.report(owner, reportOf(c.engines[1], 1, r.Ref))
		c.kill(client)
		for i := range c.views {
			if c.views[i].Process == client {
				c.views[i].Process.Incarnation++
			}
		}
		c.apply(owner.Host, c.at(owner).SetHosts(c.now, c.views))
		c.run(300 * time.Millisecond)
		Expect(c.cancels).To(ConsistOf(placement.Cancel{Backend: c.engines[1], Ref: r.Ref}))
	})

	It("cancels no work of live hosts, even right after a pause of the owner", func() {
		refs := fill(3)
		c.stopped[owner.Host] = true
		c.now = c.now.Add(20 * time.Second)
		c.stopped[owner.Host] = false
		c.apply(owner.Host, c.at(owner).Resumed(c.now))
		for i := range uint64(20) {
			c.report(owner, reportOf(c.engines[1], i+1, refs...))
			c.run(250 * time.Millisecond)
		}
		Expect(c.cancels).To(BeEmpty())
		Expect(c.free(owner)).To(Equal(17))
	})

	It("returns bookings whose prefill has not ended when it resumes after a pause", func() {
		used := fill(1)[0]
		c.book(client, r)
		c.run(200 * time.Millisecond)
		Expect(c.booked).To(HaveKey(r.Ref))
		c.now = c.now.Add(10 * time.Second)
		c.apply(client.Host, c.at(client).Resumed(c.now))
		Expect(c.refused[r.Ref]).To(ConsistOf(And(
			HaveField("Reason", placement.ReasonLeaseVoid), HaveField("Booked", true))))
		Expect(c.refused).NotTo(HaveKey(used))
		Expect(c.cancels).To(HaveLen(2))
	})

	It("spills to a domain with free capacity when the local pool is full", func() {
		c = newCluster(2, append(enginesOf(teku, 1, "v1"), enginesOf(balaju, 1, "v1")...), teku, balaju)
		client = host(teku, 0)
		r = request(client, 1)
		fill(20)
		c.at(client).SetFree(c.now, []placement.PoolFree{{Domain: balaju, Model: model, Free: 5}})
		c.book(client, r)
		c.run(100 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Decode.Domain", balaju)))
	})

	It("serves its domain alone when it is partitioned from the others", func() {
		c = newCluster(2, append(enginesOf(teku, 1, "v1"), enginesOf(balaju, 1, "v1")...), teku, balaju)
		c.cut = func(from, to ident.HostID, _ placement.Message) bool { return from[0] != to[0] }
		for _, d := range []ident.FailureDomain{teku, balaju} {
			p := host(d, 1)
			r := request(p, 1)
			c.book(p, r)
			c.run(100 * time.Millisecond)
			Expect(c.booked[r.Ref]).To(ConsistOf(HaveField("Decode.Domain", d)))
		}
	})

	It("decides a request that spilled to a domain which is cut off", func() {
		c = newCluster(2, append(enginesOf(teku, 1, "v1"), enginesOf(balaju, 1, "v1")...), teku, balaju)
		client = host(teku, 0)
		r = request(client, 1)
		fill(20)
		c.at(client).SetFree(c.now, []placement.PoolFree{{Domain: balaju, Model: model, Free: 5}})
		c.cut = func(from, to ident.HostID, _ placement.Message) bool { return from[0] != to[0] }
		c.book(client, r)
		c.run(950 * time.Millisecond)
		Expect(len(c.booked[r.Ref]) + len(c.refused[r.Ref])).To(Equal(1))
	})

	It("hands queue and bookings to the next host when it drains", func() {
		fill(20)
		r.Wait = true
		c.book(client, r)
		c.run(20 * time.Millisecond)
		c.apply(owner.Host, c.at(owner).Drain(c.now))
		c.run(20 * time.Millisecond)
		Expect(c.at(owner).PolledEngines()).To(BeEmpty())
		Expect(c.at(next).PolledEngines()).To(HaveLen(2))
		// The client still asks the drained owner, which forwards the request.
		late := request(client, 2)
		late.Wait = true
		c.book(client, late)
		c.run(20 * time.Millisecond)
		c.declareDead(owner)
		c.release(client, request(client, 1000).Ref)
		c.release(client, request(client, 1001).Ref)
		c.run(300 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		Expect(c.booked[late.Ref]).To(HaveLen(1))
	})

	It("books another decode engine when a transfer stalls, and frees the slot of the first", func() {
		c = newCluster(3, enginesOf(teku, 2, "v1"), teku)
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.prefilled(client, r.Ref)
		stalled := c.booked[r.Ref][0].Decode
		c.apply(client.Host, c.at(client).MoveDecode(c.now, r.Ref))
		c.sent = append(c.sent, c.sent...) // repeated on the way
		c.run(50 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(2))
		moved := c.booked[r.Ref][1]
		Expect(moved.Decode.ID).NotTo(Equal(stalled.ID))
		Expect(moved.Prefill).To(Equal(c.booked[r.Ref][0].Prefill))
		Expect(c.free(owner)).To(Equal(39))
		// The stalled engine still reports the import.
		c.report(owner, reportOf(stalled, 1, r.Ref))
		c.report(owner, reportOf(moved.Decode, 1, r.Ref))
		Expect(c.free(owner)).To(Equal(38))
		c.report(owner, reportOf(stalled, 2))
		c.release(client, r.Ref)
		c.run(50 * time.Millisecond)
		Expect(c.free(owner)).To(Equal(40))
	})

	It("ends the booking when no other decode engine has a free slot for a stalled transfer", func() {
		c.book(client, r)
		c.run(50 * time.Millisecond)
		c.prefilled(client, r.Ref)
		c.apply(client.Host, c.at(client).MoveDecode(c.now, r.Ref))
		c.run(50 * time.Millisecond)
		Expect(c.refused[r.Ref]).To(ConsistOf(HaveField("Booked", true)))
		Expect(c.cancels).To(HaveLen(2))
		Expect(c.free(owner)).To(Equal(20))
	})

	It("counts one slot when a fallback owner hands over a booking of a queued request", func() {
		c = newCluster(3, enginesOf(teku, 2, "v1"), teku)
		refs := fill(40)
		r.Wait = true
		c.book(client, r)
		c.run(20 * time.Millisecond)
		c.apply(owner.Host, c.at(owner).Receive(c.now, next.Host, placement.Message{Handover: &placement.Handover{
			Pool:     placement.Pool{Model: model, Domain: teku},
			Bookings: []placement.Held{{Ref: r.Ref, Round: 1, Prefill: c.engines[0].ID, Decode: c.engines[1].ID}},
		}}))
		for _, ref := range refs { // frees the other engine only
			if c.booked[ref][0].Decode.ID == c.engines[2].ID {
				c.release(client, ref)
			}
		}
		c.run(50 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		for _, ref := range append(refs, r.Ref) {
			c.release(client, ref)
		}
		c.run(50 * time.Millisecond)
		Expect(c.free(owner)).To(Equal(40))
	})

	It("resumes on any engine with the delivered output in the prompt", func() {
		r.Offset = 2000
		r.Exclude = []ident.BackendID{"gone"}
		c.book(client, r)
		c.run(20 * time.Millisecond)
		Expect(c.booked[r.Ref]).To(HaveLen(1))
		r2 := request(client, 2)
		r2.Budget = 300 * time.Millisecond // the prefill before it takes 150 ms, not 100 ms
		c.book(client, r2)
		c.run(20 * time.Millisecond)
		Expect(c.refused).To(HaveKey(r2.Ref))
	})

	It("balances plain services and avoids failed, leaving and unreachable replicas", func() {
		var replicas []engine.Info
		for n := range 4 {
			e := backend(teku, engine.Service, n, "")
			e.Model, e.Leaving = "counter-app", n == 3
			replicas = append(replicas, e)
		}
		p := c.at(client)
		p.SetEngines(c.now, replicas)
		p.Unreachable(c.now, replicas[2].ID)
		count := map[ident.BackendID]int{}
		for n := range uint64(40) {
			e, ok := p.PickService(c.now, "counter-app", request(client, n).Ref, nil)
			Expect(ok).To(BeTrue())
			count[e.ID]++
		}
		Expect(count).To(HaveLen(2))
		Expect(count[replicas[0].ID]).To(BeNumerically("~", 20, 6))
		_, ok := p.PickService(c.now, "counter-app", r.Ref, []ident.BackendID{replicas[0].ID, replicas[1].ID})
		Expect(ok).To(BeFalse())
	})
})
