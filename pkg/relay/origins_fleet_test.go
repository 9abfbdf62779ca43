package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// originFleet is a fleet of hosts with immediate delivery of messages.
type originFleet struct {
	hosts  []*host
	byAddr map[string]*host
	// old are the hosts whose program does not keep origins.
	old map[*host]bool
	// lost are the hosts that get no messages about origins.
	lost     map[*host]bool
	messages int // about origins
}

func newOriginFleet(n int, versions ...ident.Version) *originFleet {
	f := &originFleet{byAddr: map[string]*host{}, old: map[*host]bool{}, lost: map[*host]bool{}}
	var entries []backends.Entry
	for j, v := range versions {
		entries = append(entries, engine(ident.BackendID(fmt.Sprint("d", j+1)), backends.Decode, v))
	}
	for i := range n {
		name := fmt.Sprint("h", i)
		h := newHostWith(func(c *relay.Config) {
			*c = relay.DefaultConfig(roster.Host{ID: ident.HostID(name), Incarnation: 1, Addr: name, Domain: "a"}, []string{"h0"})
		})
		f.hosts = append(f.hosts, h)
		f.byAddr[name] = h
		h.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
		h.step(relay.EntriesListed{Entries: entries})
	}
	f.wait(5 * time.Second)
	return f
}

// deliver delivers the messages among the most recent effects of a host, and the replies.
// The effects of a host that concern no message stay in out.
func (f *originFleet) deliver(from *host) {
	out := from.out
	for _, e := range out {
		send, ok := e.(relay.Send)
		if !ok {
			continue
		}
		m := send.Message
		if f.old[from] {
			m.KeepsOrigins, m.Origins = false, nil
		}
		if m.Origins != nil {
			f.messages++
		}
		for _, addr := range send.To {
			to := f.byAddr[addr]
			if to == nil || m.Origins != nil && (f.lost[to] || f.old[to]) {
				continue
			}
			before := to.out
			to.step(relay.MessageReceived{Message: m})
			replies := to.out
			f.deliver(to)
			to.out = append(before, replies...)
		}
	}
}

// wait advances the clocks with ticks and reads of the platform.
func (f *originFleet) wait(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		for _, h := range f.hosts {
			h.now = h.now.Add(20 * time.Millisecond)
			h.platformRead()
			f.deliver(h)
			h.step(relay.Tick{})
			f.deliver(h)
		}
	}
}

// begin begins a stream at a host up to the question whether its first event may be sent.
func (f *originFleet) begin(h *host, requestID string) relay.Decode {
	GinkgoHelper()
	h.stream(requestID, "")
	r := expect[relay.Reserve](h)
	h.step(relay.Reserved{ID: r.ID, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
	d := expect[relay.Decode](h)
	h.step(relay.FirstEvent{ID: d.ID, Attempt: d.Attempt.Attempt})
	return d
}

var _ = Describe("hosts that keep the origins of streams", func() {
	It("resume a stream that another host began, at its version", func() {
		f := newOriginFleet(4, "v1", "v2")
		for i := range 10 {
			first, second := f.hosts[i%4], f.hosts[(i+1)%4]
			name := fmt.Sprint("r", i)
			d := f.begin(first, name)
			expectNone[relay.RelayStream](first)
			f.deliver(first)
			Expect(expect[relay.RelayStream](first).ID).To(Equal(d.ID), "a host has the origin")
			first.step(relay.StreamStarted{ID: d.ID, Attempt: d.Attempt.Attempt})
			first.step(relay.CallerLeft{ID: d.ID})
			id := second.stream(name+"-again", name)
			f.deliver(second)
			r := expect[relay.Reserve](second)
			Expect(r.To.Version).To(Equal(d.To.Version))
			second.step(relay.CallerLeft{ID: id})
		}
	})

	It("resume a stream whose host has stopped", func() {
		f := newOriginFleet(4, "v1", "v2")
		d := f.begin(f.hosts[1], "r")
		f.deliver(f.hosts[1])
		delete(f.byAddr, "h1")
		h := f.hosts[2]
		h.stream("again", "r")
		f.deliver(h)
		for range 20 {
			if _, ok := find[relay.Reserve](h); ok {
				break
			}
			h.now = h.now.Add(10 * time.Millisecond)
			h.step(relay.Tick{})
			f.deliver(h)
		}
		Expect(expect[relay.Reserve](h).To.Version).To(Equal(d.To.Version))
	})

	// Guards against messages for each stream while there is nothing to tell apart.
	It("send nothing and do not wait while one version has served", func() {
		f := newOriginFleet(3, "v1", "v1")
		f.wait(20 * time.Second)
		f.messages = 0
		for i := range 10 {
			h := f.hosts[i%3]
			d := f.begin(h, fmt.Sprint("r", i))
			Expect(expect[relay.RelayStream](h).ID).To(Equal(d.ID))
			f.deliver(h)
			h.step(relay.StreamStarted{ID: d.ID, Attempt: d.Attempt.Attempt})
			h.step(relay.CallerLeft{ID: d.ID})
		}
		Expect(f.messages).To(BeZero())
	})

	It("send nothing and do not wait for streams that callers cannot resume", func() {
		f := newOriginFleet(3, "v1", "v2")
		f.messages = 0
		h := f.hosts[0]
		h.submitModel("/verdict/")
		r := expect[relay.Reserve](h)
		h.step(relay.Reserved{ID: r.ID, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
		d := expect[relay.Decode](h)
		h.step(relay.FirstEvent{ID: d.ID, Attempt: d.Attempt.Attempt})
		expect[relay.RelayStream](h)
		f.deliver(h)
		Expect(f.messages).To(BeZero())
	})

	// Guards against streams that wait for hosts with an older program.
	It("tell nothing to hosts whose program keeps no origins", func() {
		f := newOriginFleet(3, "v1", "v2")
		for _, h := range f.hosts[1:] {
			f.old[h] = true
		}
		f.wait(5 * time.Second)
		h := f.hosts[0]
		f.messages = 0
		d := f.begin(h, "r")
		Expect(expect[relay.RelayStream](h).ID).To(Equal(d.ID))
		Expect(f.messages).To(BeZero())
	})

	It("let the first event go after a short wait if no host answers", func() {
		f := newOriginFleet(3, "v1", "v2")
		for _, h := range f.hosts[1:] {
			f.lost[h] = true
		}
		h := f.hosts[0]
		d := f.begin(h, "r")
		f.deliver(h)
		expectNone[relay.RelayStream](h)
		h.wait(100 * time.Millisecond)
		Expect(expect[relay.RelayStream](h).ID).To(Equal(d.ID))
	})

	// Guards against a stream that goes on at another version, at a host that was cut off or paused
	// while servers of that version joined.
	DescribeTable("do not continue a stream at the version that a host which is out of step takes for the only one",
		func(named bool) {
			f := newOriginFleet(4, "v1", "v1")
			f.wait(20 * time.Second)
			outOfStep := f.hosts[3]
			for _, h := range f.hosts[:3] {
				h.step(relay.EntryChanged{Entry: engine("d3", backends.Decode, "v2")})
				f.deliver(h)
			}
			name := ""
			for i := 0; name == ""; i++ {
				h, id := f.hosts[i%3], fmt.Sprint("r", i)
				d := f.begin(h, id)
				f.deliver(h)
				h.step(relay.CallerLeft{ID: d.ID})
				if d.To.Version == "v2" {
					name = id
				}
			}
			for _, h := range f.hosts {
				h.now = h.now.Add(50 * time.Millisecond)
			}
			resumes := ""
			if named {
				resumes = name
			}
			outOfStep.last++
			outOfStep.step(relay.Arrived{ID: outOfStep.last, Spec: relay.RequestSpec{
				Host: "h", Path: "/summary/", RequestID: "again", Key: goodKey, Resumes: true, ResumesRequest: resumes,
				PromptTokens: 5000, MaxOutputTokens: 1000, TokensKnown: true, Deadline: 14 * time.Second,
			}})
			f.deliver(outOfStep)
			var refused *relay.Refuse
			look := func() {
				for _, e := range outOfStep.out {
					switch e := e.(type) {
					case relay.Reserve:
						Expect(e.To.Version).To(Equal(ident.Version("v2")), "another version than that which began the stream")
					case relay.Refuse:
						refused = &e
					}
				}
			}
			look()
			for range 40 {
				outOfStep.now = outOfStep.now.Add(10 * time.Millisecond)
				outOfStep.step(relay.Tick{})
				f.deliver(outOfStep)
				look()
			}
			outOfStep.step(relay.EntryChanged{Entry: engine("d3", backends.Decode, "v2")})
			look()
			outOfStep.platformRead()
			look()
			if !named {
				Expect(refused).NotTo(BeNil(), "two versions may have begun it")
				Expect(refused.Status).To(Equal(503))
			}
		},
		Entry("that its caller names", true),
		Entry("that its caller does not name", false),
	)

	It("forget a caller that leaves while its origin is looked for", func() {
		f := newOriginFleet(3, "v1", "v2")
		h := f.hosts[0]
		id := h.stream("again", "r")
		expectNone[relay.Refuse](h)
		h.step(relay.CallerLeft{ID: id})
		out := h.wait(2 * time.Second)
		for _, e := range out {
			Expect(e).NotTo(BeAssignableToTypeOf(relay.Refuse{}))
		}
	})
})

var _ = Describe("a host that has just started", func() {
	fresh := func() *host {
		h := newHost()
		h.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
		h.step(relay.EntriesListed{Entries: []backends.Entry{engine("d1", backends.Decode, "v2")}})
		h.wait(200 * time.Millisecond)
		h.platformRead()
		return h
	}
	past := func(id ident.BackendID, v ident.Version) origin.Serving {
		return origin.Serving{Service: "lm", Process: serverlimit.Process{ID: id, StartedAt: 1}, Version: v}
	}

	// Guards against a stream that is joined after all hosts were killed, of a version whose
	// servers have left since.
	It("refuses to resume a stream that a version which has left may have begun", func() {
		h := fresh()
		h.stream("again", "r")
		expect[relay.ReadHistory](h)
		h.step(relay.HistoryRead{Reach: time.Minute, Servers: []origin.Serving{past("d0", "v1"), past("d1", "v2")}})
		r := expect[relay.Refuse](h)
		Expect(r.Reason).To(Equal(relay.OriginUnknown))
		Expect(r.RetryAfter).To(BeNumerically(">", 0), "another host may know it")
	})

	It("resumes a stream once the history shows that one version alone can have begun it", func() {
		h := fresh()
		h.stream("again", "r")
		expect[relay.ReadHistory](h)
		h.stream("again-2", "r2")
		expectNone[relay.ReadHistory](h)
		h.step(relay.HistoryRead{Reach: time.Minute, Servers: []origin.Serving{past("d1", "v2")}})
		Expect(expect[relay.Reserve](h).To.Version).To(Equal(ident.Version("v2")))
	})

	It("waits for the history no longer than a second, and not again at once if it fails", func() {
		h := fresh()
		h.stream("again", "r")
		expect[relay.ReadHistory](h)
		h.wait(time.Second)
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.OriginUnknown))
		h.step(relay.HistoryRead{Err: fmt.Errorf("no answer")})
		h.stream("again-2", "r")
		expectNone[relay.ReadHistory](h)
		Expect(expect[relay.Refuse](h).RetryAfter).To(BeNumerically(">", 0))
	})
})
