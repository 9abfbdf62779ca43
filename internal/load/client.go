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

// maxResponseBytes limits one line of a stream and the body of an error response.
const maxResponseBytes = 1 << 20

// Result is the outcome of one request as seen by its caller.
type Result struct {
	Arrival     Arrival
	Outcome     record.Kind // Answered, Denied, Broken or Abandoned
	Sent        time.Time
	First       time.Duration // from Sent to the first token; 0 without one
	Last        time.Duration // from Sent to the last token
	Tokens      int           // received
	Text        string        // received
	Want        string        // expected text
	Status      int
	Code        string // error code, or codeUnsent
	Ran         string // whether the request was executed, as the error response says
	RetryAfter  time.Duration
	Err         error
	Gaps        []time.Duration // between successive chunks with tokens
	Terminators int             // number of terminators received
}

// Mismatch reports whether an answer is complete but its text is not the expected one.
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

// Client sends requests to one entry host over pooled connections.
type Client struct {
	conn        *sendonce.Client
	idleTimeout time.Duration // longest time without data on a stream
}

// NewClient returns a client of the entry host at addr. A stream fails after
// idleTimeout without data.
func NewClient(addr string, idleTimeout time.Duration) *Client {
	return &Client{conn: sendonce.New(addr, sendonce.Options{MaxConns: 16 << 10, MaxIdle: 512}), idleTimeout: idleTimeout}
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

// observer receives the events of one answer. tokens counts all tokens received
// so far, those of the current event included.
type observer struct {
	onFirstToken func()
	onText       func(tokens int) bool // returning false makes the caller disconnect
}

// Complete sends a completion and reads its answer into r.
func (c *Client) Complete(ctx context.Context, key string, body completionBody, r *Result, o observer) {
	payload, _ := json.Marshal(body)
	r.Sent = time.Now()
	s, err := c.conn.Stream(ctx, c.post("/v1/completions", key, payload), c.idleTimeout)
	if err != nil {
		r.recordFailure(ctx, err)
		return
	}
	defer s.Close()
	s.Progress(c.idleTimeout, maxResponseBytes)
	r.Status = s.Status
	if s.Status != fasthttp.StatusOK {
		r.readRefusal(s, s.Header("Retry-After"))
		return
	}
	if !body.Stream {
		r.readUnstreamed(ctx, s, o)
		return
	}
	c.readEvents(ctx, s, r, o)
}

// readUnstreamed reads a non-streamed answer.
func (r *Result) readUnstreamed(ctx context.Context, body io.Reader, o observer) {
	var e eventBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		r.recordFailure(ctx, err)
		return
	}
	for _, ch := range e.Choices {
		r.Text += ch.Text
	}
	r.recordTokens(strings.Count(r.Text, " "), 0, o)
	r.Terminators = 1
	r.Outcome = record.Answered
}

// readEvents reads a streamed answer.
func (c *Client) readEvents(ctx context.Context, s *sendonce.Stream, r *Result, o observer) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	lines := bufio.NewScanner(s)
	lines.Buffer(make([]byte, 0, 4<<10), maxResponseBytes)
	last := time.Duration(0)
	for lines.Scan() {
		s.Progress(c.idleTimeout, maxResponseBytes)
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue // blank line or comment
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			r.Terminators++
			continue
		}
		var e eventBody
		if err := json.Unmarshal(data, &e); err != nil {
			r.recordFailure(ctx, err)
			return
		}
		if e.Error != nil {
			r.setError(*e.Error)
			r.Outcome = record.Broken
			return
		}
		for _, ch := range e.Choices {
			text.WriteString(ch.Text)
			last = r.recordTokens(strings.Count(ch.Text, " "), last, o)
		}
		if o.onText != nil && !o.onText(r.Tokens) {
			r.Outcome = record.Abandoned
			return
		}
	}
	if err := lines.Err(); err != nil || r.Terminators == 0 {
		r.recordFailure(ctx, errors.Join(err, io.ErrUnexpectedEOF))
		return
	}
	r.Outcome = record.Answered
}

// recordTokens counts tokens and returns the time of the latest ones, measured from
// Sent.
func (r *Result) recordTokens(tokens int, last time.Duration, o observer) time.Duration {
	if tokens == 0 {
		return last
	}
	now := time.Since(r.Sent)
	if r.Tokens == 0 {
		r.First = now
		o.onFirstToken()
	} else {
		r.Gaps = append(r.Gaps, now-last)
	}
	r.Tokens += tokens
	r.Last = now
	return now
}

// codeUnsent marks a request of which no byte was sent to any host.
const codeUnsent = "unsent"

// recordFailure sets the outcome of a request without a complete answer. A request
// that was certainly not sent counts as refused, because no answer was cut off.
func (r *Result) recordFailure(ctx context.Context, err error) {
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

// unsent reports whether the request failed before any byte was sent.
func (r *Result) unsent() bool {
	var e *sendonce.Error
	return errors.As(r.Err, &e) && !e.Sent
}

// readRefusal reads the body of an error response.
func (r *Result) readRefusal(body io.Reader, retryAfter string) {
	b, _ := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	var e eventBody
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		r.setError(*e.Error)
	}
	if s, err := strconv.Atoi(retryAfter); err == nil {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	r.Outcome = record.Denied
}

func (r *Result) setError(e errorDetail) {
	r.Code = e.Code
	r.Ran = e.Ran
	r.Err = errors.New(e.Message)
}

// Call sends a call to a plain service and reads its answer into r.
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
		r.recordFailure(ctx, err)
		return
	}
	r.Status = resp.StatusCode()
	r.First = time.Since(r.Sent)
	r.Last = r.First
	if r.Status != fasthttp.StatusOK {
		r.readRefusal(bytes.NewReader(resp.Body()), string(resp.Header.Peek("Retry-After")))
		return
	}
	r.Text = string(resp.Body())
	r.Outcome = record.Answered
}
