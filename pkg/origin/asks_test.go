package origin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// Guards against a stream that is refused although another host knows its origin, and
// against going on at a version that was never told.
var _ = Describe("asks", func() {
	v1, v2 := serving("s1", 1, "v1"), serving("s2", 1, "v2")
	var t *origin.Tracker
	var id uint64
	ask := func(servers ...origin.Serving) []ident.HostID {
		t = settled(servers...)
		t.SetPeers(start, peers(4, "a", "b"))
		_, pending := t.Resolve(start, stream("r"))
		Expect(pending).To(BeTrue())
		var to []ident.HostID
		for _, m := range t.Take().Messages {
			to = append(to, m.To)
			id = m.Message.Asks[0].ID
		}
		Expect(to).To(ConsistOf(ident.HostID("h1"), ident.HostID("h2"), ident.HostID("h3")))
		return to
	}
	answer := func(from ident.HostID, a origin.Answer) {
		a.ID = id
		t.Receive(at(0.01), from, origin.Message{Answers: []origin.Answer{a}})
	}
	told := origin.Answer{Basis: origin.Told, Backend: "s1", StartedAt: 1, Version: "v1", AgeMS: 100}
	only := func(v ident.Version) origin.Answer { return origin.Answer{Basis: origin.OnlyVersion, Version: v} }
	outcome := func() any {
		r := t.Take().Resolved
		if len(r) == 0 {
			return "none"
		}
		Expect(r).To(HaveLen(1))
		Expect(r[0].Stream).To(Equal(stream("r")))
		return string(r[0].Origin.Version)
	}

	It("end with the first record, which is kept", func() {
		ask(v1, v2)
		answer("h2", origin.Answer{})
		Expect(outcome()).To(Equal("none"))
		answer("h1", told)
		Expect(outcome()).To(Equal("v1"))
		answer("h3", told)
		Expect(outcome()).To(Equal("none"))
		o, pending := t.Resolve(at(1), stream("r"))
		Expect(pending).To(BeFalse())
		Expect(o.From).To(BeEquivalentTo("h1"))
		Expect(o.Age).To(Equal(1090 * time.Millisecond))
	})

	It("are shared by all who resume the stream", func() {
		ask(v1, v2)
		_, pending := t.Resolve(at(0.001), stream("r"))
		Expect(pending).To(BeTrue())
		Expect(t.Take().Messages).To(BeEmpty())
	})

	It("end with no origin when all have answered that they know none", func() {
		for _, h := range ask(v1, v2) {
			answer(h, origin.Answer{})
		}
		Expect(outcome()).To(BeEmpty())
		Expect(t.Next()).To(BeZero())
	})

	It("end with no origin when there is no answer in time", func() {
		ask(v1, v2)
		Expect(t.Next()).To(Equal(at(0.15)))
		t.Tick(at(0.15))
		Expect(outcome()).To(BeEmpty())
		Expect(t.Next()).To(BeZero())
	})

	It("end with the only version when none has a record", func() {
		for _, h := range ask(v1) {
			Expect(outcome()).To(Equal("none"))
			answer(h, origin.Answer{})
		}
		Expect(outcome()).To(Equal("v1"))
	})

	It("prefer a record to the only version", func() {
		ask(v2)
		answer("h1", told)
		Expect(outcome()).To(Equal("v1"))
	})

	It("ignore answers to other asks, from hosts not asked, and repeated ones", func() {
		ask(v1, v2)
		t.Receive(start, "h1", origin.Message{Answers: []origin.Answer{{ID: id + 1, Basis: origin.Told, Backend: "s1", Version: "v1"}}})
		answer("h9", told)
		for range 3 {
			answer("h1", origin.Answer{})
		}
		Expect(outcome()).To(Equal("none"))
	})

	It("end with no origin if a host has a record in doubt", func() {
		ask(v1)
		answer("h1", origin.Answer{Backend: "s1"})
		Expect(outcome()).To(BeEmpty())
	})

	It("believe others that there is one version, unless this host knows of another one", func() {
		all := func(servers []origin.Serving, versions ...ident.Version) any {
			to := ask(servers...)
			t.Listed(start, servers) // after a gap: the view is incomplete
			for i, h := range to {
				answer(h, only(versions[i]))
			}
			return outcome()
		}
		Expect(all(nil, "v1", "v1", "v1")).To(Equal("v1"))
		Expect(all([]origin.Serving{v1}, "v1", "v1", "v1")).To(Equal("v1"))
		Expect(all([]origin.Serving{v1}, "v1", "v2", "v1")).To(BeEmpty())
		Expect(all([]origin.Serving{v2}, "v1", "v1", "v1")).To(BeEmpty())
		Expect(all([]origin.Serving{v1, v2}, "v1", "v1", "v1")).To(BeEmpty())
	})

	It("end with no origin if others see another only version", func() {
		for _, h := range ask(v1) {
			answer(h, only("v2"))
		}
		Expect(outcome()).To(BeEmpty())
	})

	It("without any answer wait for a confirmed list", func() {
		ask(v1)
		t.Confirmed(start, at(-0.5))
		t.Tick(at(0.15))
		Expect(outcome()).To(Equal("none"))
		t.Confirmed(at(0.3), at(-0.1))
		Expect(outcome()).To(Equal("none"), "the list is older than the call")
		t.Confirmed(at(0.5), at(0.2))
		Expect(outcome()).To(Equal("v1"))
	})

	It("end with no origin if the list is not confirmed either", func() {
		ask(v1)
		t.Confirmed(start, at(-0.5))
		t.Tick(at(0.15))
		Expect(t.Next()).To(Equal(at(1.15)))
		t.Tick(at(1.15))
		Expect(outcome()).To(BeEmpty())
		Expect(t.Next()).To(Equal(at(2.5).Add(1)), "when the list is too old")
	})

	// Guards against a stream that a host continues at the version that it knows, while another
	// version has joined since the host was cut off or paused.
	It("wait for a confirmed list unless a host that answers agrees and none disagrees", func() {
		one := func(v ident.Version) origin.Answer { return origin.Answer{Basis: origin.OneSeen, Version: v} }
		several, unknown := origin.Answer{Basis: origin.SeveralSeen}, origin.Answer{}
		for _, c := range []struct {
			answers []origin.Answer
			waits   bool
		}{
			{[]origin.Answer{only("v1")}, false},
			{[]origin.Answer{one("v1")}, false},
			{[]origin.Answer{one("v1"), unknown, unknown}, false},
			{[]origin.Answer{unknown}, true}, // as a program answers that knows no more bases
			{[]origin.Answer{several}, true},
			{[]origin.Answer{one("v2")}, true},
			{[]origin.Answer{only("v1"), several}, true},
			{[]origin.Answer{one("v1"), one("v2"), only("v1")}, true},
		} {
			for _, joined := range []bool{false, true} {
				to := ask(v1)
				t.Confirmed(start, at(-0.5)) // the list is not current
				for i, a := range c.answers {
					answer(to[i], a)
				}
				t.Tick(at(0.15))
				if !c.waits {
					Expect(outcome()).To(Equal("v1"), "%+v", c)
					continue
				}
				Expect(outcome()).To(Equal("none"), "%+v", c)
				if joined {
					t.Changed(at(0.3), v2)
				}
				t.Confirmed(at(0.3), at(0.2))
				Expect(outcome()).To(Equal(map[bool]any{true: "", false: "v1"}[joined]), "%+v", c)
			}
		}
	})

	It("do not end with the first confirmed list that is older, nor by late answers alone", func() {
		ask(v1)
		t.Confirmed(start, at(-0.5))
		for _, h := range []ident.HostID{"h1", "h2", "h3"} {
			answer(h, origin.Answer{})
		}
		Expect(outcome()).To(Equal("none"))
		t.Confirmed(at(0.1), at(-0.2))
		Expect(outcome()).To(Equal("none"))
		t.Tick(at(1.15))
		Expect(outcome()).To(BeEmpty())
	})

	It("for streams without a request id are about the only version, each for itself", func() {
		unnamed := func(n uint64) origin.Stream { return origin.Stream{Service: service, Unnamed: n} }
		t = settled(v1)
		t.SetPeers(start, peers(4, "a", "b"))
		t.Confirmed(start, at(-0.5))
		for n := range uint64(2) {
			_, pending := t.Resolve(start, unnamed(n+1))
			Expect(pending).To(BeTrue())
		}
		asked := map[uint64][]ident.HostID{}
		for _, m := range t.Take().Messages {
			q := m.Message.Asks[0]
			Expect(q.RequestID).To(BeEmpty())
			asked[q.ID] = append(asked[q.ID], m.To)
		}
		Expect(asked).To(HaveLen(2))
		a := only("v1")
		for id, to := range asked {
			Expect(to).To(HaveLen(3))
			a.ID = max(a.ID, id)
		}
		for _, h := range asked[a.ID] {
			t.Receive(at(0.01), h, origin.Message{Answers: []origin.Answer{a}})
		}
		resolved := t.Take().Resolved
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Stream).To(Equal(unnamed(2)))
		Expect(resolved[0].Origin.Version).To(Equal(ident.Version("v1")))
		t.Tick(at(0.15)) // the first one has no answer
		Expect(t.Take().Resolved).To(BeEmpty())
		t.Changed(at(0.3), v2)
		t.Confirmed(at(0.3), at(0.2))
		resolved = t.Take().Resolved
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Origin.Known()).To(BeFalse())
		// Nobody is asked when this host itself knows of two versions.
		o, pending := t.Resolve(at(0.4), unnamed(3))
		Expect([]any{o.Known(), pending}).To(Equal([]any{false, false}))
		Expect(t.Take().Messages).To(BeEmpty())
	})

	It("for streams without a request id are not sent by a host without others", func() {
		t = settled(v1)
		o, pending := t.Resolve(start, stream(""))
		Expect(pending).To(BeFalse())
		Expect(o).To(Equal(origin.Origin{Version: "v1", Basis: origin.OnlyVersion, Age: 30 * time.Second}))
	})

	It("are answered from the record, else with the only version", func() {
		reply := func(id string) origin.Answer {
			t.Receive(at(1), "h1", origin.Message{Asks: []origin.Ask{{ID: 5, RequestID: id, Service: service}}})
			out := t.Take().Messages
			Expect(out).To(HaveLen(1))
			Expect(out[0].To).To(BeEquivalentTo("h1"))
			return out[0].Message.Answers[0]
		}
		t = settled(v1)
		t.Begin(start, stream("r"), v1.Process, "v1")
		Expect(reply("r")).To(Equal(origin.Answer{ID: 5, Basis: origin.Relayed, Backend: "s1", StartedAt: 1, Version: "v1", AgeMS: 1000}))
		Expect(reply("q")).To(Equal(origin.Answer{ID: 5, Basis: origin.OnlyVersion, Version: "v1", AgeMS: 31000}))
		t.Changed(at(1), serving("s1", 2, "v2"))
		Expect(reply("r")).To(Equal(origin.Answer{ID: 5, Backend: "s1", StartedAt: 1}))
		Expect(reply("q")).To(Equal(origin.Answer{ID: 5, Basis: origin.SeveralSeen}))
		t = origin.New(origin.DefaultConfig("h0", "a"), start)
		Expect(reply("q")).To(Equal(origin.Answer{ID: 5}))
		t.Listed(start, []origin.Serving{v1})
		Expect(reply("q")).To(Equal(origin.Answer{ID: 5, Basis: origin.OneSeen, Version: "v1"}), "others may have served before")
	})

	It("have ids that differ from those of an earlier process of the host", func() {
		ask(v1, v2)
		earlier := id
		t = origin.New(origin.DefaultConfig("h0", "a"), at(1))
		t.SetPeers(at(1), peers(2, "a", "b"))
		t.Resolve(at(1), stream("r"))
		Expect(t.Take().Messages[0].Message.Asks[0].ID).NotTo(Equal(earlier))
	})
})
