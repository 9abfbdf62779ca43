package ruleset_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

var _ = Describe("Diff", func() {
	texts := func(old, new string) []string {
		var out []string
		for _, c := range ruleset.Diff(parse(old), parse(new)) {
			out = append(out, string(c.Kind)+": "+c.Text)
		}
		return out
	}

	DescribeTable("describes in words what each change means",
		func(old, new, forward, back string) {
			other := strings.Replace(sample, old, new, 1)
			Expect(other).NotTo(Equal(sample))
			Expect(texts(sample, other)).To(ContainElement(forward))
			Expect(texts(other, sample)).To(ContainElement(back))
		},
		Entry("slots", "teku slots 2", "teku slots 4",
			"changed: failure domain teku: slots 4, was 2", "changed: failure domain teku: slots 2, was 4"),
		Entry("domain", "domain balaju slots 3 # platform team", "",
			"removed: failure domain balaju leaves with its 3 slots", "added: failure domain balaju joins with 3 slots"),
		Entry("rate and preference", "rate 100 burst 500 weight 2 prefer refuse", "rate 90 burst 600 weight 2 prefer wait",
			"changed: organisation clip-hire: loses rate, now 90 tokens per second, was 100; gains burst, now 600 tokens, was 500; prefers to wait, was to refuse",
			"changed: organisation clip-hire: gains rate, now 100 tokens per second, was 90; loses burst, now 500 tokens, was 600; prefers to refuse, was to wait"),
		Entry("organisation", "organisation patan-scaffold rate 50 burst 50 weight 1 prefer wait # sales", "",
			"removed: organisation patan-scaffold leaves and loses 50 tokens per second",
			"added: organisation patan-scaffold joins with 50 tokens per second, burst 50 tokens, weight 1; it prefers to wait"),
		Entry("versions", "versions v7,v6", "versions v6",
			"changed: model inspect-lm: versions v6, was v7,v6", "changed: model inspect-lm: versions v7,v6, was v6"),
		Entry("route", "idempotent open", "once keyed cost 3",
			"changed: route /counter/info: service counter-app, calls are sent at most once, keyed, 3 tokens per call, was: service counter-app, calls may be repeated, open to all",
			"changed: route /counter/info: service counter-app, calls may be repeated, open to all, was: service counter-app, calls are sent at most once, keyed, 3 tokens per call"),
		Entry("allow", "allow clip-hire inspect-lm # sales", "",
			"removed: organisation clip-hire loses the use of inspect-lm", "added: organisation clip-hire gains the use of inspect-lm"),
		Entry("key", "key c1", "key c2",
			"removed: key c1 of organisation clip-hire stops working: its queued work is refused and its streams end",
			"added: key c1 starts to work for organisation clip-hire"),
		Entry("secret", "salt 00", "salt 01",
			"changed: key c1 of organisation clip-hire has a new secret; the former one stops working",
			"changed: key c1 of organisation clip-hire has a new secret; the former one stops working"),
		Entry("owner of a key", "key c1 organisation clip-hire", "key c1 organisation patan-scaffold",
			"changed: organisation clip-hire loses key c1 to organisation patan-scaffold",
			"changed: organisation patan-scaffold loses key c1 to organisation clip-hire"),
		Entry("fencing", "fencing batch-a checked # engine team", "",
			"removed: engines of group batch-a are assumed to ignore fencing numbers",
			"added: engines of group batch-a refuse stale fencing numbers"),
		Entry("recall", "recall engines batch-b # quality", "",
			"removed: engine group batch-b may work again",
			"added: engine group batch-b is recalled: it takes no new work and its running work ends"),
		Entry("stale", "stale refuse 90s # security", "",
			"removed: keyed traffic continues however old the configuration is",
			"added: keyed traffic is refused once the configuration is older than 1m30s"),
		Entry("comment", "# security", "# audit",
			`commented: stale: comment is now "audit", was "security"`,
			`commented: stale: comment is now "security", was "audit"`),
	)

	It("ignores the order of rules, and reports every rule when the other side is nil", func() {
		lines := strings.Split(strings.TrimSpace(sample), "\n")
		for i, j := 2, len(lines)-2; i < j; i, j = i+1, j-1 {
			lines[i], lines[j] = lines[j], lines[i]
		}
		Expect(texts(sample, strings.Join(lines, "\n"))).To(BeEmpty())
		Expect(ruleset.Diff(nil, parse(base))).To(HaveLen(6))
		Expect(ruleset.Diff(parse(base), nil)).To(HaveEach(HaveField("Kind", ruleset.Removed)))
	})
})

var _ = Describe("Explain", func() {
	DescribeTable("names the rule that decides",
		func(org, target string, allowed bool, line int, text string) {
			e := parse(sample).Explain(ident.Organisation(org), ident.Model(target))
			Expect(e.Allowed).To(Equal(allowed))
			Expect(e.Decision.Line).To(Equal(line))
			Expect(e.String()).To(ContainSubstring(text))
		},
		Entry("allowed", "clip-hire", "inspect-lm", true, 11, "also line 15: version v7 is recalled (recall version inspect-lm v7 # quality)"),
		Entry("service", "clip-hire", "counter-app", true, 12, "keyed, 5 tokens per call"),
		Entry("not allowed", "patan-scaffold", "inspect-lm", false, 0, "no rule allows"),
		Entry("open route", "patan-scaffold", "counter-app", false, 0, "open to all, without a key"),
		Entry("unknown organisation", "x", "inspect-lm", false, 0, "no rule declares organisation"),
		Entry("unknown model", "clip-hire", "x", false, 0, "no rule declares a model or service"),
	)

	It("refuses when every version is recalled and names the recall", func() {
		e := parse(base+"recall version inspect-lm v1 # quality").Explain("clip-hire", "inspect-lm")
		Expect(e.Allowed).To(BeFalse())
		Expect(e.Decision.Line).To(Equal(7))
		Expect(e.Versions).To(BeEmpty())
		Expect(e.String()).To(ContainSubstring("every version of model inspect-lm is recalled"))
	})
})

var _ = Describe("Assemble", func() {
	text := []byte(sample)
	manifest, chunks := ruleset.Split(7, text, 100)

	It("returns the text that was split, whatever the chunk size", func() {
		for _, size := range []int{-1, 0, 1, 100, len(text), len(text) + 1} {
			m, c := ruleset.Split(7, text, size)
			Expect(ruleset.Assemble(m, c)).To(Equal(text))
		}
		Expect(len(chunks)).To(Equal((len(text) + 99) / 100))
	})

	It("has the JSON form that the platform's readers expect", func() {
		m, _ := ruleset.Split(7, []byte("abc"), 0)
		Expect(json.Marshal(m)).To(MatchJSON(`{"revision": 7, "chunks": [{"name": "rules-7-0", "bytes": 3,
			"sha256": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}]}`))
	})

	DescribeTable("rejects chunks that differ from the manifest, so that generations are never mixed",
		func(change func([][]byte) [][]byte) {
			_, err := ruleset.Assemble(manifest, change(append([][]byte{}, chunks...)))
			Expect(err).To(MatchError(ContainSubstring("assemble revision 7")))
		},
		Entry("missing", func(c [][]byte) [][]byte { return c[1:] }),
		Entry("extra", func(c [][]byte) [][]byte { return append(c, []byte("x")) }),
		Entry("swapped", func(c [][]byte) [][]byte { c[0], c[1] = c[1], c[0]; return c }),
		Entry("short", func(c [][]byte) [][]byte { c[0] = c[0][1:]; return c }),
		Entry("of another generation", func(c [][]byte) [][]byte {
			_, other := ruleset.Split(8, []byte(strings.Replace(sample, "teku", "teko", 1)), 100)
			c[0] = other[0]
			return c
		}),
	)
})
