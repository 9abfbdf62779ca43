package relaysoak

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

func TestRelaySoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relaysoak")
}

// runLength covers the bound for a withdrawn key and some seconds of faults before the
// withdrawal.
const runLength = 16 * time.Second

// releaseLength covers some releases.
const releaseLength = 10 * time.Second

// regressions lists seeds that have failed before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// envInt reads an integer from an environment variable.
func envInt(name string, fallback int) int {
	GinkgoHelper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred(), name)
	return n
}

// selectedFaults returns the faults that FAULTS names.
func selectedFaults() []fault {
	GinkgoHelper()
	var only []fault
	for name := range strings.FieldsFuncSeq(os.Getenv("FAULTS"), func(r rune) bool { return r == '+' }) {
		f, err := faultByName(name)
		Expect(err).NotTo(HaveOccurred())
		only = append(only, f)
	}
	return only
}

func runSeed(seed uint64, s shape, length time.Duration, only []fault) outcome {
	GinkgoHelper()
	d, err := start(GinkgoT().TempDir(), s, seed)
	Expect(err).NotTo(HaveOccurred())
	defer d.close()
	o := execute(d, seed, length, only)
	fmt.Printf("seed %d: %d of %d calls served, %d of %d resumed streams went on, %d faults, %d violations\n",
		o.seed, o.served, o.calls, o.wentOn, o.resumed, len(o.faults), len(o.violations))
	saveLogs(d, o)
	Expect(o.harnessErr).NotTo(HaveOccurred())
	Expect(o.violations).To(BeEmpty(), "make relay-soak SEED=%d RUNS=1\n%s", seed, strings.Join(o.faults, "\n"))
	Expect(o.served).To(BeNumerically(">", o.calls/4), "too few calls were served for a meaningful check")
	return o
}

// saveLogs copies the logs of a failed run to SOAK_OUT.
func saveLogs(d *deployment, o outcome) {
	out := os.Getenv("SOAK_OUT")
	if out == "" || len(o.violations) == 0 && o.harnessErr == nil {
		return
	}
	dir := fmt.Sprintf("%s/seed-%d", out, o.seed)
	Expect(os.CopyFS(dir, os.DirFS(d.dir))).To(Succeed())
	text := strings.Join(append(o.violations, o.faults...), "\n")
	Expect(os.WriteFile(dir+"/outcome.txt", []byte(text), 0o600)).To(Succeed())
}

var small = shape{domains: 2, hosts: 2, prefill: 1, decode: 2, plain: 2}

var _ = Describe("hosts as real processes", func() {
	// Guards against broken guarantees under overlapping faults.
	It("keep the guarantees under seeded faults", func() {
		first, runs := envInt("SEED", 1), envInt("RUNS", 1)
		for i := range runs {
			runSeed(uint64(first+i), small, runLength, selectedFaults())
		}
	})

	// Guards against streams that are joined from two versions of an engine's software, and
	// against hosts that refuse to continue them.
	It("keep streams at one software version through releases, and when all hosts are killed", func() {
		release, err := faultByName(releaseFault)
		Expect(err).NotTo(HaveOccurred())
		kill, err := faultByName("hosts-killed")
		Expect(err).NotTo(HaveOccurred())
		o := runSeed(1, small, releaseLength, []fault{release})
		Expect(o.wentOn).To(BeNumerically(">", 0), "no stream was resumed, or none went on")
		runSeed(2, small, releaseLength, []fault{release, kill})
	})

	It("keep the guarantees under seeds that have failed before", func() {
		if len(regressions) == 0 {
			Skip("no seed is listed as a regression")
		}
		for _, r := range regressions {
			By(r.cause)
			runSeed(r.seed, small, runLength, nil)
		}
	})

	It("keep the guarantees as a large fleet", Label("large"), func() {
		if os.Getenv("SOAK_LARGE") == "" {
			Skip("SOAK_LARGE is not set; see make relay-soak-large")
		}
		runSeed(1, shape{domains: 4, hosts: envInt("SOAK_LARGE", 40), prefill: 2, decode: 4, plain: 2}, 30*time.Second, nil)
	})
})

var _ = Describe("the checks", func() {
	call200 := func(body string) *call {
		return &call{id: "1", path: "/post/1", status: 200, body: body, key: platformtest.Key,
			header: http.Header{"X-Response-Signature": {"s"}}, sent: time.Unix(100, 0)}
	}
	execution1 := func(change func(*execution)) execution {
		e := execution{platformtest.Run{RequestID: "1", URI: "/post/1", Header: http.Header{"X-Tenant": {"org"}}}, "s1"}
		change(&e)
		return e
	}
	check := func(c *call, revoked time.Time, runs ...execution) []string {
		x := &run{revoked: revoked}
		var found []string
		fail := func(_ *call, format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
		x.checkAnswer(c, fail)
		x.checkRuns(c, runs, fail)
		return found
	}
	good := execution1(func(*execution) {})

	It("accept a correct answer", func() {
		Expect(check(call200("answer of s1 to 1"), time.Time{}, good)).To(BeEmpty())
	})

	DescribeTable("detect",
		func(change func(*call), revoked time.Time, runs ...execution) {
			c := call200("answer of s1 to 1")
			change(c)
			Expect(check(c, revoked, runs...)).To(HaveLen(1))
		},
		Entry("another request's answer", func(c *call) { c.body = "answer of s1 to 2" }, time.Time{}, good),
		Entry("an incomplete answer", func(c *call) { c.body = "answer" }, time.Time{}, good),
		Entry("no signature", func(c *call) { c.header = http.Header{} }, time.Time{}, good),
		Entry("no answer", func(c *call) { c.status, c.err, c.duration = 0, http.ErrHandlerTimeout, time.Minute }, time.Time{}, good),
		Entry("two executions", func(*call) {}, time.Time{}, good, good),
		Entry("a false refusal", func(c *call) { c.status = 503 }, time.Time{}, good),
		Entry("a key passed on", func(*call) {}, time.Time{}, execution1(func(e *execution) { e.Header.Set("Authorization", "k") })),
		Entry("another organisation", func(*call) {}, time.Time{}, execution1(func(e *execution) { e.Header.Set("X-Tenant", "b") })),
		Entry("another path", func(*call) {}, time.Time{}, execution1(func(e *execution) { e.URI = "/post/2" })),
		Entry("a withdrawn key", func(*call) {}, time.Unix(90, 0), good),
	)

	// Guards against a check that misses joined streams.
	It("detect a stream of two versions, in one answer and over several", func() {
		stream := func(id string, resumes *call, after int, versions ...string) *call {
			c := &call{id: id, path: "/summary/" + id, status: 200, resumes: resumes, after: after}
			for i, v := range versions {
				c.body += platformtest.EventOf(v, after+i+1, id)
			}
			return c
		}
		find := func(calls ...*call) []string {
			x := &run{d: &deployment{}, calls: calls}
			var found []string
			x.checkVersions(func(_ *call, format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) })
			return found
		}
		first := stream("1", nil, 0, "v1", "v1")
		Expect(find(first, stream("1-again-0", first, 2, "v1"))).To(BeEmpty())
		Expect(find(first, stream("1-again-0", first, 2, "v2"))).To(HaveLen(1))
		Expect(find(stream("1", nil, 0, "v1", "v2"))).To(HaveLen(1))
	})

	It("detect that hosts refuse streams that they could resume", func() {
		start := time.Unix(100, 0)
		x := &run{d: &deployment{}, mixed: []period{{start, start.Add(time.Minute)}}}
		for i := range resumedStreams {
			first := &call{id: fmt.Sprint(i), path: "/summary/1", status: 200, sent: start, body: platformtest.Event(1, "1")}
			again := &call{id: fmt.Sprint(i, "-again"), path: "/summary/1", status: 503, sent: start.Add(time.Second), resumes: first, after: 1}
			x.calls = append(x.calls, first, again)
		}
		found := 0
		count := func(*call, string, ...any) { found++ }
		x.checkVersions(count)
		Expect(found).To(Equal(1))
		found, x.others = 0, []period{{start, start.Add(time.Millisecond)}}
		x.checkVersions(count)
		Expect(found).To(BeZero(), "another fault explains the refusals")
	})

	It("detect a reservation that two requests use", func() {
		uses := func(id, hold string) platformtest.Run {
			return platformtest.Run{RequestID: id, Header: http.Header{"X-Kv-Hold": {hold}}}
		}
		byID := map[string]*call{"1": {id: "1"}, "2": {id: "2"}, "3": {id: "3"}}
		var found []string
		fail := func(c *call, _ string, _ ...any) { found = append(found, c.id) }
		checkReservations("d1", []platformtest.Run{uses("1", "a"), uses("2", "b"), uses("3", "a")}, byID, fail)
		Expect(found).To(Equal([]string{"3"}))
	})
})
