package relay_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// regionHost has servers in the failure domains a and b, of the regions ra and rb, and in x of
// no region. The lists are those of all routes and of the organisation.
func regionHost(route, org []ident.Region) *host {
	h := newHostWith(func(c *relay.Config) {
		c.Regions = map[ident.FailureDomain]ident.Region{"a": "ra", "b": "rb", "x": ""}
	})
	s := snapshot(1, goodKey)
	s.Routes(func(r *catalog.Route) { r.AllowedRegions = route })
	s.Organisation("org").AllowedRegions = org
	h.step(relay.ConfigRead{Snapshot: s})
	var entries []backends.Entry
	for _, domain := range []ident.FailureDomain{"a", "b", "x", "y"} {
		for id, stage := range map[string]backends.Stage{"p": backends.Prefill, "d": backends.Decode, "s": backends.Plain} {
			e := backends.Entry{ID: ident.BackendID(string(domain) + id), Service: "lm", Stage: stage, Domain: domain, StartedAt: 1, Slots: 6}
			if stage == backends.Plain {
				e.Service = "app"
			}
			e.Addr = string(e.ID)
			entries = append(entries, e)
		}
	}
	h.step(relay.EntriesListed{Entries: entries})
	h.wait(10 * time.Second)
	h.platformRead()
	return h
}

// Guards against requests and KV caches that leave the regions that operators allow.
var _ = DescribeTable("allowed regions",
	func(route, org []ident.Region, allowed string) {
		h := regionHost(route, org)
		inside := func(id ident.BackendID) bool { return slices.Contains([]byte(allowed), id[0]) }
		for range 30 {
			var seen []ident.BackendID
			see := func() { seen = append(seen, targets(h.out)...) }
			id := h.submit("/read/x", relay.RequestSpec{})
			if allowed == "" {
				Expect(expect[relay.Refuse](h)).To(And(HaveField("Status", 503), HaveField("Reason", relay.NoRegion)))
				h.submitModel("/summary/x")
				Expect(expect[relay.Refuse](h)).To(And(HaveField("Status", 503), HaveField("Reason", relay.NoRegion)))
				continue
			}
			see()
			h.step(relay.CallEnded{ID: id, Attempt: expect[relay.Call](h).Attempt.Attempt, Outcome: relay.NotRun})
			see()
			h.step(relay.CallerLeft{ID: id})
			// A stream that breaks continues elsewhere, with another prefill.
			id = h.submitModel("/summary/x")
			see()
			d := h.advanceToDecode(id)
			see()
			h.step(relay.CallEnded{ID: id, Attempt: d.Attempt.Attempt, Outcome: relay.NotRun})
			see()
			h.step(relay.CallerLeft{ID: id})
			see()
			Expect(seen).NotTo(BeEmpty())
			for _, s := range seen {
				Expect(inside(s)).To(BeTrue(), "%s", s)
			}
			h.wait(500 * time.Millisecond)
			h.platformRead()
		}
	},
	Entry("of the route", []ident.Region{"rb"}, nil, "b"),
	Entry("of the organisation", nil, []ident.Region{"ra", "elsewhere"}, "a"),
	Entry("of both", []ident.Region{"ra", "rb"}, []ident.Region{"rb"}, "b"),
	Entry("of both, with none in common", []ident.Region{"ra"}, []ident.Region{"rb"}, ""),
	Entry("without a server", []ident.Region{"elsewhere"}, nil, ""),
	Entry("that name the empty region", []ident.Region{""}, nil, ""),
	Entry("of nobody", nil, nil, "abxy"),
)

// Guards against requests that wait for a region that is full and hold up all others.
var _ = It("a request that waits for its region does not hold up others", func() {
	h := regionHost(nil, []ident.Region{"ra"})
	s := snapshot(2, goodKey)
	s.AddOrganisation(&catalog.Organisation{Name: "free"}, []string{"free-key"})
	s.Organisation("org").AllowedRegions = []ident.Region{"ra"}
	h.step(relay.ConfigRead{Snapshot: s.Build()})
	free := relay.RequestSpec{Key: "free-key", PromptTokens: 5000, MaxOutputTokens: 1000, TokensKnown: true, Deadline: 14 * time.Second}
	for range 15 {
		h.submitModel("/verdict/x")
	}
	expectNone[relay.Reserve](h)
	for range 5 { // after the first ones, the other organisation comes first
		h.submit("/verdict/y", free)
		Expect(expect[relay.Reserve](h).To.Domain).NotTo(Equal(ident.FailureDomain("a")))
	}
})
