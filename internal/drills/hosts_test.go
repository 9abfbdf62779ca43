package drills_test

import (
	"context"
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ask sends one short request.
func ask(h *fleet.Host, key string) caller.Answer {
	r := caller.Request{Model: model, Prompt: freshPrompt(5), MaxTokens: 1}
	return caller.Ask(context.Background(), h.CallerAddr, key, r, nil)
}

var _ = Describe("A failure domain that is cut off", Label("large"), func() {
	// Guards against a domain that stops serving without the others, against an effect
	// on the other domains, and against a domain that keeps or returns to an old
	// generation after the partition.
	It("keeps serving and takes the newest generation after the partition", func() {
		s := onLarge()
		inside, outside := s.hostsIn("teku"), s.hostsIn("balaju")
		in, out := startLoad(keyHimal, inside), startLoad(keyHimal, outside)
		in.waitAnswers(10)
		out.waitAnswers(10)
		s.network.set("teku")
		DeferCleanup(s.network.set, ident.FailureDomain(""))
		before := s.revision
		at := s.publish(fleet.WithoutKey(s.rules, "everest-1"))
		Expect(awaitInForce(outside, s.revision).Sub(at)).To(BeNumerically("<", propagationLimit))
		By("serving on both sides until every lease and contact timeout has expired")
		time.Sleep(time.Until(at.Add(propagationLimit)))
		in.waitAnswers(20)
		out.waitAnswers(20)
		for _, h := range inside {
			st, err := h.Status()
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Revision).To(Equal(before))
			Expect(st.Ready).To(BeTrue())
		}
		By("healing the partition")
		s.network.set("")
		awaitInForce(inside, s.revision)
		for _, h := range s.Hosts {
			Expect(ask(h, keyEverest).Status).To(Equal(401))
		}
		By("checking the answers")
		in.expectAllCorrect()
		out.expectAllCorrect()
		s.restore()
	})
})

var _ = Describe("A paused host", Label("large"), func() {
	DescribeTable("does not act on outdated state when it resumes", append(pauses(),
		// Guards against a process that continues with keys, rules and reservations
		// from before the pause, although the fleet has moved on.
		func(pause time.Duration) {
			s := onLarge()
			h := s.hostsIn("teku")[3]
			l := startLoad(keyHimal, without(s.Hosts, h))
			running := stream(h, keyEverest, 5000)
			h.Pause()
			DeferCleanup(h.Resume)
			began := time.Now()
			at := s.publish(fleet.WithoutKey(s.rules, "everest-1"))
			Expect(awaitInForce(without(s.Hosts, h), s.revision).Sub(at)).To(BeNumerically("<", propagationLimit))
			waiting := make(chan caller.Answer, 4)
			for range cap(waiting) {
				go func() { waiting <- ask(h, keyEverest) }()
			}
			By("waiting until the others consider the host dead")
			time.Sleep(time.Until(began.Add(pause)))
			resumed := time.Now()
			h.Resume()
			for range cap(waiting) {
				var a caller.Answer
				Eventually(waiting, fleet.WaitLimit).Should(Receive(&a))
				Expect(a.Complete).To(BeFalse(), "the key was withdrawn during the pause")
			}
			var a sent
			Eventually(running, fleet.WaitLimit).Should(Receive(&a))
			Expect(a.answer.Complete).To(BeFalse())
			awaitInForce([]*fleet.Host{h}, s.revision)
			Expect(s.workStartedAfter(resumed, func(r record.Record) bool {
				return requestOwner(r) == h.ID
			})).To(BeEmpty(), "work was started from state that predates the pause")
			Expect(s.WaitReady()).To(Succeed())
			l.expectAllCorrect()
			s.restore()
			Expect(ask(h, keyHimal).Complete).To(BeTrue())
		},
	)...)
})

// pauses returns a table entry for each length of pause. The long one runs only with
// DRILLS_LONG=1.
func pauses() []any {
	out := []any{Entry("after 5 s", 5*time.Second)}
	if os.Getenv("DRILLS_LONG") == "1" {
		out = append(out, Entry("after 30 s", 30*time.Second))
	}
	return out
}

var _ = Describe("A rolling replacement", Label("large"), func() {
	// Guards against answers that a graceful stop cuts off or refuses, and against a slot
	// that the replacement process does not take over.
	It("of every host interrupts no answer", func() {
		s := onLarge()
		l := startLoad(keyHimal, s.Hosts)
		l.waitAnswers(10)
		for i, old := range s.Hosts {
			others := without(s.Hosts, old)
			old.Terminate()
			By(fmt.Sprintf("replacing %s", old.ID))
			Eventually(func() bool { return ready(old) }, fleet.WaitLimit).Should(BeFalse())
			l.setTargets(others...)
			Eventually(old.Done(), fleet.WaitLimit).Should(BeClosed())
			Expect(old.Err()).NotTo(HaveOccurred())
			Expect(s.Replace(i, ident.HostID(fmt.Sprintf("%s-%d-next", old.Domain, old.Slot)))).To(Succeed())
			Expect(s.WaitReady()).To(Succeed())
			l.setTargets(s.Hosts...)
		}
		l.waitAnswers(40)
		l.expectAllCorrect()
	})
})

func ready(h *fleet.Host) bool {
	st, err := h.Status()
	return err == nil && st.Ready
}

// requestOwner returns the host whose request a record is about.
func requestOwner(r record.Record) ident.HostID {
	if r.Ref == nil {
		return ""
	}
	p, _ := r.Ref.Request.Owner()
	return p.Host
}
