package reclaim_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

func TestReclaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reclaim")
}

var epoch = time.Unix(1_800_000_000, 0)

var _ = Describe("Tracker", func() {
	p := ident.Process{Host: "teku-1", Incarnation: 5}
	ref := ident.BackendRef{Request: ident.NewRequestID(p, 7), Attempt: 2}
	const decode ident.BackendID = "decode-0"
	var t *reclaim.Tracker
	var now time.Time

	BeforeEach(func() {
		t = reclaim.New(reclaim.Config{ClaimInterval: time.Second, OrphanGrace: 3 * time.Second})
		now = epoch
	})

	observe := func(refs ...ident.BackendRef) {
		var held []engine.HeldRequest
		for _, r := range refs {
			held = append(held, engine.HeldRequest{Ref: r})
		}
		t.Observe(now, decode, held)
	}
	// run calls Tick for d and answers the queries with reply unless it is nil.
	run := func(d time.Duration, reply func(reclaim.Query) reclaim.Reply) (orphans []reclaim.Orphan) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			qs, os := t.Tick(now)
			orphans = append(orphans, os...)
			for _, q := range qs {
				if reply != nil {
					orphans = append(orphans, t.Receive(now, q.Process.Host, reply(q))...)
				}
			}
		}
		return orphans
	}
	owned := func(q reclaim.Query) reclaim.Reply {
		return q.Answer(func(ident.BackendRef) bool { return true })
	}
	notOwned := func(q reclaim.Query) reclaim.Reply {
		return q.Answer(func(ident.BackendRef) bool { return false })
	}
	orphan := reclaim.Orphan{Ref: ref, Engines: []ident.BackendID{decode}}

	It("keeps work that its host claims, for as long as it runs", func() {
		observe(ref)
		Expect(run(30*time.Second, owned)).To(BeEmpty())
	})

	It("reports work that its host no longer owns, and repeats it while the engine holds it", func() {
		observe(ref)
		os := run(5*time.Second, notOwned)
		Expect(len(os)).To(BeNumerically(">=", 4))
		Expect(os).To(HaveEach(orphan))
		observe()
		Expect(run(2*time.Second, notOwned)).To(BeEmpty())
		Expect(t.Len()).To(BeZero())
	})

	It("reports work of a silent host after the grace period, not before", func() {
		observe(ref)
		Expect(run(2900*time.Millisecond, nil)).To(BeEmpty())
		Expect(run(500*time.Millisecond, nil)).To(ConsistOf(orphan))
	})

	It("reports work of a dead host or an older incarnation without waiting", func() {
		observe(ref)
		t.SetHosts(map[ident.HostID]reclaim.Host{p.Host: {Incarnation: 5, Live: true}})
		Expect(run(300*time.Millisecond, nil)).To(BeEmpty())
		t.SetHosts(map[ident.HostID]reclaim.Host{p.Host: {Incarnation: 6, Live: true}})
		Expect(run(300*time.Millisecond, nil)).To(ConsistOf(orphan))
	})

	It("reports a reservation that no engine holds yet, so that its slot is freed after a lost release", func() {
		t.Renew(now, ref)
		Expect(run(2*time.Second, notOwned)).To(ConsistOf(reclaim.Orphan{Ref: ref}))
		Expect(t.Len()).To(BeZero())
	})

	It("reports work whose request id names no host after the grace period", func() {
		bad := ident.BackendRef{Request: "manual-test"}
		observe(bad)
		Expect(run(2900*time.Millisecond, owned)).To(BeEmpty())
		Expect(run(500*time.Millisecond, owned)).To(HaveLen(1))
	})

	It("does not treat hosts as silent after a pause of its own process", func() {
		observe(ref)
		now = now.Add(time.Minute)
		t.Resumed(now)
		Expect(run(2*time.Second, owned)).To(BeEmpty())
	})

	It("ignores replies from another host, to unknown queries and from other processes", func() {
		observe(ref)
		now = now.Add(1500 * time.Millisecond)
		qs, _ := t.Tick(now)
		Expect(qs).To(HaveLen(1))
		bad := notOwned(qs[0])
		Expect(t.Receive(now, "teku-2", bad)).To(BeEmpty())
		bad.ID++
		Expect(t.Receive(now, p.Host, bad)).To(BeEmpty())
		other := notOwned(qs[0])
		other.Process.Incarnation++
		Expect(t.Receive(now, p.Host, other)).To(BeEmpty())
		Expect(t.Receive(now, p.Host, notOwned(qs[0]))).To(ConsistOf(orphan))
		Expect(t.Receive(now, p.Host, notOwned(qs[0]))).To(BeEmpty(), "a repeated reply")
	})

	It("asks about all claims of a host in one message", func() {
		var refs []ident.BackendRef
		for n := range uint64(50) {
			refs = append(refs, ident.BackendRef{Request: ident.NewRequestID(p, n), Attempt: 1})
		}
		observe(refs...)
		queries := 0
		run(10*time.Second, func(q reclaim.Query) reclaim.Reply {
			queries++
			Expect(q.Claims).To(HaveLen(50))
			return owned(q)
		})
		Expect(queries).To(BeNumerically("<=", 12))
	})
})
