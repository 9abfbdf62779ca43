package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchDisconnect returns a context that is cancelled when the caller has closed its
// side of the connection or the connection has failed, and a function that stops
// polling. A caller that has only shut down its sending side is treated as
// disconnected: such callers are rare, and engine memory must not stay allocated
// for a caller that may have left.
func watchDisconnect(conn net.Conn, interval time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	raw := rawConn(conn)
	if raw == nil {
		return ctx, cancel
	}
	go func() {
		defer cancel()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if peerClosed(raw) {
					return
				}
			}
		}
	}()
	return ctx, cancel
}

// rawConn returns the socket under a caller's connection, also under TLS, or nil
// if there is none.
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

// peerClosed asks the kernel whether the peer has closed the connection. It reads
// no data, so a pipelined request stays in the buffer.
func peerClosed(raw syscall.RawConn) bool {
	down := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		if err != nil && err != unix.EINTR {
			down = true
			return
		}
		const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
		down = n > 0 && fds[0].Revents&closed != 0
	})
	return down || err != nil
}
