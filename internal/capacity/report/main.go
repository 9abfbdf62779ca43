// Command report measures the cost of an entry host at several fleet sizes, fits lines
// to the results and rewrites the tables of docs/CAPACITY.md between the markers.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mulberrystream/mulberrystream/internal/capacity"
)

type settings struct {
	File  string `arg:"--file" default:"docs/CAPACITY.md" help:"page whose tables are rewritten"`
	Print bool   `arg:"--print" help:"only print the tables"`
}

const (
	beginMark = "<!-- begin of measured tables: make capacity -->"
	endMark   = "<!-- end of measured tables -->"
)

// Budget for the control plane on each node at the target scale.
const (
	budgetCore   = 1.3    // percent
	budgetBytes  = 11_000 // per second
	budgetMemory = 128 << 20
)

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	begin := time.Now()
	r := &report{measured: map[capacity.Shape]capacity.Sample{}}
	r.printf("Measured with %s, %d processors, load average %s.\n", runtime.Version(), runtime.NumCPU(), loadAverage())
	r.sweeps()
	if err := r.wire(); err != nil {
		return err
	}
	if err := r.lists(); err != nil {
		return err
	}
	if err := r.rules(); err != nil {
		return err
	}
	r.nodes()
	r.budgetTable()
	r.printf("\nThe measurement took %s.\n", time.Since(begin).Round(time.Second))
	fmt.Print(r.out.String())
	if s.Print {
		return nil
	}
	return rewrite(s.File, r.out.String())
}

// loadAverage returns the load average of the machine over one minute.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	one, _, _ := strings.Cut(string(b), " ")
	return one
}

func rewrite(file, tables string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	head, rest, ok := strings.Cut(string(b), beginMark)
	_, tail, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return fmt.Errorf("%s does not contain the markers of the measured tables", file)
	}
	return os.WriteFile(file, []byte(head+beginMark+"\n\n"+tables+"\n"+endMark+tail), 0o644)
}

type report struct {
	measured                        map[capacity.Shape]capacity.Sample // reused by sweeps that share a shape
	out                             strings.Builder
	target                          capacity.Sample // 90 hosts, 410 organisations
	deliverMicros, pollMicros       float64
	list                            capacity.ListCost
	ruleBytes, ruleHeap, ruleMicros float64
}

func (r *report) printf(format string, args ...any) { fmt.Fprintf(&r.out, format, args...) }

// row writes a table row with the values at several sizes and their fitted line.
func (r *report) row(name string, x, y []float64, format string) capacity.Line {
	l := capacity.Fit(x, y)
	r.printf("| %s |", name)
	for _, v := range y {
		r.printf(" "+format+" |", v)
	}
	r.printf(" %s |\n", l)
	return l
}

func (r *report) header(what string, x []float64) {
	r.printf("\n| %s |", what)
	for _, v := range x {
		r.printf(" %g |", v)
	}
	r.printf(" fit over the size |\n|---|%s---|\n", strings.Repeat("---|", len(x)))
}
