package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// ConnState is an http.Server.ConnState hook.
func ConnState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		Of(c).Idle()
	}
}

// Handler passes requests to next and tracks their bodies. The server must use ConnContext and
// ConnState.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if !c.Begin(hasBody(r)) {
			panic(http.ErrAbortHandler)
		}
		if hasBody(r) {
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// WithoutBody passes requests to next, and does not let callers hold the connection with a
// body, or by not reading the response, when connections run short.
func WithoutBody(next http.Handler) http.Handler {
	return Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Discard(r) {
			w.Header().Set("Connection", "close")
		}
		FromContext(r.Context()).Answering()
		next.ServeHTTP(w, r)
	}))
}

// WithBody passes requests to next with their whole body of at most limit bytes, for which
// memory is reserved until the response has been written.
func (g *Guard) WithBody(limit int64, next http.Handler) http.Handler {
	return Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasBody(r) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := g.ReadBody(r, limit)
		if err != nil {
			w.Header().Set("Connection", "close")
			Abandon(r)
			w.WriteHeader(Status(err))
			return
		}
		defer body.Release()
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body.Bytes)), int64(len(body.Bytes))
		next.ServeHTTP(w, r)
	}))
}

// Protect makes a server, whose listener is one of the guard, use its limits. Bodies are read
// as a whole, up to maxBody bytes.
func (g *Guard) Protect(s *http.Server, maxBody int64) {
	s.Handler = g.WithBody(maxBody, s.Handler)
	s.ConnContext, s.ConnState, s.MaxHeaderBytes = ConnContext, ConnState, g.settings.HeaderBytes
}

// Status returns the status for a request whose body could not be read.
func Status(err error) int {
	var netErr net.Error
	switch {
	case errors.As(err, new(*http.MaxBytesError)):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBudget), errors.Is(err, ErrEvicted):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow), errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// trackedBody tells its connection when the body has been read.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.Received() {
		return n, b.conn.interrupted()
	}
	return n, err
}

const (
	// maxDiscard is the most bytes of an unwanted body that are read to keep its connection.
	maxDiscard = 256 << 10
	// discardTime is the longest time for that. A caller that has sent its request at once
	// needs none.
	discardTime = 500 * time.Millisecond
)

// Discard reads the rest of a body that is not needed, and reports whether the connection can
// be used for another request. Otherwise the response must close it. It takes at most
// discardTime.
func Discard(r *http.Request) bool {
	if !hasBody(r) {
		return true
	}
	if r.ContentLength > maxDiscard || r.Header.Get("Expect") != "" {
		Abandon(r)
		return false
	}
	limitDiscard(r)
	_, err := io.CopyN(io.Discard, r.Body, maxDiscard+1)
	FromContext(r.Context()).Answering()
	return errors.Is(err, io.EOF)
}

// Abandon tells that the rest of a body is not needed, and limits the time for which net/http
// reads on after the response, which must close the connection.
func Abandon(r *http.Request) {
	FromContext(r.Context()).Answering()
	limitDiscard(r)
}

// limitDiscard limits the time for reading the rest of a body that is not needed.
func limitDiscard(r *http.Request) {
	if c := FromContext(r.Context()); c != nil {
		_ = c.SetReadDeadline(time.Now().Add(discardTime))
	}
}

// Body is the body of a request, and memory that is reserved for it.
type Body struct {
	Bytes   []byte
	release []func()
}

// Release gives the memory back.
func (b *Body) Release() {
	for _, f := range b.release {
		f()
	}
	b.release = nil
}

// firstBuffer is the first buffer for a body of unknown length.
const firstBuffer = 4 << 10

// ReadBody reads the body of a request of at most limit bytes. The caller must release it
// after use. The error is an *http.MaxBytesError above the limit, ErrBudget or ErrEvicted if
// memory or connections are short, ErrTooSlow, or that of reading.
func (g *Guard) ReadBody(r *http.Request, limit int64) (*Body, error) {
	return g.readBody(r.Context(), FromContext(r.Context()), r.Body, r.ContentLength, limit)
}

// ReadStream is like ReadBody for a server that is not net/http. length is negative if it is
// not known.
func (g *Guard) ReadStream(ctx context.Context, c *Conn, src io.Reader, length, limit int64) (*Body, error) {
	return g.readBody(ctx, c, src, length, limit)
}

// readBody reads a body of length bytes, or of unknown length if it is negative.
func (g *Guard) readBody(ctx context.Context, c *Conn, src io.Reader, length, limit int64) (*Body, error) {
	if src == nil || length == 0 {
		// A server that is not net/http may hand over a stream for an empty body.
		if !c.Received() {
			return nil, c.interrupted()
		}
		return &Body{}, nil
	}
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, read := &Body{}, g.readSized
	if length < 0 {
		read, length = g.readUnsized, limit
	}
	err := read(ctx, c, src, length, body)
	c.hold(0)
	if err == nil && !c.Received() {
		err = c.interrupted()
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// readSized reads a body of a known length.
func (g *Guard) readSized(ctx context.Context, c *Conn, src io.Reader, length int64, body *Body) error {
	release, err := g.budget.acquire(ctx, length, length)
	if err != nil {
		return err
	}
	body.release = append(body.release, release)
	c.hold(length)
	body.Bytes = make([]byte, length)
	have, err := fill(src, body.Bytes)
	switch {
	case err != nil && err != io.EOF:
		return err
	case have < len(body.Bytes):
		return io.ErrUnexpectedEOF
	}
	return nil
}

// fill reads until p is full or src returns an error, which it returns as it is.
func fill(src io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = src.Read(p[n:])
		n += read
	}
	return n, err
}

// readUnsized reads a body of unknown length into buffers that grow with it. Memory for the
// largest body is reserved at once when it grows beyond SmallBody: callers that each hold a part
// and wait for more would all be refused.
func (g *Guard) readUnsized(ctx context.Context, c *Conn, src io.Reader, limit int64, body *Body) error {
	reserved := int64(0)
	for size := min(firstBuffer, limit+1); ; size = min(2*size, limit+1) {
		if size > reserved {
			reserved = size
			if size > SmallBody {
				reserved = limit + 1
			}
			body.Release()
			release, err := g.budget.acquire(ctx, reserved, reserved)
			if err != nil {
				return err
			}
			body.release = []func(){release}
			c.hold(reserved)
		}
		next := make([]byte, size)
		have := copy(next, body.Bytes)
		n, err := fill(src, next[have:])
		body.Bytes = next[:have+n]
		switch {
		case int64(len(body.Bytes)) > limit:
			return &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
