package drills_test

import (
	"context"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

var _ = Describe("A publication under load", Label("bagmati"), func() {
	// Guards against hosts that miss a generation, and against answers that are cut off
	// or refused because the rules change.
	It("is in force on every host and interrupts no answer", func() {
		s := onBagmati()
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(10)
		s.expectInForce(s.publish(s.rules + "# a comment at the end\n"))
		l.waitAnswers(10)
		l.expectAllCorrect()
		s.restore()
	})

	// Guards against a withdrawn key that still starts work on some host, and against
	// effects of the withdrawal on other callers.
	It("withdraws a key on every host", func() {
		s := onBagmati()
		other := startLoad(keyHimal, s.Hosts)
		withdrawn := startLoad(keyEverest, s.Hosts)
		withdrawn.waitAnswers(10)
		at := s.publish(fleet.WithoutKey(s.rules, "everest-1"))
		s.expectInForce(at)
		time.Sleep(time.Until(at.Add(propagationLimit)))
		withdrawn.waitAnswers(20)
		late := 0
		for _, a := range withdrawn.stopAndCollect() {
			if a.at.Before(at.Add(propagationLimit)) {
				continue
			}
			late++
			Expect(a.answer.Status).To(Equal(401), "host %s accepted the withdrawn key", a.host)
		}
		Expect(late).To(BeNumerically(">", 0))
		other.expectAllCorrect()
		s.restore()
	})

	// Guards against work on a recalled version, against engines that are not ordered to
	// load the other version, and against answers that mix two versions.
	It("recalls a version, orders the other one and reverses the recall", func() {
		s := onBagmati()
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(10)
		at := s.recallV7()
		s.awaitVersion("v6")
		time.Sleep(time.Until(at.Add(propagationLimit)))
		l.waitAnswers(20)
		Expect(s.workStartedAfter(at.Add(propagationLimit), onVersion("v7"))).To(BeEmpty())
		s.restore()
		s.awaitVersion("v7")
		s.awaitServed(keyHimal)
		back := time.Now()
		l.waitAnswers(20)
		for _, a := range l.stopAndCollect() {
			a.expectConsistent()
		}
		l.expectCorrect(func(a sent) bool { return a.at.After(back) })
	})

	// Guards against a recall that leaves a model out of service although its
	// engines have loaded an allowed version.
	It("serves the other version after a recall", func() {
		s := onBagmati()
		s.recallV7()
		DeferCleanup(func() {
			s.restore()
			s.awaitVersion("v7")
			s.awaitServed(keyHimal)
		})
		s.awaitVersion("v6")
		s.awaitServed(keyHimal)
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(20)
		l.expectAllCorrect()
	})

	// Guards against a rate that changes only on some hosts, and against burst tokens of
	// the former rules that remain valid.
	It("lowers a rate", func() {
		s := onBagmati()
		const rate, burst = 400, 400
		s.expectInForce(s.publish(strings.Replace(s.rules,
			"organisation kathmandu-clips rate 2000 burst 20000 weight 1 prefer refuse",
			"organisation kathmandu-clips rate 400 burst 400 weight 1 prefer refuse", 1)))
		begin := time.Now()
		l := startLoad(keyKathmandu, s.Hosts)
		Eventually(func() int { return len(l.refusedWith("rate_limited")) }, fleet.WaitLimit).Should(BeNumerically(">", 20))
		tokens := 0
		for _, a := range l.stopAndCollect() {
			a.expectConsistent()
			if a.answer.Complete {
				tokens += loadPrompt + loadOutput
			}
		}
		Expect(tokens).To(BeNumerically(">", 0))
		Expect(float64(tokens)).To(BeNumerically("<=", burst+rate*time.Since(begin).Seconds()))
		s.restore()
	})
})

// recallV7 publishes a recall of the version that all engines serve.
func (s *site) recallV7() time.Time {
	GinkgoHelper()
	at := s.publish(s.rules + "recall version inspect-lm v7 # quality, drill\n")
	s.expectInForce(at)
	return at
}

func onVersion(v ident.Version) func(record.Record) bool {
	return func(r record.Record) bool { return r.Version == v }
}

// expectConsistent checks an answer that may be refused or broken off: the text received
// is a prefix of the correct answer, and an answer with tokens does not claim that nothing
// ran.
func (s sent) expectConsistent() {
	GinkgoHelper()
	if s.answer.Complete {
		Expect(s.correct()).To(BeTrue())
		return
	}
	// A broken stream ends with an error event and without its final chunk, which the
	// caller sees as a connection error.
	Expect(s.answer.Code).NotTo(BeEmpty(), "an incomplete answer must have an error code")
	Expect(s.want()).To(HavePrefix(s.answer.Text))
	if s.answer.Tokens > 0 {
		Expect(s.answer.Ran).NotTo(Equal(string(node.NotRun)))
	}
}

func (l *load) refusedWith(code string) []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []sent
	for _, s := range l.done {
		if s.answer.Code == code {
			out = append(out, s)
		}
	}
	return out
}

// awaitServed waits until every host has answered a request. A host learns what an
// engine has loaded from the engine's reports, which lag.
func (s *site) awaitServed(key string) {
	GinkgoHelper()
	for _, h := range s.Hosts {
		Expect(fleet.Await("an answer of "+string(h.ID), func() bool { return ask(h, key).Complete })).To(Succeed())
	}
}

// awaitVersion waits until every engine serves a version.
func (s *site) awaitVersion(v ident.Version) {
	GinkgoHelper()
	Expect(fleet.Await("version "+string(v)+" on all engines", func() bool {
		for _, i := range s.Deployment.Infos() {
			if i.Role != engine.Service && i.Version != v {
				return false
			}
		}
		return true
	})).To(Succeed())
}

var _ = Describe("A leaving backend server", Label("bagmati"), func() {
	// Guards against a pool owner or a host that keeps sending work to a server that is
	// about to stop, and against answers that are cut off when it leaves.
	It("gets no new work after 6 s and no answer is interrupted", func() {
		s := onBagmati()
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(20)
		id := "inspect-lm-teku-d0"
		at := time.Now()
		s.Deployment.Platform.SetLeaving(id, true)
		time.Sleep(time.Until(at.Add(propagationLimit)))
		l.waitAnswers(60)
		l.expectAllCorrect()
		Expect(s.workStartedAfter(at.Add(propagationLimit), func(r record.Record) bool { return r.Server == id })).To(BeEmpty())
		Expect(s.workStartedAfter(at.Add(propagationLimit), func(r record.Record) bool { return r.Server != id })).NotTo(BeEmpty())
		s.Deployment.Platform.SetLeaving(id, false)
	})
})

// stream starts a long stream at a host, waits for its first tokens and returns a channel
// that receives the finished request.
func stream(h *fleet.Host, key string, tokens int) (end <-chan sent) {
	GinkgoHelper()
	started := make(chan struct{})
	var once sync.Once
	result := make(chan sent, 1)
	go func() {
		s := sent{host: h.ID, at: time.Now(), prompt: freshPrompt(loadPrompt)}
		r := caller.Request{Model: model, Prompt: s.prompt, MaxTokens: tokens, Stream: true}
		s.answer = caller.Ask(context.Background(), h.CallerAddr, key, r, func(int) { once.Do(func() { close(started) }) })
		result <- s
	}()
	Eventually(started, fleet.WaitLimit).Should(BeClosed())
	return result
}
