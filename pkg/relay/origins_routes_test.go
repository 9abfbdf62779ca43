package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

var _ = Describe("the origins of streams, by their routes,", func() {
	// Guards against a stream that goes on at another service of the route's split, because
	// the caller's next attempt has another id.
	It("are looked for in the service that began the stream", func() {
		h := newHost()
		s := snapshot(1, goodKey)
		s.Services["lm2"] = &catalog.Service{Name: "lm2", Engine: s.Services["lm"].Engine}
		s.Match("h", "/summary/").Split = []catalog.Share{{Service: "lm", Weight: 1}, {Service: "lm2", Weight: 1}}
		h.step(relay.ConfigRead{Snapshot: s})
		entries := []backends.Entry{
			engine("p1", backends.Prefill, "v1"), engine("d1", backends.Decode, "v1"),
			engine("p2", backends.Prefill, "v2"), engine("d2", backends.Decode, "v2"),
		}
		entries[2].Service, entries[3].Service = "lm2", "lm2"
		h.step(relay.EntriesListed{Entries: entries})
		h.wait(25 * time.Second) // until one version alone can have begun the streams of each service
		h.platformRead()
		began := map[ident.BackendID]int{}
		for i := range 10 {
			first := fmt.Sprint("request-", i)
			to := h.begin(first).To
			began[to.ID]++
			for j := range 10 {
				h.stream(fmt.Sprint("again-", j), first)
				Expect(expect[relay.Reserve](h).To.ID).To(Equal(to.ID))
			}
		}
		Expect(began).To(HaveLen(2))
	})

	// Guards against a stream that outlives the record of its version.
	It("are kept for as long as callers may resume the streams of any route", func() {
		h := newHost()
		s := snapshot(1, goodKey)
		s.Match("h", "/summary/").Timeout = time.Minute
		h.step(relay.ConfigRead{Snapshot: s})
		h.step(relay.EntriesListed{Entries: []backends.Entry{
			engine("p1", backends.Prefill, "v1"), engine("d1", backends.Decode, "v1"), engine("d2", backends.Decode, "v2"),
		}})
		h.wait(10 * time.Second)
		h.platformRead()
		d := h.begin("first")
		h.step(relay.CallerLeft{ID: d.ID})
		h.step(relay.EntryRemoved{ID: d.To.ID})
		h.wait(50 * time.Second)
		h.platformRead()
		h.stream("again", "first")
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.VersionGone))
	})
})
