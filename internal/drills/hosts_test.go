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
	return caller.Ask(context.Background(), h.Caller, key, r, nil)
}

var _ = Describe("A failure domain that is cut off", Label("large"), func() {
	// Guards against a domain that stops serving without the others, against the
	// others suffering with it, and against a domain that stays behind or goes
	// back after the partition.
	It("keeps serving and takes the newest generation when it is back", func() {
		s := onLarge()
		inside, outside := s.of("teku"), s.of("balaju")
		in, out := startLoad(keyHimal, inside), startLoad(keyHimal, outside)
		in.answered(10)
		out.answered(10)
		s.network.set("teku")
		DeferCleanup(s.network.set, ident.FailureDomain(""))
		before := s.revision
		at := s.publish(fleet.WithoutKey(s.rules, "everest-1"))
		Expect(awaitInForce(outside, s.revision).Sub(at)).To(BeNumerically("<", inForceLimit))
		By("serving on both sides past every lease and contact timeout")
		time.Sleep(time.Until(at.Add(inForceLimit)))
		in.answered(20)
		out.answered(20)
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
		in.expectAllRight()
		out.expectAllRight()
		s.restore()
	})
})

var _ = Describe("A paused host", Label("large"), func() {
	DescribeTable("acts on nothing old when it wakes", append(pauses(),
		// Guards against a process that goes on with keys, rules and bookings from
		// before the pause, while the fleet has gone on without it.
		func(pause time.Duration) {
			s := onLarge()
			h := s.of("teku")[3]
			l := startLoad(keyHimal, without(s.Hosts, h))
			running := stream(h, keyEverest, 5000)
			h.Pause()
			DeferCleanup(h.Wake)
			began := time.Now()
			at := s.publish(fleet.WithoutKey(s.rules, "everest-1"))
			Expect(awaitInForce(without(s.Hosts, h), s.revision).Sub(at)).To(BeNumerically("<", inForceLimit))
			waiting := make(chan caller.Answer, 4)
			for range cap(waiting) {
				go func() { waiting <- ask(h, keyEverest) }()
			}
			By("letting the others count the host as dead")
			time.Sleep(time.Until(began.Add(pause)))
			woken := time.Now()
			h.Wake()
			for range cap(waiting) {
				var a caller.Answer
				Eventually(waiting, fleet.WaitLimit).Should(Receive(&a))
				Expect(a.Complete).To(BeFalse(), "the key was withdrawn during the pause")
			}
			var a sent
			Eventually(running, fleet.WaitLimit).Should(Receive(&a))
			Expect(a.answer.Complete).To(BeFalse())
			awaitInForce([]*fleet.Host{h}, s.revision)
			Expect(s.worksAfter(woken, func(r record.Record) bool {
				return owner(r) == h.ID
			})).To(BeEmpty(), "work began from before the pause")
			Expect(s.WaitReady()).To(Succeed())
			l.expectAllRight()
			s.restore()
			Expect(ask(h, keyHimal).Complete).To(BeTrue())
		},
	)...)
})

// pauses are the lengths of the pauses. Long ones run with DRILLS_LONG=1.
func pauses() []any {
	out := []any{Entry("after 5 s", 5*time.Second)}
	if os.Getenv("DRILLS_LONG") == "1" {
		out = append(out, Entry("after 30 s", 30*time.Second))
	}
	return out
}

var _ = Describe("A rolling replacement", Label("large"), func() {
	// Guards against answers that are cut or refused by a graceful stop, and against
	// a slot that its next process does not take over.
	It("of every host cuts no answer", func() {
		s := onLarge()
		l := startLoad(keyHimal, s.Hosts)
		l.answered(10)
		for i, old := range s.Hosts {
			others := without(s.Hosts, old)
			old.Terminate()
			By(fmt.Sprintf("replacing %s", old.ID))
			Eventually(func() bool { return ready(old) }, fleet.WaitLimit).Should(BeFalse())
			l.aim(others...)
			Eventually(old.Done(), fleet.WaitLimit).Should(BeClosed())
			Expect(old.Err()).NotTo(HaveOccurred())
			Expect(s.Replace(i, ident.HostID(fmt.Sprintf("%s-%d-next", old.Domain, old.Slot)))).To(Succeed())
			Expect(s.WaitReady()).To(Succeed())
			l.aim(s.Hosts...)
		}
		l.answered(40)
		l.expectAllRight()
	})
})

func ready(h *fleet.Host) bool {
	st, err := h.Status()
	return err == nil && st.Ready
}

// owner returns the host whose request a record is about.
func owner(r record.Record) ident.HostID {
	if r.Ref == nil {
		return ""
	}
	p, _ := r.Ref.Request.Owner()
	return p.Host
}
