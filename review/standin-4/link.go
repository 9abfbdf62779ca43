package main

import (
	"net"
	"sync"
	"time"
)

// linkListener is the end of a host's link: what is written to its connections together takes
// the time that the link's bandwidth allows.
type linkListener struct {
	net.Listener
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has sent what was written so far
}

// Accept returns the next connection.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, link: l}, nil
}

type linkConn struct {
	net.Conn
	link *linkListener
}

// linkPiece is the number of bytes that are sent at a time.
const linkPiece = 8 << 10

// Write writes in pieces, each when the link is free.
func (c *linkConn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		piece := p[written:min(len(p), written+linkPiece)]
		time.Sleep(time.Until(c.link.take(len(piece))))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// take returns when the link has sent n more bytes.
func (l *linkListener) take(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.free
}
