package backends_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Guards against requests to a process that leaves or has asked for time, over random
// courses of announcements, waits, restarts, outages of the list and cuts.
var _ = Describe("servers that speak for themselves", func() {
	type process struct {
		id        ident.BackendID
		startedAt int64
	}
	It("are never picked against what their process has said", func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 3))
			now := time.Unix(1000, 0)
			d := backends.NewDirectory(backends.DefaultConfig("a"))
			leaving, waitUntil := map[process]bool{}, map[process]time.Time{}
			var servers []process
			put := func(p process) {
				d.Put(backends.Entry{ID: p.id, Service: "app", Addr: string(p.id), Domain: "a", Slots: 4, StartedAt: p.startedAt})
			}
			for i := range 4 {
				servers = append(servers, process{ident.BackendID(fmt.Sprint("s", i)), 1})
				put(servers[i])
			}
			picks := 0
			for range 300 {
				now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
				i := rng.IntN(len(servers))
				p := servers[i]
				switch rng.IntN(24) {
				case 0:
					d.AnnounceLeaving(now, backends.LeavingReport{ID: p.id, StartedAt: p.startedAt}, rng.IntN(2) == 0)
					leaving[p] = true
				case 1, 2, 3:
					wait := time.Duration(rng.IntN(3000)) * time.Millisecond
					d.AskForTime(now, p.id, p.startedAt, wait)
					if until := now.Add(wait); until.After(waitUntil[p]) {
						waitUntil[p] = until
					}
				case 4, 5: // a new process, of which late answers of the old one say nothing
					servers[i].startedAt++
					put(servers[i])
					d.AnnounceLeaving(now, backends.LeavingReport{ID: p.id, StartedAt: p.startedAt}, true)
					d.AskForTime(now, p.id, p.startedAt, time.Minute)
				case 6: // the entry lapses while the store is away, and comes back
					d.Depart(now, p.id)
					put(p)
				case 7:
					d.StoreRestored(now)
					for _, s := range servers {
						d.PutListed(backends.Entry{ID: s.id, Service: "app", Addr: string(s.id), Domain: "a", Slots: 4, StartedAt: s.startedAt})
					}
				case 8:
					d.Failed(now, p.id, backends.Unreachable)
				default:
					t, ok := d.PickPlain(now, backends.Query{Service: "app"})
					if !ok {
						continue
					}
					picks++
					picked := process{t.ID, t.StartedAt}
					Expect(leaving[picked]).To(BeFalse(), "seed %d: %v leaves", seed, picked)
					Expect(now.Before(waitUntil[picked])).To(BeFalse(), "seed %d: %v has asked for time", seed, picked)
					Expect(servers).To(ContainElement(picked), "seed %d", seed)
					d.Succeeded(now, t.ID)
				}
			}
			Expect(picks).To(BeNumerically(">", 10), "seed %d", seed)
		}
	})

	It("say when the first of a service takes requests again, if all have asked for time", func() {
		now := time.Unix(1000, 0)
		d := backends.NewDirectory(backends.DefaultConfig("a"))
		for _, id := range []ident.BackendID{"s1", "s2"} {
			d.Put(backends.Entry{ID: id, Service: "app", Slots: 4, StartedAt: 1})
		}
		d.AskForTime(now, "s1", 1, 4*time.Second)
		Expect(d.TimeUntilAccepting(now, "app", backends.Plain)).To(BeZero())
		d.AskForTime(now, "s2", 1, 2*time.Second)
		Expect(d.TimeUntilAccepting(now, "app", backends.Plain)).To(BeNumerically("~", 2250*time.Millisecond, 250*time.Millisecond))
		d.AnnounceLeaving(now, backends.LeavingReport{ID: "s2", StartedAt: 1}, true)
		Expect(d.TimeUntilAccepting(now, "app", backends.Plain)).To(BeNumerically(">=", 4*time.Second))
	})

	It("are reported to other hosts only for what they said to this one, and in bounded number", func() {
		now := time.Unix(1000, 0)
		d := backends.NewDirectory(backends.DefaultConfig("a"))
		for i := range 100 {
			id := ident.BackendID(fmt.Sprint("s", i))
			d.Put(backends.Entry{ID: id, Service: "app", StartedAt: 1})
			d.AnnounceLeaving(now, backends.LeavingReport{ID: id, StartedAt: 1}, i%2 == 0)
		}
		reports := d.LeavingReports(now)
		Expect(reports).To(HaveLen(16))
		Expect(reports).NotTo(ContainElement(backends.LeavingReport{ID: "s1", StartedAt: 1}))
		Expect(d.LeavingReports(now.Add(time.Minute))).To(BeEmpty())
	})
})
