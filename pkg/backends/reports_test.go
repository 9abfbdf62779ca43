package backends_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

var _ = Describe("unreachable reports of other hosts", func() {
	const servers = 20
	query := backends.Query{Service: "app", PreferredDomain: "a", UnseenRequests: 30}
	var now time.Time
	directory := func(seed uint64) *backends.Directory {
		cfg := backends.DefaultConfig("a")
		cfg.Seed = seed
		d := backends.NewDirectory(cfg)
		for n := range servers {
			d.Put(backends.Entry{ID: ident.BackendID(fmt.Sprintf("s%02d", n)), Service: "app", Domain: "a", Slots: 6, StartedAt: 1})
		}
		return d
	}
	BeforeEach(func() { now = time.Unix(1000, 0) })

	// Guards against a fleet in which every host loses requests of its own to each faulty
	// server. Load pattern: a few servers reset connections, and each of 40 hosts sends
	// them few requests.
	It("keep the hosts of a fleet from each losing requests to the same server", func() {
		const hosts, bad = 40, 4
		isBad := func(id ident.BackendID) bool { return id < ident.BackendID(fmt.Sprintf("s%02d", bad)) }
		lost := func(shared bool) int {
			var fleet []*backends.Directory
			for h := range hosts {
				fleet = append(fleet, directory(uint64(h)))
			}
			n := 0
			for round := range 40 { // each 50 ms long, with a request at every fourth host
				at := now.Add(time.Duration(round) * 50 * time.Millisecond)
				for h, d := range fleet {
					if (h+round)%4 != 0 {
						continue
					}
					t, ok := d.PickPlain(at, query)
					Expect(ok).To(BeTrue())
					if isBad(t.ID) {
						n++
						d.Failed(at, t.ID, backends.Unreachable)
						continue
					}
					d.Succeeded(at, t.ID)
				}
				for h, d := range fleet {
					if !shared || !d.HasNewReport() {
						continue
					}
					d.MarkReported()
					for o, other := range fleet {
						if o != h {
							other.ApplyReports(at, d.UnreachableReports(at))
						}
					}
				}
			}
			return n
		}
		alone, shared := lost(false), lost(true)
		GinkgoWriter.Printf("lost %d without sharing, %d with shared reports\n", alone, shared)
		Expect(shared).To(BeNumerically("<", alone/4))
	})

	It("have no effect once the server has answered this host", func() {
		d := directory(1)
		d.ApplyReports(now, []backends.UnreachableReport{{ID: "s00"}})
		noUnseen := backends.Query{Service: "app", PreferredDomain: "a"}
		for n := 1; n < servers; n++ {
			d.Begin(ident.BackendID(fmt.Sprintf("s%02d", n)), backends.Load{Requests: 5})
		}
		t, _ := d.PickPlain(now, noUnseen)
		Expect(t.ID).NotTo(Equal(ident.BackendID("s00")), "reported unreachable")
		d.Succeeded(now.Add(time.Millisecond), "s00")
		t, _ = d.PickPlain(now.Add(time.Millisecond), noUnseen)
		Expect(t.ID).To(Equal(ident.BackendID("s00")))
	})

	It("leave a reported server in use when no other has capacity, and expire", func() {
		d := directory(1)
		d.ApplyReports(now, []backends.UnreachableReport{{ID: "s00"}})
		for n := 1; n < servers; n++ {
			d.Begin(ident.BackendID(fmt.Sprintf("s%02d", n)), backends.Load{Requests: 18})
		}
		t, ok := d.PickPlain(now, query)
		Expect(ok).To(BeTrue())
		Expect(t.ID).To(Equal(ident.BackendID("s00")))

		d = directory(1)
		d.ApplyReports(now, []backends.UnreachableReport{{ID: "s00", Age: time.Second}})
		for n := 1; n < servers; n++ {
			d.Begin(ident.BackendID(fmt.Sprintf("s%02d", n)), backends.Load{Requests: 1})
		}
		later := now.Add(1100 * time.Millisecond)
		t, _ = d.PickPlain(later, backends.Query{Service: "app", PreferredDomain: "a"})
		Expect(t.ID).To(Equal(ident.BackendID("s00")))
	})

	It("are sent until they expire or the server answers, the most recent first", func() {
		d := directory(1)
		d.Failed(now, "s03", backends.Unreachable)
		Expect(d.HasNewReport()).To(BeTrue())
		d.Failed(now.Add(time.Second), "s04", backends.Unreachable)
		Expect(d.UnreachableReports(now.Add(time.Second))).To(Equal([]backends.UnreachableReport{{ID: "s04"}, {ID: "s03", Age: time.Second}}))
		d.Reached(now.Add(1100*time.Millisecond), "s04")
		Expect(d.UnreachableReports(now.Add(1200 * time.Millisecond))).To(HaveLen(1))
		Expect(d.UnreachableReports(now.Add(3 * time.Second))).To(BeEmpty())
		d.MarkReported()
		d.ApplyReports(now.Add(4*time.Second), []backends.UnreachableReport{{ID: "s05"}})
		d.Failed(now.Add(4*time.Second), "s05", backends.Unreachable)
		Expect(d.HasNewReport()).To(BeFalse(), "another host has reported it")
	})
})
