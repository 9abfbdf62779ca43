package ingress

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// phase is what happens on a connection.
type phase int

const (
	idle       phase = iota // between requests, or before the first
	inHead                  // a part of a request's head has arrived
	inBody                  // the head has been read, the body has not
	running                 // the whole request has been read
	answering               // a refusal is written
	delivering              // a server's whole response is written
)

// Errors of reading from a connection that the guard has interrupted.
var (
	ErrTooSlow = errors.New("caller sends too slowly")
	ErrEvicted = errors.New("closed in favour of other callers")
	errHead    = errors.New("head of the request above the limits")
)

// writePiece is the number of bytes for which each write limit applies.
const writePiece = 16 << 10

// Conn is a connection whose use by its peer is limited.
type Conn struct {
	net.Conn
	listener *Listener

	mu        sync.Mutex
	phase     phase
	since     time.Time // of the phase
	bytes     int64     // received in the phase
	lines     int       // received in a head
	reserved  int64     // of the budget, for the head
	held      int64     // of the budget, for the body
	blocked   time.Time // start of the write that is in progress; zero if none
	deadline  time.Time // of writes, set by the server
	interrupt error     // of reads
	evicted   bool      // counted in listener.closing
	closed    bool
}

// FromContext returns the connection of a request, if its server uses ConnContext.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type connKey struct{}

// ConnContext is an http.Server.ConnContext hook.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, Of(c))
}

// Of returns the guarded connection below c, or nil.
func Of(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	guarded, _ := c.(*Conn)
	return guarded
}

// Read reads from the connection. It fails if the head of the request is above the limits.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.beforeRead(len(p) > 1); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(p[:n])
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if reason := c.interrupted(); reason != nil {
			err = &net.OpError{Op: "read", Net: "tcp", Err: reason}
		}
	}
	return n, err
}

func (c *Conn) interrupted() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupt
}

// beforeRead checks the head that has arrived so far. A server reads on only if the head is
// not complete, so that bytes of a body are never counted. The exception is net/http, which
// reads one byte while the handler of a request begins, to notice that the caller leaves; such
// reads are not checked.
func (c *Conn) beforeRead(check bool) error {
	c.mu.Lock()
	if c.interrupt != nil {
		defer c.mu.Unlock()
		return c.interrupt
	}
	s := &c.listener.guard.settings
	var status, reason string
	switch {
	case c.phase != inHead || !check:
	case c.lines > s.HeaderFields+2: // with the request line and the empty one
		status, reason = "431 Request Header Fields Too Large", "fields"
	case c.bytes > int64(s.HeaderBytes):
		status, reason = "431 Request Header Fields Too Large", "head"
	case !c.reserveHead():
		status, reason = "503 Service Unavailable", "memory"
	}
	c.mu.Unlock()
	if status == "" {
		return nil
	}
	c.refuse(status, reason)
	return errHead
}

// headCopies is how often the bytes of a head are held: by the server's parser and in the
// header fields that it returns.
const headCopies = 2

// reserveHead reserves memory for the head, except for its first buffer, which is a part of
// what is planned for a connection. c.mu is held.
func (c *Conn) reserveHead() bool {
	need := max(0, c.bytes-bufferBytes)*headCopies - c.reserved
	if need <= 0 {
		return true
	}
	if !c.listener.guard.budget.try(need) {
		return false
	}
	c.reserved += need
	return true
}

func (c *Conn) received(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && !c.listener.encrypted {
		c.enter(inHead)
	}
	c.bytes += int64(len(p))
	if c.phase == inHead {
		c.lines += bytes.Count(p, []byte{'\n'})
	}
}

// enter changes the phase. c.mu is held.
func (c *Conn) enter(p phase) {
	c.phase, c.since, c.bytes, c.lines = p, time.Now(), 0, 0
	if p == idle {
		c.listener.guard.budget.free(c.reserved)
		c.reserved = 0
	}
}

// Begin tells that the head of a request has been read, and whether it has a body. It returns
// false if the guard has closed the connection or answered the request, which must not run.
func (c *Conn) Begin(body bool) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupt != nil {
		return false
	}
	if body {
		c.enter(inBody)
	} else {
		c.enter(running)
	}
	return true
}

// Received tells that the whole body of the request has been read. It returns false if the
// guard has interrupted the request, which must not run.
func (c *Conn) Received() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupt != nil {
		return false
	}
	if c.phase == inBody {
		c.enter(running)
	}
	return true
}

// Answering tells that a refusal is written, so that the connection may be closed when
// connections run short.
func (c *Conn) Answering() { c.change(answering) }

// Delivering tells that the whole response of a server is written, so that the connection may
// be closed when connections run short and the caller does not read.
func (c *Conn) Delivering() { c.change(delivering) }

// Idle tells that the response to a request has been written.
func (c *Conn) Idle() { c.change(idle) }

func (c *Conn) change(p phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p {
		c.enter(p)
	}
}

// hold records what the budget holds for the body.
func (c *Conn) hold(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = n
}

// Write writes to the connection. Each piece of writePiece bytes must be taken in the time that
// the settings allow.
func (c *Conn) Write(p []byte) (written int, err error) {
	for {
		piece := p[written:min(len(p), written+writePiece)]
		c.beginWrite()
		n, err := c.Conn.Write(piece)
		c.endWrite()
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = time.Now()
	c.setDeadline()
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = time.Time{}
}

// setDeadline sets the earlier of the server's deadline and that of the piece. c.mu is held.
func (c *Conn) setDeadline() {
	d := c.blocked.Add(c.listener.guard.settings.WriteStall)
	if !c.deadline.IsZero() && c.deadline.Before(d) {
		d = c.deadline
	}
	_ = c.Conn.SetWriteDeadline(d)
}

// SetWriteDeadline sets the deadline of writes besides that of each piece.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !c.blocked.IsZero() {
		c.setDeadline()
	}
	return nil
}

// SetReadDeadline sets the deadline of reads, unless they have been interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupt != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Interrupt ends reads, now and later, with an error. Writes continue.
func (c *Conn) Interrupt(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptLocked(reason)
}

// interruptLocked is Interrupt with c.mu held.
func (c *Conn) interruptLocked(reason error) {
	if c.interrupt == nil {
		c.interrupt = reason
		_ = c.Conn.SetReadDeadline(past)
	}
}

// rawWriteTimeout limits writing a short response to a caller that does not read.
const rawWriteTimeout = 20 * time.Millisecond

// refuse answers a request whose head has not been read as a whole, and counts the reason. The
// server has written all earlier responses by then.
func (c *Conn) refuse(status, reason string) {
	c.listener.guard.count(reason)
	c.listener.writeRefusal(c.Conn, status)
	c.Interrupt(errHead)
}

func (l *Listener) writeRefusal(c net.Conn, status string) {
	if l.encrypted {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status)
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// SyscallConn returns the connection's socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger sets what Close does with data that has not been sent, as net.TCPConn.SetLinger.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection and releases its share of the limits.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.guard.budget.free(c.reserved)
		c.reserved = 0
		defer c.listener.remove(c)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
