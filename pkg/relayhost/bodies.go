package relayhost

import (
	"errors"
	"io"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// defaultMaxBodyBytes limits bodies until the first configuration arrives.
const defaultMaxBodyBytes = 1 << 20

func (h *Host) maxBodyBytes() int64 {
	if l, ok := h.core.limits(); ok && l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return defaultMaxBodyBytes
}

// receive reads the body of a request. It answers the request and returns false if the request
// is refused, which is decided from the head if possible. The caller must release the body
// after use.
func (h *Host) receive(w http.ResponseWriter, r *http.Request, spec relay.RequestSpec) (body *ingress.Body, ok bool) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &ingress.Body{}, true
	}
	if refusal, ok := h.core.refusedFromHead(spec); ok {
		h.refuse(w, r, spec, refusal)
		return nil, false
	}
	body, err := h.guard.ReadBody(r, h.maxBodyBytes())
	if err != nil {
		h.refuseBody(w, r, spec, err)
		return nil, false
	}
	return body, true
}

// refuse answers a request whose body has not been read.
func (h *Host) refuse(w http.ResponseWriter, r *http.Request, spec relay.RequestSpec, e relay.Refuse) {
	d := relay.Decision{Step: "admit", RequestID: spec.RequestID, PromptParts: spec.SharedParts, Outcome: string(e.Reason)}
	logDecision(h.log, d)
	h.metrics.countDecision(d)
	if !ingress.Discard(r) {
		w.Header().Set("Connection", "close")
	}
	writeStatus(w, e.Status, e.RetryAfter)
	h.metrics.countAnswer(e.Status)
}

// refuseBody answers a request whose body could not be read.
func (h *Host) refuseBody(w http.ResponseWriter, r *http.Request, spec relay.RequestSpec, err error) {
	var netErr net.Error
	status := ingress.Status(err)
	if status == http.StatusBadRequest && (errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || r.Context().Err() != nil) {
		h.log.Debug("relayhost: caller left within its body", zap.String("peer", r.RemoteAddr), zap.Error(err))
		abort(r)
	}
	h.log.Info("relayhost: body refused", zap.String("request_id", spec.RequestID), zap.Int64("length", r.ContentLength),
		zap.Int("status", status), zap.Error(err))
	// The rest of the body is not read, so the connection cannot be reused.
	w.Header().Set("Connection", "close")
	ingress.Abandon(r)
	if status == http.StatusServiceUnavailable {
		writeStatus(w, status, ingress.BudgetWait)
	} else {
		writeStatus(w, status, 0)
	}
	h.metrics.countAnswer(status)
}
