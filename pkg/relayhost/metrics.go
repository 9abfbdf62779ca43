package relayhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// hostMetrics holds the counters and histograms of a host.
type hostMetrics struct {
	set            *metrics.Set
	storeReads     *metrics.Counter
	historyReads   *metrics.Counter
	historyCalls   *metrics.Counter // to the store
	storeFailures  *metrics.Counter
	refusedReaders *metrics.Counter // answers to other hosts for which there was no memory
	badNotices     *metrics.Counter // of backend servers that could not be read
	invalidEntries *metrics.Counter // of backend servers
	firstEvent     *metrics.Histogram
	answer         *metrics.Histogram
}

func newHostMetrics() *hostMetrics {
	set := metrics.NewSet()
	return &hostMetrics{
		set:            set,
		storeReads:     set.NewCounter("mulberrystream_store_reads_total"),
		historyReads:   set.NewCounter("mulberrystream_history_reads_total"),
		historyCalls:   set.NewCounter("mulberrystream_history_calls_total"),
		storeFailures:  set.NewCounter("mulberrystream_store_failures_total"),
		refusedReaders: set.NewCounter("mulberrystream_refused_readers_total"),
		badNotices:     set.NewCounter("mulberrystream_unreadable_notices_total"),
		invalidEntries: set.NewCounter("mulberrystream_invalid_entries_total"),
		firstEvent:     set.NewHistogram("mulberrystream_first_event_seconds"),
		answer:         set.NewHistogram("mulberrystream_answer_seconds"),
	}
}

// gaugeMirror reports what a mirror keeps for other hosts.
func (m *hostMetrics) gaugeMirror(mirror *follow.Mirror) {
	m.set.NewGauge("mulberrystream_kept_changes", func() float64 {
		changes, _ := mirror.Kept()
		return float64(changes)
	})
	m.set.NewGauge("mulberrystream_kept_changes_bytes", func() float64 {
		_, bytes := mirror.Kept()
		return float64(bytes)
	})
}

func (m *hostMetrics) countAnswer(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_answers_total{status="%d"}`, status)).Inc()
}

// countReservation counts a call that reserves decode memory. Those with outcome not_run were
// refused for lack of memory.
func (m *hostMetrics) countReservation(o relay.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_reservations_total{outcome=%q}`, o)).Inc()
}

// countCallFailure counts a call to a backend server without a usable answer.
func (m *hostMetrics) countCallFailure(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_call_failures_total{cause=%q}`, failureCause(err))).Inc()
}

// failureCause returns the cause of a failed call as the value of a metric's label.
func failureCause(err error) string {
	var netErr net.Error
	var failed *sendonce.Error
	switch {
	case errors.Is(err, sendonce.ErrTooLong), errors.Is(err, sendonce.ErrOverBudget):
		return "too long"
	case errors.Is(err, sendonce.ErrMalformed), errors.Is(err, sendonce.ErrUnrelated):
		return "malformed"
	case errors.Is(err, errDeadline), errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, errStopping):
		return "stopping"
	case errors.Is(err, context.Canceled):
		return "caller left"
	case errors.As(err, &failed) && failed.Step == "connect":
		return "connect"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return "connection"
	}
	return "malformed"
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
