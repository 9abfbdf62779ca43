package ingress

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Config holds the limits of a process.
type Config struct {
	Settings    Settings
	MemoryBytes int64 // memory limit of the process; 0 is none
	MaxFDs      int   // limit of its open descriptors; 0 is none
	Log         *zap.Logger
	Metrics     *metrics.Set // may be nil
}

// Guard holds the limits of a process and the connections of its listeners.
type Guard struct {
	settings Settings
	plan     plan
	budget   *budget
	log      *zap.Logger
	metrics  *metrics.Set

	mu        sync.Mutex
	listeners []*Listener

	countMu sync.Mutex
	counts  map[string]int // connections closed by reason since the last log line
}

// New returns a guard without listeners.
func New(cfg Config) *Guard {
	g := &Guard{
		settings: cfg.Settings, plan: newPlan(cfg.Settings, cfg.MemoryBytes, cfg.MaxFDs),
		log: cfg.Log, metrics: cfg.Metrics, counts: map[string]int{},
	}
	if g.metrics == nil {
		g.metrics = metrics.NewSet()
	}
	g.budget = newBudget(g.plan)
	g.budget.reclaim = g.reclaim
	g.metrics.NewGauge("mulberrystream_ingress_memory_bytes", func() float64 { return float64(g.budget.used.Load()) })
	g.metrics.NewGauge("mulberrystream_ingress_memory_limit_bytes", func() float64 { return float64(g.budget.capacity) })
	return g
}

// Listener accepts connections up to a limit.
type Listener struct {
	net.Listener
	guard *Guard
	role  Role
	max   int
	// encrypted tells that TLS is used above the connections, so that heads cannot be seen.
	encrypted bool

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	closing int // connections among conns that the guard has closed
}

// Listen wraps a listener. encrypted tells that TLS is used above it.
func (g *Guard) Listen(ln net.Listener, role Role, encrypted bool) *Listener {
	l := &Listener{
		Listener: ln, guard: g, role: role, max: g.plan.conns[role], encrypted: encrypted,
		conns: map[*Conn]struct{}{},
	}
	g.mu.Lock()
	g.listeners = append(g.listeners, l)
	g.mu.Unlock()
	name := fmt.Sprintf(`{role=%q}`, role)
	g.metrics.NewGauge("mulberrystream_ingress_connections"+name, func() float64 { return float64(l.size()) })
	g.metrics.NewGauge("mulberrystream_ingress_connections_limit"+name, func() float64 { return float64(l.max) })
	return l
}

func (l *Listener) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.admit(c); guarded != nil {
			return guarded, nil
		}
		l.guard.count("connections")
		l.writeRefusal(c, "503 Service Unavailable")
		_ = c.Close()
	}
}

// admit returns the guarded connection, or nil if there is no room. If the limit has been
// reached, it closes another connection in favour of the new one.
func (l *Listener) admit(c net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns)-l.closing >= l.max {
		if l.closing >= l.maxClosing() || !l.evictOne(time.Now()) {
			return nil
		}
	}
	if t, ok := c.(*net.TCPConn); ok && l.guard.settings.SocketBuffer > 0 {
		// Errors are ignored: the kernel's own sizes are a bound, too.
		_ = t.SetReadBuffer(l.guard.settings.SocketBuffer)
		_ = t.SetWriteBuffer(l.guard.settings.SocketBuffer)
	}
	guarded := &Conn{Conn: c, listener: l, since: time.Now()}
	l.conns[guarded] = struct{}{}
	return guarded
}

// maxClosing is how many connections that are being closed may exist besides the open ones.
func (l *Listener) maxClosing() int { return max(minClosing, int(closingShare*float64(l.max))) }

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		l.closing--
	}
}

const (
	// slowAfter is how long a request must have been arriving, or a caller must not have read,
	// before it counts as slow when connections or memory run short.
	slowAfter = time.Second
	// answerTime is how long writing a refusal may take when connections run short.
	answerTime = 100 * time.Millisecond
	// deliverTime is how long a caller must not have read the whole response of a server before
	// its connection counts as slow. Links of ordinary callers pause for seconds.
	deliverTime = 5 * time.Second
)

// candidate is a connection that may be closed in favour of others.
type candidate struct {
	conn  *Conn
	class int     // lower ones are closed first
	rate  float64 // bytes per second; lower ones are closed first
	held  int64
	phase phase
	since time.Time // of the phase
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rate, b.rate), cmp.Compare(b.held, a.held), a.since.Compare(b.since))
}

// candidate returns the connection's place in the order of closing, or false if it must stay:
// a request is running, or its caller has not been slow.
func (c *Conn) candidate(now time.Time) (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	k := candidate{conn: c, held: c.held, phase: c.phase, since: c.since}
	if c.interrupt != nil || c.closed {
		return k, false
	}
	switch c.phase {
	case answering:
		k.class = 0
		return k, age > answerTime
	case idle:
		k.class = 1
		return k, true
	case inHead, inBody:
		k.class, k.rate = 2, float64(c.bytes)/age.Seconds()
		return k, age > slowAfter
	case delivering:
		k.class = 3
		return k, !c.blocked.IsZero() && now.Sub(c.blocked) > deliverTime
	}
	return k, false
}

// evictOne closes a connection in favour of a new one and reports whether there was one to
// close. A request whose body is being read is refused by its handler. l.mu is held.
func (l *Listener) evictOne(now time.Time) bool {
	var list []candidate
	for c := range l.conns {
		if k, ok := c.candidate(now); ok {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, candidate.compare)
	for _, k := range list {
		if !k.interrupt(true) {
			continue
		}
		l.closing++
		l.guard.count("evicted")
		if k.phase != inBody {
			_ = k.conn.Conn.Close()
		}
		return true
	}
	return false
}

// interrupt interrupts the connection unless its phase has changed since it became a candidate:
// its request may be running now. It reports whether it did.
func (a candidate) interrupt(evicted bool) bool {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupt != nil || c.closed || c.phase != a.phase || !c.since.Equal(a.since) {
		return false
	}
	c.evicted = evicted
	c.interruptLocked(ErrEvicted)
	return true
}

// reclaim interrupts slow requests that hold at least n bytes together, either of large bodies
// or of small ones: the slowest first, of these the largest.
func (g *Guard) reclaim(n int64, large bool) {
	var list []candidate
	now := time.Now()
	for _, c := range g.connections() {
		if k, ok := c.candidate(now); ok && k.held > 0 && (k.held > SmallBody) == large {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, candidate.compare)
	for _, k := range list {
		if n <= 0 {
			return
		}
		if k.interrupt(false) {
			g.count("memory")
			n -= k.held
		}
	}
}

func (g *Guard) connections() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*Conn
	for _, l := range g.listeners {
		l.mu.Lock()
		for c := range l.conns {
			list = append(list, c)
		}
		l.mu.Unlock()
	}
	return list
}

const (
	// sweepInterval is the interval at which connections are checked for slow callers.
	sweepInterval = 250 * time.Millisecond
	// logInterval is the interval of the log line about closed connections.
	logInterval = 10 * time.Second
)

// Run closes connections of slow callers until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	sweep, report := time.NewTicker(sweepInterval), time.NewTicker(logInterval)
	defer sweep.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweep.C:
			for _, c := range g.connections() {
				c.check(now)
			}
		case <-report.C:
			g.report()
		}
	}
}

// check closes the connection if its caller sends too slowly.
func (c *Conn) check(now time.Time) {
	s := &c.listener.guard.settings
	c.mu.Lock()
	age := now.Sub(c.since)
	headLate := c.phase == inHead && age > s.HeaderTimeout && c.interrupt == nil
	// The first buffer of the body may have been received with the head.
	least := int64((age-s.RateGrace).Seconds()*float64(s.BodyRate)) - bufferBytes
	bodyLate := c.phase == inBody && (age > s.BodyTimeout || c.bytes < least) && c.interrupt == nil
	switch {
	case headLate:
		c.interrupt = errHead
	case bodyLate:
		c.interruptLocked(ErrTooSlow)
	}
	c.mu.Unlock()
	switch {
	case headLate:
		c.listener.guard.count("slow head")
		c.listener.writeRefusal(c.Conn, "408 Request Timeout")
		_ = c.Conn.Close()
	case bodyLate:
		c.listener.guard.count("slow body")
	}
}

// count counts a connection that the guard has closed or refused.
func (g *Guard) count(reason string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`mulberrystream_ingress_closed_total{reason=%q}`, reason)).Inc()
	g.countMu.Lock()
	defer g.countMu.Unlock()
	g.counts[reason]++
}

// report writes one log line about the connections closed since the last one.
func (g *Guard) report() {
	g.countMu.Lock()
	counts := g.counts
	g.counts = map[string]int{}
	g.countMu.Unlock()
	if len(counts) > 0 {
		g.log.Warn("ingress: closed connections of callers", zap.Any("by_reason", counts), zap.Int64("memory_bytes", g.budget.used.Load()))
	}
}
