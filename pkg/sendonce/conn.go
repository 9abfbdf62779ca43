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
	nc          net.Conn
	br          *bufio.Reader
	written     atomic.Int64
	readTimeout time.Duration // limit for each read; 0 means none
	idleSince   time.Time
}

func newConn(nc net.Conn, bufferSize int) *conn {
	c := &conn{nc: nc}
	c.br = bufio.NewReaderSize(c, bufferSize)
	return c
}

// Read reads from the connection within the read timeout.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.nc.Read(p)
}

// Write counts the bytes that the kernel accepted, even if the write fails.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// usable reports whether an idle connection is still open and has no unread data.
// Without this check, a call on a connection that the peer closed while it was idle
// would have an unknown outcome although it never ran.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// reset prepares an idle connection for the next request.
func (c *conn) reset() error {
	c.written.Store(0)
	c.readTimeout = 0
	return c.nc.SetDeadline(time.Time{})
}
