package origin_test

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// Guards against an event that leaves before another host knows its origin, and against one
// that waits forever.
var _ = Describe("notices", func() {
	v1, v2 := serving("s1", 1, "v1"), serving("s2", 1, "v2")
	var t *origin.Tracker
	BeforeEach(func() {
		t = settled(v1, v2)
		t.SetPeers(start, peers(9, "a", "b", "c"))
	})
	recipients := func(ms []origin.Outgoing) []ident.HostID {
		var out []ident.HostID
		for _, m := range ms {
			out = append(out, m.To)
		}
		return out
	}

	It("go to hosts in different domains, and the first acknowledgement suffices", func() {
		Expect(t.Begin(start, stream("r"), v1.Process, "v1")).To(BeFalse())
		out := t.Take()
		Expect(out.Messages).To(HaveLen(3))
		n := out.Messages[0].Message.Notes[0]
		Expect(n.Version).To(BeEquivalentTo("v1"))
		t.Receive(at(0.01), out.Messages[1].To, origin.Message{Acks: []uint64{n.ID}})
		t.Receive(at(0.01), out.Messages[2].To, origin.Message{Acks: []uint64{n.ID}})
		Expect(t.Take().Recorded).To(Equal([]origin.Stream{stream("r")}))
		t.Tick(at(1))
		Expect(t.Take()).To(BeZero())
		Expect(t.Next()).To(BeZero())
	})

	It("are repeated once, also to another host, and then waited for no longer", func() {
		t.Begin(start, stream("r"), v1.Process, "v1")
		first := recipients(t.Take().Messages)
		Expect(t.Next()).To(Equal(at(0.02)))
		t.Tick(at(0.02))
		again := t.Take()
		Expect(again.Recorded).To(BeEmpty())
		Expect(recipients(again.Messages)).To(HaveLen(4))
		Expect(recipients(again.Messages)[:3]).To(Equal(first))
		Expect(again.Messages[3].Message.Notes[0].AgeMS).To(BeEquivalentTo(20))
		Expect(t.Next()).To(Equal(at(0.04)))
		t.Tick(at(0.04))
		out := t.Take()
		Expect(out.Messages).To(BeEmpty())
		Expect(out.Recorded).To(Equal([]origin.Stream{stream("r")}))
		Expect(t.Next()).To(BeZero())
	})

	It("do not count acknowledgements by others", func() {
		t.Begin(start, stream("r"), v1.Process, "v1")
		id := t.Take().Messages[0].Message.Notes[0].ID
		t.Receive(start, "h99", origin.Message{Acks: []uint64{id}})
		Expect(t.Take().Recorded).To(BeEmpty())
	})

	It("are not needed without other hosts, and follow when there are some", func() {
		t.SetPeers(start, nil)
		Expect(t.Begin(start, stream("r"), v1.Process, "v1")).To(BeTrue())
		Expect(t.Take()).To(BeZero())
		t.SetPeers(at(1), peers(2, "a", "b"))
		out := t.Take()
		Expect(recipients(out.Messages)).To(Equal([]ident.HostID{"h1"}))
		Expect(out.Messages[0].Message.Notes).To(HaveLen(1))
		Expect(out.Messages[0].Message.Notes[0].ID).To(BeZero())
	})

	It("tell the streams of the last Life when a second version appears", func() {
		t = settled(v1)
		t.SetPeers(start, peers(4, "a", "b"))
		for i := range 1000 {
			Expect(t.Begin(at(float64(i)*0.02), stream(fmt.Sprint("r", i)), v1.Process, "v1")).To(BeTrue())
		}
		t.Changed(at(20), v2)
		told, notes := map[string]int{}, 0
		for _, m := range t.Take().Messages {
			data, err := cbor.Marshal(m.Message)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(data)).To(BeNumerically("<", 60<<10))
			for _, n := range m.Message.Notes {
				Expect(n.ID).To(BeZero())
				Expect(n.AgeMS).To(BeNumerically("<=", 15000))
				told[n.RequestID]++
				notes++
			}
		}
		Expect(told).To(HaveLen(750))
		Expect(notes).To(Equal(3 * 750))
		t.Changed(at(20.1), serving("s3", 1, "v3"))
		Expect(t.Take().Messages).To(BeEmpty(), "each stream is told once")
	})

	It("tell the streams once the list is too old to show that there is one version alone", func() {
		t = settled(v1)
		t.SetPeers(start, peers(4, "a", "b"))
		t.Confirmed(start, start)
		t.Begin(at(1), stream("r"), v1.Process, "v1")
		Expect(t.Next()).To(Equal(at(3).Add(1)))
		t.Tick(at(3))
		Expect(t.Take()).To(BeZero())
		t.Tick(t.Next())
		Expect(t.Take().Messages).To(HaveLen(3))
		Expect(t.Begin(at(4), stream("q"), v1.Process, "v1")).To(BeFalse())
		t.Tick(at(4.04))
		t.Take()
		t.Confirmed(at(5), at(5))
		Expect(t.Begin(at(6), stream("p"), v1.Process, "v1")).To(BeTrue())
		t.Tick(at(6))
		Expect(t.Take().Messages).To(BeEmpty())
	})

	It("fit into a datagram also if request ids are long", func() {
		t = settled(v1)
		t.SetPeers(start, peers(2, "a", "b"))
		for i := range 500 {
			t.Begin(start, stream(fmt.Sprintf("%0256d", i)), v1.Process, "v1")
		}
		t.Changed(start, v2)
		for _, m := range t.Take().Messages {
			data, err := cbor.Marshal(m.Message)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(data)).To(BeNumerically("<", 60<<10))
		}
	})

	It("are kept and acknowledged by their holders", func() {
		n := origin.Note{ID: 7, RequestID: "r", Service: service, Backend: "s1", StartedAt: 1, Version: "v1", AgeMS: 500}
		t.Receive(at(1), "h1", origin.Message{Notes: []origin.Note{n}})
		Expect(t.Take().Messages).To(Equal([]origin.Outgoing{{To: "h1", Message: origin.Message{Acks: []uint64{7}}}}))
		o, _ := t.Resolve(at(2), stream("r"))
		Expect(o).To(Equal(origin.Origin{Version: "v1", Process: v1.Process, Basis: origin.Told, From: "h1", Age: 1500 * time.Millisecond}))
	})

	It("keep the version that they tell, also if the list has another one", func() {
		n := origin.Note{RequestID: "r", Service: service, Backend: "s1", StartedAt: 2, Version: "v2"}
		t.Receive(at(1), "h1", origin.Message{Notes: []origin.Note{n}})
		o, _ := t.Resolve(at(2), stream("r"))
		Expect(o.Version).To(BeEquivalentTo("v2"))
	})

	It("that tell two versions of a stream make it unknown", func() {
		n := origin.Note{RequestID: "r", Service: service, Backend: "s1", StartedAt: 1, Version: "v1"}
		t.Receive(at(1), "h1", origin.Message{Notes: []origin.Note{n}})
		n.Backend, n.Version = "s2", "v2"
		t.Receive(at(1), "h2", origin.Message{Notes: []origin.Note{n}})
		o, pending := t.Resolve(at(2), stream("r"))
		Expect(pending).To(BeFalse())
		Expect(o.Known()).To(BeFalse())
	})
})
