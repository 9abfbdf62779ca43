package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// maxAnswer bounds one line of a stream and the body of an error, in bytes.
const maxAnswer = 1 << 20

// Result is what a caller saw of one request.
type Result struct {
	Arrival    Arrival
	Outcome    record.Kind // Answered, Denied, Broken or Abandoned
	Sent       time.Time
	First      time.Duration // from Sent to the first token; 0 without one
	Last       time.Duration // from Sent to the last token
	Tokens     int
	Text       string
	Want       string
	Status     int
	Code       string
	Ran        string
	RetryAfter time.Duration
	Err        error
	Gaps       []time.Duration // between chunks
	Terminated int             // terminators seen
}

// Mismatch says that an answer is whole but not the right one.
func (r Result) Mismatch() bool {
	return r.Outcome == record.Answered && r.Text != r.Want
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

type eventBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// Client sends requests to one entry host.
type Client struct {
	conn    *sendonce.Client
	silence time.Duration // longest silence of a stream
}

// NewClient returns a client of the entry host at addr.
func NewClient(addr string, silence time.Duration) *Client {
	return &Client{conn: sendonce.New(addr, sendonce.Options{MaxConns: 16 << 10, MaxIdle: 512}), silence: silence}
}

// Close closes idle connections.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) post(path, key string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(c.conn.Addr())
	req.Header.SetRequestURI(path)
	req.Header.SetContentType("application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.SetBodyRaw(body)
	return req
}

// observer sees the events of one answer. The text so far includes the new one.
type observer struct {
	first func()
	text  func(tokens int) bool // false makes the caller go away
}

// Complete sends a completion and reads its answer into r.
func (c *Client) Complete(ctx context.Context, key string, body completionBody, r *Result, o observer) {
	payload, _ := json.Marshal(body)
	r.Sent = time.Now()
	s, err := c.conn.Stream(ctx, c.post("/v1/completions", key, payload), c.silence)
	if err != nil {
		r.fail(ctx, err)
		return
	}
	defer s.Close()
	r.Status = s.Status
	if s.Status != fasthttp.StatusOK {
		r.deny(s, s.Header("Retry-After"))
		return
	}
	if !body.Stream {
		r.readWhole(ctx, s, o)
		return
	}
	c.readEvents(ctx, s, r, o)
}

// readWhole reads an answer that is not streamed.
func (r *Result) readWhole(ctx context.Context, body io.Reader, o observer) {
	var e eventBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		r.fail(ctx, err)
		return
	}
	for _, ch := range e.Choices {
		r.Text += ch.Text
	}
	r.note(strings.Count(r.Text, " "), 0, o)
	r.Terminated = 1
	r.Outcome = record.Answered
}

func (c *Client) readEvents(ctx context.Context, s *sendonce.Stream, r *Result, o observer) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	lines := bufio.NewScanner(s)
	lines.Buffer(make([]byte, 0, 4<<10), maxAnswer)
	last := time.Duration(0)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue // blank line or comment
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			r.Terminated++
			continue
		}
		var e eventBody
		if err := json.Unmarshal(data, &e); err != nil {
			r.fail(ctx, err)
			return
		}
		if e.Error != nil {
			r.refuse(*e.Error)
			r.Outcome = record.Broken
			return
		}
		for _, ch := range e.Choices {
			text.WriteString(ch.Text)
			last = r.note(strings.Count(ch.Text, " "), last, o)
		}
		if o.text != nil && !o.text(r.Tokens) {
			r.Outcome = record.Abandoned
			return
		}
	}
	if err := lines.Err(); err != nil || r.Terminated == 0 {
		r.fail(ctx, errors.Join(err, io.ErrUnexpectedEOF))
		return
	}
	r.Outcome = record.Answered
}

// note counts tokens and returns when they came.
func (r *Result) note(tokens int, last time.Duration, o observer) time.Duration {
	if tokens == 0 {
		return last
	}
	now := time.Since(r.Sent)
	if r.Tokens == 0 {
		r.First = now
		o.first()
	} else {
		r.Gaps = append(r.Gaps, now-last)
	}
	r.Tokens += tokens
	r.Last = now
	return now
}

// codeUnsent marks a request that no host has taken a byte of.
const codeUnsent = "unsent"

// fail ends a request without an answer. One that surely has not left counts as
// refused, because no answer was cut.
func (r *Result) fail(ctx context.Context, err error) {
	r.Err = err
	switch {
	case ctx.Err() != nil:
		r.Outcome = record.Abandoned
	case r.unsent():
		r.Outcome = record.Denied
		r.Code = codeUnsent
		r.Ran = "not run"
	default:
		r.Outcome = record.Broken
	}
}

func (r *Result) unsent() bool {
	var e *sendonce.Error
	return errors.As(r.Err, &e) && !e.Sent
}

func (r *Result) deny(body io.Reader, retryAfter string) {
	b, _ := io.ReadAll(io.LimitReader(body, maxAnswer))
	var e eventBody
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		r.refuse(*e.Error)
	}
	if s, err := strconv.Atoi(retryAfter); err == nil {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	r.Outcome = record.Denied
}

func (r *Result) refuse(e errorDetail) {
	r.Code = e.Code
	r.Ran = e.Ran
	r.Err = errors.New(e.Message)
}

// Call sends a call of a plain service and reads its answer into r.
func (c *Client) Call(ctx context.Context, key, path, idempotencyKey string, body []byte, r *Result) {
	req := c.post(path, key, body)
	defer fasthttp.ReleaseRequest(req)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	r.Sent = time.Now()
	if err := c.conn.Do(ctx, req, resp); err != nil {
		r.fail(ctx, err)
		return
	}
	r.Status = resp.StatusCode()
	r.First = time.Since(r.Sent)
	r.Last = r.First
	if r.Status != fasthttp.StatusOK {
		r.deny(bytes.NewReader(resp.Body()), string(resp.Header.Peek("Retry-After")))
		return
	}
	r.Text = string(resp.Body())
	r.Outcome = record.Answered
}
