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

// snapshot returns a configuration with a model service and a plain service.
func snapshot(version uint64, keys ...string) *catalog.Snapshot {
	s := catalog.New(version)
	s.Services["lm"] = &catalog.Service{Name: "lm", Engine: &catalog.Engine{
		Slots: 128, MemoryTokens: memory, HoldTTL: 2 * time.Second, RoleSwitch: 6 * time.Second,
	}}
	s.Services["app"] = &catalog.Service{Name: "app"}
	to := func(name ident.Route) []catalog.Share { return []catalog.Share{{Service: name, Weight: 1}} }
	s.AddRoute(&catalog.Route{
		Name: "verdict", Host: "h", Prefix: "/verdict/", Kind: catalog.Stream, MaxAttempts: 1,
		Timeout: 14 * time.Second, LatencyTarget: 900 * time.Millisecond, Split: to("lm"),
	})
	s.AddRoute(&catalog.Route{
		Name: "summary", Host: "h", Prefix: "/summary/", Kind: catalog.Stream, Resumable: true, MaxAttempts: 2,
		Timeout: 14 * time.Second, LatencyTarget: 900 * time.Millisecond, Split: to("lm"),
	})
	s.AddRoute(&catalog.Route{
		Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.Once, MaxAttempts: 1,
		Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddRoute(&catalog.Route{
		Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, MaxAttempts: 2,
		Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddRoute(&catalog.Route{
		Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 2, Public: true,
		Timeout: time.Second, LatencyTarget: 150 * time.Millisecond, Split: to("app"),
	})
	s.AddOrganisation(&catalog.Organisation{Name: "org", Rate: 100_000, Burst: 100_000, DefaultTokens: 200}, keys)
	return s.Build()
}

// host runs one Relay with a manual clock.
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

// ready gives the host its configuration and backend servers and lets its quota fill up.
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
		e.Addr, e.Domain, e.StartedAt = string(e.ID), "a", 1
		entries = append(entries, e)
	}
	h.step(relay.EntriesListed{Entries: entries})
	h.wait(10 * time.Second)
	h.platformRead()
	return h
}

// peerHeartbeat delivers a heartbeat of another host, with the age of its configuration
// in milliseconds.
func (h *host) peerHeartbeat(ageMS int64) {
	h.last++
	h.step(relay.MessageReceived{Message: relay.Message{
		Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: uint64(h.last)},
		AgeMS:     ageMS,
	}})
}

func (h *host) platformRead() { h.step(relay.PlatformReadSucceeded{Sent: h.now, Revision: 10}) }

func (h *host) step(e relay.Event) []relay.Effect {
	h.out = h.relay.Step(h.now, e)
	return h.out
}

// wait advances the clock with ticks, without reads of the platform.
func (h *host) wait(d time.Duration) []relay.Effect {
	var all []relay.Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(20*time.Millisecond, end.Sub(h.now)))
		all = append(all, h.step(relay.Tick{})...)
	}
	h.out = all
	return all
}

// submit sends a request and returns its id.
func (h *host) submit(path string, spec relay.RequestSpec) relay.ID {
	h.last++
	spec.Host, spec.Path, spec.RequestID = "h", path, "r"
	if spec.Key == "" {
		spec.Key = goodKey
	}
	h.step(relay.Arrived{ID: h.last, Spec: spec})
	return h.last
}

func (h *host) submitModel(path string) relay.ID {
	return h.submit(path, relay.RequestSpec{PromptTokens: 5000, MaxOutputTokens: 1000, TokensKnown: true, Deadline: 14 * time.Second})
}

// find returns the first effect of type T among the most recent effects.
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

// advanceToPrefill answers the reservation of a model request and returns its prefill.
func (h *host) advanceToPrefill(id relay.ID) relay.Prefill {
	GinkgoHelper()
	r := expect[relay.Reserve](h)
	h.step(relay.Reserved{ID: id, Attempt: r.Attempt.Attempt, Outcome: relay.Succeeded, Hold: "hold"})
	return expect[relay.Prefill](h)
}

// advanceToDecode answers reservation and prefill of a model request and returns its
// decode.
func (h *host) advanceToDecode(id relay.ID) relay.Decode {
	GinkgoHelper()
	p := h.advanceToPrefill(id)
	h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv", Took: 100 * time.Millisecond})
	return expect[relay.Decode](h)
}

var _ = Describe("admission", func() {
	It("answers 503, not 404, before the first configuration", func() {
		h := newHost()
		h.submit("/read/1", relay.RequestSpec{})
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
		Expect(h.relay.Ready()).To(BeFalse())
	})

	It("refuses unknown routes and keys", func() {
		h := newHost().ready()
		h.submit("/nothing/", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(404))
		h.submit("/read/1", relay.RequestSpec{Key: "other"})
		Expect(expect[relay.Refuse](h).Status).To(Equal(401))
		h.submit("/open/1", relay.RequestSpec{Key: "other"})
		expect[relay.Call](h)
	})

	It("does not revert to an older version", func() {
		h := newHost().ready()
		h.step(relay.ConfigRead{Snapshot: snapshot(5, "new")})
		h.step(relay.ConfigRead{Snapshot: snapshot(4, goodKey)})
		h.submit("/read/1", relay.RequestSpec{Key: goodKey})
		Expect(expect[relay.Refuse](h).Status).To(Equal(401))
	})

	It("rejects keys once the configuration is stale, but still serves public routes", func() {
		h := newHost().ready()
		h.wait(relay.DefaultConfig(roster.Host{}, nil).StaleAfter + 20*time.Millisecond)
		h.submit("/read/1", relay.RequestSpec{})
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.Reason).To(Equal(relay.StaleConfig))
		h.submit("/nothing/", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503), "the route may be new")
		h.submit("/open/1", relay.RequestSpec{})
		expect[relay.Call](h)
		h.platformRead()
		h.submit("/read/1", relay.RequestSpec{})
		expect[relay.Call](h)
	})

	It("retries a read at once, but only once per outage, when another host can read the platform", func() {
		h := newHost().ready()
		h.step(relay.PlatformReadFailed{})
		h.wait(time.Second)
		h.peerHeartbeat(1500)
		expectNone[relay.RetryRead](h)
		h.peerHeartbeat(100)
		expect[relay.RetryRead](h)
		h.step(relay.PlatformReadFailed{})
		h.peerHeartbeat(100)
		expectNone[relay.RetryRead](h)
		h.platformRead()
		h.step(relay.PlatformReadFailed{})
		h.wait(time.Second)
		h.peerHeartbeat(100)
		expect[relay.RetryRead](h)
	})

	It("diverts callers to other hosts before it has to refuse them, if only this host cannot read the platform", func() {
		h := newHost().ready()
		h.step(relay.PlatformReadFailed{})
		h.wait(2 * time.Second)
		h.peerHeartbeat(2000)
		Expect(h.relay.Ready()).To(BeTrue(), "the others have no newer configuration")
		h.peerHeartbeat(100)
		Expect(h.relay.Ready()).To(BeFalse())
		Expect(h.relay.Isolated()).To(BeTrue())
		h.wait(3 * time.Second)
		h.peerHeartbeat(100)
		h.submit("/read/1", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).RetryAfter).To(BeNumerically("<", 100*time.Millisecond))
		h.platformRead()
		Expect(h.relay.Ready()).To(BeTrue())
	})

	It("counts the age of the configuration from when the read was sent", func() {
		h := newHost().ready()
		sent := h.now
		h.wait(3900 * time.Millisecond)
		h.step(relay.PlatformReadSucceeded{Sent: sent, Revision: 11})
		h.wait(200 * time.Millisecond)
		h.submit("/read/1", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.StaleConfig))
	})

	It("refuses requests over the limit with a Retry-After", func() {
		h := newHost().ready()
		admitted := 0
		for {
			h.submitModel("/verdict/1")
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
	It("is sent once and its answer delivered", func() {
		h := newHost().ready()
		id := h.submit("/post/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		Expect(c.Organisation).To(Equal(ident.Organisation("org")))
		Expect(c.Deadline).To(Equal(h.now.Add(time.Second)))
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
		expect[relay.Deliver](h)
	})

	It("is never retried if it may have run and is not idempotent", func() {
		h := newHost().ready()
		id := h.submit("/post/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Lost})
		expectNone[relay.Call](h)
		Expect(expect[relay.Refuse](h).Status).To(Equal(502), "no promise that it has not run")
	})

	It("is refused with 503, which promises that it has not run, if its server did not run it", func() {
		h := newHost().ready()
		id := h.submit("/post/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.NotRun})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
	})

	It("goes to another server if no byte of it was sent", func() {
		h := newHost().ready()
		id := h.submit("/post/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Unsent})
		Expect(expect[relay.Call](h).To.ID).NotTo(Equal(c.To.ID))
	})

	It("is retried at another server if it is idempotent, up to the attempts of its route", func() {
		h := newHost().ready()
		id := h.submit("/read/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
		retried := expect[relay.Call](h)
		Expect(retried.To.ID).NotTo(Equal(c.To.ID))
		h.step(relay.CallEnded{ID: id, Attempt: retried.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
		expect[relay.Deliver](h)
	})

	It("is not retried beyond the budget that all hosts share", func() {
		h := newHost().ready()
		retries := 0
		for range 300 {
			id := h.submit("/open/1", relay.RequestSpec{})
			c, ok := find[relay.Call](h)
			if !ok {
				continue
			}
			h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
			if retried, ok := find[relay.Call](h); ok {
				retries++
				h.step(relay.CallEnded{ID: id, Attempt: retried.Attempt.Attempt, Outcome: relay.Failure, Status: 500})
			}
		}
		cfg := relay.DefaultConfig(roster.Host{}, nil)
		Expect(retries).To(BeNumerically("<=", 300*cfg.RetryRatio+cfg.RetrySlack))
		Expect(retries).To(BeNumerically(">", 20))
	})

	It("ignores the answer of an earlier attempt", func() {
		h := newHost().ready()
		id := h.submit("/read/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Failure})
		h.step(relay.CallEnded{ID: id, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded})
		expectNone[relay.Deliver](h)
	})
})

var _ = Describe("a request to a model", func() {
	It("reserves memory before its prefill, and runs where it has the reservation", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		r := expect[relay.Reserve](h)
		Expect(r.Tokens).To(Equal(int64(5400)), "the prompt and a fraction of the expected output")
		d := h.advanceToDecode(id)
		Expect(d.To.ID).To(Equal(r.To.ID))
		Expect(d.Hold).To(Equal("hold"))
		Expect(d.Handle).To(Equal("kv"))
		Expect(d.Source.ID).To(BeElementOf(ident.BackendID("p1"), ident.BackendID("p2")))
	})

	It("is queued while no engine has memory, and starts when one has", func() {
		h := newHost().ready()
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: 1},
			Load:      []relay.BackendLoad{{Backend: "d1", Requests: 9, Memory: 58_000}, {Backend: "d2", Requests: 9, Memory: 58_000}},
		}})
		h.submitModel("/verdict/1")
		expectNone[relay.Reserve](h)
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: 2},
		}})
		expect[relay.Reserve](h)
	})

	It("releases its reservation when its caller disconnects", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		h.advanceToPrefill(id)
		h.step(relay.CallerLeft{ID: id})
		Expect(expect[relay.ReleaseReservation](h).Hold).To(Equal("hold"))
	})

	It("is prefilled by another engine if the first one is lost", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		p := h.advanceToPrefill(id)
		h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.Lost})
		retried := expect[relay.Prefill](h)
		Expect(retried.To.ID).NotTo(Equal(p.To.ID))
	})

	It("does not keep calling a prefill engine that refuses, as one does while it switches its stage", func() {
		h := newHost().ready()
		refused := ident.BackendID("")
		for range 5 {
			id := h.submitModel("/verdict/1")
			p := h.advanceToPrefill(id)
			if refused == "" {
				refused = p.To.ID
				h.step(relay.Prefilled{ID: id, Attempt: p.Attempt.Attempt, Outcome: relay.NotRun})
				p = expect[relay.Prefill](h)
			}
			Expect(p.To.ID).NotTo(Equal(refused))
			h.step(relay.CallerLeft{ID: id})
		}
	})

	It("is prefilled by the decode engine if the KV cache is gone", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		d := h.advanceToDecode(id)
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.NotRun})
		retried := expect[relay.Decode](h)
		Expect(retried.To.ID).To(Equal(d.To.ID))
		Expect(retried.Source).To(BeNil())
	})

	It("has its interrupted stream aborted if the route does not allow it to be resumed", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		d := h.advanceToDecode(id)
		h.step(relay.StreamStarted{ID: id, Attempt: d.Attempt.Attempt})
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true})
		expect[relay.AbortAnswer](h)
	})

	It("has its interrupted stream resumed at another engine if the route allows it", func() {
		h := newHost().ready()
		id := h.submitModel("/summary/1")
		d := h.advanceToDecode(id)
		h.step(relay.StreamStarted{ID: id, Attempt: d.Attempt.Attempt})
		h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true})
		r := expect[relay.Reserve](h)
		Expect(r.To.ID).NotTo(Equal(d.To.ID))
		retried := h.advanceToDecode(id)
		Expect(retried.Resume).To(BeTrue())
	})

	It("is refused at once if no decode engine is listed", func() {
		h := newHost().ready()
		h.step(relay.EntryRemoved{ID: "d1"})
		h.step(relay.EntryRemoved{ID: "d2"})
		h.submitModel("/verdict/1")
		r := expect[relay.Refuse](h)
		Expect(r.Status).To(Equal(503))
		Expect(r.Reason).To(Equal(relay.NoBackend))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is refused with a Retry-After when its queue time is up", func() {
		h := newHost().ready()
		h.peerLoad(1, 60_000)
		h.submitModel("/verdict/1")
		for n := range 9 {
			h.peerLoad(uint64(2+n), 60_000)
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
	It("keeps entries that vanished around a platform outage for the grace period, unused", func() {
		h := newHost().ready()
		h.step(relay.PlatformReadFailed{})
		h.wait(time.Second)
		h.platformRead()
		h.step(relay.EntryRemoved{ID: "s1"})
		h.step(relay.EntryRemoved{ID: "s2"})
		h.submit("/open/1", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).Status).To(Equal(503))
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Slots: 6, StartedAt: 1}})
		h.submit("/open/1", relay.RequestSpec{})
		Expect(expect[relay.Call](h).To.ID).To(Equal(ident.BackendID("s1")))
	})

	It("sends nothing to a draining server", func() {
		h := newHost().ready()
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Slots: 6, StartedAt: 1, Draining: true}})
		for range 5 {
			h.submit("/open/1", relay.RequestSpec{})
			Expect(expect[relay.Call](h).To.ID).To(Equal(ident.BackendID("s2")))
		}
	})
})

var _ = Describe("a failure domain that falls silent", func() {
	It("gets one request at a time at each of its backend servers until they answer", func() {
		h := newHost().ready()
		h.step(relay.EntryChanged{Entry: backends.Entry{ID: "s1", Service: "app", Addr: "s1", Domain: "b", Slots: 6, StartedAt: 1}})
		h.step(relay.EntryRemoved{ID: "s2"})
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer", Domain: "b"}, Sequence: 1},
		}})
		h.submit("/open/1", relay.RequestSpec{})
		expect[relay.Call](h)
		h.wait(600 * time.Millisecond)
		h.submit("/open/1", relay.RequestSpec{})
		expect[relay.Refuse](h)
		h.wait(400 * time.Millisecond)
		id := h.submit("/open/1", relay.RequestSpec{})
		probe := expect[relay.Call](h)
		h.submit("/open/1", relay.RequestSpec{})
		expect[relay.Refuse](h)
		h.step(relay.CallEnded{ID: id, Attempt: probe.Attempt.Attempt, Outcome: relay.Succeeded})
		h.submit("/open/1", relay.RequestSpec{})
		expect[relay.Call](h)
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("is not ready at once, accepts requests until the load balancer notices, and exits after the last request", func() {
		h := newHost().ready()
		id := h.submitModel("/verdict/1")
		h.step(relay.Drain{})
		Expect(h.relay.Ready()).To(BeFalse())
		h.submit("/open/1", relay.RequestSpec{})
		c := expect[relay.Call](h)
		h.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded})
		h.wait(4 * time.Second)
		expectNone[relay.Exit](h)
		h.submit("/open/1", relay.RequestSpec{})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.Stopping))
		h.step(relay.CallerLeft{ID: id})
		h.wait(100 * time.Millisecond)
		expect[relay.Exit](h)
	})
})
