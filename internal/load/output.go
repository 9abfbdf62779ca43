package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// WriteText writes the metrics as a human-readable table.
func WriteText(out io.Writer, s Summary) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	row("policy\t%s", s.Policy)
	row("workload\t%s, load %g, seed %d, time scale %g, %v", s.Workload, s.Load, s.Seed, s.Scale, s.Duration)
	row("goodput\t%.2f requests/s, %.1f tokens/s, %.2f%% of completions", s.Goodput, s.GoodTokens, 100*s.GoodShare)
	if s.Wasted.Known {
		row("wasted prefill\t%.2f%% of %d tokens", 100*s.Wasted.Share, s.Wasted.Tokens)
	} else {
		row("wasted prefill\tunknown, no records of engines")
	}
	row("worst-served\t%s, %.2f%% of the mean of the well-behaved", s.WorstServedName, 100*s.WorstServed)
	row("wrongly refused\t%.3f%% of requests within the rate", 100*s.WronglyRefused)
	row("completions\t%s", s.Completions)
	row("calls\t%s", s.Calls)
	row("first token\t%s", s.FirstToken)
	row("inter token\t%s", s.InterToken)
	row("call time\t%s", s.CallTime)
	for _, code := range sortedCodes(s.Codes) {
		row("code %s\t%d", code, s.Codes[code])
	}
	row("\norganisation\trequests\tanswered\tgood\tdenied\tbroken\tshare\tin rate\trefused\tfirst token p95")
	for _, o := range s.Organisations {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%v", o.Name, o.Counts.Requests, o.Counts.Answered, o.Good,
			o.Counts.Denied, o.Counts.Broken, o.Share, o.WithinRate, o.WronglyRefused, round(o.FirstToken.P95))
	}
	return t.Flush()
}

func sortedCodes(codes map[string]int) []string {
	var out []string
	for c := range codes {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// String returns the counts as text.
func (c Counts) String() string {
	return fmt.Sprintf("%d sent, %d answered, %d denied, %d broken, %d abandoned, %d wrong",
		c.Requests, c.Answered, c.Denied, c.Broken, c.Abandoned, c.Wrong)
}

// String returns the percentiles as text.
func (l Latency) String() string {
	return fmt.Sprintf("p50 %v, p95 %v, p99 %v, max %v of %d", round(l.P50), round(l.P95), round(l.P99), round(l.Max), l.Count)
}

// WriteCSV writes one row per request.
func WriteCSV(out io.Writer, w Workload, results []Result, t Targets) error {
	c := csv.NewWriter(out)
	head := []string{"index", "at_ms", "organisation", "path", "prompt", "max_tokens", "outcome", "status", "code", "ran",
		"first_ms", "last_ms", "tokens", "inter_token_ms", "good"}
	if err := c.Write(head); err != nil {
		return err
	}
	for _, r := range results {
		a := r.Arrival
		path := "/v1/completions"
		if a.Call != nil {
			path = a.Call.Path
		}
		line := []string{
			strconv.Itoa(a.Index), millis(a.At), string(w.Organisations[a.Organisation].Name), path,
			strconv.Itoa(a.Prompt), strconv.Itoa(a.MaxTokens), string(r.Outcome), strconv.Itoa(r.Status), r.Code, r.Ran,
			millis(r.First), millis(r.Last), strconv.Itoa(r.Tokens), millis(r.interToken()), strconv.FormatBool(r.good(t)),
		}
		if err := c.Write(line); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// WriteFiles writes summary.txt, summary.json, requests.csv, the plots and, as
// records.json, the records of callers and fake backends into a directory.
func WriteFiles(dir string, w Workload, s Summary, results []Result, records []record.Record, t Targets) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string]func(io.Writer) error{
		"summary.txt":    func(f io.Writer) error { return WriteText(f, s) },
		"summary.json":   func(f io.Writer) error { return writeJSON(f, s) },
		"requests.csv":   func(f io.Writer) error { return WriteCSV(f, w, results, t) },
		"timeline.svg":   func(f io.Writer) error { return WriteTimeline(f, s, results, t) },
		"firsttoken.svg": func(f io.Writer) error { return WriteFirstToken(f, w, results, t) },
		"records.json":   func(f io.Writer) error { return json.NewEncoder(f).Encode(records) },
		"shares.svg":     func(f io.Writer) error { return WriteShares(f, s) },
	}
	for name, write := range files {
		if err := writeFile(filepath.Join(dir, name), write); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.Close()
}

// WriteComparison writes the metrics of several runs as one table. It returns an
// error if the runs had different arrivals, because their metrics are not comparable.
func WriteComparison(out io.Writer, runs []Summary) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tgoodput/s\tgood\twasted prefill\tworst-served\twrongly refused\tfirst token p95\tinter token p95")
	for _, s := range runs {
		a, b := runs[0], s
		if a.Workload != b.Workload || a.Seed != b.Seed || a.Load != b.Load || a.Scale != b.Scale || a.Duration != b.Duration {
			return fmt.Errorf("runs %q and %q have different arrivals", a.Policy, b.Policy)
		}
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f%%\t%v\t%v\n", s.Policy, s.Goodput, 100*s.GoodShare,
			100*s.Wasted.Share, 100*s.WorstServed, 100*s.WronglyRefused, round(s.FirstToken.P95), round(s.InterToken.P95))
	}
	return t.Flush()
}
