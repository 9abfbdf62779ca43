package frontend

import (
	"fmt"
	"net"

	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/tcpopt"
)

// keepAliveListener enables TCP keep-alive probes on accepted connections, so that a
// connection whose peer vanished without closing it is closed while a request
// waits.
type keepAliveListener struct {
	net.Listener
	cfg Config
}

// Accept returns the next connection with keep-alive probes enabled.
func (l *keepAliveListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	tcp := c
	if guarded := ingress.Of(c); guarded != nil {
		tcp = guarded.Conn
	}
	if t, ok := tcp.(*net.TCPConn); ok {
		// Errors are ignored: a connection without probes can still be served.
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     l.cfg.ProbeIdle,
			Interval: l.cfg.ProbeInterval,
			Count:    l.cfg.ProbeCount,
		})
		if raw, err := t.SyscallConn(); err == nil {
			_ = tcpopt.SetUserTimeout(raw, l.cfg.UnackedTimeout)
		}
	}
	return c, nil
}
