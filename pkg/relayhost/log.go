package relayhost

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

const (
	// logQueueLines is the number of lines that may be queued for a slow log reader.
	logQueueLines = 1024
	// logLinesPerSecond and logBurstLines limit the log volume. A host serves some tens of
	// requests a second with about five lines each.
	logLinesPerSecond = 400
	logBurstLines     = 2000
)

// lineWriter writes log lines from its own goroutine, so that a slow log reader does not
// delay requests. Lines above the rate limit are dropped and counted.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, logQueueLines)}
	go l.run(w)
	return l
}

func (l *lineWriter) run(w io.Writer) {
	budget, at := float64(logBurstLines), time.Now()
	reported := uint64(0)
	for line := range l.lines {
		now := time.Now()
		budget = min(logBurstLines, budget+now.Sub(at).Seconds()*logLinesPerSecond)
		at = now
		if budget < 1 {
			l.dropped.Add(1)
			continue
		}
		budget--
		if d := l.dropped.Load(); d != reported {
			line = fmt.Appendf(line, `{"level":"warn","msg":"log: lines dropped","total":%d}`+"\n", d)
			reported = d
		}
		if _, err := w.Write(line); err != nil {
			// The failure cannot be logged either.
			l.dropped.Add(1)
		}
	}
}

// Write queues a line. It never blocks.
func (l *lineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits up to syncWait for the queue to be written.
func (l *lineWriter) Sync() error {
	for end := time.Now().Add(syncWait); len(l.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// syncWait limits the wait for the log when the process exits.
const syncWait = 100 * time.Millisecond

func newLogger(w io.Writer, level zapcore.Level, host string) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	out := newLineWriter(w)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), out, level)
	return zap.New(core).With(zap.String("host", host))
}

// logDecision logs a decision of the relay.
func logDecision(log *zap.Logger, d relay.Decision) {
	ce := log.Check(zapcore.InfoLevel, "relay: "+d.Step)
	if ce == nil {
		return
	}
	fields := make([]zap.Field, 0, 10)
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	text("request_id", d.RequestID)
	text("organisation", string(d.Organisation))
	text("route", string(d.Route))
	text("backend", string(d.Backend))
	text("peer", string(d.Peer))
	text("domain", string(d.Domain))
	if len(d.PromptParts) > 0 {
		fields = append(fields, zap.Any("prompt_parts", d.PromptParts))
	}
	text("request_digest", string(d.Digest))
	if d.Attempt > 0 {
		fields = append(fields, zap.Int("attempt", d.Attempt))
	}
	if d.Version > 0 {
		fields = append(fields, zap.Uint64("version", d.Version))
	}
	fields = append(fields, zap.Duration("age_ms", d.Age), zap.Duration("took_ms", d.Took))
	text("resumes", d.Resumes)
	text("server_version", string(d.ServerVersion))
	text("basis", d.Basis)
	text("outcome", d.Outcome)
	text("detail", d.Detail)
	ce.Write(fields...)
}

// logCallError logs a call without a usable answer.
func (h *Host) logCallError(err error, requestID string, to backends.Target) {
	h.metrics.countCallFailure(err)
	h.log.Info("relayhost: call failed",
		zap.String("request_id", requestID),
		zap.String("backend", string(to.ID)),
		zap.Error(err))
}
