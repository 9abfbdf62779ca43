package ruleset_test

import (
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// base declares the names that the rules under test use. It has 6 lines, so the
// rule under test is on line 7.
const base = `domain teku slots 1 # t
organisation clip-hire rate 10 burst 10 weight 1 prefer wait # t
model inspect-lm versions v1 # t
route /counter service counter-app once keyed cost 2 # t
allow clip-hire inspect-lm # t
key c1 organisation clip-hire salt 0011223344556677 hash ` + hash + ` # t
`

func parseErrors(text string) ruleset.Errors {
	r, err := ruleset.Parse([]byte(text))
	ExpectWithOffset(1, r).To(BeNil())
	var all ruleset.Errors
	ExpectWithOffset(1, errors.As(err, &all)).To(BeTrue())
	return all
}

var _ = Describe("Errors", func() {
	DescribeTable("rejects an invalid line with its column and cause, so that no invalid rule takes effect",
		func(line string, column int, cause string) {
			all := parseErrors(base + line)
			Expect(all).To(HaveLen(1), all.Error())
			Expect(all[0].Line).To(Equal(7))
			Expect(all[0].Column).To(Equal(column), all.Error())
			Expect(all[0].Cause).To(ContainSubstring(cause))
			Expect(all[0].Fix).NotTo(BeEmpty())
			Expect(all[0].Error()).NotTo(ContainSubstring("\n"))
		},
		Entry("unknown rule", "allowed x y # t", 1, `unknown rule "allowed"`),
		Entry("no comment", "allow clip-hire counter-app", 28, "comment is missing"),
		Entry("empty comment", "allow clip-hire counter-app #  ", 28, "comment is missing"),
		Entry("missing word", "domain balaju slots # t", 20, "slots is missing"),
		Entry("wrong keyword", "domain balaju slot 3 # t", 15, "`slots` is expected"),
		Entry("word too many", "domain balaju slots 3 4 # t", 23, "after the end"),
		Entry("zero slots", "domain balaju slots 0 # t", 21, "out of range"),
		Entry("sign", "domain balaju slots +1 # t", 21, "out of range"),
		Entry("zero rate", "organisation a rate 0 burst 1 weight 1 prefer wait # t", 21, "rate"),
		Entry("negative rate", "organisation a rate -1 burst 1 weight 1 prefer wait # t", 21, "rate"),
		Entry("burst below 1", "organisation a rate 1 burst 0.5 weight 1 prefer wait # t", 29, "burst"),
		Entry("zero weight", "organisation a rate 1 burst 1 weight 0 prefer wait # t", 38, "weight"),
		Entry("overflow", "organisation a rate 99999999999999999999 burst 1 weight 1 prefer wait # t", 21, "rate"),
		Entry("preference", "organisation a rate 1 burst 1 weight 1 prefer none # t", 47, "`wait` or `refuse`"),
		Entry("malformed name", "organisation a/b rate 1 burst 1 weight 1 prefer wait # t", 14, "malformed"),
		Entry("name too long", "organisation "+strings.Repeat("a", 65)+" rate 1 burst 1 weight 1 prefer wait # t", 14, "malformed"),
		Entry("second domain", "domain teku slots 1 # t", 8, "already on line 1"),
		Entry("second organisation", "organisation clip-hire rate 1 burst 1 weight 1 prefer wait # t", 14, "already on line 2"),
		Entry("second model", "model inspect-lm versions v2 # t", 7, "already on line 3"),
		Entry("second route", "route /counter service counter-app once open # t", 7, "already on line 4"),
		Entry("second allow", "allow clip-hire inspect-lm # t", 7, "already on line 5"),
		Entry("second key", "key c1 organisation clip-hire salt 0011223344556677 hash "+hash+" # t", 5, "already on line 6"),
		Entry("unknown organisation", "allow sales inspect-lm # t", 7, `organisation "sales" is not declared`),
		Entry("unknown target", "allow clip-hire refill # t", 17, `model or service "refill" is not declared`),
		Entry("unknown organisation of a key", "key c2 organisation a salt 0011223344556677 hash "+hash+" # t", 21, "not declared"),
		Entry("unknown model of a recall", "recall version m v1 # t", 16, "not declared"),
		Entry("dot in key id", "key a.b organisation clip-hire salt 0011223344556677 hash "+hash+" # t", 5, "key id"),
		Entry("short salt", "key c2 organisation clip-hire salt 0011 hash "+hash+" # t", 36, "salt"),
		Entry("malformed hash", "key c2 organisation clip-hire salt 0011223344556677 hash 00zz # t", 58, "hash"),
		Entry("malformed version", "model m versions v1,,v2 # t", 21, `version ""`),
		Entry("repeated version", "model m versions v1,v1 # t", 21, "twice"),
		Entry("relative route", "route counter service a once open # t", 7, "start with `/`"),
		Entry("root route", "route / service a once open # t", 7, "shadows `/v1/`"),
		Entry("route on the model API", "route /v1/chat service a once open # t", 7, "shadows `/v1/`"),
		Entry("route with a dot segment", "route /a/../v1 service a once open # t", 7, "segment"),
		Entry("route with an escape", "route /a%2f service a once open # t", 7, "not plain"),
		Entry("route with a trailing slash", "route /a/ service a once open # t", 7, "ends with `/`"),
		Entry("cost of an open route", "route /a service a once open cost 3 # t", 30, "open route"),
		Entry("zero cost", "route /a service a once keyed cost 0 # t", 36, "cost"),
		Entry("service named as a model", "route /a service inspect-lm once open # t", 1, "name of the model"),
		Entry("fencing word", "fencing g maybe # t", 11, "`checked` or `ignored`"),
		Entry("recall word", "recall model a # t", 8, "`version` or `adapter` or `engines`"),
		Entry("negative age", "stale refuse -1s # t", 14, "age"),
		Entry("age without unit", "stale refuse 60 # t", 14, "age"),
		Entry("control character", "allow clip-hire \x00 # t", 17, "control character"),
		Entry("invalid UTF-8", "allow clip-hire \xff # t", 17, "invalid UTF-8"),
	)

	It("counts columns in characters, as editors do", func() {
		Expect(parseErrors(base + "fencing é maybe # t")[1].Column).To(Equal(11))
	})

	It("rejects a call that costs more than the burst, which would wait for ever", func() {
		all := parseErrors(base + "route /counter/x service counter-app once keyed cost 11 # t\nallow clip-hire counter-app # t")
		Expect(all).To(HaveLen(1))
		Expect(all[0].Cause).To(ContainSubstring("more than the burst"))
	})

	It("rejects a second stale or recall rule", func() {
		Expect(parseErrors(base + "stale serve # t\nstale refuse 1s # t")[0].Line).To(Equal(8))
		Expect(parseErrors(base + "recall engines g # t\nrecall engines g # t")[0].Column).To(Equal(8))
	})

	It("suggests the syntax of the rule that a misspelt one resembles", func() {
		fix := parseErrors(base + "organization a # t")[0].Fix
		Expect(fix).To(Equal("write `organisation NAME rate N burst N weight N prefer wait|refuse`"))
		Expect(parseErrors(base + "x # t")[0].Fix).To(HavePrefix("start the line with one of domain, "))
	})

	It("rejects a text without a domain, such as an empty value of the platform", func() {
		Expect(parseErrors("")).To(ConsistOf(HaveField("Cause", ContainSubstring("no domain"))))
	})

	It("reports all errors of all lines in order and each only once", func() {
		all := parseErrors("domain teku slots 0\n" +
			"organisation a rate 0 burst 0 weight 0 prefer wait # t\n" +
			"allow a nothing # t\n" +
			"allow b nothing # t\n")
		var at [][2]int
		for _, e := range all {
			at = append(at, [2]int{e.Line, e.Column})
		}
		Expect(at).To(Equal([][2]int{{1, 19}, {1, 20}, {2, 21}, {2, 29}, {2, 38}, {3, 9}, {4, 7}, {4, 9}}))
		Expect(strings.Split(all.Error(), "\n")).To(HaveLen(len(all)))
		var one ruleset.Error
		Expect(errors.As(error(all), &one)).To(BeTrue())
		Expect(one).To(Equal(all[0]))
	})
})
