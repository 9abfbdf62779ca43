package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

// outcome holds the decisions that one request got from its Placer.
type outcome struct {
	ref         ident.BackendRef
	booked      []placement.Booking
	refused     []placement.Refusal
	knowsRecall bool // its host had the recall in its configuration
}

// violations checks that every request got exactly one decision, that both engines of
// a booking have the same version, that the version is not one that the request's host
// knew to be recalled, and that only a request with a booking gets a Refusal with
// Booked set.
func violations(outcomes []outcome, recalled ident.Version) []string {
	var out []string
	add := func(a outcome, text string) { out = append(out, fmt.Sprint(a.ref.Request, ": ", text)) }
	for _, a := range outcomes {
		ended := 0
		for _, f := range a.refused {
			if f.Booked {
				ended++
			}
		}
		if len(a.booked)+len(a.refused)-ended != 1 {
			add(a, "not exactly one decision")
		}
		if ended > len(a.booked) {
			add(a, "ended without a booking")
		}
		for _, b := range a.booked {
			if b.Prefill.Version != b.Decode.Version {
				add(a, "versions differ")
			}
			if a.knowsRecall && (b.Prefill.Version == recalled || b.Decode.Version == recalled) {
				add(a, "recalled version")
			}
		}
	}
	return out
}

var _ = Describe("checker of decisions", func() {
	v1 := placement.Booking{Prefill: engine.Info{Version: "v1"}, Decode: engine.Info{Version: "v1"}}
	mixed := placement.Booking{Prefill: engine.Info{Version: "v1"}, Decode: engine.Info{Version: "v2"}}
	DescribeTable("finds a violating record", func(a outcome, recalled string) {
		Expect(violations([]outcome{a}, ident.Version(recalled))).NotTo(BeEmpty())
	},
		Entry("no decision", outcome{}, ""),
		Entry("booked twice", outcome{booked: []placement.Booking{v1, v1}}, ""),
		Entry("booked and refused", outcome{booked: []placement.Booking{v1}, refused: []placement.Refusal{{}}}, ""),
		Entry("ended before it was booked", outcome{refused: []placement.Refusal{{Booked: true}, {}}}, ""),
		Entry("two versions", outcome{booked: []placement.Booking{mixed}}, ""),
		Entry("recalled", outcome{knowsRecall: true, booked: []placement.Booking{v1}}, "v1"),
	)
	It("accepts a correct record", func() {
		Expect(violations([]outcome{{booked: []placement.Booking{v1}}}, "v2")).To(BeEmpty())
	})
})

// runUnreliable books requests from all hosts but the owner, over a network that
// loses, repeats and reorders messages. Meanwhile the owner dies, and two of the hosts
// have recalled a version.
func runUnreliable(seed uint64) (*cluster, []outcome) {
	engines := append(enginesOf(teku, 2, "v1"), enginesOf(teku, 2, "v2")...)
	for i := range engines[3:] {
		engines[3+i].ID += "-v2"
	}
	c := newCluster(4, engines, teku)
	c.rng = rand.New(rand.NewPCG(seed, 1))
	victim, rest := c.owner(teku)
	recalled := placement.Recall{Versions: []placement.ModelVersion{{Model: model, Version: "v2"}}}
	c.recall(rest[0], recalled)
	c.recall(rest[1], recalled)
	var outcomes []outcome
	active := map[ident.BackendRef]ident.Process{}
	for n := range uint64(200) {
		p := rest[n%3]
		if n == 60 {
			c.kill(victim)
		}
		if n == 120 {
			c.declareDead(victim)
		}
		r := request(p, n)
		r.Organisation = ident.Organisation(fmt.Sprint("org-", n%5))
		r.PromptTokens = 400
		r.Wait = n%7 == 0
		c.book(p, r)
		active[r.Ref] = p
		outcomes = append(outcomes, outcome{ref: r.Ref, knowsRecall: n%3 != 2})
		c.run(20 * time.Millisecond)
		for _, a := range outcomes { // not over the map, so that the sequence of calls is deterministic
			p, ok := active[a.ref]
			if !ok || len(c.booked[a.ref]) == 0 {
				continue
			}
			c.prefilled(p, a.ref)
			if c.rng.IntN(20) == 0 {
				c.release(p, a.ref)
				delete(active, a.ref)
			}
		}
	}
	c.run(10 * time.Second)
	for _, a := range outcomes {
		if p, ok := active[a.ref]; ok {
			c.release(p, a.ref)
		}
	}
	c.run(5 * time.Second)
	for i := range outcomes {
		outcomes[i].booked = c.booked[outcomes[i].ref]
		outcomes[i].refused = c.refused[outcomes[i].ref]
	}
	return c, outcomes
}

var _ = Describe("lost, repeated, delayed and reordered messages", func() {
	for seed := range uint64(4) {
		It(fmt.Sprint("give every request one decision and leak no slot, seed ", seed), func() {
			c, outcomes := runUnreliable(seed)
			Expect(violations(outcomes, "v2")).To(BeEmpty())
			owner, _ := c.owner(teku)
			slots := 0
			for _, f := range c.at(owner).Free() {
				slots += f.Free
			}
			Expect(slots).To(Equal(40), "only the version that is not recalled has free slots")
			for id, p := range c.placers {
				Expect(p.Idle() || c.stopped[id]).To(BeTrue())
			}
		})
	}

	It("give the same decisions for the same seed", func() {
		a, _ := runUnreliable(9)
		b, _ := runUnreliable(9)
		Expect(a.booked).To(Equal(b.booked))
		Expect(a.refused).To(Equal(b.refused))
		Expect(a.cancels).To(Equal(b.cancels))
	})
})

var _ = Describe("wire format", func() {
	It("decodes messages to equal values and keeps claims short, because an owner asks about hundreds a second", func() {
		p := ident.Process{Host: "teku-0", Incarnation: 1_796_000_000_000}
		q := placement.ClaimQuery{ID: 9, Process: p}
		for n := range uint64(100) {
			q.Claims = append(q.Claims, reclaim.Claim{Number: 1_000_000 + n, Attempt: 1})
		}
		for _, m := range []placement.Message{
			{Query: &q},
			{Book: &placement.Book{Pool: placement.Pool{Model: model, Domain: teku}, Prefix: []uint64{1, 2}}},
			{Handover: &placement.Handover{Bookings: []placement.Held{{Tokens: 3}}}},
		} {
			data, err := cbor.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			var back placement.Message
			Expect(cbor.Unmarshal(data, &back)).To(Succeed())
			Expect(back).To(Equal(m))
			Expect(len(data)).To(BeNumerically("<", 900))
		}
	})
})
