package checker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checker")
}

type rec = checker.Record

var epoch = time.Unix(1_000_000, 0)

// at sets the time of a record to a number of seconds after the epoch.
func at(seconds float64, r rec) rec {
	r.Time = epoch.Add(time.Duration(seconds * float64(time.Second)))
	return r
}

// Records of callers. The id of a call is also its content.
func sent(t float64, id string) rec {
	return at(t, rec{Kind: record.Sent, Call: id, Content: id, Organisation: "a", Key: "ka", Host: "h", Want: "ans-" + id})
}
func answered(t float64, id string) rec {
	return at(t, rec{Kind: record.Answered, Call: id, Content: id, Text: "ans-" + id})
}
func denied(t float64, id, ran string) rec {
	return at(t, rec{Kind: record.Denied, Call: id, Content: id, Ran: ran})
}
func broken(t float64, id string) rec {
	return at(t, rec{Kind: record.Broken, Call: id, Content: id, Text: "an"})
}

// Records of servers. The id of a request is also its content.
func work(t float64, kind record.Kind, step, server, id string) rec {
	ref := &ident.BackendRef{Request: ident.RequestID(id), Attempt: 1}
	return at(t, rec{Kind: kind, Step: step, Server: server, Content: id, Ref: ref, Model: "m", Version: "v1", Group: "g"})
}
func server(t float64, kind record.Kind, name string) rec {
	return at(t, rec{Kind: kind, Server: name})
}
func host(t float64, kind record.Kind, name ident.HostID, rev ident.Revision) rec {
	return at(t, rec{Kind: kind, Host: name, Revision: rev})
}
func published(t float64, rev ident.Revision) rec {
	return at(t, rec{Kind: record.Published, Server: "platform", Revision: rev})
}

// used returns the records of a complete call that used a number of tokens.
func used(sentAt, start float64, id string, tokens int) []rec {
	end := work(start+0.1, record.End, "decode", "d", id)
	end.Prompt, end.Tokens = tokens/2, tokens-tokens/2
	return []rec{sent(sentAt, id), work(start, record.Start, "prefill", "p", id), end, answered(start+0.2, id)}
}

func config() checker.Config {
	c := checker.DefaultConfig()
	c.Keys = map[ident.KeyID]checker.Key{
		"ka": {Organisation: "a", Secret: "s3cret"},
		"kb": {Organisation: "b", Secret: "other", Withdrawn: epoch.Add(10 * time.Second)},
	}
	c.Organisations = map[ident.Organisation]checker.RateLimit{"a": {Rate: 10, Burst: 100}}
	c.Allowed = map[ident.Organisation][]ident.Model{"a": {"m"}, "b": {"m"}}
	c.OpenRoutes = []string{"/open"}
	c.Hosts = []ident.HostID{"h"}
	c.Recalls = []checker.Recall{
		{Time: epoch.Add(10 * time.Second), Version: "v0"},
		{Time: epoch.Add(10 * time.Second), Ended: epoch.Add(30 * time.Second), Version: "v9"},
	}
	c.Outages = []checker.Outage{{From: epoch.Add(100 * time.Second), To: epoch.Add(200 * time.Second)}}
	return c
}

func with(r rec, change func(*rec)) rec {
	change(&r)
	return r
}

func slow(r *rec) { r.Reason = "slow" }

func byKeyB(r *rec) { r.Organisation, r.Key = "b", "kb" }

func join(lists ...[]rec) []rec {
	var out []rec
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

var _ = Describe("Check", func() {
	hold := work(1, record.Hold, "import", "d", "x")
	arrive := work(0.5, record.Arrival, "prefill", "p", "x")
	leaving := server(10, record.Leaving, "p")

	DescribeTable("finds violations of an invariant, and none in a clean run",
		func(invariant int, violating, clean []rec) {
			got := checker.Check(violating, config())
			Expect(got).NotTo(BeEmpty())
			for _, v := range got {
				Expect(v.Invariant).To(Equal(invariant), v.String())
			}
			Expect(checker.Check(clean, config())).To(BeEmpty())
		},
		Entry("memory held after the end of the call, linked to it only by the request id", 1,
			[]rec{sent(0, "x"), arrive, with(hold, func(r *rec) { r.Content = "" }), answered(2, "x"), work(9, record.Free, "import", "d", "x")},
			[]rec{sent(0, "x"), arrive, hold, answered(2, "x"), work(4, record.Free, "import", "d", "x")}),
		Entry("memory never freed", 1,
			[]rec{sent(0, "x"), hold, broken(2, "x"), server(30, record.Restart, "q")},
			[]rec{sent(0, "x"), hold, broken(2, "x"), server(3, record.Crash, "d"), server(30, record.Restart, "q")}),
		Entry("memory held while another caller of the content waits", 1,
			[]rec{sent(0, "x"), hold, broken(2, "x"), sent(20, "y")},
			[]rec{sent(0, "x"), hold, broken(2, "x"), with(sent(1, "y"), func(r *rec) { r.Content = "x" }), server(30, record.Restart, "q")}),
		Entry("two answers", 2,
			[]rec{sent(0, "x"), answered(1, "x"), answered(2, "x")},
			[]rec{sent(0, "x"), answered(1, "x")}),
		Entry("an answer after a refusal", 2,
			[]rec{sent(0, "x"), denied(1, "x", "unknown"), answered(2, "x")},
			[]rec{sent(0, "x"), denied(1, "x", "unknown")}),
		Entry("work with an unknown key", 3,
			[]rec{with(sent(0, "x"), func(r *rec) { r.Key = "kx" }), work(1, record.Start, "decode", "d", "x")},
			[]rec{with(sent(0, "x"), func(r *rec) { r.Key, r.Path = "", "/open/x" }), work(1, record.Start, "call", "d", "x")}),
		Entry("work with the key of another organisation", 3,
			[]rec{with(sent(0, "x"), func(r *rec) { r.Organisation = "b" }), work(1, record.Start, "decode", "d", "x")},
			[]rec{sent(0, "x"), work(1, record.Start, "decode", "d", "x")}),
		Entry("work that no call requested", 3,
			[]rec{sent(0, "y"), work(1, record.Start, "decode", "d", "x")},
			[]rec{sent(0, "x"), work(1, record.Start, "decode", "d", "x")}),
		Entry("a model that the organisation may not use", 3,
			[]rec{sent(0, "x"), with(work(1, record.Start, "decode", "d", "x"), func(r *rec) { r.Model = "n" })},
			[]rec{sent(0, "x"), work(1, record.Start, "decode", "d", "x")}),
		Entry("a key in a header", 3,
			[]rec{with(work(1, record.Arrival, "call", "s", "x"), func(r *rec) { r.Headers = []string{"X-Copy: ka.s3cret"} })},
			[]rec{with(work(1, record.Arrival, "call", "s", "x"), func(r *rec) { r.Headers = []string{"X-Request-Id: x"} })}),
		Entry("an authorization header or a key in a path", 3,
			[]rec{
				with(work(1, record.Arrival, "call", "s", "x"), func(r *rec) { r.Headers = []string{"authorization: y"} }),
				with(work(1, record.Arrival, "call", "s", "x"), func(r *rec) { r.Path = "GET /?key=s3cret" }),
			},
			[]rec{with(work(1, record.Arrival, "call", "s", "x"), func(r *rec) { r.Path = "GET /" })}),
		Entry("a withdrawn key that starts work", 3,
			[]rec{with(sent(17, "x"), byKeyB), work(18, record.Start, "prefill", "p", "x")},
			[]rec{with(sent(11, "x"), byKeyB), work(12, record.Start, "prefill", "p", "x")}),
		Entry("a stream that continues with a withdrawn key", 3,
			[]rec{with(sent(9, "x"), byKeyB), work(9, record.Start, "decode", "d", "x"), answered(17, "x")},
			[]rec{with(sent(9, "x"), byKeyB), work(9, record.Start, "decode", "d", "x"), broken(17, "x")}),
		Entry("usage above rate and burst in one window", 4,
			join(used(0, 0.1, "x", 60), used(1, 1.1, "y", 60)),
			join(used(0, 0.1, "x", 60), used(1, 3.1, "y", 60))),
		Entry("usage above rate and burst after a long idle period", 4,
			join(used(0, 0.1, "x", 60), used(1000, 1000.1, "y", 60), used(1001, 1001.1, "z", 60)),
			join(used(0, 0.1, "x", 60), used(1000, 1000.1, "y", 60), used(1010, 1010.1, "z", 60))),
		Entry("the answer to another call", 5,
			[]rec{sent(0, "x"), sent(0, "y"), with(answered(1, "x"), func(r *rec) { r.Text = "ans-y" })},
			[]rec{sent(0, "x"), sent(0, "y"), answered(1, "x"), answered(1, "y")}),
		Entry("an incomplete answer that ends as complete", 5,
			[]rec{sent(0, "x"), with(answered(1, "x"), func(r *rec) { r.Text = "ans" })},
			[]rec{sent(0, "x"), broken(1, "x")}),
		Entry("unexpected text before a break", 5,
			[]rec{sent(0, "x"), with(broken(1, "x"), func(r *rec) { r.Text = "zz" })},
			[]rec{sent(0, "x"), with(broken(1, "x"), func(r *rec) { r.Text = "ans" })}),
		Entry("a refusal as not run after the work ran", 6,
			[]rec{sent(0, "x"), work(1, record.Start, "prefill", "p", "x"), denied(2, "x", "not run")},
			[]rec{sent(0, "x"), work(1, record.Start, "prefill", "p", "x"), denied(2, "x", "ran")}),
		Entry("a refusal as not run before the work ran", 6,
			[]rec{sent(0, "x"), denied(1, "x", "not run"), work(2, record.Start, "call", "s", "x")},
			[]rec{sent(0, "x"), denied(1, "x", "not run"), with(sent(1.5, "y"), func(r *rec) { r.Content = "x" }),
				work(2, record.Start, "call", "s", "x")}),
		Entry("a non-idempotent call that ran twice", 7,
			[]rec{with(sent(0, "x"), func(r *rec) { r.NoRepeat = true }), work(1, record.Start, "call", "s", "x"), work(2, record.Start, "call", "q", "x")},
			[]rec{sent(0, "x"), work(1, record.Start, "call", "s", "x"), work(2, record.Start, "call", "q", "x")}),
		Entry("new work at a leaving server", 8,
			[]rec{leaving, work(16, record.Arrival, "import", "p", "x")},
			[]rec{leaving, work(14, record.Arrival, "import", "p", "x"), work(16, record.Arrival, "decode", "p", "x"),
				server(17, record.Restart, "p"), work(18, record.Arrival, "import", "p", "x")}),
		Entry("new work at a removed server", 8,
			[]rec{server(10, record.Removed, "p"), work(16, record.Arrival, "call", "p", "x")},
			[]rec{server(10, record.Removed, "p"), work(16, record.Arrival, "call", "q", "x")}),
		Entry("work of a recalled version", 8,
			[]rec{with(work(17, record.Arrival, "decode", "p", "x"), func(r *rec) { r.Version = "v0" })},
			[]rec{with(work(15, record.Arrival, "decode", "p", "x"), func(r *rec) { r.Version = "v0" }), work(17, record.Arrival, "decode", "p", "x")}),
		Entry("a load of a recalled version", 8,
			[]rec{at(17, rec{Kind: record.Order, Server: "p", Reason: "load_version", Version: "v0"})},
			[]rec{at(17, rec{Kind: record.Order, Server: "p", Reason: "change_role", Version: "v0"})}),
		Entry("a load before the recall was lifted", 8,
			[]rec{at(29, rec{Kind: record.Order, Server: "p", Reason: "load_version", Version: "v9"})},
			[]rec{at(31, rec{Kind: record.Order, Server: "p", Reason: "load_version", Version: "v9"})}),
		Entry("a stream cut by a graceful stop", 9,
			[]rec{sent(0, "x"), host(1, record.Stopping, "h", 0), broken(2, "x")},
			[]rec{sent(0, "x"), host(1, record.Stopping, "h", 0), host(2, record.Crash, "h", 0), broken(3, "x")}),
		Entry("a stream cut by a graceful stop, with a fault on a server that it does not use", 9,
			[]rec{sent(0, "x"), work(0.5, record.Arrival, "decode", "d", "x"), host(1, record.Stopping, "h", 0),
				with(server(1, record.FaultSet, "q"), slow), broken(2, "x")},
			[]rec{sent(0, "x"), work(0.5, record.Arrival, "decode", "d", "x"), host(1, record.Stopping, "h", 0),
				with(server(1, record.FaultSet, "d"), slow), broken(2, "x")}),
		Entry("a stream cut by a graceful stop after the fault of its server has ended", 9,
			[]rec{with(server(0, record.FaultSet, "d"), slow), server(1, record.FaultSet, "d"), sent(2, "x"),
				work(2, record.Arrival, "decode", "d", "x"), host(3, record.Stopping, "h", 0), broken(4, "x")},
			[]rec{with(server(0, record.FaultSet, "d"), slow), sent(2, "x"),
				work(2, record.Arrival, "decode", "d", "x"), host(3, record.Stopping, "h", 0), broken(4, "x")}),
		Entry("a stream cut by a graceful stop before the recall of its batch", 9,
			[]rec{sent(0, "x"), with(work(0.5, record.Arrival, "decode", "p", "x"), func(r *rec) { r.Version = "v0" }),
				host(1, record.Stopping, "h", 0), broken(2, "x")},
			[]rec{sent(0, "x"), with(work(0.5, record.Arrival, "decode", "p", "x"), func(r *rec) { r.Version = "v0" }),
				host(1, record.Stopping, "h", 0), broken(10.5, "x")}),
		Entry("a configuration that is applied late", 10,
			[]rec{published(1, 5), host(8, record.InForce, "h", 4)},
			[]rec{published(1, 5), host(6, record.InForce, "h", 4), host(8, record.InForce, "h", 5)}),
		Entry("a configuration that is applied late after an outage", 10,
			[]rec{published(99, 5), host(190, record.InForce, "h", 4), host(207, record.InForce, "h", 4)},
			[]rec{published(99, 5), host(190, record.InForce, "h", 4), host(207, record.InForce, "h", 6)}),
		Entry("a host that reverts to an older configuration", 10,
			[]rec{host(1, record.InForce, "h", 5), host(2, record.InForce, "h", 4)},
			[]rec{host(1, record.InForce, "h", 5), host(2, record.InForce, "h", 5)}),
		Entry("a restarted host that reverts to an older configuration", 10,
			[]rec{host(1, record.InForce, "h", 5), host(2, record.Restart, "h", 0), host(3, record.InForce, "h", 4)},
			[]rec{host(1, record.InForce, "h", 5), host(2, record.Restart, "h", 0), host(3, record.InForce, "h", 0), host(4, record.InForce, "h", 5)}),
		Entry("a restarted host that loses its configuration", 10,
			[]rec{host(1, record.InForce, "h", 5), host(2, record.Restart, "h", 0), host(3, record.InForce, "h", 5), host(4, record.InForce, "h", 0)},
			[]rec{host(1, record.InForce, "h", 5), host(2, record.Restart, "h", 0), host(3, record.InForce, "h", 0)}),
	)

	It("allows a graceful stop to cut streams after its limit", func() {
		c := config()
		c.StopLimit = 5 * time.Second
		run := []rec{sent(0, "x"), host(1, record.Stopping, "h", 0), broken(7, "x")}
		Expect(checker.Check(run, c)).To(BeEmpty())
		run[2] = broken(3, "x")
		Expect(checker.Check(run, c)).To(HaveLen(1))
	})

	It("does not expect hosts to apply a rejected configuration", func() {
		c := config()
		c.Rejected = []ident.Revision{5}
		Expect(checker.Check([]rec{published(1, 5), host(8, record.InForce, "h", 4)}, c)).To(BeEmpty())
	})
})
