package sendonce

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/tcpopt"
)

// ErrTooManyConns is returned when the client already has MaxConns connections.
var ErrTooManyConns = errors.New("too many connections")

// ErrTooLong is returned when a peer sends more bytes than the response may have, such as
// a chunk extension or a body that does not end.
var ErrTooLong = errors.New("response too long")

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("client closed")

// Options limits the resources of a client. A zero field takes the default given here.
type Options struct {
	DialTimeout time.Duration // 1 s; a shorter one detects an unreachable peer sooner
	IdleTimeout time.Duration // 30 s; idle connections are closed after it
	MaxIdle     int           // 32 connections kept for reuse
	MaxConns    int           // 1024 concurrent calls; further ones fail unsent
	MaxBody     int           // 16 MiB; bytes of a response that is not streamed
	BufferSize  int           // 4 KiB; read buffer, also the largest header
	// Budget bounds the memory of large responses, and of what has arrived of streams without
	// progress, of all clients that share it. Without one, peers that send endless responses can
	// each use MaxBody.
	Budget *Budget
	// UnackedTimeout closes a connection when the peer has not acknowledged sent data
	// for that long, for example in a network partition. By default the kernel
	// decides, which takes minutes.
	UnackedTimeout time.Duration
	// EchoHeader names the request header whose value, the ID of the call, peers repeat in
	// their responses. With it, a response that a peer sends a second time later does not
	// pass for that to another call: it is skipped if its ID, or the lack of one, is that of
	// an earlier call on the connection. A call without an ID needs a new connection, and
	// one with an ID a connection that has not carried the same ID.
	// By default connections are reused for all calls, which is for peers that never
	// send a response twice.
	EchoHeader string
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.IdleTimeout, 30*time.Second)
	setDefault(&o.MaxIdle, 32)
	setDefault(&o.MaxConns, 1024)
	setDefault(&o.MaxBody, 16<<20)
	setDefault(&o.BufferSize, 4<<10)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// control sets the socket options of a new connection.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	if o.UnackedTimeout <= 0 {
		return nil
	}
	return tcpopt.SetUserTimeout(raw, o.UnackedTimeout)
}

// Error is a failed call.
type Error struct {
	Step string // "connect", "send" or "receive"
	Peer string // address
	Sent bool   // a byte of the request may have reached the peer
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls one address. It is safe for concurrent use.
type Client struct {
	addr   string
	opt    Options
	mu     sync.Mutex
	idle   []*conn // least recently used first
	open   int
	closed bool
}

// New returns a client for addr. It connects on the first call.
func New(addr string, opt Options) *Client {
	return &Client{addr: addr, opt: opt.withDefaults()}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Open returns the number of open connections, including idle ones.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Close closes idle connections and makes later calls fail. Calls in progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.mu.Unlock()
	for _, cn := range idle {
		c.drop(cn)
	}
}

// Do sends req at most once and reads the complete response. It is aborted when ctx ends. The
// body of resp stays valid when resp is released.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	forget, err := c.DoHeld(ctx, req, resp)
	forget()
	return err
}

// DoHeld is Do for a body that is kept. It counts for Options.Budget until forget is called,
// also after an error.
func (c *Client) DoHeld(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (forget func(), err error) {
	held := c.opt.Budget.newAccount()
	return held.close, c.do(ctx, req, resp, held)
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, held *account) error {
	id := c.callID(req)
	cn, err := c.connect(ctx, c.usableFor(req, id))
	if err != nil {
		return c.wrapError(ctx, "connect", nil, err)
	}
	stop := context.AfterFunc(ctx, cn.abort)
	cn.expect(time.Time{}, framingFactor*c.opt.MaxBody+c.opt.BufferSize)
	cn.account = held
	h, step, err := c.roundTrip(cn, id, req, resp)
	if err == nil {
		var body []byte
		if body, err = readAll(newBody(cn.br, h), h, c.opt.MaxBody); err != nil {
			step = "receive"
		}
		resp.SetBodyRaw(body)
	}
	cn.account = nil
	if !stop() && err == nil {
		// The response is complete, but ctx ended and the connection has been closed.
		c.drop(cn)
		return nil
	}
	if err != nil {
		cn.abort()
		c.uncountConn()
		return c.wrapError(ctx, step, cn, err)
	}
	if c.release(cn, c.isLastUse(cn, req, resp, h)) {
		recordLink(ctx, cn)
	}
	return nil
}

// isLastUse reports whether a connection must not be used for another call.
func (c *Client) isLastUse(cn *conn, req *fasthttp.Request, resp *fasthttp.Response, h responseHead) bool {
	if h.framing == byClose || req.ConnectionClose() || resp.ConnectionClose() {
		return true
	}
	// A second response to HEAD would be read as if it had a body.
	return c.opt.EchoHeader != "" && (req.Header.IsHead() || cn.history.calls() >= maxCallsPerConn)
}

// callID returns the ID of a call, or none if the peer does not repeat IDs.
func (c *Client) callID(req *fasthttp.Request) string {
	if c.opt.EchoHeader == "" {
		return ""
	}
	return string(req.Header.Peek(c.opt.EchoHeader))
}

// usableFor returns a function that selects the idle connections on which the response to a
// call can be told from late responses.
func (c *Client) usableFor(req *fasthttp.Request, id string) func(*conn) bool {
	if c.opt.EchoHeader == "" {
		return func(*conn) bool { return true }
	}
	// A late response would be read as if it had no body, as that to HEAD has none.
	if id == "" || req.Header.IsHead() {
		return func(*conn) bool { return false }
	}
	return func(cn *conn) bool { return !cn.history.has(id) }
}

// framingFactor is how many times longer than its body a response may be with its chunk
// headers.
const framingFactor = 2

// writerPool holds write buffers, which are only needed while a request is written.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// roundTrip writes the request, which has the given ID, and reads the head of the response. On
// an error it also returns the step that failed.
func (c *Client) roundTrip(cn *conn, id string, req *fasthttp.Request, resp *fasthttp.Response) (responseHead, string, error) {
	if err := c.send(cn, id, req); err != nil {
		return responseHead{}, "send", err
	}
	h, err := c.readResponse(cn, id, req.Header.IsHead(), resp)
	if err != nil {
		return h, "receive", err
	}
	return h, "", nil
}

func (c *Client) send(cn *conn, id string, req *fasthttp.Request) error {
	bw := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(bw)
	bw.Reset(cn)
	defer bw.Reset(nil)
	if c.opt.EchoHeader != "" {
		cn.history.add(id)
	}
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// readResponse reads the head of the response to the last call on a connection, which has the
// given ID. It skips late second responses to earlier calls.
func (c *Client) readResponse(cn *conn, id string, withoutBody bool, resp *fasthttp.Response) (responseHead, error) {
	for {
		h, err := readHead(cn.br, withoutBody)
		if err != nil {
			return h, err
		}
		before := cn.br.Buffered()
		if err := resp.Header.Read(cn.br); err != nil {
			return h, malformed("%v", err)
		}
		if n := before - cn.br.Buffered(); n != h.size {
			return h, malformed("head of %d bytes was read as %d", h.size, n)
		}
		if c.opt.EchoHeader == "" {
			return h, nil
		}
		switch cn.history.origin(id, string(resp.Header.Peek(c.opt.EchoHeader))) {
		case ofCall:
			return h, nil
		case ofNone:
			return h, ErrUnrelated
		}
		if _, err := io.Copy(io.Discard, newBody(cn.br, h)); err != nil {
			return h, err
		}
	}
}

func (c *Client) wrapError(ctx context.Context, step string, cn *conn, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &Error{
		Step: step,
		Peer: c.addr,
		Sent: cn != nil && cn.written.Load() > 0,
		Err:  err,
	}
}

// acquire returns an idle connection that usable selects and that is still open, or dials a
// new one.
func (c *Client) acquire(ctx context.Context, usable func(*conn) bool) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		cn, err := c.takeIdle(usable)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			return c.dial(ctx)
		}
		fresh := time.Since(cn.idleSince) < c.opt.IdleTimeout
		if fresh && cn.usable() && cn.reset() == nil {
			return cn, nil
		}
		c.drop(cn)
	}
}

// takeIdle returns the most recently used idle connection that usable selects. If there is
// none, it counts a new connection as open and returns nil.
func (c *Client) takeIdle(usable func(*conn) bool) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	for i, cn := range slices.Backward(c.idle) {
		if usable(cn) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn, nil
		}
	}
	if c.open < c.opt.MaxConns {
		c.open++
		return nil, nil
	}
	if len(c.idle) == 0 {
		return nil, ErrTooManyConns
	}
	// The new connection takes the place of the least recently used idle one.
	_ = c.idle[0].nc.Close()
	c.idle = slices.Delete(c.idle, 0, 1)
	return nil, nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: c.opt.DialTimeout, Control: c.opt.control}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		c.uncountConn()
		return nil, err
	}
	return newConn(nc, c.opt.BufferSize), nil
}

// release keeps a connection for reuse unless this was its last use or the peer has
// sent more than the response. It reports whether the connection is kept.
func (c *Client) release(cn *conn, lastUse bool) bool {
	if lastUse || cn.br.Buffered() > 0 {
		c.drop(cn)
		return false
	}
	cn.idleSince = time.Now()
	c.mu.Lock()
	stale := c.takeStaleLocked()
	keep := !c.closed && len(c.idle) < c.opt.MaxIdle
	if keep {
		c.idle = append(c.idle, cn)
	}
	c.mu.Unlock()
	if !keep {
		c.drop(cn)
	}
	for _, s := range stale {
		c.drop(s)
	}
	return keep
}

// takeStaleLocked removes and returns the connections that have exceeded IdleTimeout;
// they are first in the list. c.mu must be held.
func (c *Client) takeStaleLocked() []*conn {
	n := 0
	for n < len(c.idle) && time.Since(c.idle[n].idleSince) >= c.opt.IdleTimeout {
		n++
	}
	stale := append([]*conn(nil), c.idle[:n]...)
	c.idle = append(c.idle[:0], c.idle[n:]...)
	return stale
}

func (c *Client) drop(cn *conn) {
	_ = cn.nc.Close()
	c.uncountConn()
}

func (c *Client) uncountConn() {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}
