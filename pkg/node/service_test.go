package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

var _ = Describe("A call to a plain service", func() {
	second := desk
	second.ID, second.Addr = "s1", "s1:1"
	backends := []engine.Info{prefill, decode, desk, second}
	lost := &node.CallError{Step: "call", Reason: "connection lost"}
	notSent := &node.CallError{Step: "call", Reason: "no connection", NotRun: true}

	book := func(s *session) []node.CallService {
		s.step(node.ServiceArrived{ID: request, Key: "acme-1", Organisation: "acme", Path: "/desk/book"})
		return effects[node.CallService](s)
	}

	It("on a non-idempotent route is not retried once it may have run", func() {
		s := newSession(backends...)
		Expect(book(s)).To(HaveLen(1))
		s.step(node.ServiceEnded{Ref: s.ref(), Err: lost})
		Expect(effects[node.CallService](s)).To(BeEmpty())
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(node.CodeOutcomeUnknown))
		Expect(refused[0].Ran).To(Equal(node.RanUnknown))
	})

	It("that was certainly not sent is retried on another replica", func() {
		s := newSession(backends...)
		first := book(s)[0]
		s.step(node.ServiceEnded{Ref: first.Ref, Err: notSent})
		again := effects[node.CallService](s)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Backend.ID).NotTo(Equal(first.Backend.ID))
		Expect(again[0].Ref.Attempt).To(BeNumerically(">", first.Ref.Attempt))
	})

	It("that no replica accepted is reported as not run", func() {
		s := newSession(backends...)
		book(s)
		s.step(node.ServiceEnded{Ref: s.ref(), Err: notSent})
		s.step(node.ServiceEnded{Ref: s.ref(), Err: notSent})
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Ran).To(Equal(node.NotRun))
	})

	It("on an idempotent route is retried after a lost connection", func() {
		s := newSession(backends...)
		s.step(node.ServiceArrived{ID: request, Path: "/desk/hours"})
		s.step(node.ServiceEnded{Ref: s.ref(), Err: lost})
		Expect(effects[node.CallService](s)).To(HaveLen(1))
	})

	It("drops the outcome of an earlier attempt, which may belong to another call", func() {
		s := newSession(backends...)
		first := book(s)[0]
		s.step(node.ServiceEnded{Ref: first.Ref, Err: notSent})
		s.step(node.ServiceEnded{Ref: first.Ref, Status: 200})
		Expect(s.lastEffects).To(BeEmpty())
		Expect(s.node.Stats().StaleAnswers).To(Equal(uint64(1)))
	})

	It("is refused as unknown if the owner of its idempotency key has just started", func() {
		s := newSession(backends...)
		s.step(node.ServiceArrived{
			ID: request, Key: "acme-1", Organisation: "acme", Path: "/desk/book", IdempotencyKey: "k", WallTime: s.now,
		})
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Ran).To(Equal(node.RanUnknown))
		Expect(effects[node.CallService](s)).To(BeEmpty())
	})
})

var _ = Describe("A process that was paused", func() {
	It("voids its leases and starts no work on the state from before the pause", func() {
		s := newSession()
		s.arrive()
		late := s.ref()
		s.now = s.now.Add(60 * 1e9)
		s.step(node.Tick{})
		Expect(s.node.Stats().Pauses).To(Equal(uint64(1)))
		s.step(node.CompletionArrived{ID: "h0@1#2", Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 1, MaxTokens: 1})
		Expect(effects[node.Prefill](s)).To(BeEmpty(), "the rate-limit tokens from before the pause are void")
		s.step(node.PrefillEnded{Ref: late, Err: &node.CallError{Step: "prefill", Reason: "deadline", NotRun: true}})
		for _, p := range effects[node.Prefill](s) {
			Expect(p.Ref.Attempt).To(BeNumerically(">", late.Attempt))
		}
	})
})
