package slo

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// String returns the report as a table that starts with the total.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d hosts; first token within %d ms and gaps within %d ms for %g%%\n",
		r.Hosts, r.FirstTokenTarget, r.InterTokenTarget, 100*r.Objective)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ORGANISATION\tMODEL\tWINDOW\tREQUESTS\tFAILED\tREFUSED\t"+
		"FIRST TOKEN\tBURN\tBUDGET LEFT\tGAPS\tBURN\tBUDGET LEFT")
	writeRows(w, "(all)", "(all)", r.Total)
	for _, s := range r.Series {
		writeRows(w, string(s.Organisation), string(s.Model), s.Windows)
	}
	_ = w.Flush()
	return b.String()
}

func writeRows(w *tabwriter.Writer, organisation, model string, windows []Window) {
	for _, x := range windows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", organisation, model, windowName(x.Seconds),
			x.Requests, x.Failed, x.Refused, x.FirstToken, x.InterToken)
	}
}

// String returns attainment, burn rate and budget left as tab-separated cells.
func (t TargetResult) String() string {
	return fmt.Sprintf("%.2f%%\t%.2f\t%.0f%%", 100*t.Attainment, t.BurnRate, 100*t.BudgetLeft)
}

// windowName formats the length of a window, such as 5m, 6h or 3d.
func windowName(seconds int64) string {
	const minute, hour, day = 60, 3600, 86400
	switch {
	case seconds > day && seconds%day == 0:
		return fmt.Sprintf("%dd", seconds/day)
	case seconds >= hour && seconds%hour == 0:
		return fmt.Sprintf("%dh", seconds/hour)
	case seconds >= minute && seconds%minute == 0:
		return fmt.Sprintf("%dm", seconds/minute)
	default:
		return (time.Duration(seconds) * time.Second).String()
	}
}
