package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchCaller returns a context that ends when the caller has closed its side of
// the connection or the connection has failed, and a function that ends the
// watch. A caller that has only shut down its sending side counts as gone: such
// callers are rare, and engine memory must not stay held for a caller that may
// not be there.
func watchCaller(conn net.Conn, every time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	raw := rawConn(conn)
	if raw == nil {
		return ctx, cancel
	}
	go func() {
		defer cancel()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if hungUp(raw) {
					return
				}
			}
		}
	}()
	return ctx, cancel
}

// rawConn returns the socket below a caller's connection.
func rawConn(conn net.Conn) syscall.RawConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hungUp asks the kernel whether the other end has closed. It reads nothing, so
// a pipelined request stays in the buffer.
func hungUp(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		if err != nil && err != unix.EINTR {
			gone = true
			return
		}
		const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
		gone = n > 0 && fds[0].Revents&closed != 0
	})
	return gone || err != nil
}
