package frontend

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
)

// terminator is the last line of a complete stream.
const terminator = "data: [DONE]\n\n"

// keepAliveLine is an SSE comment, which clients skip.
const keepAliveLine = ": keep-alive\n\n"

// errIncomplete makes fasthttp close the connection without the final chunk of the
// chunked body.
var errIncomplete = errors.New("answer is incomplete")

// chunkBody is the JSON of a complete response or of one chunk of a streamed
// response.
type chunkBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (a *answer) usage() *usage {
	return &usage{
		PromptTokens:     a.request.PromptTokens,
		CompletionTokens: a.timing.Tokens,
		TotalTokens:      a.request.PromptTokens + a.timing.Tokens,
	}
}

func completeBody(a *answer, text, finish string) chunkBody {
	c := choice{Finish: &finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return a.body(object, c, a.usage())
}

func (a *answer) body(object string, c choice, u *usage) chunkBody {
	return chunkBody{
		ID:      string(a.call.ID()),
		Object:  object,
		Model:   string(a.request.Model),
		Choices: []choice{c},
		Usage:   u,
	}
}

// respondStream responds with server-sent events. Nothing is sent before the first
// token, so that a refusal can still set the HTTP status.
func (a *answer) respondStream(ctx *fasthttp.RequestCtx) {
	tokens, alive := a.nextTokens()
	if !alive {
		a.recordOutcome(driver.End{})
		ctx.SetConnectionClose()
		return
	}
	if tokens == nil {
		end := a.call.End()
		if end.Refusal != nil {
			a.recordOutcome(end)
			writeRefusal(ctx, *end.Refusal)
			return
		}
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	body := &eventReader{answer: a, conn: ctx.Conn()}
	body.appendTokens(tokens)
	ctx.SetBodyStream(body, -1)
}

// writeDeadliner is the part of net.Conn that eventReader uses.
type writeDeadliner interface{ SetWriteDeadline(time.Time) error }

// eventReader is the body of a streamed response. fasthttp reads from it and
// flushes each read to the caller.
type eventReader struct {
	answer *answer
	conn   writeDeadliner
	buf    []byte
	ended  error // returned by Read once buf is empty
}

// appendTokens appends an event with the given tokens to the buffer. If tokens is
// nil, it appends the end of the response.
func (e *eventReader) appendTokens(tokens []string) {
	if tokens == nil {
		e.appendEnd()
		return
	}
	var text string
	for _, t := range tokens {
		text += t
	}
	e.appendEvent(e.chunk(text, nil, nil))
}

func (e *eventReader) chunk(text string, finish *string, u *usage) chunkBody {
	c := choice{Finish: finish}
	if e.answer.chat {
		c.Delta = &message{Content: text}
		return e.answer.body("chat.completion.chunk", c, u)
	}
	c.Text = &text
	return e.answer.body("text_completion", c, u)
}

func (e *eventReader) appendEnd() {
	end := e.answer.call.End()
	e.answer.recordOutcome(end)
	if !end.Complete {
		e.buf = append(e.buf, "data: "...)
		e.buf = append(e.buf, encodeError(*end.Refusal)...)
		e.buf = append(e.buf, "\n\n"...)
		e.ended = errIncomplete
		return
	}
	e.appendEvent(e.chunk("", &end.Finish, e.answer.usage()))
	e.buf = append(e.buf, terminator...)
	e.ended = io.EOF
}

func (e *eventReader) appendEvent(v chunkBody) {
	body, err := json.Marshal(v)
	if err != nil {
		e.ended = errIncomplete
		return
	}
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, body...)
	e.buf = append(e.buf, "\n\n"...)
}

// Read returns buffered bytes, or waits for the next event.
func (e *eventReader) Read(p []byte) (int, error) {
	for len(e.buf) == 0 {
		if e.ended != nil {
			return 0, e.ended
		}
		if !e.waitForEvent() {
			return 0, errIncomplete
		}
	}
	n := copy(p, e.buf)
	e.buf = e.buf[n:]
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.answer.cfg.WriteTimeout)); err != nil {
		return 0, errIncomplete
	}
	return n, nil
}

// waitForEvent buffers the next tokens, the end or a keep-alive. It returns false
// if the caller has disconnected.
func (e *eventReader) waitForEvent() bool {
	timer := time.NewTimer(e.answer.cfg.StreamKeepAlive)
	defer timer.Stop()
	select {
	case t := <-e.answer.call.Tokens():
		e.appendTokens(e.answer.recordTokens(t))
		return true
	case <-e.answer.call.Done():
		e.appendTokens(e.answer.queuedTokens())
		return true
	case <-timer.C:
		e.buf = append(e.buf, keepAliveLine...)
		return true
	case <-e.answer.disconnected.Done():
		return false
	}
}

// Close is called by fasthttp when the response has been written or has failed.
func (e *eventReader) Close() error {
	if e.ended == nil {
		e.answer.call.CallerDisconnected()
		e.answer.recordOutcome(driver.End{})
	}
	return nil
}
