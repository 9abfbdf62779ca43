package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestBackends(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backends")
}

const memory = 60_000 // tokens of KV cache of one engine

var _ = Describe("a directory", func() {
	var (
		d   *backends.Directory
		now time.Time
	)

	engine := func(id ident.BackendID, stage backends.Stage, domain ident.FailureDomain) {
		d.Put(backends.Entry{ID: id, Service: "lm", Addr: string(id), Domain: domain, Stage: stage, Slots: 8, StartedAt: 1})
	}
	plain := func(id ident.BackendID) {
		d.Put(backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "a", Slots: 2, StartedAt: 1})
	}
	decodeQuery := func(tokens int64) backends.Query {
		return backends.Query{
			Service: "lm", Stage: backends.Decode, PreferredDomain: "a", MemoryPerServer: memory, SlotsPerServer: 8,
			Need: backends.Load{Requests: 1, Memory: tokens},
		}
	}
	plainQuery := backends.Query{Service: "app", PreferredDomain: "a"}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		d = backends.NewDirectory(backends.DefaultConfig("a"))
	})

	It("places requests where memory is free, by own and reported load", func() {
		engine("d1", backends.Decode, "a")
		engine("d2", backends.Decode, "a")
		d.Begin("d1", backends.Load{Requests: 1, Memory: 20_000})
		t, ok := d.PickDecode(now, decodeQuery(5000))
		Expect(ok).To(BeTrue())
		Expect(t.ID).To(Equal(ident.BackendID("d2")))
		d.SetPeerLoads("h2", map[ident.BackendID]backends.Load{"d2": {Requests: 4, Memory: 40_000}})
		t, _ = d.PickDecode(now, decodeQuery(5000))
		Expect(t.ID).To(Equal(ident.BackendID("d1")))
		d.SetPeerLoads("h2", nil)
		t, _ = d.PickDecode(now, decodeQuery(5000))
		Expect(t.ID).To(Equal(ident.BackendID("d2")))
	})

	It("rejects a request that would exceed an engine's memory or slots", func() {
		engine("d1", backends.Decode, "a")
		d.Begin("d1", backends.Load{Requests: 1, Memory: 56_000})
		_, ok := d.PickDecode(now, decodeQuery(5000))
		Expect(ok).To(BeFalse())
		_, ok = d.PickDecode(now, decodeQuery(4000))
		Expect(ok).To(BeTrue())
		d.End("d1", backends.Load{Requests: 1, Memory: 56_000})
		d.Begin("d1", backends.Load{Requests: 8})
		_, ok = d.PickDecode(now, decodeQuery(4000))
		Expect(ok).To(BeFalse())
	})

	It("prefers its own failure domain among equals, but not over much lower load", func() {
		engine("d1", backends.Decode, "b")
		engine("d2", backends.Decode, "a")
		t, _ := d.PickDecode(now, decodeQuery(5000))
		Expect(t.ID).To(Equal(ident.BackendID("d2")))
		d.Begin("d2", backends.Load{Requests: 5, Memory: 30_000})
		t, _ = d.PickDecode(now, decodeQuery(5000))
		Expect(t.ID).To(Equal(ident.BackendID("d1")))
	})

	It("picks the engine with the shortest expected prefill time", func() {
		engine("p1", backends.Prefill, "a")
		engine("p2", backends.Prefill, "a")
		q := backends.Query{Service: "lm", Stage: backends.Prefill, PreferredDomain: "a", Need: backends.Load{Prompt: 5000}}
		d.Begin("p1", backends.Load{Prompt: 10_000})
		t, wait, ok := d.PickPrefill(now, q)
		Expect(ok).To(BeTrue())
		Expect(t.ID).To(Equal(ident.BackendID("p2")))
		Expect(wait).To(BeNumerically("~", 125*time.Millisecond, time.Millisecond))
		for range 50 {
			d.RecordPrefill("p2", 5000, 5*time.Second)
		}
		t, _, _ = d.PickPrefill(now, q)
		Expect(t.ID).To(Equal(ident.BackendID("p1")), "the other one is slow")
	})

	It("skips draining servers, and counts servers by service and stage", func() {
		engine("d1", backends.Decode, "a")
		engine("p1", backends.Prefill, "a")
		d.Put(backends.Entry{ID: "d1", Service: "lm", Addr: "d1", Stage: backends.Decode, Draining: true, StartedAt: 1})
		_, ok := d.PickDecode(now, decodeQuery(1))
		Expect(ok).To(BeFalse())
		Expect(d.Count(now, "lm", backends.Decode)).To(BeZero())
		Expect(d.Count(now, "lm", backends.Prefill)).To(Equal(1))
	})

	It("suspends an unreachable server and lets one request at a time probe it", func() {
		plain("s1")
		d.Failed(now, "s1", backends.Unreachable)
		_, ok := d.PickPlain(now, plainQuery)
		Expect(ok).To(BeFalse())
		now = now.Add(backends.DefaultConfig("a").SuspendInitial)
		_, ok = d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
		_, ok = d.PickPlain(now, plainQuery)
		Expect(ok).To(BeFalse(), "one request is probing")
		d.Succeeded(now, "s1")
		_, ok = d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
	})

	It("lets another request probe a server if the first probe never ends", func() {
		plain("s1")
		cfg := backends.DefaultConfig("a")
		d.Failed(now, "s1", backends.Unreachable)
		now = now.Add(cfg.SuspendInitial)
		_, ok := d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
		now = now.Add(cfg.ProbeTimeout)
		_, ok = d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
	})

	It("doubles the back-off of a server that stays unreachable, up to the limit", func() {
		plain("s1")
		cfg := backends.DefaultConfig("a")
		for range 10 {
			d.Failed(now, "s1", backends.Unreachable)
			now = now.Add(cfg.SuspendMax)
			_, ok := d.PickPlain(now, plainQuery)
			Expect(ok).To(BeTrue())
		}
	})

	It("shifts load away from a server that fails part of its requests, and back later", func() {
		plain("s1")
		plain("s2")
		d.Failed(now, "s1", backends.ErrorResponse)
		d.Failed(now, "s1", backends.ErrorResponse)
		for range 2 {
			t, _ := d.PickPlain(now, plainQuery)
			Expect(t.ID).To(Equal(ident.BackendID("s2")))
			d.Begin("s2", backends.Load{Requests: 1})
		}
		now = now.Add(time.Minute)
		t, _ := d.PickPlain(now, plainQuery)
		Expect(t.ID).To(Equal(ident.BackendID("s1")))
	})

	It("treats a restarted server as a new one", func() {
		plain("s1")
		d.Begin("s1", backends.Load{Requests: 6})
		d.Failed(now, "s1", backends.Unreachable)
		d.Put(backends.Entry{ID: "s1", Service: "app", Addr: "s1", Slots: 2, StartedAt: 2})
		_, ok := d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
	})

	It("keeps a missing server for the grace period and uses it only once it is listed again", func() {
		plain("s1")
		d.MarkMissing(now, "s1")
		_, ok := d.PickPlain(now, plainQuery)
		Expect(ok).To(BeFalse())
		Expect(d.ExpireMissing(now.Add(time.Second))).To(BeEmpty())
		plain("s1")
		_, ok = d.PickPlain(now, plainQuery)
		Expect(ok).To(BeTrue())
		d.MarkMissing(now, "s1")
		Expect(d.ExpireMissing(now.Add(backends.DefaultConfig("a").MissingGrace))).To(ConsistOf(ident.BackendID("s1")))
		Expect(d.IDs()).To(BeEmpty())
	})

	It("counts the load that peers reported before a server was listed", func() {
		d.SetPeerLoads("h2", map[ident.BackendID]backends.Load{"d1": {Requests: 1, Memory: memory}})
		engine("d1", backends.Decode, "a")
		_, ok := d.PickDecode(now, decodeQuery(5000))
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("the prefill rate", func() {
	It("is measured without the fixed overhead per prompt", func() {
		d := backends.NewDirectory(backends.DefaultConfig("a"))
		d.Put(backends.Entry{ID: "p1", Service: "lm", Stage: backends.Prefill})
		Expect(d.PrefillRate("lm")).To(Equal(40_000.0), "no observations yet")
		for i := range 60 {
			tokens := int64(2000 + 1000*(i%7))
			took := 26*time.Millisecond + time.Duration(float64(tokens)/55_000*float64(time.Second))
			d.RecordPrefill("p1", tokens, took)
		}
		Expect(d.PrefillRate("lm")).To(BeNumerically("~", 55_000, 500))
	})

	It("is not estimated from prompts of one length", func() {
		d := backends.NewDirectory(backends.DefaultConfig("a"))
		d.Put(backends.Entry{ID: "p1", Service: "lm", Stage: backends.Prefill})
		for range 60 {
			d.RecordPrefill("p1", 5000, 100*time.Millisecond)
		}
		Expect(d.PrefillRate("lm")).To(Equal(40_000.0))
	})
})
