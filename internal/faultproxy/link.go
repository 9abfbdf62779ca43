package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	readBufferSize  = 16 << 10 // bytes
	maxDelayedReads = 256      // per direction; further reads block
)

// link is one proxied connection.
type link struct {
	proxy *Proxy
	conns [2]net.Conn // indexed by the direction that writes to it
	done  chan struct{}
	once  sync.Once

	// Guarded by proxy.mu.
	source     string
	silent     bool
	budget     [2]int // bytes until the reset; negative means no limit
	halfClosed [2]bool
}

// chunk holds the data of one read and the time when it may be written. An empty
// chunk marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{
		proxy:  p,
		conns:  [2]net.Conn{ToServer: server, ToClient: client},
		done:   make(chan struct{}),
		budget: [2]int{-1, -1},
	}
}

// run forwards both directions until both have ended or the link is reset.
func (l *link) run() {
	var wg sync.WaitGroup
	for _, d := range []Direction{ToServer, ToClient} {
		ch := make(chan chunk, maxDelayedReads)
		wg.Go(func() { l.read(d, ch) })
		wg.Go(func() { l.write(d, ch) })
	}
	wg.Wait()
	// A reset here would drop bytes that the kernel has not delivered yet.
	l.closeWith(func(c net.Conn) { _ = c.Close() })
}

func (l *link) read(d Direction, out chan<- chunk) {
	defer close(out)
	src := l.conns[1-d]
	for {
		buf := make([]byte, readBufferSize)
		n, err := src.Read(buf)
		delay, _ := l.proxy.nextDelay()
		c := chunk{data: buf[:n], due: time.Now().Add(delay)}
		if n > 0 && !l.enqueue(out, c) {
			return
		}
		if err != nil {
			l.enqueue(out, chunk{due: c.due})
			return
		}
	}
}

// enqueue passes a chunk to the writer. It returns false if the link has ended.
func (l *link) enqueue(out chan<- chunk, c chunk) bool {
	select {
	case out <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) write(d Direction, in <-chan chunk) {
	for c := range in {
		if !l.sleep(time.Until(c.due)) || !l.waitUnblocked(d) {
			return
		}
		if len(c.data) == 0 {
			l.halfClose(d)
			return
		}
		data, last := l.consumeBudget(d, c.data)
		if len(data) > 0 && !l.send(d, data) {
			return
		}
		if last {
			l.reset()
			return
		}
	}
}

// send writes data within the rate limit. It drops data for a half-closed direction
// and returns false when the link has ended.
func (l *link) send(d Direction, data []byte) bool {
	l.proxy.mu.Lock()
	halfClosed := l.halfClosed[d]
	l.proxy.mu.Unlock()
	if halfClosed {
		return true
	}
	_, rate := l.proxy.nextDelay()
	for rate > 0 && len(data) > 0 {
		// Writing 100 ms worth of bytes at a time keeps the rate even.
		n := min(max(rate/10, 1), len(data))
		if _, err := l.conns[d].Write(data[:n]); err != nil {
			l.reset()
			return false
		}
		data = data[n:]
		if !l.sleep(time.Duration(n) * time.Second / time.Duration(rate)) {
			return false
		}
	}
	if len(data) == 0 {
		return true
	}
	if _, err := l.conns[d].Write(data); err != nil {
		l.reset()
		return false
	}
	return true
}

// waitUnblocked waits until no fault withholds the bytes of the direction. It
// returns false when the link has ended.
func (l *link) waitUnblocked(d Direction) bool {
	for {
		l.proxy.mu.Lock()
		blocked := l.silent || l.proxy.faults.blocks(d) || l.proxy.cuts[l.source].blocks(d)
		changed := l.proxy.changed
		l.proxy.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// consumeBudget returns the part of data that the budget allows, and whether the
// budget is exhausted.
func (l *link) consumeBudget(d Direction, data []byte) ([]byte, bool) {
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

func (l *link) setBudget(d Direction, n int) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.budget[d] = n
}

func (l *link) halfClose(d Direction) {
	l.proxy.mu.Lock()
	l.halfClosed[d] = true
	l.proxy.mu.Unlock()
	if c, ok := l.conns[d].(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
}

// sleep waits for d. It returns false if the link ends first.
func (l *link) sleep(d time.Duration) bool {
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

func (l *link) reset() { l.closeWith(resetConn) }

func (l *link) closeWith(closeConn func(net.Conn)) {
	l.once.Do(func() {
		close(l.done)
		for _, c := range l.conns {
			closeConn(c)
		}
	})
}

// resetConn closes a connection with a TCP reset (RST) instead of a FIN.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
