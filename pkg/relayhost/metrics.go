package relayhost

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// hostMetrics holds the counters and histograms of a host.
type hostMetrics struct {
	set           *metrics.Set
	storeReads    *metrics.Counter
	storeFailures *metrics.Counter
	firstEvent    *metrics.Histogram
	answer        *metrics.Histogram
}

func newHostMetrics() *hostMetrics {
	set := metrics.NewSet()
	return &hostMetrics{
		set:           set,
		storeReads:    set.NewCounter("mulberrystream_store_reads_total"),
		storeFailures: set.NewCounter("mulberrystream_store_failures_total"),
		firstEvent:    set.NewHistogram("mulberrystream_first_event_seconds"),
		answer:        set.NewHistogram("mulberrystream_answer_seconds"),
	}
}

func (m *hostMetrics) countAnswer(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_answers_total{status="%d"}`, status)).Inc()
}

// countDecision counts a decision and records its duration.
func (m *hostMetrics) countDecision(d relay.Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_decisions_total{step=%q}`, d.Step)).Inc()
	switch d.Step {
	case "first_event":
		m.firstEvent.Update(d.Took.Seconds())
	case "answer":
		m.answer.Update(d.Took.Seconds())
	}
}

// write writes all metrics in the Prometheus text format.
func (m *hostMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }
