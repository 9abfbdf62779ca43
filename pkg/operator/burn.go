package operator

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/slo"
)

type burnCommand struct {
	hostOptions
	SVG string `arg:"--svg" placeholder:"FILE" help:"write a plot to FILE instead of printing the table"`
}

type burnReport struct {
	Report   slo.Report `json:"report"`
	Problems []string   `json:"problems"`
}

func (c *burnCommand) run(ctx context.Context, s *session) error {
	report := burnReport{Problems: []string{}}
	var m slo.Merger
	fetchEach(ctx, c.hostOptions, slo.Path, func(_ int, a response[slo.Report]) {
		if a.err == nil {
			a.err = m.Add(a.value)
		}
		if a.err != nil {
			report.Problems = append(report.Problems, fmt.Sprintf("%s is left out: %v", a.host, a.err))
		}
	})
	slices.Sort(report.Problems)
	report.Report = m.Report()
	report.Problems = append(report.Problems, exhaustedBudgets(report.Report)...)
	s.problems = len(report.Problems) > 0
	text := report.Report.String()
	if c.SVG != "" {
		var plot bytes.Buffer
		if err := report.Report.SVG(&plot); err != nil {
			return fmt.Errorf("burn: draw plot: %w", err)
		}
		if err := os.WriteFile(c.SVG, plot.Bytes(), 0o644); err != nil {
			return fmt.Errorf("burn: write plot: %w", err)
		}
		text = fmt.Sprintf("plot of %d hosts is in %s\n", report.Report.Hosts, c.SVG)
	}
	return s.print(report, text+formatProblems(report.Problems))
}

// exhaustedBudgets reports the series that have used up the error budget of the
// longest window.
func exhaustedBudgets(r slo.Report) []string {
	var out []string
	for _, series := range r.Series {
		w := series.Windows[len(series.Windows)-1]
		if w.MaxBurnRate() > 1 {
			out = append(out, fmt.Sprintf("%s %s has used up its error budget: burn rate %.2f over the longest window",
				series.Organisation, series.Model, w.MaxBurnRate()))
		}
	}
	return out
}
