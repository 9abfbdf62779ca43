package sendonce

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection with its read buffer. It counts the bytes of the current request
// that the kernel accepted, which shows whether the peer may have received any.
type conn struct {
	nc        net.Conn
	br        *bufio.Reader
	written   atomic.Int64
	bytesLeft int      // that may still be read, see expect
	account   *account // of the current response; nil without a budget
	idleSince time.Time
	history   history // only with Options.EchoHeader
}

func newConn(nc net.Conn, bufferSize int) *conn {
	c := &conn{nc: nc}
	c.br = bufio.NewReaderSize(c, bufferSize)
	return c
}

// expect limits the bytes that may be read from now on, and the time until when unless it
// is zero. Bytes that a reader discards, such as chunk extensions, count too.
func (c *conn) expect(deadline time.Time, bytes int) {
	c.bytesLeft = bytes
	// It fails only on a closed connection, on which the next read fails as well.
	_ = c.nc.SetReadDeadline(deadline)
}

// Read reads from the connection within the limits of expect.
func (c *conn) Read(p []byte) (int, error) {
	if c.bytesLeft <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.nc.Read(p[:min(len(p), c.bytesLeft)])
	c.bytesLeft -= n
	if !c.account.take(n) {
		return 0, ErrOverBudget
	}
	return n, err
}

// Write counts the bytes that the kernel accepted, even if the write fails.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// abort closes the connection and discards what the peer has not received yet, so that a
// request that is held up, for example in a network partition, does not arrive later.
func (c *conn) abort() {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = tc.SetLinger(0)
	}
	_ = c.nc.Close()
}

// usable reports whether an idle connection is still open and has no unread data.
// Without this check, a call on a connection that the peer closed while it was idle
// would have an unknown outcome although it never ran.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	_, err := c.peek()
	return err == syscall.EAGAIN
}

// peek returns how many bytes can be read now without waiting, at most 1; none without an
// error is the end of what the peer sends, and EAGAIN says that the connection is open.
func (c *conn) peek() (n int, err error) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	cerr := rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if cerr != nil {
		return 0, cerr
	}
	return n, err
}

// reset prepares an idle connection for the next request.
func (c *conn) reset() error {
	c.written.Store(0)
	return c.nc.SetDeadline(time.Time{})
}
