package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network delivers encoded messages between processes in simulated time. The same
// seed gives the same run.
type network struct {
	rng      *rand.Rand
	now      time.Time
	queue    queue
	count    int
	procs    []*process
	byAddr   map[string]*process
	loss     float64
	dup      float64
	delayMax time.Duration
	cut      func(from, to *process) bool
}

// process is one running host.
type process struct {
	*membership.Group
	net         *network
	self        ident.Process
	addr        string
	domain      ident.FailureDomain
	stopped     bool // crashed
	paused      bool
	events      []event
	lastContact time.Time // newest Contact.Sent
	sent        int       // bytes
	received    int       // bytes
	messages    int       // messages sent
	largest     int       // bytes of the largest message sent
}

type event struct {
	at time.Time
	membership.Event
}

// item is a due tick or delivery.
type item struct {
	at   time.Time
	seq  int // order of insertion, breaks ties between items due at the same time
	to   *process
	from ident.HostID
	data []byte // nil for a tick
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const tickEvery = 100 * time.Millisecond

func newNetwork(seed uint64) *network {
	return &network{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      epoch,
		byAddr:   map[string]*process{},
		delayMax: 2 * time.Millisecond,
		cut:      func(_, _ *process) bool { return false },
	}
}

// start runs a new process.
func (n *network) start(host ident.HostID, domain ident.FailureDomain, slot ident.Slot) *process {
	inc := ident.Incarnation(n.now.UnixMilli())
	p := &process{
		net:    n,
		self:   ident.Process{Host: host, Incarnation: inc},
		addr:   fmt.Sprintf("%s.%d:7000", host, inc%1000000),
		domain: domain,
	}
	p.Group = membership.New(membership.DefaultConfig(p.self, p.addr, domain, slot), n.now)
	n.procs = append(n.procs, p)
	n.byAddr[p.addr] = p
	n.push(item{at: n.now.Add(time.Duration(n.rng.Int64N(int64(500 * time.Millisecond)))), to: p})
	return p
}

// startDomain starts hosts named after the domain, one per slot, without a host list.
func (n *network) startDomain(name ident.FailureDomain, hosts int) []*process {
	var out []*process
	for i := range hosts {
		out = append(out, n.start(ident.HostID(fmt.Sprintf("%s-%02d", name, i)), name, ident.Slot(i)))
	}
	return out
}

// listAll gives every process the same list of all running hosts.
func (n *network) listAll() {
	var infos []membership.HostInfo
	seen := map[ident.HostID]bool{}
	for _, p := range slices.Backward(n.procs) {
		if !p.stopped && !seen[p.self.Host] {
			seen[p.self.Host] = true
			infos = append(infos, membership.HostInfo{ID: p.self.Host, Addr: p.addr, Domain: p.domain, Slot: p.slot()})
		}
	}
	for _, p := range n.procs {
		p.apply(p.SetHosts(n.now, infos))
	}
}

// slot returns the number at the end of the host id.
func (p *process) slot() ident.Slot {
	var s ident.Slot
	_, _ = fmt.Sscanf(string(p.self.Host)[len(p.self.Host)-2:], "%02d", &s)
	return s
}

func (n *network) push(i item) {
	n.count++
	i.seq = n.count
	heap.Push(&n.queue, i)
}

// run advances the simulated time by d and processes all items due by then.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		i := heap.Pop(&n.queue).(item)
		n.now = i.at
		n.step(i)
	}
	n.now = end
}

func (n *network) step(i item) {
	p := i.to
	if i.data == nil && !p.stopped {
		n.push(item{at: n.now.Add(tickEvery), to: p})
	}
	if p.stopped || p.paused {
		return
	}
	if i.data == nil {
		p.apply(p.Tick(n.now))
		return
	}
	var m membership.Message
	if err := cbor.Unmarshal(i.data, &m); err != nil {
		panic(err)
	}
	p.received += len(i.data)
	p.apply(p.Receive(n.now, i.from, m))
}

// apply records the events and sends the messages of a result.
func (p *process) apply(r membership.Result) {
	for _, e := range r.Events {
		if c, ok := e.(membership.Contact); ok {
			p.lastContact = c.Sent
		}
		p.events = append(p.events, event{p.net.now, e})
	}
	for _, e := range r.Envelopes {
		p.net.send(p, e)
	}
}

func (n *network) send(p *process, e membership.Envelope) {
	data, err := cbor.Marshal(e.Message)
	if err != nil {
		panic(err)
	}
	p.sent += len(data)
	p.messages++
	p.largest = max(p.largest, len(data))
	addr := e.Addr
	if addr == "" {
		addr, _ = p.Addr(e.To)
	}
	to := n.byAddr[addr]
	copies := 1
	if n.rng.Float64() < n.dup {
		copies = 2
	}
	for range copies {
		delay := time.Duration(n.rng.Int64N(int64(n.delayMax)))
		if to == nil || n.rng.Float64() < n.loss || n.cut(p, to) {
			continue
		}
		n.push(item{at: n.now.Add(delay), to: to, from: p.self.Host, data: data})
	}
}

// eventsOf returns the events of one type with their times.
func eventsOf[E membership.Event](p *process) (out []E, at []time.Time) {
	for _, e := range p.events {
		if x, ok := e.Event.(E); ok {
			out, at = append(out, x), append(at, e.at)
		}
	}
	return out, at
}

// host returns the view that a process has of a host.
func (p *process) host(id ident.HostID) membership.Host {
	for _, h := range p.View(p.net.now).Hosts {
		if h.Process.Host == id {
			return h
		}
	}
	return membership.Host{}
}

// summary returns the view that a process has of another domain.
func (p *process) summary(d ident.FailureDomain) membership.DomainSummary {
	for _, s := range p.View(p.net.now).Domains {
		if s.Domain == d {
			return s
		}
	}
	return membership.DomainSummary{}
}
