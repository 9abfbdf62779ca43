package sendonce

import (
	"context"
	"errors"
	"io"
	"iter"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Stream is a response whose body is read as it arrives. Close must be called.
type Stream struct {
	Status    int
	client    *Client
	cn        *conn
	ctx       context.Context
	stop      func() bool
	req       *fasthttp.Request
	resp      *fasthttp.Response
	head      responseHead
	body      io.Reader
	complete  bool
	closeOnce sync.Once
}

// Stream sends req at most once and returns when the response header has arrived. It fails
// if that takes longer than progressTimeout, unless that is 0; see Progress for the body.
// The stream is aborted when ctx ends, and it takes ownership of req.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, progressTimeout time.Duration) (*Stream, error) {
	id := c.callID(req)
	cn, err := c.connect(ctx, c.usableFor(req, id))
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, c.wrapError(ctx, "connect", nil, err)
	}
	resp := fasthttp.AcquireResponse()
	s := &Stream{client: c, cn: cn, ctx: ctx, req: req, resp: resp}
	s.stop = context.AfterFunc(ctx, cn.abort)
	cn.account = c.opt.Budget.newAccount()
	s.Progress(progressTimeout, maxUnread)
	h, step, err := c.roundTrip(cn, id, req, resp)
	if err != nil {
		s.Close()
		return nil, c.wrapError(ctx, step, cn, err)
	}
	s.Status, s.head, s.body = h.status, h, newBody(cn.br, h)
	return s, nil
}

// Header returns a response header.
func (s *Stream) Header(name string) string {
	return string(s.resp.Header.Peek(name))
}

// HeaderValues returns all values of a response header that may occur more than once.
func (s *Stream) HeaderValues(name string) []string { return HeaderValues(s.resp, name) }

// HeaderValues returns all values of a header of a response.
func HeaderValues(resp *fasthttp.Response, name string) []string {
	var values []string
	for _, v := range resp.Header.PeekAll(name) {
		values = append(values, string(v))
	}
	return values
}

// maxUnread is the number of bytes that may arrive until the first call of Progress.
const maxUnread = 64 << 10

// Progress records that the body has made progress: from now on, the stream fails if the
// next progress takes longer than d, unless d is 0, or more than the given bytes. Bytes
// that arrive in between do not extend the time, so a peer that sends meaningless bytes
// cannot keep a stream open. What has arrived before no longer counts for Options.Budget.
func (s *Stream) Progress(d time.Duration, bytes int) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	s.cn.account.close()
	s.cn.expect(deadline, bytes)
}

// EndsWithConnection reports whether the body has no length and ends when the peer closes
// the connection, so that a body that was cut off looks like a complete one.
func (s *Stream) EndsWithConnection() bool { return s.head.framing == byClose }

// Framing says what delimits the body: "length", "chunks" or "close", the end of the
// connection. A response without a body has the length 0.
func (s *Stream) Framing() string {
	switch s.head.framing {
	case byChunks:
		return "chunks"
	case byClose:
		return "close"
	}
	return "length"
}

// Headers returns all response headers.
func (s *Stream) Headers() iter.Seq2[[]byte, []byte] { return s.resp.Header.All() }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, s.client.wrapError(s.ctx, "receive", s.cn, err)
	}
	return n, nil
}

// Drain waits at most d for the end of the body, so that the connection can be reused.
// It is for callers that have already read all the data they need.
func (s *Stream) Drain(d time.Duration) {
	s.Progress(d, maxUnread)
	var b [1]byte
	_, _ = s.Read(b[:])
}

// Close ends the stream. The connection is reused only after a complete body.
func (s *Stream) Close() {
	s.closeOnce.Do(s.close)
}

func (s *Stream) close() {
	alive := s.stop()
	last := s.client.isLastUse(s.cn, s.req, s.resp, s.head)
	s.cn.account.close()
	s.cn.account = nil
	if !s.complete || !alive {
		s.cn.abort()
		last = true
	}
	s.client.release(s.cn, last)
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
}
