package relayhost

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// ServeHTTP relays one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.core.isolated() {
		w.Header().Set("Connection", "close")
	}
	spec := h.dialect.ParseRequest(r)
	body, ok := h.receive(w, r, spec)
	if !ok {
		return
	}
	defer body.Release()
	j := h.core.register()
	defer h.core.unregister(j)
	ctx, abortCalls := context.WithCancelCause(r.Context())
	defer abortCalls(nil)
	defer context.AfterFunc(h.calls, func() { abortCalls(errStopping) })()
	x := &exchange{host: h, job: j, w: w, r: r, ctx: ctx, body: body.Bytes, spec: spec}
	defer x.forgetBuffered()
	x.spec.Content = ident.HashContent(r.RequestURI, body.Bytes)
	h.core.step(relay.Arrived{ID: j.id, Spec: x.spec})
	x.run()
	x.end()
}

// writeStatus writes an answer without a body from this host itself.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(retryAfter))
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// formatSeconds formats a duration in seconds with up to two decimals, rounded up.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}

// exchange is the handling of one request of a caller.
type exchange struct {
	host *Host
	job  *job
	w    http.ResponseWriter
	r    *http.Request
	ctx  context.Context // of calls; it ends when the caller leaves or the process stops
	body []byte
	spec relay.RequestSpec

	prefillLink   *sendonce.Link  // over which the last prefill was answered
	buffered      *bufferedAnswer // last complete answer from a backend server
	forget        func()          // ends counting the memory of buffered; nil if it does not count
	answered      bool            // the caller has been given a whole response
	headerSent    bool            // the header of the stream has been sent
	lastEventID   string          // id of the last event sent to the caller
	eventsRelayed int             // events sent to the caller
}

// run executes the effects of the request until its final answer, or until the caller leaves.
func (x *exchange) run() {
	for {
		select {
		case <-x.r.Context().Done():
			x.host.core.step(relay.CallerLeft{ID: x.job.id})
			return
		case e := <-x.job.effects:
			if x.execute(e) {
				return
			}
			if x.callerGone() {
				x.host.core.step(relay.CallerLeft{ID: x.job.id})
				return
			}
		}
	}
}

// execute performs an effect and reports whether it was the final answer.
func (x *exchange) execute(e relay.Effect) (final bool) {
	switch e := e.(type) {
	case relay.Refuse:
		x.conn().Answering()
		writeStatus(x.w, e.Status, e.RetryAfter)
		x.host.metrics.countAnswer(e.Status)
		x.answered = true
		return true
	case relay.Deliver:
		x.conn().Delivering()
		x.answered = x.writeBuffered()
		return true
	case relay.AbortAnswer:
		return true
	case relay.Call:
		x.host.core.step(x.call(e))
	case relay.Reserve:
		x.host.core.step(x.reserve(e))
	case relay.Prefill:
		x.host.core.step(x.prefill(e))
	case relay.Decode:
		ended := x.decode(e)
		x.host.core.step(ended)
		x.answered = ended.Outcome == relay.Succeeded
		return x.answered
	}
	return false
}

// end ends the exchange. Without a whole response it closes the connection: net/http would
// otherwise send an empty 200, or the end of the stream, to a caller that still reads.
func (x *exchange) end() {
	if !x.answered {
		abort(x.r)
	}
}

// conn returns the caller's connection.
func (x *exchange) conn() *ingress.Conn { return ingress.FromContext(x.r.Context()) }

// abort closes the connection of a request so that its caller does not take the answer for
// complete. It does not return.
func abort(r *http.Request) {
	if c := ingress.FromContext(r.Context()); c != nil && !r.ProtoAtLeast(1, 1) {
		// Without chunks, an orderly end of the connection is the end of the body.
		_ = c.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// writeBuffered sends the buffered answer to the caller unchanged, and reports whether all of
// it was written.
func (x *exchange) writeBuffered() bool {
	a := x.buffered
	copyHeaders(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	x.host.metrics.countAnswer(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.host.log.Debug("relayhost: writing answer failed", zap.String("request_id", x.spec.RequestID), zap.Error(err))
		return false
	}
	return true
}

func copyHeaders(dst, src http.Header) {
	dst["Content-Type"] = nil // keeps net/http from guessing it
	for k, v := range src {
		dst[k] = v
	}
}

// forgetBuffered drops the buffered answer.
func (x *exchange) forgetBuffered() {
	x.buffered = nil
	if x.forget != nil {
		x.forget()
		x.forget = nil
	}
}

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }

var errDeadline = errors.New("deadline passed")

// withDeadline returns a context that ends when the caller disconnects, when the process stops,
// or at a deadline on the boot-time clock.
func (x *exchange) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(x.ctx, timeLeft(deadline), errDeadline)
}
