// Package faultproxy is a TCP proxy on loopback that injects network faults
// between two processes of a test. Faults can be switched while it runs, by
// method and over HTTP.
package faultproxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction of bytes.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are the faults that hold until they are replaced.
type Faults struct {
	// Cut holds the bytes of both directions, as a partition does. New connections
	// are accepted, because loopback cannot drop a SYN, but nothing moves.
	Cut bool `json:"cut"`
	// CutToServer and CutToClient hold the bytes of one direction.
	CutToServer bool `json:"cut_to_server"`
	CutToClient bool `json:"cut_to_client"`
	// Refuse resets each new connection.
	Refuse bool `json:"refuse"`
	// Delay and Jitter are added to each direction, in nanoseconds; the part of
	// Jitter is drawn for each read.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// Rate limits each direction of each connection, in bytes per second.
	Rate int `json:"rate"`
	// CutWithin resets each new connection after a random number of bytes to the
	// client, below this one. It usually falls into the middle of a chunk.
	CutWithin int `json:"cut_within"`
}

func (f Faults) holds(d Direction) bool {
	if d == ToServer {
		return f.Cut || f.CutToServer
	}
	return f.Cut || f.CutToClient
}

// Proxy forwards connections to one target.
type Proxy struct {
	ln net.Listener

	mu      sync.Mutex
	target  string
	source  func(client net.Conn) string
	cuts    map[string]Faults // by source; only the cuts count
	rng     *rand.Rand
	faults  Faults
	changed chan struct{} // closed and replaced at each change
	links   []*link       // open connections, oldest first
	total   int
	closed  bool
	wg      sync.WaitGroup
}

// New starts a proxy on a loopback port that the kernel chooses. The seed decides
// all random choices.
func New(target string, seed uint64) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{
		target:  target,
		ln:      ln,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}),
	}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close closes the listener and all connections and waits for their end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Reset()
	p.wg.Wait()
}

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeLocked()
}

// Faults returns the faults.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetTarget replaces the target of new connections.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Target returns the address of the target.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// SetSource sets the function that names the process behind a new connection, for
// cuts that concern some processes only.
func (p *Proxy) SetSource(source func(client net.Conn) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source = source
}

// CutFrom replaces the cuts of connections by their source. Fields of the faults
// other than the cuts have no effect.
func (p *Proxy) CutFrom(cuts map[string]Faults) {
	p.mu.Lock()
	p.cuts = maps.Clone(cuts)
	p.mu.Unlock()
	if len(cuts) > 0 {
		for _, l := range p.snapshot() {
			p.identify(l)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// identify finds the source of a connection. It is done only while a cut is set,
// because a search through the sockets of the machine can take long.
func (p *Proxy) identify(l *link) {
	p.mu.Lock()
	find, known := p.source, l.source != "" || len(p.cuts) == 0
	p.mu.Unlock()
	if find == nil || known {
		return
	}
	source := find(l.ends[ToClient])
	p.mu.Lock()
	defer p.mu.Unlock()
	l.source = source
}

// Open returns the number of open connections.
func (p *Proxy) Open() int { return len(p.snapshot()) }

// Total returns the number of connections so far.
func (p *Proxy) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Silence stops all bytes of the connections that are open now, for ever. New
// connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.silent = true
	}
	p.wakeLocked()
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, l := range p.snapshot() {
		l.reset()
	}
}

// ResetOne resets one open connection, chosen by the seed. It says whether there
// was one.
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

// HalfClose ends one direction of all open connections; the other goes on.
func (p *Proxy) HalfClose(d Direction) {
	for _, l := range p.snapshot() {
		l.halfClose(d)
	}
}

// CutAfter resets each connection that is open now after n more bytes in a
// direction.
func (p *Proxy) CutAfter(d Direction, n int) {
	for _, l := range p.snapshot() {
		l.limit(d, n)
	}
}

func (p *Proxy) snapshot() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*link(nil), p.links...)
}

func (p *Proxy) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.ln.Accept()
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

// connect dials the target, which a held connection does without delay, so that
// the target sees it as the network would show it after the fault.
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
	p.identify(l)
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
	p.forget(l)
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.links {
		if x == l {
			p.links = append(p.links[:i], p.links[i+1:]...)
			return
		}
	}
}

// delay returns the delay of one read and the rate limit.
func (p *Proxy) delay() (time.Duration, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.faults.Delay
	if p.faults.Jitter > 0 {
		d += time.Duration(p.rng.Int64N(int64(p.faults.Jitter)))
	}
	return d, p.faults.Rate
}
