package relayhost

import (
	"context"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// bufferedAnswer is a complete answer from a backend server, kept for delivery.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// timeLeft returns the time until a deadline on the boot-time clock.
func timeLeft(deadline time.Time) time.Duration { return deadline.Sub(boottime.Now()) }

// answerGrace is how long a call may run past the deadline given to the backend server,
// so that an answer that the server sends at the deadline still arrives.
const answerGrace = 60 * time.Millisecond

// newRequest builds the request to a backend server from the caller's request.
func (x *exchange) newRequest(f Forward) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(x.r.Method)
	req.Header.SetRequestURI(x.r.RequestURI)
	req.Header.SetHost(x.r.Host)
	x.host.dialect.Forward(&req.Header, x.r.Header, f)
	req.SetBodyRaw(x.body)
	return req
}

func (x *exchange) call(e relay.Call) relay.Event {
	ended := relay.CallEnded{ID: e.ID, Attempt: e.Attempt.Attempt}
	begin := boottime.Now()
	req := x.newRequest(Forward{To: e.To.ID, TimeLeft: timeLeft(e.Deadline), Organisation: e.Organisation})
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ctx, cancel := x.withDeadline(e.Deadline.Add(answerGrace))
	defer cancel()
	x.forgetBuffered()
	forget, err := x.host.clients.forAddr(e.To.Addr).DoHeld(x.host.withTargetCheck(ctx, e.To), req, resp)
	x.forget = forget
	ended.Took = boottime.Now().Sub(begin)
	if err != nil {
		ended.Outcome = x.errorOutcome(err, e.To)
		ended.Crashed = x.hasCrashed(e.To, e.Organisation, err)
		return ended
	}
	x.host.recordNotice(answerOf(resp), begin, x.spec.RequestID, x.spec.RequestID, e.To)
	ended.Status = resp.StatusCode()
	ended.Outcome = x.host.dialect.Classify(answerOf(resp))
	x.bufferAnswer(resp)
	return ended
}

func answerOf(resp *fasthttp.Response) Answer {
	return Answer{
		Status: resp.StatusCode(),
		Header: func(name string) string { return string(resp.Header.Peek(name)) },
		Values: func(name string) []string { return sendonce.HeaderValues(resp, name) },
	}
}

// bufferAnswer keeps an answer until the relay decides whether to deliver it.
func (x *exchange) bufferAnswer(resp *fasthttp.Response) {
	x.buffered = &bufferedAnswer{
		status: resp.StatusCode(),
		header: endToEnd(resp.Header.All()),
		body:   resp.Body(),
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is
// among them because each connection frames the body itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop reports whether a header, in canonical form, applies to a single
// connection and is not forwarded.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }

// endToEnd returns the headers without the hop-by-hop ones.
func endToEnd(all iter.Seq2[[]byte, []byte]) http.Header {
	header := http.Header{}
	for k, v := range all {
		name := http.CanonicalHeaderKey(string(k))
		if !hopByHopHeaders[name] {
			header[name] = append(header[name], string(v))
		}
	}
	return header
}

// errorOutcome logs the error of a call without an answer and maps it to an outcome.
func (x *exchange) errorOutcome(err error, to backends.Target) relay.Outcome {
	var failed *sendonce.Error
	sent := !errors.As(err, &failed) || failed.Sent
	x.host.logCallError(err, x.spec.RequestID, to)
	switch {
	case !sent:
		return relay.Unsent
	case x.callerGone() || errors.Is(err, errDeadline) || errors.Is(err, errStopping):
		return relay.Aborted
	}
	return relay.Lost
}

const (
	// eventsAtCrash is the number of events of a stream that a server may have sent if it
	// crashed when it began the answer.
	eventsAtCrash = 2
	// crashCheckTimeout limits the time that a request waits for the check of a server.
	crashCheckTimeout = 100 * time.Millisecond
	// lateCrashCheck is when a server that still accepted connections is checked again. A
	// process that ends may close its listener after its connections.
	lateCrashCheck = 250 * time.Millisecond
)

// hasCrashed reports whether the process at an address has ended after it had received a
// request: it closed the connection and refuses new ones. A server that only resets
// connections still accepts them, and one that is cut off does not refuse them.
func (x *exchange) hasCrashed(to backends.Target, org ident.Organisation, err error) bool {
	var failed *sendonce.Error
	if errors.As(err, &failed) && !failed.Sent || !closedByPeer(err) {
		return false
	}
	if refusesConnections(to.Addr) {
		return true
	}
	h, spec := x.host, x.spec
	time.AfterFunc(lateCrashCheck, func() {
		if h.ctx.Err() == nil && refusesConnections(to.Addr) {
			h.core.step(relay.CrashNoticed{From: to, Organisation: org, Spec: spec})
		}
	})
	return false
}

func refusesConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, crashCheckTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (x *exchange) reserve(e relay.Reserve) relay.Event {
	req := fasthttp.AcquireRequest()
	x.host.dialect.Reserve(req, e.To.ID, e.Tokens, e.TTL)
	req.Header.SetHost(e.To.Addr)
	d := x.host.dialect
	hold, o := x.controlCall(e.Attempt, controlCall{req: req, classify: d.ClassifyReservation, parse: d.ParseReservation})
	x.host.metrics.countReservation(o)
	return relay.Reserved{ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: o, Hold: hold}
}

func (x *exchange) prefill(e relay.Prefill) relay.Event {
	begin := boottime.Now()
	req := x.newRequest(Forward{To: e.To.ID, TimeLeft: timeLeft(e.Deadline), Organisation: e.Organisation, Prefill: true})
	var tokens int64
	x.prefillLink = &sendonce.Link{}
	handle, o := x.controlCall(e.Attempt, controlCall{
		req: req, requestID: x.spec.RequestID, link: x.prefillLink, classify: x.host.dialect.ClassifyCall,
		parse: func(body []byte) (handle string, err error) {
			handle, tokens, err = x.host.dialect.ParsePrefill(body)
			return handle, err
		},
	})
	return relay.Prefilled{
		ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: o, Handle: handle, Tokens: tokens,
		Took: boottime.Now().Sub(begin),
	}
}

// controlCall is a reserve or prefill call.
type controlCall struct {
	req       *fasthttp.Request
	requestID string         // that req carries; empty if none
	link      *sendonce.Link // gets the connection; may be nil
	classify  func(Answer) relay.Outcome
	// parse reads the reservation or KV cache handle from the body of the answer.
	parse func([]byte) (string, error)
}

// controlCall makes a call and returns what its parse finds in the answer. It releases the
// request of the call.
func (x *exchange) controlCall(a relay.Attempt, c controlCall) (string, relay.Outcome) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(c.req)
	defer fasthttp.ReleaseResponse(resp)
	ctx, cancel := x.withDeadline(a.Deadline)
	defer cancel()
	begin := boottime.Now()
	if c.link != nil {
		ctx = sendonce.WithLink(ctx, c.link)
	}
	if err := x.host.clients.forAddr(a.To.Addr).Do(x.host.withTargetCheck(ctx, a.To), c.req, resp); err != nil {
		o := x.errorOutcome(err, a.To)
		if o == relay.Aborted {
			// No answer within the call's own time limit counts as a lost answer.
			o = relay.Lost
		}
		return "", o
	}
	x.host.recordNotice(answerOf(resp), begin, c.requestID, x.spec.RequestID, a.To)
	if o := c.classify(answerOf(resp)); o != relay.Succeeded {
		return "", o
	}
	id, err := c.parse(resp.Body())
	if err != nil {
		x.host.logCallError(err, x.spec.RequestID, a.To)
		return "", relay.Failure
	}
	return id, relay.Succeeded
}

// recordNotice passes what a backend server says of itself in an answer to the relay.
// The call was made at sentAt and carried the ID carried; requestID is that of the request it
// was for.
func (h *Host) recordNotice(a Answer, sentAt time.Time, carried, requestID string, from backends.Target) {
	n, err := h.dialect.Notice(a, carried)
	if err != nil {
		h.metrics.badNotices.Inc()
		h.log.Warn("relayhost: unreadable notice of a backend server ignored",
			zap.String("request_id", requestID), zap.String("backend", string(from.ID)), zap.Error(err))
	}
	// An answer without a limit matters only while the process is known to have named one.
	if n.Limit.Kind == serverlimit.None && !h.core.serverLimits.Load() {
		n.Limit = serverlimit.Statement{}
	}
	if n.Cold == 0 && !h.core.serverLimits.Load() {
		n.ColdStated = false
	}
	if n != (backends.Notice{}) {
		h.core.step(relay.ServerNoticed{From: from, SentAt: sentAt, RequestID: requestID, Notice: n})
	}
}

// backgroundCallTimeout limits calls that no request waits for.
const backgroundCallTimeout = time.Second

// callInBackground makes a call that no request waits for and passes the result to done.
func (h *Host) callInBackground(ctx context.Context, to backends.Target, write func(*fasthttp.Request), done func(Answer, error)) {
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		write(req)
		req.Header.SetHost(to.Addr)
		ctx, cancel := context.WithTimeout(ctx, backgroundCallTimeout)
		defer cancel()
		begin := boottime.Now()
		err := h.clients.forAddr(to.Addr).Do(h.withTargetCheck(ctx, to), req, resp)
		if err != nil {
			h.logCallError(err, "", to)
		} else {
			h.recordNotice(answerOf(resp), begin, "", "", to)
		}
		done(answerOf(resp), err)
	}()
}
