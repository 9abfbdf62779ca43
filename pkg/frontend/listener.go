package frontend

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// probingListener makes the kernel probe idle callers, so that a connection
// whose other end vanished without a word is closed while a request waits.
type probingListener struct {
	net.Listener
	cfg Config
}

// Accept returns the next connection with its probes set.
func (l *probingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		// A socket that cannot be probed still serves.
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     l.cfg.ProbeIdle,
			Interval: l.cfg.ProbeInterval,
			Count:    l.cfg.ProbeCount,
		})
		_ = boundUnacked(t, l.cfg.UnackedTimeout)
	}
	return c, nil
}

// boundUnacked makes the kernel give a connection up when its other end does not
// acknowledge data any more.
func boundUnacked(c *net.TCPConn, limit time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("unacknowledged data: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("unacknowledged data: %w", err)
	}
	return failed
}
