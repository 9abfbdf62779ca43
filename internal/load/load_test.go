package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// small returns a short workload without cancelled requests.
func small() load.Workload {
	w := load.Bagmati()
	w.Duration = 2 * time.Second
	w.CancelShare = 0
	return w
}

// entryHost is a fake entry host that answers every request at once.
type entryHost struct {
	addr     string
	mu       sync.Mutex
	keys     map[string]int                                                 // calls by idempotency key
	override func(w http.ResponseWriter, r *http.Request, want string) bool // handles the request instead if it returns true
}

func newEntryHost() *entryHost {
	h := &entryHost{keys: map[string]int{}}
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	h.addr = strings.TrimPrefix(s.URL, "http://")
	return h
}

// down returns an address that refuses connections.
func down() string {
	s := httptest.NewServer(nil)
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

func event(text string) string {
	b, _ := json.Marshal(text)
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%s}]}\n\n", b)
}

func (h *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/v1/completions" {
		h.mu.Lock()
		h.keys[r.Header.Get("Idempotency-Key")]++
		h.mu.Unlock()
		want := content.CallAnswer(content.CallHash(r.Method, r.URL.Path, body))
		if h.override == nil || !h.override(w, r, want) {
			_, _ = io.WriteString(w, want)
		}
		return
	}
	var c struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &c)
	want := content.Answer(c.Prompt, c.MaxTokens)
	if h.override != nil && h.override(w, r, want) {
		return
	}
	_, _ = io.WriteString(w, ": keep-alive\n\n")
	for token := range strings.FieldsSeq(want) {
		_, _ = io.WriteString(w, event(token+" "))
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func run(w load.Workload, hosts ...load.Host) ([]load.Result, []record.Record) {
	log := &record.Log{}
	cfg := load.Config{Hosts: hosts, TimeScale: 0.01, Timeout: 10 * time.Second, Log: log}
	return load.Run(context.Background(), w, cfg), log.All()
}

func outcomes(rs []load.Result, calls bool) map[record.Kind]int {
	out := map[record.Kind]int{}
	for _, r := range rs {
		if (r.Arrival.Call != nil) == calls {
			out[r.Outcome]++
		}
	}
	return out
}

var _ = Describe("Workload", func() {
	It("gives the same arrivals and prompts for the same seed, and others for another", func() {
		a, b := load.Adwenpa(), load.Adwenpa()
		Expect(a.Arrivals()).To(Equal(b.Arrivals()))
		Expect(a.Prompt(a.Arrivals()[3])).To(Equal(b.Prompt(b.Arrivals()[3])))
		b.Seed = 2
		Expect(a.Arrivals()).NotTo(Equal(b.Arrivals()))
	})

	It("does not change the requests of other organisations when one sends more", func() {
		others := func(w load.Workload) (out []load.Arrival) {
			for _, a := range w.Arrivals() {
				if a.Organisation != 0 && a.Call == nil {
					a.Index = 0
					out = append(out, a)
				}
			}
			return out
		}
		a, b := load.Bagmati(), load.Bagmati()
		Expect(b.SetFactor("everest-formwork", 4)).To(Succeed())
		Expect(others(b)).To(Equal(others(a)))
		Expect(len(b.Arrivals())).To(BeNumerically(">", len(a.Arrivals())))
		Expect(b.SetFactor("nobody", 4)).NotTo(Succeed())
	})

	It("scales the rates of the rules with those of the workload, and nothing else", func() {
		rules := "# rate 5 burst 6\ndomain a slots 2 # x\norganisation b rate 1000 burst 30 weight 4 prefer wait # rate 7\n"
		got, err := load.ScaleRates(rules, 2.5)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("# rate 5 burst 6\ndomain a slots 2 # x\norganisation b rate 2500 burst 75 weight 4 prefer wait # rate 7\n"))
		_, err = load.ScaleRates(rules, 0)
		Expect(err).To(HaveOccurred())
		w := load.Bagmati()
		before, prompt, _ := w.CompletionRate()
		w.ScaleRates(2)
		after, same, _ := w.CompletionRate()
		Expect(after).To(BeNumerically("~", 2*before, 1e-9))
		Expect(same).To(Equal(prompt))
	})

	It("sends more in the peak only", func() {
		w := load.Bagmati()
		w.Duration = 300 * time.Second
		w.Peak = load.Peak{From: 100 * time.Second, To: 200 * time.Second, Factor: 3}
		n := make([]int, 3)
		for _, a := range w.Arrivals() {
			n[a.At/(100*time.Second)]++
		}
		Expect(n[1]).To(BeNumerically(">", 2*n[0]))
		Expect(n[1]).To(BeNumerically(">", 2*n[2]))
	})

	It("builds prompts of the drawn length that share a prefix and end early where drawn", func() {
		w := load.Bagmati()
		w.Duration = 5 * time.Second
		shared := map[string]int{}
		for _, a := range w.Arrivals() {
			if a.Call != nil {
				continue
			}
			p := w.Prompt(a)
			Expect(content.CountTokens(p)).To(BeNumerically("~", a.Prompt, 1))
			if a.Stop > 0 {
				Expect(content.OutputLength(p, a.MaxTokens)).To(Equal(a.Stop))
			}
			if a.Prefix >= 0 {
				shared[strings.Join(strings.Fields(p)[:w.PrefixTokens], " ")]++
			}
		}
		Expect(shared).NotTo(BeEmpty())
		Expect(len(shared)).To(BeNumerically("<=", w.Prefixes*len(w.Organisations)))
	})
})

var _ = Describe("Run", func() {
	It("receives and verifies complete answers, and the checkers find no violation", func() {
		h := newEntryHost()
		w := small()
		rs, log := run(w, load.Host{ID: "a", Addr: h.addr})
		Expect(rs).To(HaveLen(len(w.Arrivals())))
		for _, r := range rs {
			Expect(r.Outcome).To(Equal(record.Answered), "%v", r.Err)
			Expect(r.Mismatch()).To(BeFalse())
		}
		Expect(checker.Check(log, w.CheckConfig())).To(BeEmpty())
	})

	DescribeTable("reports the outcome of incomplete and wrong answers",
		func(kind record.Kind, invariant int, override func(w http.ResponseWriter, r *http.Request, want string) bool) {
			h := newEntryHost()
			h.override = override
			w := small()
			w.Calls = nil
			rs, log := run(w, load.Host{ID: "a", Addr: h.addr})
			Expect(outcomes(rs, false)).To(Equal(map[record.Kind]int{kind: len(rs)}))
			vs := checker.Check(log, w.CheckConfig())
			if invariant == 0 {
				Expect(vs).To(BeEmpty())
				return
			}
			Expect(vs).NotTo(BeEmpty())
			Expect(vs[0].Invariant).To(Equal(invariant))
		},
		Entry("refused", record.Denied, 0, func(w http.ResponseWriter, _ *http.Request, _ string) bool {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(429)
			_, _ = io.WriteString(w, `{"error":{"code":"over_rate","message":"m","ran":"not run"}}`)
			return true
		}),
		Entry("cut without terminator", record.Broken, 0, func(w http.ResponseWriter, _ *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(strings.Fields(want)[0]+" "))
			return true
		}),
		Entry("cut by an error event", record.Broken, 0, func(w http.ResponseWriter, _ *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(want)+"data: {\"error\":{\"code\":\"x\",\"ran\":\"ran\"}}\n\n")
			return true
		}),
		Entry("wrong content", record.Answered, 5, func(w http.ResponseWriter, _ *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(want+"x ")+"data: [DONE]\n\n")
			return true
		}),
		Entry("missing token", record.Answered, 5, func(w http.ResponseWriter, _ *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(want[:len(want)-1])+"data: [DONE]\n\n")
			return true
		}),
		Entry("two terminators", record.Answered, 2, func(w http.ResponseWriter, _ *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(want)+"data: [DONE]\n\ndata: [DONE]\n\n")
			return true
		}),
	)

	It("returns the code, execution state and retry delay of a refusal", func() {
		h := newEntryHost()
		h.override = func(w http.ResponseWriter, _ *http.Request, _ string) bool {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(429)
			_, _ = io.WriteString(w, `{"error":{"code":"over_rate","message":"m","ran":"not run"}}`)
			return true
		}
		rs, _ := run(small(), load.Host{ID: "a", Addr: h.addr})
		Expect(rs[0].Code).To(Equal("over_rate"))
		Expect(rs[0].Ran).To(Equal("not run"))
		Expect(rs[0].RetryAfter).To(Equal(2 * time.Second))
	})

	It("fails over to the next host only when no byte was sent", func() {
		h := newEntryHost()
		rs, _ := run(small(), load.Host{ID: "down", Addr: down()}, load.Host{ID: "a", Addr: h.addr})
		Expect(outcomes(rs, false)).To(Equal(map[record.Kind]int{record.Answered: len(rs) - outcomes(rs, true)[record.Answered]}))
	})

	It("retries a non-idempotent call of unknown outcome once with the same key, and an idempotent one never", func() {
		h := newEntryHost()
		h.override = func(_ http.ResponseWriter, r *http.Request, _ string) bool {
			if r.URL.Path != "/v1/completions" {
				panic(http.ErrAbortHandler)
			}
			return false
		}
		w := small()
		w.Duration = 10 * time.Second
		rs, _ := run(w, load.Host{ID: "a", Addr: h.addr})
		h.mu.Lock()
		defer h.mu.Unlock()
		repeated := 0
		for key, n := range h.keys {
			if key != "" {
				Expect(n).To(Equal(2))
				repeated++
			}
		}
		once := 0
		for _, r := range rs {
			if r.Arrival.Call != nil && !r.Arrival.Call.NonIdempotent {
				once++
			}
		}
		Expect(repeated).To(BeNumerically(">", 0))
		Expect(h.keys[""]).To(Equal(once))
	})

	It("disconnects during the answer where the workload says so", func() {
		h := newEntryHost()
		disconnected := make(chan struct{}, 1000)
		h.override = func(w http.ResponseWriter, r *http.Request, want string) bool {
			_, _ = io.WriteString(w, event(want))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			disconnected <- struct{}{}
			return true
		}
		w := small()
		w.Calls = nil
		w.CancelShare, w.StopShare = 1, 0
		rs, _ := run(w, load.Host{ID: "a", Addr: h.addr})
		Expect(outcomes(rs, false)).To(Equal(map[record.Kind]int{record.Abandoned: len(rs)}))
		Eventually(disconnected).Should(HaveLen(len(rs)))
	})
})

var _ = Describe("Watch", func() {
	It("tracks readiness and sends no requests to hosts that are not ready", func() {
		answers := func(body string) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			DeferCleanup(s.Close)
			return strings.TrimPrefix(s.URL, "http://")
		}
		admin := []load.Host{
			{ID: "a", Addr: answers(`{"revision":7,"ready":true}`)},
			{ID: "b", Addr: answers(`{"revision":7,"ready":false}`)},
			{ID: "c", Addr: down()},
		}
		ctx, stop := context.WithCancel(context.Background())
		watch := load.NewWatch(&record.Log{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(ctx, admin, time.Millisecond)
		}()
		Eventually(func() []bool { return []bool{watch.Ready("a"), watch.Ready("b"), watch.Ready("c")} }).
			Should(Equal([]bool{true, false, false}))
		stop()
		Eventually(done).Should(BeClosed())

		log := &record.Log{}
		h := newEntryHost()
		hosts := []load.Host{{ID: "b", Addr: h.addr}, {ID: "a", Addr: h.addr}}
		load.Run(context.Background(), small(), load.Config{Hosts: hosts, TimeScale: 0.01, Log: log, Watch: watch})
		for _, r := range log.All() {
			Expect(r.Host).To(BeEquivalentTo("a"))
		}
	})

	It("records each revision that a host reports", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":7,"ready":true}`)
		}))
		defer s.Close()
		log := &record.Log{}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go load.NewWatch(log).Run(ctx, []load.Host{{ID: "a", Addr: strings.TrimPrefix(s.URL, "http://")}}, time.Millisecond)
		Eventually(log.All).Should(ContainElement(And(
			HaveField("Kind", record.InForce), HaveField("Host", BeEquivalentTo("a")), HaveField("Revision", BeEquivalentTo(7)))))
	})
})

var _ = Describe("Summarise", func() {
	w := load.Workload{Name: "w", Load: 1, Duration: 10 * time.Second, Organisations: []load.Organisation{
		{Name: "a", Rate: 10, Burst: 100}, {Name: "b", Rate: 10, Burst: 100}, {Name: "c", Rate: 10, Burst: 100, Factor: 3},
	}}
	result := func(index, org int, kind record.Kind, first time.Duration) load.Result {
		return load.Result{
			Arrival: load.Arrival{Index: index, Organisation: org, Prompt: 40, MaxTokens: 10, Prefix: -1},
			Outcome: kind, Sent: time.Unix(int64(index), 0), First: first, Last: first + 90*time.Millisecond, Tokens: 10,
		}
	}
	summary := func(engines []record.Record, rs ...load.Result) load.Summary {
		return load.Summarise(w, load.Config{}, "p", rs, engines, load.DefaultTargets())
	}

	It("counts as good only complete, correct answers within both targets", func() {
		lateStart := result(1, 0, record.Answered, time.Second)
		slowStream := result(2, 0, record.Answered, time.Millisecond)
		slowStream.Last = time.Second
		wrong := result(3, 0, record.Answered, time.Millisecond)
		wrong.Text = "x"
		s := summary(nil, result(0, 0, record.Answered, time.Millisecond), lateStart, slowStream, wrong, result(4, 0, record.Broken, time.Millisecond))
		Expect(s.Goodput).To(Equal(0.1))
		Expect(s.GoodShare).To(Equal(0.2))
		Expect(s.Completions.Wrong).To(Equal(1))
		Expect(s.Wasted.Known).To(BeFalse())
	})

	It("compares the worst-served with the mean of the well-behaved, without the one that sends too much", func() {
		s := summary(nil, result(0, 0, record.Answered, 1), result(1, 1, record.Answered, 1), result(2, 1, record.Denied, 0), result(3, 2, record.Denied, 0))
		Expect(s.WorstServedName).To(Equal("b"))
		Expect(s.WorstServed).To(BeNumerically("~", 0.5/0.75, 1e-9))
	})

	It("counts refusals of requests within rate and burst as wrong", func() {
		// The burst of 100 admits two requests of 50 tokens. The third exceeds it; by the
		// fourth, 5 s later, the bucket has refilled.
		rs := []load.Result{result(0, 0, record.Answered, 1), result(0, 0, record.Denied, 0), result(0, 0, record.Denied, 0), result(5, 0, record.Denied, 0)}
		s := summary(nil, rs...)
		Expect(s.Organisations[0].WithinRate).To(Equal(3))
		Expect(s.WronglyRefused).To(BeNumerically("~", 2.0/3, 1e-9))
	})

	It("counts prefills without a complete answer and repeated prefills as wasted", func() {
		ok, denied, abandoned := result(0, 0, record.Answered, 1), result(1, 0, record.Denied, 0), result(2, 0, record.Abandoned, 0)
		prefill := func(r load.Result) record.Record {
			return record.Record{Kind: record.End, Step: "prefill", Prompt: 40, Content: content.PromptHash(w.Prompt(r.Arrival)).String()}
		}
		s := summary([]record.Record{prefill(ok), prefill(ok), prefill(denied), prefill(abandoned)}, ok, denied, abandoned)
		Expect(s.Wasted.Tokens).To(Equal(120))
		Expect(s.Wasted.Share).To(BeNumerically("~", 2.0/3, 1e-9))
	})

	It("writes files that parse, and compares only runs of the same arrivals", func() {
		dir := GinkgoT().TempDir()
		rs := []load.Result{result(0, 0, record.Answered, 1), result(1, 1, record.Denied, 0)}
		s := summary(nil, rs...)
		Expect(load.WriteFiles(dir, w, s, rs, nil, load.DefaultTargets())).To(Succeed())
		for _, name := range []string{"timeline.svg", "firsttoken.svg", "shares.svg"} {
			b, err := os.ReadFile(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			d := xml.NewDecoder(bytes.NewReader(b))
			for err == nil {
				_, err = d.Token()
			}
			Expect(errors.Is(err, io.EOF)).To(BeTrue(), "%s: %v", name, err)
			Expect(string(b)).NotTo(ContainSubstring("NaN"))
		}
		b, err := os.ReadFile(filepath.Join(dir, "summary.json"))
		Expect(err).NotTo(HaveOccurred())
		var back load.Summary
		Expect(json.Unmarshal(b, &back)).To(Succeed())
		Expect(back).To(Equal(s))
		csv, err := os.ReadFile(filepath.Join(dir, "requests.csv"))
		Expect(err).NotTo(HaveOccurred())
		Expect(slices.Collect(strings.Lines(string(csv)))).To(HaveLen(3))
		other := s
		other.Seed = 9
		Expect(load.WriteComparison(io.Discard, []load.Summary{s, back})).To(Succeed())
		Expect(load.WriteComparison(io.Discard, []load.Summary{s, other})).NotTo(Succeed())
	})
})
