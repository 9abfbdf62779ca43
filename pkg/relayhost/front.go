package relayhost

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// ServeHTTP relays one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.core.leave() {
		w.Header().Set("Connection", "close")
	}
	body, release, err := h.readBody(w, r)
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	defer release()
	j := h.core.open()
	defer h.core.close(j)
	x := &exchange{host: h, job: j, w: w, r: r, body: body, ask: h.dialect.Ask(r)}
	h.core.step(relay.Arrived{ID: j.id, Ask: x.ask})
	x.run()
}

func (h *Host) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.log.Info("relayhost: body too large", zap.Int64("limit", tooLarge.Limit))
		writeStatus(w, http.StatusRequestEntityTooLarge, 0)
		return
	}
	if errors.Is(err, errNoBodyRoom) {
		h.log.Info("relayhost: body refused", zap.String("request_id", h.dialect.Ask(r).RequestID),
			zap.Int64("length", r.ContentLength), zap.Error(err))
		// The rest of the body is not read, so the connection cannot go on.
		w.Header().Set("Connection", "close")
		writeStatus(w, http.StatusServiceUnavailable, bodyWait)
		return
	}
	h.log.Debug("relayhost: request not read", zap.String("peer", r.RemoteAddr), zap.Error(err))
	// The caller has broken off or sent a malformed body; either way the
	// connection cannot go on.
	w.Header().Set("Connection", "close")
	writeStatus(w, http.StatusBadRequest, 0)
}

// writeStatus writes an answer of this host.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(retryAfter))
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// formatSeconds writes a duration in seconds with up to two decimals, rounded up.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}

// exchange is one request with its caller.
type exchange struct {
	host *Host
	job  *job
	w    http.ResponseWriter
	r    *http.Request
	body []byte
	ask  relay.Ask

	held    *heldAnswer // last complete answer of a backend server
	began   bool        // the stream's header has gone out
	lastID  string      // id of the last event relayed
	relayed int         // events
}

// run carries out the effects of the request until its final answer.
func (x *exchange) run() {
	for {
		select {
		case <-x.r.Context().Done():
			x.host.core.step(relay.Left{ID: x.job.id})
			return
		case e := <-x.job.effects:
			if x.carryOut(e) {
				return
			}
			if x.gone() {
				x.host.core.step(relay.Left{ID: x.job.id})
				return
			}
		}
	}
}

// carryOut performs an effect and reports whether it was the final answer.
func (x *exchange) carryOut(e relay.Effect) (final bool) {
	switch e := e.(type) {
	case relay.Refuse:
		writeStatus(x.w, e.Status, e.RetryAfter)
		x.host.metrics.answered(e.Status)
		return true
	case relay.Deliver:
		x.deliver()
		return true
	case relay.BreakOff:
		// Ends the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	case relay.Call:
		x.host.core.step(x.call(e))
	case relay.Reserve:
		x.host.core.step(x.reserve(e))
	case relay.Prefill:
		x.host.core.step(x.prefill(e))
	case relay.Decode:
		ended := x.decode(e)
		x.host.core.step(ended)
		return ended.Outcome == relay.Whole
	}
	return false
}

// deliver writes the held answer as the backend server gave it.
func (x *exchange) deliver() {
	a := x.held
	copyHeaders(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	x.host.metrics.answered(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.host.log.Debug("relayhost: answer not delivered", zap.String("request_id", x.ask.RequestID), zap.Error(err))
	}
}

func copyHeaders(dst, src http.Header) {
	dst["Content-Type"] = nil // not guessed
	for k, v := range src {
		dst[k] = v
	}
}

// gone tells whether the caller has left.
func (x *exchange) gone() bool { return x.r.Context().Err() != nil }

var errDeadline = errors.New("deadline passed")

// until returns a context that ends with the caller or at a deadline of the relay's
// clock.
func (x *exchange) until(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(x.r.Context(), left(deadline), errDeadline)
}
