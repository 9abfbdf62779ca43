package ruleset_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

func TestRuleset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ruleset")
}

const sample = `# Rules of the test.

domain teku slots 2 # platform team
domain balaju slots 3 # platform team
organisation clip-hire rate 100 burst 500 weight 2 prefer refuse # sales
organisation patan-scaffold rate 50 burst 50 weight 1 prefer wait # sales
model inspect-lm versions v7,v6 # model team
route /counter service counter-app once keyed cost 5 # counter team
route /counter/info service counter-app idempotent open # counter team
# agreed in the review
allow clip-hire inspect-lm # sales
allow clip-hire counter-app # sales
key c1 organisation clip-hire salt 0011223344556677 hash ` + hash + ` # operations
fencing batch-a checked # engine team
recall version inspect-lm v7 # quality
recall adapter lora-3 # quality
recall engines batch-b # quality
stale refuse 90s # security
# end
`

const hash = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

func parse(text string) *ruleset.Rules {
	r, err := ruleset.Parse([]byte(text))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("Parse", func() {
	r := func() *ruleset.Rules { return parse(sample) }

	It("returns every value of the rules from its lookup", func() {
		o, ok := r().Organisation("clip-hire")
		Expect(ok).To(BeTrue())
		Expect(o.Rate).To(BeEquivalentTo(100))
		Expect(o.Burst).To(BeEquivalentTo(500))
		Expect(o.Weight).To(BeEquivalentTo(2))
		Expect(o.Prefer).To(Equal(ruleset.Refuse))
		Expect(o.Origin.Line).To(Equal(5))
		Expect(o.Comment).To(Equal("sales"))
		Expect(r().Organisations()).To(HaveLen(2))
		Expect(r().SlotCount()).To(Equal(5))
		Expect(r().Domains()[0].Name).To(Equal(ident.FailureDomain("balaju")))
		k, _ := r().Key("c1")
		Expect(k.Salt).To(Equal("\x00\x11\x22\x33\x44\x55\x66\x77"))
		Expect(k.Hash[1]).To(BeEquivalentTo(0x11))
		m, _ := r().Model("inspect-lm")
		Expect(m.Versions).To(Equal([]ident.Version{"v7", "v6"}))
		Expect(r().Stale()).To(Equal(ruleset.Stale{Refuse: true, After: 90 * time.Second}))
		Expect(r().FencingChecked("batch-a")).To(BeTrue())
		Expect(r().FencingChecked("batch-b")).To(BeFalse())
	})

	It("allows only what a rule allows", func() {
		Expect(r().Allowed("clip-hire", "inspect-lm")).To(BeTrue())
		Expect(r().Allowed("clip-hire", "counter-app")).To(BeTrue())
		Expect(r().Allowed("patan-scaffold", "inspect-lm")).To(BeFalse())
	})

	It("recalls exactly the versions, adapters and engine groups that the rules name", func() {
		Expect(r().Recalled("inspect-lm", "v7", "", "")).To(BeTrue())
		Expect(r().Recalled("inspect-lm", "v6", "", "batch-a")).To(BeFalse())
		Expect(r().Recalled("inspect-lm", "v6", "lora-3", "")).To(BeTrue())
		Expect(r().Recalled("inspect-lm", "v6", "", "batch-b")).To(BeTrue())
		kinds := []ruleset.RecallKind{}
		for _, recall := range r().Recalls() {
			kinds = append(kinds, recall.Kind)
		}
		Expect(kinds).To(Equal([]ruleset.RecallKind{
			ruleset.RecallVersion, ruleset.RecallAdapter, ruleset.RecallEngines}))
	})

	DescribeTable("finds the longest matching route, and none for a path that a service may resolve to another",
		func(path, want string) {
			route, ok := r().Route(path)
			Expect(ok).To(Equal(want != ""))
			Expect(string(route.Path)).To(Equal(want))
		},
		Entry("exact", "/counter", "/counter"),
		Entry("below", "/counter/refund/7", "/counter"),
		Entry("longer prefix", "/counter/info/x/y", "/counter/info"),
		Entry("trailing slash", "/counter/", "/counter"),
		Entry("inside a segment", "/counters", ""),
		Entry("inside a later segment", "/counter/information", "/counter"),
		Entry("other", "/v1/models", ""),
		Entry("root", "/", ""),
		Entry("empty", "", ""),
		Entry("climbs out of an open route", "/counter/info/../refund", ""),
		Entry("empty segment", "/counter//info", ""),
	)

	It("keeps its values when a caller modifies a returned model", func() {
		rules := r()
		m, _ := rules.Model("inspect-lm")
		m.Versions[0] = "changed"
		rules.Models()[0].Versions[1] = "changed"
		m, _ = rules.Model("inspect-lm")
		Expect(m.Versions).To(Equal([]ident.Version{"v7", "v6"}))
	})

	It("is safe for concurrent use, which the race detector checks", func() {
		rules := r()
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				m, _ := rules.Model("inspect-lm")
				m.Versions[0] = "changed"
				rules.Explain("clip-hire", "inspect-lm")
				rules.Route("/counter/x")
				_ = ruleset.Diff(rules, rules)
				_ = rules.String()
			})
		}
		group.Wait()
		Expect(rules.Equal(r())).To(BeTrue())
	})

	It("prints text that parses to equal rules and keeps the comments", func() {
		text := r().String()
		Expect(parse(text).Equal(r())).To(BeTrue())
		Expect(parse(text).String()).To(Equal(text))
		Expect(text).To(HavePrefix("# Rules of the test.\n\n"))
		Expect(text).To(ContainSubstring("# agreed in the review\nallow clip-hire inspect-lm # sales\n"))
		Expect(text).To(HaveSuffix("\n# end\n"))
	})

	It("accepts CRLF line endings, which editors on other systems write", func() {
		Expect(parse(strings.ReplaceAll(sample, "\n", "\r\n")).Equal(r())).To(BeTrue())
	})
})
