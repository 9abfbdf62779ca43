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

// errBroken ends the chunked body without its last chunk.
var errBroken = errors.New("answer is incomplete")

// chunkBody is the JSON of one part of a streamed answer.
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

func wholeBody(a *answer, text, finish string) chunkBody {
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

// stream answers with server-sent events. Nothing is sent before the first
// token, so that a refusal still has its own status.
func (a *answer) stream(ctx *fasthttp.RequestCtx) {
	tokens, alive := a.next()
	if !alive {
		a.finish(driver.End{})
		ctx.SetConnectionClose()
		return
	}
	if tokens == nil {
		end := a.call.End()
		if end.Refusal != nil {
			a.finish(end)
			writeRefusal(ctx, *end.Refusal)
			return
		}
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	body := &eventReader{answer: a, conn: ctx.Conn()}
	body.queue(tokens)
	ctx.SetBodyStream(body, -1)
}

// deadliner is the part of a connection that the reader needs.
type deadliner interface{ SetWriteDeadline(time.Time) error }

// eventReader is the body of a streamed answer. fasthttp reads from it and
// flushes each part to the caller.
type eventReader struct {
	answer *answer
	conn   deadliner
	buf    []byte
	ended  error // set when the last bytes are in buf
}

// queue puts the event of some tokens into the buffer. Without tokens it puts
// the end of the answer there.
func (e *eventReader) queue(tokens []string) {
	if tokens == nil {
		e.queueEnd()
		return
	}
	var text string
	for _, t := range tokens {
		text += t
	}
	e.event(e.part(text, nil, nil))
}

func (e *eventReader) part(text string, finish *string, u *usage) chunkBody {
	c := choice{Finish: finish}
	if e.answer.chat {
		c.Delta = &message{Content: text}
		return e.answer.body("chat.completion.chunk", c, u)
	}
	c.Text = &text
	return e.answer.body("text_completion", c, u)
}

func (e *eventReader) queueEnd() {
	end := e.answer.call.End()
	e.answer.finish(end)
	if !end.Complete {
		e.buf = append(e.buf, "data: "...)
		e.buf = append(e.buf, encodeError(*end.Refusal)...)
		e.buf = append(e.buf, "\n\n"...)
		e.ended = errBroken
		return
	}
	e.event(e.part("", &end.Finish, e.answer.usage()))
	e.buf = append(e.buf, terminator...)
	e.ended = io.EOF
}

func (e *eventReader) event(v chunkBody) {
	body, err := json.Marshal(v)
	if err != nil {
		e.ended = errBroken
		return
	}
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, body...)
	e.buf = append(e.buf, "\n\n"...)
}

// Read waits for the next event.
func (e *eventReader) Read(p []byte) (int, error) {
	for len(e.buf) == 0 {
		if e.ended != nil {
			return 0, e.ended
		}
		if !e.wait() {
			return 0, errBroken
		}
	}
	n := copy(p, e.buf)
	e.buf = e.buf[n:]
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.answer.cfg.WriteTimeout)); err != nil {
		return 0, errBroken
	}
	return n, nil
}

// wait queues the next tokens, the end, or a keep-alive. It returns false when
// the caller has gone.
func (e *eventReader) wait() bool {
	timer := time.NewTimer(e.answer.cfg.KeepAlive)
	defer timer.Stop()
	select {
	case t := <-e.answer.call.Tokens():
		e.queue(e.answer.note(t))
		return true
	case <-e.answer.call.Done():
		e.queue(e.answer.rest())
		return true
	case <-timer.C:
		e.buf = append(e.buf, keepAliveLine...)
		return true
	case <-e.answer.gone.Done():
		return false
	}
}

// Close is called when the response has been written or has failed.
func (e *eventReader) Close() error {
	if e.ended == nil {
		e.answer.call.Gone()
		e.answer.finish(driver.End{})
	}
	return nil
}
