package relay_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// oldMessage is the part of a Message that programs without KeepsNotes read.
type oldMessage struct {
	Heartbeat   roster.Heartbeat        `cbor:"1,keyasint"`
	Unreachable []relay.UnreachableNote `cbor:"8,keyasint,omitempty"`
	Leaving     []relay.LeavingNote     `cbor:"12,keyasint,omitempty"`
}

var _ = Describe("what a host hears of backend servers", func() {
	// trouble has a host find d1 leaving and one plain server unreachable, and returns that
	// server and the messages of the next two seconds.
	trouble := func(peerKeepsNotes bool) (*host, backends.Target, []relay.Message) {
		h := newHost().ready()
		heartbeat := uint64(0)
		hear := func() {
			heartbeat++
			h.step(relay.MessageReceived{Message: relay.Message{
				Heartbeat:  roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: heartbeat},
				KeepsNotes: peerKeepsNotes,
			}})
		}
		hear()
		h.wait(time.Second)
		h.notice("d1", backends.Notice{Leaving: true})
		h.submit("/read/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Unsent})
		var sent []relay.Message
		for range 20 {
			for _, e := range append(h.out, h.wait(100*time.Millisecond)...) {
				if s, ok := e.(relay.Send); ok {
					sent = append(sent, s.Message)
				}
			}
			hear()
		}
		return h, c.To, sent
	}
	kinds := func(sent []relay.Message) (old, noted map[notes.Kind]int) {
		old, noted = map[notes.Kind]int{}, map[notes.Kind]int{}
		for _, m := range sent {
			Expect(m.KeepsNotes).To(BeTrue())
			old[notes.Unreachable] += len(m.Unreachable)
			old[notes.Leaving] += len(m.Leaving)
			for _, n := range m.Notes {
				noted[n.Kind]++
			}
		}
		return old, noted
	}

	// Guards against facts that are sent twice in a fleet of new programs.
	It("is sent with notes alone to hosts that read them", func() {
		_, _, sent := trouble(true)
		old, noted := kinds(sent)
		Expect(old[notes.Unreachable] + old[notes.Leaving]).To(BeZero())
		Expect(noted[notes.Unreachable]).To(BeNumerically(">=", 2), "a datagram may be lost")
		Expect(noted[notes.Leaving]).To(BeNumerically(">=", 10), "hosts that join have to hear of it")
	})

	// Guards against an older program that is not told any more.
	It("is sent in both forms while a host is known that does not read notes", func() {
		_, server, sent := trouble(false)
		old, noted := kinds(sent)
		Expect(noted[notes.Unreachable]).To(BeNumerically(">", 0))
		Expect(old[notes.Unreachable]).To(BeNumerically(">", 2))
		Expect(old[notes.Leaving]).To(BeNumerically(">", 10))
		data, err := cbor.Marshal(sent[len(sent)/4])
		Expect(err).NotTo(HaveOccurred())
		var m oldMessage
		Expect(cbor.Unmarshal(data, &m)).To(Succeed())
		Expect(m.Unreachable[0].Backend).To(Equal(server.ID))
		Expect(m.Leaving[0]).To(Equal(relay.LeavingNote{Backend: "d1", StartedAt: 1}))
	})

	// Guards against notes that a host receives and does not apply, and against older
	// programs that are not heard any more.
	DescribeTable("is applied at another host", func(noted bool) {
		_, server, sent := trouble(noted)
		other := newHost().ready()
		for _, m := range sent {
			m.Heartbeat.From = roster.Host{ID: "sender", Incarnation: 1, Addr: "sender"}
			if !noted {
				m.Notes, m.KeepsNotes, m.Fleet = nil, false, nil
			}
			other.step(relay.MessageReceived{Message: m})
		}
		for range 4 {
			other.submit("/read/1", relay.RequestSpec{})
			Expect(expect[relay.Call](other).To.ID).NotTo(Equal(server.ID))
			other.submitModel("/verdict/1")
			Expect(expect[relay.Reserve](other).To.ID).To(Equal(ident.BackendID("d2")))
		}
	},
		Entry("from notes", true),
		Entry("from a program that sends none", false),
	)
})
