package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

const (
	memory  = 60_000
	goodKey = "key"
)

// snapshot is a configuration with a model service and a plain one.
func snapshot(version uint64, keys ...string) *catalog.Snapshot {
	s := catalog.New(version)
	s.Services["lm"] = &catalog.Service{Name: "lm", Engine: &catalog.Engine{
		Slots: 128, MemoryTokens: memory, HoldTTL: 2 * time.Second, RoleSwitch: 6 * time.Second,
	}}
	s.Services["app"] = &catalog.Service{Name: "app"}
	to := func(name ident.Route) []catalog.Share { return []catalog.Share{{Service: name, Weight: 1}} }
	s.AddRoute(&catalog.Route{
		Name: "verdict", Host: "h", Prefix: "/verdict/", Kind: catalog.Stream, MaxAttempts: 1,
		Timeout: 14 * time.Second, Target: 900 * time.Millisecond, Split: to("lm"),
	})
	s.AddRoute(&catalog.Route{
		Name: "summary", Host: "h", Prefix: "/summary/", Kind: catalog.Stream, Resumable: true, MaxAttempts: 2,
		Timeout: 14 * time.Second, Target: 900 * time.Millisecond, Split: to("lm"),
	})
	s.AddRoute(&catalog.Route{
		Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.Once, MaxAttempts: 1,
		Timeout: time.Second, Target: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddRoute(&catalog.Route{
		Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, MaxAttempts: 2,
		Timeout: time.Second, Target: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddRoute(&catalog.Route{
		Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 2, Open: true,
		Timeout: time.Second, Target: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddOrganisation(&catalog.Organisation{Name: "org", Rate: 100_000, Burst: 100_000, PlainTokens: 200}, keys)
	return s.Build()
}

// host drives one relay by hand.
type host struct {
	relay *relay.Relay
	now   time.Time
	out   []relay.Effect
	last  relay.ID
}

func newHost() *host { return newHostWith(func(*relay.Config) {}) }

func newHostWith(change func(*relay.Config)) *host {
	h := &host{now: time.Unix(1000, 0).UTC()}
	self := roster.Host{ID: "self", Incarnation: 1, Addr: "self", Domain: "a"}
	cfg := relay.DefaultConfig(self, nil)
	change(&cfg)
	h.relay = relay.New(cfg, h.now)
	return h
}

// ready gives the host its configuration and servers, and lets its quota fill.
func (h *host) ready() *host {
	h.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
	var entries []backends.Entry
	for _, e := range []backends.Entry{
		{ID: "p1", Service: "lm", Stage: backends.Prefill},
		{ID: "p2", Service: "lm", Stage: backends.Prefill},
		{ID: "d1", Service: "lm", Stage: backends.Decode},
		{ID: "d2", Service: "lm", Stage: backends.Decode},
		{ID: "s1", Service: "app", Slots: 6},
		{ID: "s2", Service: "app", Slots: 6},
	} {
		e.Addr, e.Domain, e.Born = string(e.ID), "a", 1
		entries = append(entries, e)
	}
	h.step(relay.EntriesListed{Entries: entries})
	h.wait(10 * time.Second)
	h.contact()
	return h
}

// beat brings news of another host, whose configuration has an age in milliseconds.
func (h *host) beat(age int64) {
	h.last++
	h.step(relay.Heard{Message: relay.Message{
		Beat:  roster.Beat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: uint64(h.last)},
		AgeMS: age,
	}})
}

func (h *host) contact() { h.step(relay.Contact{Sent: h.now, Revision: 10}) }

func (h *host) step(e relay.Event) []relay.Effect {
	h.out = h.relay.Step(h.now, e)
	return h.out
}

// wait lets time pass without news of the platform.
func (h *host) wait(d time.Duration) []relay.Effect {
	var all []relay.Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(20*time.Millisecond, end.Sub(h.now)))
		all = append(all, h.step(relay.Tick{})...)
	}
	h.out = all
	return all
}

// ask sends a request and returns its id.
func (h *host) ask(path string, a relay.Ask) relay.ID {
	h.last++
	a.Host, a.Path, a.RequestID = "h", path, "r"
	if a.Key == "" {
		a.Key = goodKey
	}
	h.step(relay.Arrived{ID: h.last, Ask: a})
	return h.last
}

func (h *host) askModel(path string) relay.ID {
	return h.ask(path, relay.Ask{Prompt: 5000, Output: 1000, Sized: true, Deadline: 14 * time.Second})
}

// find returns the effect of a type among the last ones.
func find[T relay.Effect](h *host) (T, bool) {
	for _, e := range h.out {
		if t, ok := e.(T); ok {
			return t, true
		}
	}
	var none T
	return none, false
}

func expect[T relay.Effect](h *host) T {
	GinkgoHelper()
	t, ok := find[T](h)
	Expect(ok).To(BeTrue(), "no %T among %+v", t, h.out)
	return t
}

func expectNone[T relay.Effect](h *host) {
	GinkgoHelper()
	t, ok := find[T](h)
	Expect(ok).To(BeFalse(), "unexpected %+v", t)
}

// toPrefill leads a model request to its prefill.
func (h *host) toPrefill(id relay.ID) relay.Prefill {
	GinkgoHelper()
	r := expect[relay.Reserve](h)
	h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Whole, Hold: "hold"})
	return expect[relay.Prefill](h)
}

// toDecode leads a model request to its decode.
func (h *host) toDecode(id relay.ID) relay.Decode {
	GinkgoHelper()
	p := h.toPrefill(id)
	h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Whole, Handle: "kv", Took: 100 * time.Millisecond})
	return expect[relay.Decode](h)
}

var _ = Describe("admission", func() {
	It("answers 503 before there is a configuration, never 404", func() {
		h := newHost()
		h.ask("/read/1", relay.Ask{})
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
		Expect(h.relay.Ready()).To(BeFalse())
	})

	It("refuses unknown routes and keys", func() {
		h := newHost().ready()
		h.ask("/nothing/", relay.Ask{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(404))
		h.ask("/read/1", relay.Ask{Key: "other"})
		Expect(expect[relay.Refuse](h).Status).To(Equal(401))
		h.ask("/open/1", relay.Ask{Key: "other"})
		expect[relay.Call](h)
	})

	It("does not go back to an older version", func() {
		h := newHost().ready()
		h.step(relay.ConfigRead{Snapshot: snapshot(5, "new")})
		h.step(relay.ConfigRead{Snapshot: snapshot(4, goodKey)})
		h.ask("/read/1", relay.Ask{Key: goodKey})
		Expect(expect[relay.Refuse](h).Status).To(Equal(401))
	})

	It("takes no key once the configuration may be too old, and open routes still", func() {
		h := newHost().ready()
		h.wait(relay.DefaultConfig(roster.Host{}, nil).StaleAfter + 20*time.Millisecond)
		h.ask("/read/1", relay.Ask{})
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.Reason).To(Equal(relay.StaleConfig))
		h.ask("/nothing/", relay.Ask{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503), "the route may be new")
		h.ask("/open/1", relay.Ask{})
		expect[relay.Call](h)
		h.contact()
		h.ask("/read/1", relay.Ask{})
		expect[relay.Call](h)
	})

	It("reads again at once, and once in an outage, when another host has read the platform", func() {
		h := newHost().ready()
		h.step(relay.ContactFailed{})
		h.wait(time.Second)
		h.beat(1500)
		expectNone[relay.ReadAgain](h)
		h.beat(100)
		expect[relay.ReadAgain](h)
		h.step(relay.ContactFailed{})
		h.beat(100)
		expectNone[relay.ReadAgain](h)
		h.contact()
		h.step(relay.ContactFailed{})
		h.wait(time.Second)
		h.beat(100)
		expect[relay.ReadAgain](h)
	})

	It("sends callers to other hosts before it has to refuse them, if only it cannot read the platform", func() {
		h := newHost().ready()
		h.step(relay.ContactFailed{})
		h.wait(2 * time.Second)
		h.beat(2000)
		Expect(h.relay.Ready()).To(BeTrue(), "the others know no more")
		h.beat(100)
		Expect(h.relay.Ready()).To(BeFalse())
		Expect(h.relay.Isolated()).To(BeTrue())
		h.wait(3 * time.Second)
		h.beat(100)
		h.ask("/read/1", relay.Ask{})
		Expect(expect[relay.Refuse](h).RetryAfter).To(BeNumerically("<", 100*time.Millisecond))
		h.contact()
		Expect(h.relay.Ready()).To(BeTrue())
	})

	It("counts the age of the configuration from when the read was sent", func() {
		h := newHost().ready()
		sent := h.now
		h.wait(3900 * time.Millisecond)
		h.step(relay.Contact{Sent: sent, Revision: 11})
		h.wait(200 * time.Millisecond)
		h.ask("/read/1", relay.Ask{})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.StaleConfig))
	})

	It("refuses what is over the limit with the time to come back, and true refusals cost nothing", func() {
		h := newHost().ready()
		admitted := 0
		for {
			h.askModel("/verdict/1")
			if r, ok := find[relay.Refuse](h); ok {
				Expect(r.Status).To(Equal(429))
				Expect(r.RetryAfter).To(BeNumerically(">", 0))
				break
			}
			admitted++
		}
		Expect(admitted).To(Equal(16), "100,000 tokens for requests of 6,000, and the next needs a sixteenth of the burst")
	})
})

var _ = Describe("a request to a plain service", func() {
	It("is called once and its answer delivered", func() {
		h := newHost().ready()
		id := h.ask("/post/1", relay.Ask{})
		c := expect[relay.Call](h)
		Expect(c.Organisation).To(Equal(ident.Organisation("org")))
		Expect(c.Deadline).To(Equal(h.now.Add(time.Second)))
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Whole, Status: 200})
		expect[relay.Deliver](h)
	})

	It("is never sent again if it may have run and is not idempotent", func() {
		h := newHost().ready()
		id := h.ask("/post/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Lost})
		expectNone[relay.Call](h)
		Expect(expect[relay.Refuse](h).Status).To(Equal(502), "no promise that it has not run")
	})

	It("is refused with a promise if its only server did not run it", func() {
		h := newHost().ready()
		id := h.ask("/post/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.NotRun})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
	})

	It("goes elsewhere if no byte of it was sent", func() {
		h := newHost().ready()
		id := h.ask("/post/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Unsent})
		Expect(expect[relay.Call](h).To.ID).NotTo(Equal(c.To.ID))
	})

	It("is repeated at another server if it is idempotent, as often as the route says", func() {
		h := newHost().ready()
		id := h.ask("/read/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
		again := expect[relay.Call](h)
		Expect(again.To.ID).NotTo(Equal(c.To.ID))
		h.step(relay.Ended{ID: id, Attempt: again.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
		expect[relay.Deliver](h)
	})

	It("is not repeated beyond the budget that all hosts share", func() {
		h := newHost().ready()
		repeats := 0
		for range 300 {
			id := h.ask("/open/1", relay.Ask{})
			c, ok := find[relay.Call](h)
			if !ok {
				continue
			}
			h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
			if again, ok := find[relay.Call](h); ok {
				repeats++
				h.step(relay.Ended{ID: id, Attempt: again.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
			}
		}
		cfg := relay.DefaultConfig(roster.Host{}, nil)
		Expect(repeats).To(BeNumerically("<=", 300*cfg.RetryRatio+cfg.RetrySlack))
		Expect(repeats).To(BeNumerically(">", 20))
	})

	It("ignores the answer of an earlier attempt", func() {
		h := newHost().ready()
		id := h.ask("/read/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure})
		h.step(relay.Ended{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Whole})
		expectNone[relay.Deliver](h)
	})
})

var _ = Describe("a request to a model", func() {
	It("reserves room before its prompt is read, and runs where it has room", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		r := expect[relay.Reserve](h)
		Expect(r.Tokens).To(Equal(int64(5400)), "the prompt and a part of the expected output")
		d := h.toDecode(id)
		Expect(d.To.ID).To(Equal(r.To.ID))
		Expect(d.Hold).To(Equal("hold"))
		Expect(d.Handle).To(Equal("kv"))
		Expect(d.Source.ID).To(BeElementOf(ident.BackendID("p1"), ident.BackendID("p2")))
	})

	It("waits while no engine has room, and starts when one has", func() {
		h := newHost().ready()
		h.step(relay.Heard{Message: relay.Message{
			Beat: roster.Beat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: 1},
			Load: []relay.BackendLoad{{Backend: "d1", Requests: 9, Memory: 58_000}, {Backend: "d2", Requests: 9, Memory: 58_000}},
		}})
		h.askModel("/verdict/1")
		expectNone[relay.Reserve](h)
		h.step(relay.Heard{Message: relay.Message{
			Beat: roster.Beat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: 2},
		}})
		expect[relay.Reserve](h)
	})

	It("gives room back when its caller leaves", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		h.toPrefill(id)
		h.step(relay.Left{ID: id})
		Expect(expect[relay.Unreserve](h).Hold).To(Equal("hold"))
	})

	It("has its prompt read by another engine if the first one is lost", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		p := h.toPrefill(id)
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Lost})
		again := expect[relay.Prefill](h)
		Expect(again.To.ID).NotTo(Equal(p.To.ID))
	})

	It("does not ask a prefill engine again and again that refuses, as one that changes its stage", func() {
		h := newHost().ready()
		refused := ident.BackendID("")
		for range 5 {
			id := h.askModel("/verdict/1")
			p := h.toPrefill(id)
			if refused == "" {
				refused = p.To.ID
				h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.NotRun})
				p = expect[relay.Prefill](h)
			}
			Expect(p.To.ID).NotTo(Equal(refused))
			h.step(relay.Left{ID: id})
		}
	})

	It("lets the decode engine read the prompt if the KV cache is gone", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		d := h.toDecode(id)
		h.step(relay.Ended{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.NotRun})
		again := expect[relay.Decode](h)
		Expect(again.To.ID).To(Equal(d.To.ID))
		Expect(again.Source).To(BeNil())
	})

	It("breaks a stream off that may not be resumed", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		d := h.toDecode(id)
		h.step(relay.Begun{ID: id, Attempt: d.Attempt.Attempt})
		h.step(relay.Ended{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true})
		expect[relay.BreakOff](h)
	})

	It("resumes a stream elsewhere where the route allows it", func() {
		h := newHost().ready()
		id := h.askModel("/summary/1")
		d := h.toDecode(id)
		h.step(relay.Begun{ID: id, Attempt: d.Attempt.Attempt})
		h.step(relay.Ended{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true})
		r := expect[relay.Reserve](h)
		Expect(r.To.ID).NotTo(Equal(d.To.ID))
		again := h.toDecode(id)
		Expect(again.Resume).To(BeTrue())
	})

	It("is refused at once if there is no engine to answer it", func() {
		h := newHost().ready()
		h.step(relay.EntryRemoved{ID: "d1"})
		h.step(relay.EntryRemoved{ID: "d2"})
		h.askModel("/verdict/1")
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.Reason).To(Equal(relay.NoBackend))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is refused at its limit of waiting with the time to come back", func() {
		h := newHost().ready()
		h.fill(1, 60_000)
		h.askModel("/verdict/1")
		for n := range 9 {
			h.fill(uint64(2+n), 60_000)
			expectNone[relay.Reserve](h)
			if h.wait(100 * time.Millisecond); len(h.out) > 0 {
				if _, refused := find[relay.Refuse](h); refused {
					break
				}
			}
		}
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the list of servers", func() {
	It("keeps what vanished with the platform's outage for the grace, unused", func() {
		h := newHost().ready()
		h.step(relay.ContactFailed{})
		h.wait(time.Second)
		h.contact()
		h.step(relay.EntryRemoved{ID: "s1"})
		h.step(relay.EntryRemoved{ID: "s2"})
		h.ask("/open/1", relay.Ask{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Slots: 6, Born: 1}})
		h.ask("/open/1", relay.Ask{})
		Expect(expect[relay.Call](h).To.ID).To(Equal(ident.BackendID("s1")))
	})

	It("sends nothing to a server that leaves", func() {
		h := newHost().ready()
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Slots: 6, Born: 1, Draining: true}})
		for range 5 {
			h.ask("/open/1", relay.Ask{})
			Expect(expect[relay.Call](h).To.ID).To(Equal(ident.BackendID("s2")))
		}
	})
})

var _ = Describe("a failure domain that falls silent", func() {
	It("gets one request at a time at each of its servers until they answer", func() {
		h := newHost().ready()
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Domain: "b", Slots: 6, Born: 1}})
		h.step(relay.EntryRemoved{ID: "s2"})
		h.step(relay.Heard{Message: relay.Message{
			Beat: roster.Beat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer", Domain: "b"}, Sequence: 1},
		}})
		h.ask("/open/1", relay.Ask{})
		expect[relay.Call](h)
		h.wait(600 * time.Millisecond)
		h.ask("/open/1", relay.Ask{})
		expect[relay.Refuse](h)
		h.wait(400 * time.Millisecond)
		id := h.ask("/open/1", relay.Ask{})
		probe := expect[relay.Call](h)
		h.ask("/open/1", relay.Ask{})
		expect[relay.Refuse](h)
		h.step(relay.Ended{ID: id, Attempt: probe.Attempt.Attempt, Outcome: relay.Whole})
		h.ask("/open/1", relay.Ask{})
		expect[relay.Call](h)
	})
})

var _ = Describe("a stop", func() {
	It("is not ready at once, serves while the load balancer notices, and ends with its last request", func() {
		h := newHost().ready()
		id := h.askModel("/verdict/1")
		h.step(relay.Drain{})
		Expect(h.relay.Ready()).To(BeFalse())
		h.ask("/open/1", relay.Ask{})
		c := expect[relay.Call](h)
		h.step(relay.Ended{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Whole})
		h.wait(4 * time.Second)
		expectNone[relay.Exit](h)
		h.ask("/open/1", relay.Ask{})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.Stopping))
		h.step(relay.Left{ID: id})
		h.wait(100 * time.Millisecond)
		expect[relay.Exit](h)
	})
})
