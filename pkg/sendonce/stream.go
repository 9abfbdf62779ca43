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
	complete  bool
	closeOnce sync.Once
}

// Stream sends req at most once and returns when the response header has arrived. A
// read that waits longer than readTimeout fails, which detects a stalled connection.
// The stream is aborted when ctx ends, and it takes ownership of req.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, readTimeout time.Duration) (*Stream, error) {
	cn, err := c.acquire(ctx)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, c.wrapError(ctx, "connect", nil, err)
	}
	cn.readTimeout = readTimeout
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	s := &Stream{client: c, cn: cn, ctx: ctx, req: req, resp: resp}
	s.stop = context.AfterFunc(ctx, func() { _ = cn.nc.Close() })
	step, err := c.roundTrip(cn, req, resp)
	if err != nil {
		s.Close()
		return nil, c.wrapError(ctx, step, cn, err)
	}
	s.Status = resp.StatusCode()
	return s, nil
}

// Header returns a response header.
func (s *Stream) Header(name string) string {
	return string(s.resp.Header.Peek(name))
}

// SetReadTimeout sets the time limit for each later read. d must be positive: 0 would
// leave the deadline of the previous read in place.
func (s *Stream) SetReadTimeout(d time.Duration) { s.cn.readTimeout = d }

// Headers returns all response headers.
func (s *Stream) Headers() iter.Seq2[[]byte, []byte] { return s.resp.Header.All() }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (s *Stream) Read(p []byte) (int, error) {
	body := s.resp.BodyStream()
	if body == nil {
		s.complete = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
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
	s.cn.readTimeout = d
	var b [1]byte
	_, _ = s.Read(b[:])
}

// Close ends the stream. The connection is reused only after a complete body.
func (s *Stream) Close() {
	s.closeOnce.Do(s.close)
}

func (s *Stream) close() {
	alive := s.stop()
	last := s.req.ConnectionClose() || s.resp.ConnectionClose()
	if !s.complete || !alive {
		_ = s.cn.nc.Close()
		last = true
	}
	_ = s.resp.CloseBodyStream()
	s.client.release(s.cn, last)
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
}
