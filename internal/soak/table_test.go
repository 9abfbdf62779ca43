package soak

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/checker"
)

// Guards against a table that omits failures: a pair counts in the rows of both of its
// faults, and once in the total.
func TestTable(t *testing.T) {
	g := gomega.NewWithT(t)
	var out strings.Builder
	g.Expect(WriteTable(&out, []Outcome{
		{Faults: []string{"a"}, Requests: 10, Answered: 9, Violations: []checker.Violation{{Invariant: 9}, {Invariant: unanswered}}},
		{Faults: []string{"a", "b"}, Requests: 5, Answered: 5, Err: errors.New("not ready")},
		{Faults: []string{"b"}, Requests: 1, Answered: 1},
	})).To(gomega.Succeed())
	var rows []string
	for line := range strings.SplitSeq(out.String(), "\n") {
		rows = append(rows, strings.Join(strings.Fields(line), ""))
	}
	g.Expect(rows[2:7]).To(gomega.Equal([]string{
		"|a|1|1|10|9|0|0|0|0|0|0|0|0|1|0|1|0|",
		"|b|1|0|1|1|0|0|0|0|0|0|0|0|0|0|0|0|",
		"|ainapair|1|1|5|5|0|0|0|0|0|0|0|0|0|0|0|1|",
		"|binapair|1|1|5|5|0|0|0|0|0|0|0|0|0|0|0|1|",
		"|allruns|3|2|16|15|0|0|0|0|0|0|0|0|1|0|1|1|",
	}))
}

// Guards against a printed command that reproduces a different run.
func TestCommandRepeatsTheRun(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Outcome{Seed: 7, Domains: 3, Faults: []string{"host-kill", "key-withdrawn"}}
	g.Expect(o.Command()).To(gomega.Equal("make soak SEED=7 RUNS=1 FAULTS=host-kill+key-withdrawn DOMAINS=3"))
	faults, err := ParseFaults("host-kill+key-withdrawn")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(Spec{Faults: faults}.faultNames()).To(gomega.Equal(o.Faults))
	g.Expect(SpecForSeed(7).faultNames()).To(gomega.Equal(SpecForSeed(7).faultNames()))
}
