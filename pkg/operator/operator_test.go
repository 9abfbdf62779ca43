package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/operator"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const example = "../../examples/bagmati.rules"

// run executes a command line and returns the exit code and both outputs.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := operator.Env{Stdout: &out, Stderr: &errs, Rand: strings.NewReader(strings.Repeat("0123456789abcdef", 3))}
	code = operator.Run(context.Background(), args, env)
	return code, out.String(), errs.String()
}

func write(name, text string) string {
	file := filepath.Join(GinkgoT().TempDir(), name)
	ExpectWithOffset(1, os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

func read(file string) string {
	text, err := os.ReadFile(file)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return string(text)
}

// serve starts an HTTP server on a loopback port that returns body as JSON for
// path, and returns its address.
func serve(path string, body func() any) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: fasthttp.CompressHandler(func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != path {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		c.SetContentType("application/json")
		_ = json.NewEncoder(c).Encode(body())
	})}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Shutdown)
	return listener.Addr().String()
}

var _ = Describe("Run", func() {
	DescribeTable("returns different exit codes for usage errors and problems",
		func(want int, args ...string) {
			code, stdout, stderr := run(args...)
			Expect(code).To(Equal(want))
			Expect(stdout + stderr).NotTo(BeEmpty())
		},
		Entry("help", operator.OK, "--help"),
		Entry("help of a command", operator.OK, "key", "new", "--help"),
		Entry("no command", operator.Usage),
		Entry("unknown command", operator.Usage, "remove"),
		Entry("key without command", operator.Usage, "key"),
		Entry("missing file argument", operator.Usage, "check"),
		Entry("bad key id", operator.Usage, "key", "new", "a.b", "himal-towers"),
		Entry("bad organisation", operator.Usage, "key", "new", "a", "x\nkey"),
		Entry("bad requester", operator.Usage, "key", "new", "a", "b", "--requester", "x\ny"),
		Entry("revision 0", operator.Usage, "split", example, "--revision", "0", "--out", "unused"),
		Entry("bad interval", operator.Usage, "top", "--interval", "0s", "127.0.0.1:1"),
		Entry("missing file", operator.Problems, "check", "/nonexistent.rules"),
		Entry("valid file", operator.OK, "check", example),
	)
})

var _ = Describe("check", func() {
	It("prints every error as FILE:LINE:COLUMN, which editors can jump to", func() {
		file := write("a.rules", "domain teku slots 0 # t\ndomain balaju slots 1\n")
		code, stdout, _ := run("check", file)
		Expect(code).To(Equal(operator.Problems))
		Expect(strings.Split(strings.TrimSpace(stdout), "\n")).To(HaveExactElements(
			HavePrefix(file+`:1:19: slots "0" is out of range; `),
			HavePrefix(file+":2:22: comment is missing; "),
		))
	})

	It("prints the same errors as JSON", func() {
		code, stdout, _ := run("check", "--json", write("a.rules", ""))
		Expect(code).To(Equal(operator.Problems))
		Expect(stdout).To(ContainSubstring(`"line": 1`))
		Expect(json.Valid([]byte(stdout))).To(BeTrue())
	})
})

var _ = Describe("diff and explain", func() {
	It("describes each change with its line", func() {
		text := read(example)
		shorter := strings.Replace(text, "allow himal-towers inspect-lm # sales, Asmita Rai\n", "", 1)
		code, stdout, _ := run("diff", example, write("new.rules", shorter))
		Expect(code).To(Equal(operator.OK))
		Expect(stdout).To(Equal("removed: organisation himal-towers loses the use of inspect-lm (old line 28)\n"))
		_, stdout, _ = run("diff", example, example)
		Expect(stdout).To(Equal("no rule differs\n"))
		code, stdout, stderr := run("diff", example, write("bad.rules", ""))
		Expect(code).To(Equal(operator.Problems))
		Expect(stdout).To(BeEmpty())
		Expect(stderr).To(ContainSubstring("bad.rules:1:1: "))
	})

	It("prints the errors of a rules file as JSON with --json", func() {
		code, stdout, _ := run("diff", example, write("bad.rules", ""), "--json")
		Expect(code).To(Equal(operator.Problems))
		var f struct {
			File   string
			Errors ruleset.Errors
		}
		Expect(json.Unmarshal([]byte(stdout), &f)).To(Succeed())
		Expect(f.File).To(HaveSuffix("bad.rules"))
		Expect(f.Errors).To(HaveLen(1))
	})

	It("names the deciding rule", func() {
		code, stdout, _ := run("explain", example, "himal-towers", "inspect-lm", "--json")
		Expect(code).To(Equal(operator.OK))
		var e ruleset.Explanation
		Expect(json.Unmarshal([]byte(stdout), &e)).To(Succeed())
		Expect(e.Decision.Line).To(Equal(28))
	})
})

var _ = Describe("key new", func() {
	It("prints a key that the printed rule accepts", func() {
		code, stdout, _ := run("key", "new", "counter-2", "himal-towers", "--requester", "sales", "--json")
		Expect(code).To(Equal(operator.OK))
		var made struct{ Key, Rule string }
		Expect(json.Unmarshal([]byte(stdout), &made)).To(Succeed())
		r, err := ruleset.Parse([]byte(read(example) + made.Rule))
		Expect(err).NotTo(HaveOccurred())
		key, err := keyring.Verify(r, made.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(key.Organisation).To(BeEquivalentTo("himal-towers"))
	})

	It("prints a rule that check rejects if no requester is given", func() {
		_, stdout, _ := run("key", "new", "counter-2", "himal-towers")
		lines := strings.Split(strings.TrimSpace(stdout), "\n")
		_, err := ruleset.Parse([]byte(read(example) + lines[len(lines)-1]))
		Expect(err).To(MatchError(ContainSubstring("comment is missing")))
	})
})

var _ = Describe("split", func() {
	It("writes chunks that assemble to the rules, and rejects a revision that is not higher", func() {
		dir := GinkgoT().TempDir()
		code, _, _ := run("split", example, "--revision", "7", "--out", dir, "--max-bytes", "1000")
		Expect(code).To(Equal(operator.OK))
		var m ruleset.Manifest
		Expect(json.Unmarshal([]byte(read(filepath.Join(dir, "manifest"))), &m)).To(Succeed())
		var chunks [][]byte
		for _, c := range m.Chunks {
			chunks = append(chunks, []byte(read(filepath.Join(dir, c.Name))))
		}
		Expect(len(chunks)).To(BeNumerically(">", 1))
		text, err := ruleset.Assemble(m, chunks)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(read(example)))

		code, _, stderr := run("split", example, "--revision", "7", "--out", dir)
		Expect(code).To(Equal(operator.Problems))
		Expect(stderr).To(ContainSubstring("revision 7"))
	})

	It("writes nothing for a file with errors", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "out")
		code, _, _ := run("split", write("a.rules", ""), "--revision", "1", "--out", dir)
		Expect(code).To(Equal(operator.Problems))
		Expect(dir).NotTo(BeADirectory())
	})
})

func healthy() status.Status {
	return status.Status{
		Host: "teku-0", Incarnation: 7, Domain: "teku", Ready: true, Revision: 42, Digest: "abcdef0123456789",
		ConfigAgeMS: 1500, InFlight: 3, Refused: map[string]uint64{"rate": 4, "full": 1},
		Peers:   []status.Peer{{Host: "teku-1", State: status.Live}, {Host: "teku-2", State: status.Dead}},
		Domains: []status.Domain{{Domain: "patan", Reachable: true}},
		Pools:   []status.Pool{{Model: "inspect-lm", Free: 5, Queued: 2}},
	}
}

var _ = Describe("status", func() {
	It("prints a row for each host and marks the unreachable ones", func() {
		up := serve(status.Path, func() any { return healthy() })
		wrong := serve("/other", func() any { return nil })
		code, stdout, _ := run("status", up, wrong, "127.0.0.1:1")
		Expect(code).To(Equal(operator.Problems))
		lines := strings.Split(stdout, "\n")
		Expect(strings.Fields(lines[1])).To(Equal(strings.Fields(
			up + " teku-0@7 teku 0 ready 42 abcdef01 1.5s 1 of 2 live 1 of 1 reached 3 full=1 rate=4")))
		Expect(lines[2]).To(MatchRegexp(`^%s +unreachable: .*status 404`, wrong))
		Expect(lines[3]).To(MatchRegexp(`^127.0.0.1:1 +unreachable: `))
	})

	DescribeTable("reports hosts that are not serving or have conflicting state",
		func(change func(*status.Status), want string) {
			other := healthy()
			other.Host, other.Slot = "teku-1", 1
			change(&other)
			first := serve(status.Path, func() any { return healthy() })
			second := serve(status.Path, func() any { return other })
			code, stdout, _ := run("status", first, second)
			if want == "" {
				Expect(code).To(Equal(operator.OK), stdout)
				return
			}
			Expect(code).To(Equal(operator.Problems))
			Expect(stdout).To(MatchRegexp("problem: .*" + want))
		},
		Entry("healthy", func(*status.Status) {}, ""),
		Entry("higher revision", func(s *status.Status) { s.Revision, s.Digest = 43, "x" }, ""),
		Entry("leaving", func(s *status.Status) { s.Ready, s.Leaving = false, true }, ""),
		Entry("not ready", func(s *status.Status) { s.Ready = false }, "not ready"),
		Entry("stale", func(s *status.Status) { s.Stale = true }, "stale"),
		Entry("digest", func(s *status.Status) { s.Digest = "x" }, "different rules of revision 42"),
		Entry("slot", func(s *status.Status) { s.Slot = 0 }, "both have slot 0 of domain teku"),
	)
})

var _ = Describe("top", func() {
	It("adds up pools and computes rates between two reports of one process", func() {
		var responses, starts atomic.Uint64
		up := serve(status.Path, func() any {
			s := healthy()
			s.Refused["rate"] = responses.Add(1000)
			return s
		})
		restarted := serve(status.Path, func() any {
			s := healthy()
			s.InFlight = 9
			s.Incarnation = ident.Incarnation(starts.Add(1))
			s.Refused["rate"] = 1000 * starts.Load()
			return s
		})
		code, stdout, _ := run("top", "--interval", "1ms", "--count", "2", "--json", up, restarted)
		Expect(code).To(Equal(operator.OK))
		decoder := json.NewDecoder(strings.NewReader(stdout))
		var report struct {
			Hosts []struct {
				Address string
				Rate    float64 `json:"refused_per_second"`
			}
			Models []struct{ Pools, Free, Queued int }
		}
		Expect(decoder.Decode(&report)).To(Succeed())
		Expect(report.Hosts).To(HaveEach(HaveField("Rate", BeZero())))
		Expect(decoder.Decode(&report)).To(Succeed())
		Expect(report.Hosts[0].Address).To(Equal(restarted))
		Expect(report.Hosts[0].Rate).To(BeZero())
		Expect(report.Hosts[1].Rate).To(BeNumerically(">", 0))
		Expect(report.Models[0].Pools).To(Equal(2))
		Expect(report.Models[0].Free).To(Equal(10))
	})

	It("keeps the row of an unreachable host", func() {
		code, stdout, _ := run("top", "--count", "1", "127.0.0.1:1")
		Expect(code).To(Equal(operator.Problems))
		Expect(stdout).To(ContainSubstring("unreachable"))
	})
})

var _ = Describe("burn", func() {
	report := func(late int) slo.Report {
		t := slo.New(slo.Config{})
		now := time.Unix(1_800_000_000, 0)
		for i := range 100 {
			o := slo.Observation{Organisation: "himal-towers", Model: "inspect-lm", Outcome: slo.Completed}
			if i < late {
				o.FirstToken = time.Second
			}
			t.Observe(now, o)
		}
		return t.Report(now)
	}

	It("adds up the hosts and fails when a budget is used up or a host is missing", func() {
		good := serve(slo.Path, func() any { return report(1) })
		bad := serve(slo.Path, func() any { return report(19) })
		code, stdout, _ := run("burn", good)
		Expect(code).To(Equal(operator.OK), stdout)
		code, stdout, _ = run("burn", good, bad, "127.0.0.1:1")
		Expect(code).To(Equal(operator.Problems))
		Expect(stdout).To(HavePrefix("2 hosts"))
		Expect(stdout).To(MatchRegexp(`himal-towers +inspect-lm +3d +200 .* 90.00% +2.00`))
		Expect(stdout).To(ContainSubstring("problem: 127.0.0.1:1 is left out"))
		Expect(stdout).To(ContainSubstring("problem: himal-towers inspect-lm has used up its error budget"))
	})

	It("writes a plot and JSON", func() {
		good := serve(slo.Path, func() any { return report(1) })
		file := filepath.Join(GinkgoT().TempDir(), "burn.svg")
		code, _, _ := run("burn", good, "--svg", file)
		Expect(code).To(Equal(operator.OK))
		Expect(read(file)).To(HavePrefix("<svg"))
		_, stdout, _ := run("burn", good, "--json")
		var got struct{ Report slo.Report }
		Expect(json.Unmarshal([]byte(stdout), &got)).To(Succeed())
		Expect(got.Report.Total[0].Requests).To(BeEquivalentTo(100))
	})
})
