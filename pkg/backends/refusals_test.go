package backends_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

var _ = Describe("a refusal for lack of memory", func() {
	const capacity, need = 10_000, 2_000
	var (
		now   = time.Unix(1000, 0)
		d     *backends.Directory
		query = backends.Query{
			Service: "lm", Stage: backends.Decode, MemoryPerServer: capacity, SlotsPerServer: 64,
			Need: backends.Load{Requests: 1, Memory: need},
		}
	)
	BeforeEach(func() {
		d = backends.NewDirectory(backends.DefaultConfig("a"))
		d.Put(backends.Entry{ID: "e", Service: "lm", Stage: backends.Decode, StartedAt: 7})
		d.SetReportAge(time.Second)
	})
	fits := func(at time.Time) bool {
		_, ok := d.PickDecode(at, query)
		return ok
	}
	refuse := func() (backends.Refusal, bool) {
		d.Begin("e", query.Need)
		r, news := d.Refused(now, "e", capacity, need)
		d.End("e", query.Need)
		return r, news
	}

	// Guards against hosts that ask a full engine again before they can know better.
	It("counts as hidden load that decays over the age of the load reports", func() {
		_, news := refuse()
		Expect(news).To(BeTrue())
		Expect(fits(now.Add(100 * time.Millisecond))).To(BeFalse())
		Expect(fits(now.Add(900 * time.Millisecond))).To(BeTrue())
	})

	// Guards against load that is counted twice once the reports show it.
	It("is explained by reports that arrive later", func() {
		refuse()
		d.SetPeerLoads("peer", map[ident.BackendID]backends.Load{"e": {Requests: 3, Memory: 7_000}})
		d.SetPeerLoads("peer", map[ident.BackendID]backends.Load{"e": {Requests: 1, Memory: 7_000}})
		query.Need.Memory = 500
		defer func() { query.Need.Memory = need }()
		Expect(fits(now.Add(100 * time.Millisecond))).To(BeTrue())
	})

	// Guards against a refusal by a process that has ended, and against values out of range.
	It("of another host counts only for the same process", func() {
		for _, r := range []backends.Refusal{
			{ID: "e", StartedAt: 6, Used: capacity, At: now}, {ID: "e", StartedAt: 7, Used: -1, At: now}, {ID: "x", Used: capacity, At: now},
			{ID: "e", StartedAt: 7, Used: math.MaxInt64, At: now}, {ID: "e", StartedAt: 7, Used: 1 << 62, At: now},
			{ID: "e", StartedAt: 7, Used: capacity, At: now.Add(time.Hour)},
		} {
			Expect(d.ApplyRefusal(now, r, capacity)).To(BeFalse())
			Expect(fits(now)).To(BeTrue())
		}
		d.ApplyRefusal(now, backends.Refusal{ID: "e", StartedAt: 7, Used: capacity, At: now}, capacity)
		Expect(fits(now)).To(BeFalse())
	})

	// Guards against a host that does not use memory which its own requests have freed, while
	// the loads of the others are not up to date.
	It("does not hide memory that this host knows to be free", func() {
		d.ApplyRefusal(now, backends.Refusal{ID: "e", StartedAt: 7, Used: capacity, At: now}, capacity)
		d.Freed(now, "e", need)
		query.Freed = true
		defer func() { query.Freed = false }()
		Expect(fits(now)).To(BeTrue())
		d.UseFreed("e", need)
		Expect(fits(now)).To(BeFalse())
		Expect(d.TakeFreed(now, "e")).To(BeZero())
	})
})

var _ = Describe("a pacer", func() {
	// Guards against a reservation for every waiting request each time the queue is checked.
	It("lets one attempt at a time through, with a growing pause, until attempts succeed", func() {
		var p backends.Pacer
		now := time.Unix(1000, 0)
		attempts := 0
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
			for p.Free(now) && attempts < 1000 {
				attempts++
				p.Begin(now)
				p.Refused(now)
			}
		}
		Expect(attempts).To(BeNumerically("<", 12))
		for range 10 {
			p.Succeeded()
		}
		Expect(p.Slow()).To(BeFalse())
		Expect(p.Free(now)).To(BeTrue())
	})

	// Guards against a queue that stands still because an answer was lost.
	It("does not wait for an answer for ever", func() {
		var p backends.Pacer
		now := time.Unix(1000, 0)
		p.Refused(now)
		now = now.Add(time.Second)
		p.Begin(now)
		Expect(p.Free(now)).To(BeFalse())
		Expect(p.Free(now.Add(time.Second))).To(BeTrue())
	})
})
