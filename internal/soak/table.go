package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// invariants is the number of invariants of docs/design.md, which count from 1.
const invariants = 10

// row is the table row of one fault.
type row struct {
	runs       int
	failed     int // runs with a violation or an error
	violations [invariants + 1]int
	errors     int // runs whose fleet did not recover
	requests   int
	answered   int
}

// rowNames returns the rows in which an outcome counts: one for each of its faults.
func (o Outcome) rowNames() []string {
	if len(o.Faults) == 1 {
		return o.Faults
	}
	var out []string
	for _, f := range o.Faults {
		out = append(out, f+" in a pair")
	}
	return out
}

// Failed reports whether the run broke an invariant or its fleet did not recover.
func (o Outcome) Failed() bool { return len(o.Violations) > 0 || o.Err != nil }

func (r *row) add(o Outcome) {
	r.runs++
	r.requests += o.Requests
	r.answered += o.Answered
	if o.Failed() {
		r.failed++
	}
	if o.Err != nil {
		r.errors++
	}
	for _, v := range o.Violations {
		r.violations[v.Invariant]++
	}
}

// WriteTable writes the violations by fault and invariant as a Markdown table. A
// pair counts in the rows of both faults and once in the last row.
func WriteTable(w io.Writer, outcomes []Outcome) error {
	rows := map[string]*row{}
	total := &row{}
	var names []string
	for _, o := range outcomes {
		total.add(o)
		for _, name := range o.rowNames() {
			if rows[name] == nil {
				rows[name] = &row{}
				names = append(names, name)
			}
			rows[name].add(o)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		pairA, pairB := strings.HasSuffix(a, "pair"), strings.HasSuffix(b, "pair")
		if pairA != pairB {
			if pairA {
				return 1
			}
			return -1
		}
		return strings.Compare(a, b)
	})
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	head := "| fault\t| runs\t| failed\t| requests\t| answered"
	line := "|---\t|---\t|---\t|---\t|---"
	for i := 1; i <= invariants; i++ {
		head += fmt.Sprintf("\t| %d", i)
		line += "\t|---"
	}
	_, _ = fmt.Fprintln(t, head+"\t| no answer\t| no recovery\t|")
	_, _ = fmt.Fprintln(t, line+"\t|---\t|---\t|")
	for _, name := range names {
		rows[name].write(t, name)
	}
	total.write(t, "all runs")
	return t.Flush()
}

func (r *row) write(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "| %s\t| %d\t| %d\t| %d\t| %d", name, r.runs, r.failed, r.requests, r.answered)
	for i := 1; i <= invariants; i++ {
		_, _ = fmt.Fprintf(w, "\t| %d", r.violations[i])
	}
	_, _ = fmt.Fprintf(w, "\t| %d\t| %d\t|\n", r.violations[unanswered], r.errors)
}
