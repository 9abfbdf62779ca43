package fake_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/record"
)

var _ = Describe("Admin", func() {
	var d *fake.Deployment
	var s *httptest.Server

	BeforeEach(func() {
		var err error
		d, err = fake.Adwenpa(fake.Options{Rules: "first"})
		Expect(err).NotTo(HaveOccurred())
		s = httptest.NewServer(d.Admin())
		DeferCleanup(func() { s.Close(); d.Close() })
	})
	post := func(path, body string) int {
		resp, err := s.Client().Post(s.URL+"/fake/"+path, "", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	get := func(path string, v any) {
		resp, err := s.Client().Get(s.URL + "/fake/" + path)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(json.NewDecoder(resp.Body).Decode(v)).To(Succeed())
	}

	It("changes the host list and the rules and records the changes", func() {
		Expect(post("hosts", `[{"id":"accra-a-0","addr":"127.0.0.1:1","domain":"accra-a"}]`)).To(Equal(http.StatusNoContent))
		Expect(post("leaving?id=accra-a-0", "")).To(Equal(http.StatusNoContent))
		Expect(post("remove?id=refill-desk-accra-a-0", "")).To(Equal(http.StatusNoContent))
		Expect(post("rules?revision=2", "second")).To(Equal(http.StatusNoContent))
		Expect(post("note", `{"kind":"stopping","host":"accra-a-0"}`)).To(Equal(http.StatusNoContent))
		var st fake.Status
		get("status", &st)
		Expect(st.Hosts.EntryHosts).To(HaveLen(1))
		Expect(st.Hosts.EntryHosts[0].Leaving).To(BeTrue())
		Expect(st.Hosts.Backends).To(HaveLen(14))
		var rs []record.Record
		get("events?after=1", &rs)
		kinds := []record.Kind{}
		for _, r := range rs {
			kinds = append(kinds, r.Kind)
		}
		Expect(kinds).To(Equal([]record.Kind{record.Leaving, record.Removed, record.Published, record.Stopping}))
	})

	It("crashes, restarts and injects faults into backend servers", func() {
		const id = "mulberry-lm-accra-a-d0"
		report := func() error {
			resp, err := http.Get("http://" + d.Engine(id).Info().Addr + "/engine/report")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
		Expect(report()).To(Succeed())
		Expect(post("backend?id="+id+"&do=crash", "")).To(Equal(http.StatusNoContent))
		Expect(report()).NotTo(Succeed())
		Expect(post("backend?id="+id+"&do=restart", "")).To(Equal(http.StatusNoContent))
		Expect(report()).To(Succeed())
		Expect(post("faults?id="+id, `{"Slow":3}`)).To(Equal(http.StatusNoContent))
		for _, action := range []string{"down", "up", "silent", "loud", "freeze", "thaw", "back&n=1"} {
			Expect(post("platform?do="+action, "")).To(Equal(http.StatusNoContent), action)
		}
	})

	DescribeTable("rejects invalid requests", func(path, body string) {
		Expect(post(path, body)).To(Equal(http.StatusBadRequest))
	},
		Entry("unknown server", "backend?id=x&do=crash", ""),
		Entry("unknown action", "backend?id=mulberry-lm-accra-a-d0&do=x", ""),
		Entry("unknown platform action", "platform?do=x", ""),
		Entry("no revision", "rules", "x"),
		Entry("malformed faults", "faults?id=mulberry-lm-accra-a-d0", "{"),
		Entry("malformed note", "note", "{"),
		Entry("malformed hosts", "hosts", "{"),
	)
})
