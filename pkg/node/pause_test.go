package node_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Guards against acting on an outdated configuration after a pause. The first event
// after a pause is often a broken stream, which the host would resume on another engine
// before it learns of withdrawn keys and recalls.
var _ = Describe("A pause", func() {
	broken := &node.CallError{Step: "decode", Reason: "connection lost"}

	It("starts no work for a key that was withdrawn during it", func() {
		s := newSession()
		ref := s.toDecode()
		s.now = s.now.Add(5 * time.Second)
		s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: broken})
		Expect(effects[node.Prefill](s)).To(BeEmpty())
		prefills, refusals := s.confirm(2, withoutLine("key "))
		Expect(prefills).To(BeEmpty())
		Expect(refusals).To(ConsistOf(HaveField("Code", node.CodeKeyWithdrawn)))
	})

	It("resumes a stream once the configuration is confirmed", func() {
		s := newSession()
		ref := s.toDecode()
		s.now = s.now.Add(5 * time.Second)
		s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: broken})
		prefills, refusals := s.confirm(1, rules)
		Expect(prefills).To(ConsistOf(HaveField("Resume", 4)))
		Expect(refusals).To(BeEmpty())
	})

	DescribeTable("does not let an attempt start its next step", func(next func(*session)) {
		s := newSession()
		s.arrive()
		s.now = s.now.Add(5 * time.Second)
		next(s)
		Expect(effects[node.Import](s)).To(BeEmpty())
		Expect(effects[node.Decode](s)).To(BeEmpty())
	},
		Entry("after a prefill", (*session).prefilled),
		Entry("after a transfer", func(s *session) {
			s.now = s.now.Add(-5 * time.Second)
			s.prefilled()
			s.now = s.now.Add(5 * time.Second)
			s.imported()
		}),
	)

	It("ends a request if the configuration is not confirmed in time", func() {
		s := newSession()
		ref := s.toDecode()
		s.now = s.now.Add(5 * time.Second)
		s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: broken})
		var refused []node.Refuse
		for range 20 {
			s.now = s.now.Add(400 * time.Millisecond)
			s.step(node.Tick{})
			refused = append(refused, effects[node.Refuse](s)...)
		}
		Expect(refused).To(ConsistOf(And(HaveField("Code", node.CodeNotReady), HaveField("Ran", node.DidRun))))
	})
})

// confirm lets the platform answer the reads that follow a pause, and returns the
// prefills and refusals of that time. The first answer does not count, because its
// read was started before the pause.
func (s *session) confirm(revision ident.Revision, text string) (prefills []node.Prefill, refusals []node.Refuse) {
	for range 8 {
		s.advance(400 * time.Millisecond)
		prefills = append(prefills, effects[node.Prefill](s)...)
		refusals = append(refusals, effects[node.Refuse](s)...)
		s.publish(revision, text)
		prefills = append(prefills, effects[node.Prefill](s)...)
		refusals = append(refusals, effects[node.Refuse](s)...)
	}
	return prefills, refusals
}
