package slo

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Path is the HTTP path at which an entry host serves its Report as JSON, possibly
// in the Compact form.
const Path = "/slo"

// Counts are the requests of one series in one window.
type Counts struct {
	Requests      uint64 `json:"requests,omitempty"` // without the refused ones
	FirstInTarget uint64 `json:"first_in_target,omitempty"`
	Gaps          uint64 `json:"gaps,omitempty"`
	GapsInTarget  uint64 `json:"gaps_in_target,omitempty"`
	Failed        uint64 `json:"failed,omitempty"`
	Refused       uint64 `json:"refused,omitempty"`
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.FirstInTarget += o.FirstInTarget
	c.Gaps += o.Gaps
	c.GapsInTarget += o.GapsInTarget
	c.Failed += o.Failed
	c.Refused += o.Refused
}

// TargetResult states how well one target is met. Without observations the target
// counts as met.
type TargetResult struct {
	Attainment float64 `json:"attainment"`  // share that met the target, 0 to 1
	BurnRate   float64 `json:"burn_rate"`   // misses divided by the misses that the objective allows
	BudgetLeft float64 `json:"budget_left"` // share of the window's error budget; negative when overspent
}

func newTargetResult(good, total uint64, objective float64) TargetResult {
	if total == 0 {
		return TargetResult{Attainment: 1, BudgetLeft: 1}
	}
	missed := float64(total-min(good, total)) / float64(total)
	burn := missed / (1 - objective)
	return TargetResult{Attainment: 1 - missed, BurnRate: burn, BudgetLeft: 1 - burn}
}

// Window is the state of one series over one window.
type Window struct {
	Seconds int64 `json:"window_s"`
	Counts
	FirstToken TargetResult `json:"first_token,omitzero"`
	InterToken TargetResult `json:"inter_token,omitzero"`
}

// MaxBurnRate returns the higher of the burn rates of both targets.
func (w Window) MaxBurnRate() float64 { return max(w.FirstToken.BurnRate, w.InterToken.BurnRate) }

// Series has the windows of one pair of organisation and model.
type Series struct {
	Organisation ident.Organisation `json:"organisation"`
	Model        ident.Model        `json:"model"`
	Windows      []Window           `json:"windows"` // in the order of Report.Windows
}

// Report is the state of all series of one host or of several.
type Report struct {
	Hosts            int      `json:"hosts"`
	FirstTokenTarget int64    `json:"first_token_target_ms"`
	InterTokenTarget int64    `json:"inter_token_target_ms"`
	Objective        float64  `json:"objective"`
	Windows          []int64  `json:"windows_s"`       // shortest first
	Total            []Window `json:"total,omitempty"` // of all series
	Series           []Series `json:"series"`          // sorted by organisation and model
}

// Report returns the counts of all windows that end at now. Series without
// observations in the longest window are left out.
func (t *Tracker) Report(now time.Time) Report {
	r := Report{
		Hosts:            1,
		FirstTokenTarget: t.cfg.FirstTokenTarget.Milliseconds(),
		InterTokenTarget: t.cfg.InterTokenTarget.Milliseconds(),
		Objective:        t.cfg.Objective,
		Series:           []Series{},
	}
	for _, w := range t.cfg.Windows {
		r.Windows = append(r.Windows, int64(w/time.Second))
	}
	for p, rings := range t.series {
		s := Series{Organisation: p.organisation, Model: p.model, Windows: make([]Window, len(rings))}
		for i := range rings {
			s.Windows[i].Counts = rings[i].total(t.bucketNumber(now, i))
		}
		if s.Windows[len(rings)-1].Counts != (Counts{}) {
			r.Series = append(r.Series, s)
		}
	}
	r.computeTotals()
	return r
}

// Compact returns the report without the total and the target results, which Merge
// computes from the counts. Its JSON form is less than half the size.
func (r Report) Compact() Report {
	r.Total = nil
	r.Series = slices.Clone(r.Series)
	for i, s := range r.Series {
		windows := make([]Window, len(s.Windows))
		for k, w := range s.Windows {
			windows[k] = Window{Seconds: w.Seconds, Counts: w.Counts}
		}
		r.Series[i].Windows = windows
	}
	return r
}

// computeTotals sorts the series and computes the totals and target results from
// the counts.
func (r *Report) computeTotals() {
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Model, b.Model))
	})
	r.Total = make([]Window, len(r.Windows))
	for _, s := range r.Series {
		for i := range s.Windows {
			r.computeTargets(i, &s.Windows[i])
			r.Total[i].Counts.add(s.Windows[i].Counts)
		}
	}
	for i := range r.Total {
		r.computeTargets(i, &r.Total[i])
	}
}

func (r *Report) computeTargets(i int, w *Window) {
	w.Seconds = r.Windows[i]
	w.FirstToken = newTargetResult(w.FirstInTarget, w.Requests, r.Objective)
	w.InterToken = newTargetResult(w.GapsInTarget, w.Gaps, r.Objective)
}

// sameTargets reports whether both reports have the same targets and windows.
func (r Report) sameTargets(o Report) bool {
	return r.FirstTokenTarget == o.FirstTokenTarget && r.InterTokenTarget == o.InterTokenTarget &&
		r.Objective == o.Objective && slices.Equal(r.Windows, o.Windows)
}

// Merge adds up the counts of the reports. The reports must have the same
// targets and windows. Without reports it returns a Report without series.
func Merge(reports ...Report) (Report, error) {
	var m Merger
	for _, r := range reports {
		if err := m.Add(r); err != nil {
			return Report{}, err
		}
	}
	return m.Report(), nil
}

// Merger adds up reports one at a time, so that the reports of a large fleet need
// not be held in memory at once. The zero value is ready for use.
type Merger struct {
	sum    Report
	series map[seriesKey]Series
}

// Add adds a report. An error leaves the sum unchanged.
func (m *Merger) Add(r Report) error {
	if len(r.Windows) == 0 || !(r.Objective > 0 && r.Objective < 1) {
		return fmt.Errorf("merge reports: report has no windows or no objective between 0 and 1")
	}
	if m.series != nil && !r.sameTargets(m.sum) {
		return fmt.Errorf("merge reports: targets or windows differ")
	}
	for _, s := range r.Series {
		if len(s.Windows) != len(r.Windows) {
			return fmt.Errorf("merge reports: %s %s has %d windows, report has %d",
				s.Organisation, s.Model, len(s.Windows), len(r.Windows))
		}
	}
	if m.series == nil {
		m.series = map[seriesKey]Series{}
		hosts := m.sum.Hosts
		m.sum = r
		m.sum.Hosts, m.sum.Series, m.sum.Total = hosts, nil, nil
		m.sum.Windows = slices.Clone(r.Windows)
	}
	m.sum.Hosts += r.Hosts
	for _, s := range r.Series {
		m.add(s)
	}
	return nil
}

func (m *Merger) add(s Series) {
	p := seriesKey{s.Organisation, s.Model}
	existing, ok := m.series[p]
	if !ok {
		s.Windows = slices.Clone(s.Windows)
		m.series[p] = s
		return
	}
	for i := range s.Windows {
		existing.Windows[i].Counts.add(s.Windows[i].Counts)
	}
}

// Report returns the sum. Later calls of Add do not change it.
func (m *Merger) Report() Report {
	r := m.sum
	r.Windows = slices.Clone(m.sum.Windows)
	r.Series = slices.AppendSeq([]Series{}, maps.Values(m.series))
	for i := range r.Series {
		r.Series[i].Windows = slices.Clone(r.Series[i].Windows)
	}
	r.computeTotals()
	return r
}
