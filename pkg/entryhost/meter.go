package entryhost

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/frontend"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// meter records the metrics and the SLO burn of completions. Outcomes are counted
// per organisation and model, which the allow rules bound; histograms are per
// model only, since each has about a hundred series.
type meter struct {
	set *metrics.Set

	mu      sync.Mutex
	tracker *slo.Tracker
}

func newMeter(cfg slo.Config) *meter {
	return &meter{set: metrics.NewSet(), tracker: slo.New(cfg)}
}

// Completed records one completion.
func (m *meter) Completed(r *driver.Completion, t frontend.Timing, end driver.End) {
	m.count(r, t, end)
	first := t.FirstToken
	if t.Tokens == 0 {
		first = t.Total
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Observe(time.Now(), slo.Observation{
		Organisation: r.Organisation,
		Model:        r.Model,
		Outcome:      outcome(end),
		FirstToken:   first,
		Delivered:    t.Tokens > 0,
		Gaps:         t.Gaps,
		GapsInTarget: t.GapsInTarget,
	})
}

func outcome(end driver.End) slo.Outcome {
	switch {
	case end.Complete:
		return slo.Completed
	case end.Refusal == nil:
		return slo.Cancelled
	case end.Refusal.Ran == node.NotRun:
		return slo.Refused
	}
	return slo.Failed
}

func (m *meter) count(r *driver.Completion, t frontend.Timing, end driver.End) {
	result := "caller_gone"
	switch {
	case end.Refusal != nil:
		result = string(end.Refusal.Code)
	case end.Complete:
		result = "complete"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`mulberrystream_requests_total{organisation=%q,model=%q,outcome=%q}`, r.Organisation, r.Model, result)).Inc()
	if t.Tokens == 0 {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`mulberrystream_output_tokens_total{organisation=%q,model=%q}`, r.Organisation, r.Model)).Add(t.Tokens)
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`mulberrystream_first_token_seconds{model=%q}`, r.Model)).Update(t.FirstToken.Seconds())
}

// report returns the SLO burn report.
func (m *meter) report() slo.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Report(time.Now()).Compact()
}

// write writes the request and process metrics in the Prometheus text format.
func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// writeNodeMetrics writes the counters and gauges of the node.
func writeNodeMetrics(w io.Writer, s node.Stats, st status.Status) {
	metrics.WriteCounterUint64(w, "mulberrystream_pauses_total", s.Pauses)
	metrics.WriteCounterUint64(w, "mulberrystream_retries_total", s.Retries)
	metrics.WriteCounterUint64(w, "mulberrystream_stale_answers_total", s.StaleAnswers)
	for _, code := range slices.Sorted(maps.Keys(s.Refused)) {
		metrics.WriteCounterUint64(w, fmt.Sprintf("mulberrystream_refused_total{code=%q}", code), s.Refused[code])
	}
	metrics.WriteGaugeUint64(w, "mulberrystream_ready", boolGauge(st.Ready))
	metrics.WriteGaugeUint64(w, "mulberrystream_mints_tokens", boolGauge(st.CanMint))
	metrics.WriteGaugeUint64(w, "mulberrystream_in_flight_requests", uint64(st.InFlight))
	metrics.WriteGaugeUint64(w, "mulberrystream_configuration_revision", uint64(st.Revision))
	metrics.WriteGaugeFloat64(w, "mulberrystream_configuration_age_seconds", float64(st.ConfigAgeMS)/1000)
}

func boolGauge(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}
