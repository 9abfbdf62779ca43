// Package faultproxy is a loopback TCP proxy that injects network faults between
// two processes of a test. Faults can be changed at run time, by method call or over
// HTTP.
package faultproxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is the direction of a byte stream through the proxy.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are the injected faults. They stay active until they are replaced.
type Faults struct {
	// Cut withholds the bytes of both directions, like a network partition. New
	// connections are accepted, because loopback cannot drop a SYN, but transfer
	// nothing.
	Cut bool `json:"cut"`
	// CutToServer and CutToClient withhold the bytes of one direction.
	CutToServer bool `json:"cut_to_server"`
	CutToClient bool `json:"cut_to_client"`
	// Refuse resets each new connection.
	Refuse bool `json:"refuse"`
	// Delay and a random duration below Jitter, drawn for each read, are added to
	// each direction. Both are in nanoseconds in JSON.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// Rate limits each direction of each connection, in bytes per second.
	Rate int `json:"rate"`
	// CutWithin resets each new connection after a random number of bytes to the
	// client, less than CutWithin. This is usually in the middle of a chunk.
	CutWithin int `json:"cut_within"`
}

// blocks reports whether the faults withhold the bytes of a direction.
func (f Faults) blocks(d Direction) bool {
	if d == ToServer {
		return f.Cut || f.CutToServer
	}
	return f.Cut || f.CutToClient
}

// Proxy forwards connections to one target.
type Proxy struct {
	addr string

	mu      sync.Mutex
	ln      net.Listener
	target  string
	source  func(client net.Conn) string
	cuts    map[string]Faults // by source; only the cut fields apply
	rng     *rand.Rand
	faults  Faults
	changed chan struct{} // closed and replaced at each change
	links   []*link       // open connections, oldest first
	total   int
	closed  bool
	wg      sync.WaitGroup
}

// New starts a proxy on a loopback port assigned by the kernel. The seed determines
// all random choices.
func New(target string, seed uint64) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{
		target:  target,
		addr:    ln.Addr().String(),
		ln:      ln,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}),
	}
	p.wg.Add(1)
	go p.accept(ln)
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// Close closes the listener, resets all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.ln.Close()
	p.mu.Unlock()
	p.Reset()
	p.wg.Wait()
}

// RefuseFor closes the listener and all connections for a time, as when the target's process
// has ended: new connections are refused.
func (p *Proxy) RefuseFor(d time.Duration) {
	p.mu.Lock()
	_ = p.ln.Close()
	p.mu.Unlock()
	p.Reset()
	time.AfterFunc(d, p.listenAgain)
}

// relistenInterval is the interval of attempts to get the port back.
const relistenInterval = 20 * time.Millisecond

func (p *Proxy) listenAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		time.AfterFunc(relistenInterval, p.listenAgain)
		return
	}
	p.ln = ln
	p.wg.Add(1)
	go p.accept(ln)
}

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyLocked()
}

// Faults returns the current faults.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetTarget changes the address that new connections are forwarded to.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Target returns the address that new connections are forwarded to.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// SetSource sets the function that identifies the client process of a connection,
// for cuts that apply to some processes only.
func (p *Proxy) SetSource(source func(client net.Conn) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source = source
}

// CutFrom replaces the cuts for connections of each source. Fields of Faults other
// than the cuts are ignored.
func (p *Proxy) CutFrom(cuts map[string]Faults) {
	p.mu.Lock()
	p.cuts = maps.Clone(cuts)
	p.mu.Unlock()
	if len(cuts) > 0 {
		for _, l := range p.openLinks() {
			p.resolveSource(l)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyLocked()
}

// resolveSource determines the source of a connection. It does so only while a cut
// by source is set, because searching all sockets of the machine can be slow.
func (p *Proxy) resolveSource(l *link) {
	p.mu.Lock()
	find, known := p.source, l.source != "" || len(p.cuts) == 0
	p.mu.Unlock()
	if find == nil || known {
		return
	}
	source := find(l.conns[ToClient])
	p.mu.Lock()
	defer p.mu.Unlock()
	l.source = source
}

// Open returns the number of open connections.
func (p *Proxy) Open() int { return len(p.openLinks()) }

// Total returns the number of connections accepted and forwarded so far.
func (p *Proxy) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Silence permanently withholds all bytes of the currently open connections. New
// connections are not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.silent = true
	}
	p.notifyLocked()
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// ResetOne resets one open connection, chosen at random. It returns false if there
// is none.
func (p *Proxy) ResetOne() bool {
	p.mu.Lock()
	var l *link
	if len(p.links) > 0 {
		l = p.links[p.rng.IntN(len(p.links))]
	}
	p.mu.Unlock()
	if l == nil {
		return false
	}
	l.reset()
	return true
}

// HalfClose closes one direction of all open connections; the other stays open.
func (p *Proxy) HalfClose(d Direction) {
	for _, l := range p.openLinks() {
		l.halfClose(d)
	}
}

// CutAfter resets each currently open connection after n more bytes in the given
// direction.
func (p *Proxy) CutAfter(d Direction, n int) {
	for _, l := range p.openLinks() {
		l.setBudget(d, n)
	}
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*link(nil), p.links...)
}

func (p *Proxy) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept(ln net.Listener) {
	defer p.wg.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if p.Faults().Refuse {
			resetConn(c)
			continue
		}
		p.wg.Add(1)
		go p.connect(c)
	}
}

// connect dials the target and forwards the connection. It dials at once even while
// a cut is set, so that the target sees the connection as it would appear after the
// fault.
func (p *Proxy) connect(client net.Conn) {
	defer p.wg.Done()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(client)
		return
	}
	l := newLink(p, client, server)
	p.resolveSource(l)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		l.reset()
		return
	}
	p.total++
	p.links = append(p.links, l)
	if n := p.faults.CutWithin; n > 0 {
		l.budget[ToClient] = p.rng.IntN(n)
	}
	p.mu.Unlock()
	l.run()
	p.removeLink(l)
}

func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.links {
		if x == l {
			p.links = append(p.links[:i], p.links[i+1:]...)
			return
		}
	}
}

// nextDelay returns the delay for one read and the current rate limit.
func (p *Proxy) nextDelay() (time.Duration, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.faults.Delay
	if p.faults.Jitter > 0 {
		d += time.Duration(p.rng.Int64N(int64(p.faults.Jitter)))
	}
	return d, p.faults.Rate
}
