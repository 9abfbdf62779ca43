package node_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

var _ = Describe("Golden sessions", func() {
	It("happy path: prefill, transfer, decode, end", func() {
		s := newSession()
		ref := s.toDecode()
		s.step(node.DecodeEnded{Ref: ref, Delivered: 10})
		Expect(effects[node.Complete](s)).To(HaveLen(1))
		s.golden("happy_path")
	})

	It("prefill failure: a retry, then a refusal that does not report the request as not run", func() {
		s := newSession()
		s.arrive()
		broken := &node.CallError{Step: "prefill", Reason: "connection lost"}
		s.step(node.PrefillEnded{Ref: s.ref(), Err: broken})
		s.golden("prefill_failure")
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1), "the only prefill engine failed")
		Expect(refused[0].Ran).NotTo(Equal(node.NotRun))
	})

	It("decode failure: the stream resumes at its offset on another engine", func() {
		s := newSession()
		ref := s.toDecode()
		failed := ref
		s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: &node.CallError{Step: "decode", Reason: "stream ended early"}})
		s.prefilled()
		s.imported()
		resumed := effects[node.Decode](s)
		Expect(resumed).To(HaveLen(1))
		Expect(resumed[0].Offset).To(Equal(4))
		Expect(resumed[0].Ref.Attempt).To(BeNumerically(">", failed.Attempt))
		s.step(node.DecodeEnded{Ref: failed, Delivered: 10})
		Expect(s.lastEffects).To(BeEmpty(), "the late outcome of the failed attempt is dropped")
		s.step(node.DecodeEnded{Ref: resumed[0].Ref, Delivered: 10})
		Expect(effects[node.Complete](s)).To(HaveLen(1))
		s.golden("decode_failure")
	})

	It("caller gone: both engines are freed at once", func() {
		s := newSession()
		s.toDecode()
		s.step(node.CallerGone{ID: request})
		Expect(effects[node.CancelBackend](s)).To(HaveLen(2))
		Expect(s.node.ActiveRequests()).To(BeEmpty())
		s.golden("caller_gone")
	})

	It("refusal: a request above the burst never reaches an engine", func() {
		s := newSession()
		s.step(node.CompletionArrived{
			ID: request, Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 200_000, MaxTokens: 10,
		})
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Ran).To(Equal(node.NotRun))
		s.golden("refusal")
	})

	It("withdrawn key: the running stream ends and new requests are refused", func() {
		s := newSession()
		s.toDecode()
		s.publish(2, withoutLine("key "))
		Expect(effects[node.Refuse](s)).To(HaveLen(1))
		Expect(effects[node.CancelBackend](s)).To(HaveLen(2))
		s.step(node.CompletionArrived{ID: "h0@1#2", Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 1, MaxTokens: 1})
		Expect(effects[node.Refuse](s)[0].Code).To(Equal(node.CodeInvalidKey))
		s.golden("withdrawn_key")
	})

	It("graceful stop: the stream is completed before the process exits", func() {
		s := newSession()
		ref := s.toDecode()
		s.step(node.Shutdown{})
		Expect(effects[node.SetReady](s)).To(HaveLen(1))
		for range 5 {
			s.advance(400 * time.Millisecond)
			Expect(effects[node.Exit](s)).To(BeEmpty())
		}
		s.step(node.CompletionArrived{ID: "h0@1#2", Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 1, MaxTokens: 1})
		Expect(effects[node.Refuse](s)[0].Code).To(Equal(node.CodeShuttingDown))
		s.step(node.DecodeEnded{Ref: ref, Delivered: 10})
		Expect(effects[node.Complete](s)).To(HaveLen(1))
		for range 3 {
			s.advance(400 * time.Millisecond)
		}
		Expect(effects[node.Exit](s)).To(HaveLen(1))
		s.golden("graceful_stop")
	})

	It("recall: a started stream is aborted, a request without output is retried on another version", func() {
		s := newSession(prefill, decode, decode2, olderPrefill, olderDecode)
		s.arrive()
		s.publish(2, rules+"recall version lm v2 # quality team\n")
		started := effects[node.Prefill](s)
		Expect(started).To(HaveLen(1))
		Expect(started[0].Engine.Version).To(Equal(ident.Version("v1")))
		s.prefilled()
		s.imported()
		ref := s.ref()
		s.step(node.DecodeStarted{Ref: ref})
		s.publish(3, rules+"recall version lm v1 # quality team\n")
		Expect(effects[node.StopCall](s)).To(HaveLen(1))
		s.step(node.DecodeEnded{Ref: ref, Delivered: 3, Err: &node.CallError{Step: "decode", Reason: "stopped"}})
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(node.CodeRecalled))
		Expect(refused[0].Ran).To(Equal(node.DidRun))
		s.golden("recall")
	})

	It("gives the same effects for the same events, byte for byte", func() {
		run := func() string {
			s := newSession(prefill, decode, decode2, olderPrefill, olderDecode, desk)
			ref := s.toDecode()
			s.step(node.ServiceArrived{ID: "h0@1#2", Key: "acme-1", Organisation: "acme", Path: "/desk/book"})
			s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: &node.CallError{Step: "decode", Reason: "lost"}})
			s.publish(2, withoutLine("key "))
			return s.out.String()
		}
		first := run()
		for range 10 {
			Expect(run()).To(Equal(first))
		}
	})
})

// withoutLine returns the rules without the lines that begin with prefix.
func withoutLine(prefix string) string {
	var out []string
	for l := range strings.SplitSeq(rules, "\n") {
		if !strings.HasPrefix(l, prefix) {
			out = append(out, l)
		}
	}
	return strings.Join(out, "\n")
}

var _ = Describe("An engine that is full", func() {
	It("lets a request that no engine has started be reported as not run", func() {
		s := newSession()
		s.arrive()
		s.step(node.PrefillEnded{Ref: s.ref(), Err: &node.CallError{Step: "prefill", Reason: "full", NotRun: true, Responded: true}})
		refused := effects[node.Refuse](s)
		Expect(refused).To(HaveLen(1), "no other prefill engine")
		Expect(refused[0].Ran).To(Equal(node.NotRun))
	})

	It("is not treated as unreachable", func() {
		s := newSession()
		s.arrive()
		s.step(node.PrefillEnded{Ref: s.ref(), Err: &node.CallError{Step: "prefill", Reason: "full", NotRun: true, Responded: true}})
		s.step(node.CompletionArrived{ID: "h0@1#2", Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 1, MaxTokens: 1})
		Expect(effects[node.Prefill](s)).To(HaveLen(1))
	})
})

var _ = Describe("A stalled transfer", func() {
	stalled := &node.CallError{Step: "import", Reason: "timeout", Stalled: true}

	It("moves to another decode engine while the KV cache is kept, without another prefill", func() {
		s := newSession()
		s.arrive()
		s.prefilled()
		first := effects[node.Import](s)[0]
		s.now = s.now.Add(400 * time.Millisecond)
		s.step(node.ImportEnded{Ref: first.Ref, Err: stalled})
		Expect(effects[node.Prefill](s)).To(BeEmpty())
		again := effects[node.Import](s)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Decode.ID).NotTo(Equal(first.Decode.ID))
		Expect(again[0].Source).To(Equal(first.Source))
		s.imported()
		Expect(effects[node.Decode](s)[0].Engine).To(Equal(again[0].Decode))
		s.golden("stalled_transfer")
	})

	It("leads to a new prefill once the KV cache has expired", func() {
		s := newSession()
		s.arrive()
		s.prefilled()
		ref := s.ref()
		s.now = s.now.Add(790 * time.Millisecond)
		s.step(node.ImportEnded{Ref: ref, Err: stalled})
		Expect(effects[node.Import](s)).To(BeEmpty())
		Expect(effects[node.Prefill](s)).To(HaveLen(1))
	})
})

var _ = Describe("An answer that has begun", func() {
	lost := &node.CallError{Step: "decode", Reason: "stream ended early"}

	It("is not continued by another version, whose output would differ", func() {
		s := newSession(prefill, decode, olderPrefill, olderDecode)
		ref := s.toDecode()
		s.step(node.DecodeEnded{Ref: ref, Delivered: 4, Err: lost})
		Expect(effects[node.Prefill](s)).To(BeEmpty())
		for range 3 {
			s.advance(400 * time.Millisecond)
			Expect(effects[node.Prefill](s)).To(BeEmpty())
		}
	})

	It("moves to another version as long as the caller has received no token", func() {
		s := newSession(prefill, decode, olderPrefill, olderDecode)
		s.arrive()
		s.prefilled()
		s.imported()
		s.step(node.DecodeEnded{Ref: s.ref(), Err: lost})
		again := effects[node.Prefill](s)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Engine.Version).To(Equal(olderPrefill.Version))
	})
})
