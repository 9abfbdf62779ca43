package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	readSize = 16 << 10 // bytes of one read
	inFlight = 256      // reads that a delay can hold
)

// link is one proxied connection.
type link struct {
	proxy *Proxy
	ends  [2]net.Conn // by the direction that writes to it
	done  chan struct{}
	once  sync.Once

	// Under the proxy's lock.
	source string
	silent bool
	budget [2]int  // bytes until the reset; negative is no limit
	ended  [2]bool // direction half-closed
}

// parcel is what one read gave, with the time when it may be written. An empty one
// is the end of the direction.
type parcel struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{
		proxy:  p,
		ends:   [2]net.Conn{ToServer: server, ToClient: client},
		done:   make(chan struct{}),
		budget: [2]int{-1, -1},
	}
}

// run forwards both directions until both have ended or the link is reset.
func (l *link) run() {
	var wg sync.WaitGroup
	for _, d := range []Direction{ToServer, ToClient} {
		ch := make(chan parcel, inFlight)
		wg.Go(func() { l.read(d, ch) })
		wg.Go(func() { l.write(d, ch) })
	}
	wg.Wait()
	// A reset here would drop bytes that the kernel has not delivered yet.
	l.end(func(c net.Conn) { _ = c.Close() })
}

func (l *link) read(d Direction, out chan<- parcel) {
	defer close(out)
	src := l.ends[1-d]
	for {
		buf := make([]byte, readSize)
		n, err := src.Read(buf)
		delay, _ := l.proxy.delay()
		p := parcel{data: buf[:n], due: time.Now().Add(delay)}
		if n > 0 && !l.put(out, p) {
			return
		}
		if err != nil {
			l.put(out, parcel{due: p.due})
			return
		}
	}
}

func (l *link) put(out chan<- parcel, p parcel) bool {
	select {
	case out <- p:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) write(d Direction, in <-chan parcel) {
	for p := range in {
		if !l.wait(time.Until(p.due)) || !l.open(d) {
			return
		}
		if len(p.data) == 0 {
			l.halfClose(d)
			return
		}
		data, last := l.take(d, p.data)
		if len(data) > 0 && !l.send(d, data) {
			return
		}
		if last {
			l.reset()
			return
		}
	}
}

// send writes at the rate limit. A half-closed direction drops its bytes.
func (l *link) send(d Direction, data []byte) bool {
	l.proxy.mu.Lock()
	ended := l.ended[d]
	l.proxy.mu.Unlock()
	if ended {
		return true
	}
	_, rate := l.proxy.delay()
	for rate > 0 && len(data) > 0 {
		// A tenth of a second of bytes at a time keeps the rate even.
		n := min(max(rate/10, 1), len(data))
		if _, err := l.ends[d].Write(data[:n]); err != nil {
			l.reset()
			return false
		}
		data = data[n:]
		if !l.wait(time.Duration(n) * time.Second / time.Duration(rate)) {
			return false
		}
	}
	if len(data) == 0 {
		return true
	}
	if _, err := l.ends[d].Write(data); err != nil {
		l.reset()
		return false
	}
	return true
}

// open waits until no fault holds the direction. It returns false when the link
// has ended.
func (l *link) open(d Direction) bool {
	for {
		l.proxy.mu.Lock()
		held := l.silent || l.proxy.faults.holds(d) || l.proxy.cuts[l.source].holds(d)
		changed := l.proxy.changed
		l.proxy.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// take takes bytes from the budget and says whether it is used up.
func (l *link) take(d Direction, data []byte) ([]byte, bool) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	left := l.budget[d]
	if left < 0 || len(data) < left {
		if left >= 0 {
			l.budget[d] -= len(data)
		}
		return data, false
	}
	return data[:left], true
}

func (l *link) limit(d Direction, n int) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.budget[d] = n
}

func (l *link) halfClose(d Direction) {
	l.proxy.mu.Lock()
	l.ended[d] = true
	l.proxy.mu.Unlock()
	if c, ok := l.ends[d].(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
}

// wait waits for a duration. It returns false when the link has ended.
func (l *link) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) reset() { l.end(resetConn) }

func (l *link) end(closeConn func(net.Conn)) {
	l.once.Do(func() {
		close(l.done)
		for _, c := range l.ends {
			closeConn(c)
		}
	})
}

// resetConn closes a connection with a reset instead of an orderly end.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
