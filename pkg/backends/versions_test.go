package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

var _ = Describe("a directory with several software versions", func() {
	var (
		d   *backends.Directory
		now time.Time
	)

	put := func(id ident.BackendID, stage backends.Stage, v ident.Version) {
		d.Put(backends.Entry{ID: id, Service: "lm", Addr: string(id), Domain: "a", Stage: stage, StartedAt: 1, Version: v})
	}
	query := func(tokens int64) backends.Query {
		return backends.Query{
			Service: "lm", Stage: backends.Decode, MemoryPerServer: memory, SlotsPerServer: 8,
			Need: backends.Load{Requests: 1, Memory: tokens},
		}
	}
	pinned := func(tokens int64, v ident.Version) backends.Query {
		q := query(tokens)
		q.Version, q.Pinned = v, true
		return q
	}
	pick := func(q backends.Query) ident.BackendID {
		t, _ := d.PickDecode(now, q)
		return t.ID
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		d = backends.NewDirectory(backends.DefaultConfig("a"))
	})

	// Guards against a stream that goes on at another version for lack of room at its own.
	It("places a pinned request at its version only, however full that is", func() {
		put("d1", backends.Decode, "v1")
		put("d2", backends.Decode, "v2")
		d.Begin("d1", backends.Load{Requests: 1, Memory: 50_000})
		Expect(pick(pinned(5000, "v1"))).To(Equal(ident.BackendID("d1")))
		_, ok := d.PickDecode(now, pinned(20_000, "v1"))
		Expect(ok).To(BeFalse())
		Expect(pick(query(20_000))).To(Equal(ident.BackendID("d2")))
	})

	// Guards against a stream that goes on at a server that has started again under its id with
	// another version while this host cannot read the list.
	It("places a pinned request at no server that could not be reached since the list was current", func() {
		put("d1", backends.Decode, "v1")
		q := pinned(5000, "v1")
		q.ListedAsOf = now
		now = now.Add(time.Second)
		d.Failed(now, "d1", backends.Unreachable)
		now = now.Add(time.Minute)
		Expect(pick(q)).To(BeEmpty())
		q.ListedAsOf = now
		Expect(pick(q)).To(Equal(ident.BackendID("d1")))
		d.Reached(now, "d1")
		d.ApplyReports(now, []backends.UnreachableReport{{ID: "d1", Age: 0}})
		q.ListedAsOf = now.Add(-time.Millisecond)
		Expect(pick(q)).To(BeEmpty(), "another host could not reach it")
		Expect(pick(query(5000))).To(Equal(ident.BackendID("d1")))
	})

	It("tells a pinned request without a version from one that is not pinned", func() {
		put("d1", backends.Decode, "v1")
		_, ok := d.PickDecode(now, pinned(5000, ""))
		Expect(ok).To(BeFalse())
		put("d2", backends.Decode, "")
		Expect(pick(pinned(5000, ""))).To(Equal(ident.BackendID("d2")))
	})

	// Guards against new streams that fill the last engines of a version.
	It("keeps room at the few engines of a version for the requests that require it", func() {
		put("d1", backends.Decode, "v1")
		put("d2", backends.Decode, "v2")
		put("d3", backends.Decode, "v2")
		d.Begin("d2", backends.Load{Requests: 8})
		d.Begin("d3", backends.Load{Requests: 8})
		d.Begin("d1", backends.Load{Requests: 1, Memory: 27_000})
		_, ok := d.PickDecode(now, query(5000))
		Expect(ok).To(BeFalse(), "half of the memory is kept")
		Expect(pick(query(2000))).To(Equal(ident.BackendID("d1")))
		Expect(pick(pinned(5000, "v1"))).To(Equal(ident.BackendID("d1")))
		d.Begin("d1", backends.Load{Requests: 3})
		_, ok = d.PickDecode(now, query(2000))
		Expect(ok).To(BeFalse(), "half of the slots are kept")
		Expect(pick(pinned(5000, "v1"))).To(Equal(ident.BackendID("d1")))
	})

	It("prefers the engines of common versions for new requests", func() {
		put("d1", backends.Decode, "v1")
		put("d2", backends.Decode, "v2")
		put("d3", backends.Decode, "v2")
		d.Begin("d2", backends.Load{Requests: 1, Memory: 10_000})
		d.Begin("d3", backends.Load{Requests: 1, Memory: 10_000})
		Expect(pick(query(5000))).NotTo(Equal(ident.BackendID("d1")))
	})

	It("does not switch the last decode engine of a version to prefill", func() {
		put("d1", backends.Decode, "v1")
		for _, id := range []ident.BackendID{"d2", "d3", "d4"} {
			put(id, backends.Decode, "v2")
			d.Begin(id, backends.Load{Requests: 1})
		}
		t, ok := d.PickSwitch(now, "lm", backends.Decode)
		Expect(ok).To(BeTrue())
		Expect(t.ID).NotTo(Equal(ident.BackendID("d1")))
	})

	It("keeps no room while no version is scarce", func() {
		put("d1", backends.Decode, "v1")
		put("d2", backends.Decode, "v2")
		Expect(pick(query(memory))).NotTo(BeEmpty())
	})

	It("prefers prefill at the version of the decode, but does not require it", func() {
		put("p1", backends.Prefill, "v1")
		put("p2", backends.Prefill, "v2")
		q := backends.Query{
			Service: "lm", Stage: backends.Prefill, Version: "v2", MemoryPerServer: memory,
			Need: backends.Load{Requests: 1, Memory: 1000, Prompt: 1000},
		}
		for range 10 {
			t, _, ok := d.PickPrefill(now, q)
			Expect(ok).To(BeTrue())
			Expect(t.ID).To(Equal(ident.BackendID("p2")))
		}
		d.Remove("p2")
		t, _, ok := d.PickPrefill(now, q)
		Expect(ok).To(BeTrue())
		Expect(t.ID).To(Equal(ident.BackendID("p1")))
	})

	It("knows which versions are listed", func() {
		put("d1", backends.Decode, "v1")
		Expect(d.OneVersion("lm", backends.Decode)).To(BeTrue())
		put("p1", backends.Prefill, "v2")
		Expect(d.OneVersion("lm", backends.Decode)).To(BeTrue())
		Expect(d.ListedVersion("lm", backends.Decode, "v2", nil)).To(BeFalse())
		put("d2", backends.Decode, "v2")
		Expect(d.OneVersion("lm", backends.Decode)).To(BeFalse())
		Expect(d.ListedVersion("lm", backends.Decode, "v2", nil)).To(BeTrue())
		Expect(d.ListedVersion("lm", backends.Decode, "v2", []ident.BackendID{"d2"})).To(BeFalse())
		d.Put(backends.Entry{ID: "d2", Service: "lm", Addr: "d2", Stage: backends.Decode, StartedAt: 1, Version: "v2", Draining: true})
		Expect(d.ListedVersion("lm", backends.Decode, "v2", nil)).To(BeFalse())
	})

	// Guards against a request that is sent to a process of another version than it was
	// picked for.
	It("does not accept a request for a process of another version", func() {
		put("d1", backends.Decode, "v1")
		t, _ := d.PickDecode(now, query(5000))
		Expect(d.Accepts(now, t)).To(BeTrue())
		put("d1", backends.Decode, "v2")
		Expect(d.Accepts(now, t)).To(BeFalse())
	})
})
