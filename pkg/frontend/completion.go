package frontend

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
)

// Meter records how requests fared.
type Meter interface {
	Completed(r *driver.Completion, t Timing, end driver.End)
}

// Timing is what the caller of one request experienced.
type Timing struct {
	FirstToken   time.Duration // zero when no token was sent
	Total        time.Duration // from arrival to the end
	Tokens       int
	Gaps         int // between consecutive tokens
	GapsInTarget int // gaps of at most the inter-token target
}

func (s *Server) complete(ctx *fasthttp.RequestCtx, chat bool) {
	if !ctx.IsPost() {
		refuse(ctx, codeMethod, "use POST")
		return
	}
	who, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	if !isJSON(ctx) {
		refuse(ctx, codeContentType, "header Content-Type must be application/json")
		return
	}
	req, err := parseCompletion(ctx.PostBody(), chat, s.cfg)
	if err != nil {
		refuse(ctx, codeBadRequest, err.Error())
		return
	}
	req.Key = who.key
	req.Organisation = who.org
	gone, stop := watchCaller(ctx.Conn(), s.cfg.WatchInterval)
	a := &answer{
		call:    s.router.Complete(&req.Completion),
		request: &req.Completion,
		gone:    gone,
		stop:    stop,
		chat:    chat,
		cfg:     s.cfg,
		meter:   s.meter,
	}
	if req.stream {
		a.stream(ctx)
		return
	}
	a.whole(ctx)
}

func isJSON(ctx *fasthttp.RequestCtx) bool {
	kind, _, _ := bytes.Cut(ctx.Request.Header.ContentType(), []byte(";"))
	return strings.EqualFold(string(bytes.TrimSpace(kind)), "application/json")
}

// answer is the answer to one completion.
type answer struct {
	call    *driver.Call
	request *driver.Completion
	gone    context.Context // ends when the caller has gone
	stop    context.CancelFunc
	chat    bool
	cfg     Config
	meter   Meter

	last   time.Time // of the latest token
	timing Timing
}

// next waits for tokens or the end. It returns nil tokens at the end, and false
// when the caller has gone.
func (a *answer) next() (tokens []string, alive bool) {
	select {
	case t := <-a.call.Tokens():
		return a.note(t), true
	default:
	}
	select {
	case t := <-a.call.Tokens():
		return a.note(t), true
	case <-a.call.Done():
		return a.rest(), true
	case <-a.gone.Done():
		a.call.Gone()
		return nil, false
	}
}

// rest returns tokens that were queued before the call ended.
func (a *answer) rest() []string {
	select {
	case t := <-a.call.Tokens():
		return a.note(t)
	default:
		return nil
	}
}

func (a *answer) note(tokens []string) []string {
	now := time.Now()
	n := len(tokens)
	switch {
	case n == 0:
		return tokens
	case a.timing.Tokens == 0:
		a.timing.FirstToken = now.Sub(a.call.Arrived())
		a.countGaps(n - 1)
	case now.Sub(a.last) <= a.cfg.InterTokenTarget:
		a.countGaps(n)
	default:
		// Only the first token of a part was late; the rest came with it.
		a.timing.Gaps++
		a.countGaps(n - 1)
	}
	a.timing.Tokens += n
	a.last = now
	return tokens
}

// countGaps counts gaps that were within the target.
func (a *answer) countGaps(n int) {
	a.timing.Gaps += n
	a.timing.GapsInTarget += n
}

// finish records how the request fared.
func (a *answer) finish(end driver.End) {
	a.stop()
	a.timing.Total = time.Since(a.call.Arrived())
	a.meter.Completed(a.request, a.timing, end)
}

// whole answers with one JSON body, or with an error if the answer is not
// complete.
func (a *answer) whole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		tokens, alive := a.next()
		if !alive {
			a.finish(driver.End{})
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
	a.finish(end)
	if end.Refusal != nil {
		writeRefusal(ctx, *end.Refusal)
		return
	}
	writeJSON(ctx, wholeBody(a, text.String(), end.Finish))
}
