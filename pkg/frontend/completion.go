package frontend

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
)

// Meter records the results of completions.
type Meter interface {
	Completed(r *driver.Completion, t Timing, end driver.End)
}

// Timing holds the latencies of one request as seen by its caller.
type Timing struct {
	FirstToken   time.Duration // zero when no token was sent
	Total        time.Duration // from arrival to the end
	Tokens       int
	Gaps         int // between consecutive tokens
	GapsInTarget int // gaps within the inter-token target
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	if !ctx.IsPost() {
		refuse(ctx, codeMethod, "use POST")
		return
	}
	caller, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	if !isJSON(ctx) {
		refuse(ctx, codeContentType, "header Content-Type must be application/json")
		return
	}
	body, ok := s.readBody(ctx)
	if !ok {
		return
	}
	defer body.Release()
	req, err := parseCompletion(ctx.PostBody(), chat, s.cfg)
	if err != nil {
		refuse(ctx, codeBadRequest, err.Error())
		return
	}
	req.Key = caller.key
	req.Organisation = caller.org
	disconnected, stop := watchDisconnect(ctx.Conn(), s.cfg.DisconnectPollInterval)
	a := &answer{
		call:         s.router.Complete(&req.Completion),
		request:      &req.Completion,
		disconnected: disconnected,
		stopWatch:    stop,
		chat:         chat,
		cfg:          s.cfg,
		meter:        s.meter,
	}
	if req.stream {
		a.respondStream(ctx)
		return
	}
	a.respondJSON(ctx)
}

func isJSON(ctx *fasthttp.RequestCtx) bool {
	kind, _, _ := bytes.Cut(ctx.Request.Header.ContentType(), []byte(";"))
	return strings.EqualFold(string(bytes.TrimSpace(kind)), "application/json")
}

// answer writes the response to one completion request.
type answer struct {
	call         *driver.Call
	request      *driver.Completion
	disconnected context.Context // done when the caller has disconnected
	stopWatch    context.CancelFunc
	chat         bool
	cfg          Config
	meter        Meter

	lastToken time.Time // arrival of the latest token
	timing    Timing
}

// nextTokens waits for tokens or the end of the call. It returns nil tokens at the
// end, and false if the caller has disconnected.
func (a *answer) nextTokens() (tokens []string, alive bool) {
	select {
	case t := <-a.call.Tokens():
		return a.recordTokens(t), true
	default:
	}
	select {
	case t := <-a.call.Tokens():
		return a.recordTokens(t), true
	case <-a.call.Done():
		return a.queuedTokens(), true
	case <-a.disconnected.Done():
		a.call.CallerDisconnected()
		return nil, false
	}
}

// queuedTokens returns tokens that were queued before the call ended.
func (a *answer) queuedTokens() []string {
	select {
	case t := <-a.call.Tokens():
		return a.recordTokens(t)
	default:
		return nil
	}
}

func (a *answer) recordTokens(tokens []string) []string {
	now := time.Now()
	n := len(tokens)
	switch {
	case n == 0:
		return tokens
	case a.timing.Tokens == 0:
		a.timing.FirstToken = now.Sub(a.call.Arrived())
		a.countGapsInTarget(n - 1)
	case now.Sub(a.lastToken) <= a.cfg.InterTokenTarget:
		a.countGapsInTarget(n)
	default:
		// Only the first token of a chunk was late; the others arrived with it.
		a.timing.Gaps++
		a.countGapsInTarget(n - 1)
	}
	a.timing.Tokens += n
	a.lastToken = now
	return tokens
}

// countGapsInTarget counts n gaps that were within the target.
func (a *answer) countGapsInTarget(n int) {
	a.timing.Gaps += n
	a.timing.GapsInTarget += n
}

// recordOutcome records the timing and the result of the request.
func (a *answer) recordOutcome(end driver.End) {
	a.stopWatch()
	a.timing.Total = time.Since(a.call.Arrived())
	a.meter.Completed(a.request, a.timing, end)
}

// respondJSON responds with one JSON body, or with an error if the response is not
// complete.
func (a *answer) respondJSON(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		tokens, alive := a.nextTokens()
		if !alive {
			a.recordOutcome(driver.End{})
			ctx.SetConnectionClose()
			return
		}
		if tokens == nil {
			break
		}
		for _, t := range tokens {
			text.WriteString(t)
		}
	}
	end := a.call.End()
	a.recordOutcome(end)
	if end.Refusal != nil {
		writeRefusal(ctx, *end.Refusal)
		return
	}
	writeJSON(ctx, completeBody(a, text.String(), end.Finish))
}
