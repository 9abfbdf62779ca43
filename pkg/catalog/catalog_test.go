package catalog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("a snapshot", func() {
	var s *catalog.Snapshot

	BeforeEach(func() {
		s = catalog.New(7)
		s.AddRoute(&catalog.Route{Name: "short", Host: "a.example", Prefix: "/x/"})
		s.AddRoute(&catalog.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"})
		s.AddRoute(&catalog.Route{Name: "other", Host: "b.example", Prefix: "/x/"})
		s.Build()
	})

	DescribeTable("matches the longest prefix of the host",
		func(host, path string, want ident.Route) {
			r := s.Match(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).NotTo(BeNil())
			Expect(r.Name).To(Equal(want))
		},
		Entry("short prefix", "a.example", "/x/1", ident.Route("short")),
		Entry("long prefix", "a.example", "/x/y/1", ident.Route("long")),
		Entry("prefix without its trailing slash", "a.example", "/x/y", ident.Route("short")),
		Entry("host with a port and in upper case", "B.example:80", "/x/1", ident.Route("other")),
		Entry("another host", "c.example", "/x/1", ident.Route("")),
		Entry("dot segments are not resolved", "a.example", "/z/../x/1", ident.Route("")),
	)

	It("finds the organisation of each key and none for unknown keys", func() {
		org := &catalog.Organisation{Name: "o"}
		s.AddOrganisation(org, []string{"k1", "k2"})
		Expect(s.OrganisationByKey("k2")).To(Equal(org))
		Expect(s.OrganisationByKey("k3")).To(BeNil())
		Expect(s.OrganisationByKey("")).To(BeNil())
	})

	It("splits requests by weight, and selects the same service for the same id", func() {
		s.Services["p"], s.Services["q"] = &catalog.Service{Name: "p"}, &catalog.Service{Name: "q"}
		r := &catalog.Route{Split: []catalog.Share{{Service: "p", Weight: 90}, {Service: "q", Weight: 10}}}
		n := map[ident.Route]int{}
		for i := range 10_000 {
			id := fmt.Sprint("request-", i)
			sv := s.Choose(r, id)
			Expect(s.Choose(r, id)).To(BeIdenticalTo(sv))
			n[sv.Name]++
		}
		Expect(n["p"]).To(BeNumerically("~", 9000, 200))
	})

	// Guards against a resumed stream that another host sends to another service.
	It("selects the same service at every host", func() {
		s.Services["p"], s.Services["q"] = &catalog.Service{Name: "p"}, &catalog.Service{Name: "q"}
		r := &catalog.Route{Split: []catalog.Share{{Service: "p", Weight: 1}, {Service: "q", Weight: 1}}}
		var names string
		for i := range 16 {
			names += string(s.Choose(r, fmt.Sprint("request-", i)).Name)
		}
		Expect(names).To(Equal("qpppqppqqpqppqpq"))
	})

	It("selects no service that is not in the configuration", func() {
		Expect(s.Choose(&catalog.Route{Split: []catalog.Share{{Service: "gone", Weight: 1}}}, "id")).To(BeNil())
		Expect(s.Choose(&catalog.Route{}, "id")).To(BeNil())
	})
})
