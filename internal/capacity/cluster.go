package capacity

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// tickInterval is the tick interval of the driver's default settings.
const tickInterval = 20 * time.Millisecond

// batchBytes is the estimated overhead of a delivery besides its messages: CBOR of the
// batch without messages, the Connect and HTTP/2 headers after compression, and TLS and
// TCP/IP framing.
const batchBytes = 200

// Cluster is a failure domain that runs in simulated time.
type Cluster struct {
	Shape Shape
	Meter *Meter

	now           time.Time
	queue         schedule
	order         uint64
	rng           *rand.Rand
	hosts         map[ident.HostID]*host
	measuredHosts []*host // hosts of the measured domain
	gen           confsync.Generation
	list          hostlist.List
	held          map[ident.BackendID]map[ident.BackendRef]time.Time
	seq           uint64
	quiet         bool // no requests arrive
}

// host is one simulated process.
type host struct {
	node     *node.Node
	id       ident.HostID
	measured bool
	next     uint64
	config   *node.ReadConfig // pending watch
	hosts    *node.ReadHosts  // pending watch
	list     uint64           // version of the newest host list received
}

// item is a function to call at a given time.
type item struct {
	at    time.Time
	order uint64 // breaks ties between items with equal times
	run   func()
}

type schedule []item

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push and Pop implement heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(item)) }

// Pop removes the last item.
func (s *schedule) Pop() any {
	old := *s
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*s = old[:len(old)-1]
	return x
}

// NewCluster returns a cluster whose hosts have just started.
func NewCluster(s Shape, seed uint64) *Cluster {
	if s.Rate <= 0 {
		panic("capacity: the rules need a rate above zero; use Quiet to stop requests")
	}
	c := &Cluster{
		Shape: s,
		Meter: newMeter(),
		now:   time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		hosts: map[ident.HostID]*host{},
		gen:   confsync.NewGeneration(1, []byte(s.Rules(0))),
		list:  s.List(1),
		held:  map[ident.BackendID]map[ident.BackendRef]time.Time{},
	}
	for d := range s.Domains {
		for i := range s.hostsOf(d) {
			c.add(d, i)
		}
	}
	return c
}

func (c *Cluster) add(d, i int) {
	self := ident.Process{Host: hostID(d, i), Incarnation: 1}
	cfg := node.DefaultConfig(self, hostAddr(d, i), domainName(d), ident.Slot(i))
	h := &host{id: self.Host, measured: d == 0, node: node.New(cfg, c.now)}
	c.hosts[h.id] = h
	if h.measured {
		c.measuredHosts = append(c.measuredHosts, h)
	}
	c.after(time.Duration(c.rng.Int64N(int64(tickInterval))), func() { c.tick(h) })
	if h.measured && c.Shape.Rate > 0 {
		c.after(c.gap(), func() { c.arrive(h) })
	}
}

func (c *Cluster) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, item{at: c.now.Add(d), order: c.order, run: run})
}

// Run advances simulated time.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		x := heap.Pop(&c.queue).(item)
		c.now = x.at
		x.run()
	}
	c.now = end
}

// Quiet turns the arrival of requests off (true) or on (false).
func (c *Cluster) Quiet(q bool) { c.quiet = q }

// Ready counts the hosts of the measured domain that have rules and a host list.
func (c *Cluster) Ready() int {
	n := 0
	for _, h := range c.measuredHosts {
		if h.node.Status(c.now).Ready {
			n++
		}
	}
	return n
}

func (c *Cluster) tick(h *host) {
	c.step(h, node.Tick{})
	c.after(tickInterval, func() { c.tick(h) })
}

// gap returns the time to a host's next request.
func (c *Cluster) gap() time.Duration {
	return time.Duration(c.rng.ExpFloat64() / c.Shape.Rate * float64(time.Second))
}

func (c *Cluster) step(h *host, ev node.Event) {
	h.trackListVersion(ev)
	if !h.measured {
		c.applyEffects(h, h.node.Step(c.now, ev))
		return
	}
	effects := c.Meter.step(h.node, c.now, ev)
	c.applyEffects(h, effects)
}

// trackListVersion records the version of a host list that the event carries.
func (h *host) trackListVersion(ev node.Event) {
	switch e := ev.(type) {
	case node.HostsRead:
		h.list = max(h.list, e.List.Version)
	case node.PeerMessage:
		if m := e.Message.HostList; m != nil && m.List != nil {
			h.list = max(h.list, m.List.Version)
		}
	}
}

// applyEffects carries out effects. All messages of one step to the same host form one
// delivery.
func (c *Cluster) applyEffects(h *host, effects []node.Effect) {
	sends := map[ident.HostID]int{}
	for _, e := range effects {
		if s, ok := e.(node.Send); ok {
			c.deliver(h, s)
			sends[s.To]++
			continue
		}
		c.applyEffect(h, e)
	}
	if h.measured {
		c.Meter.deliveries += len(sends)
	}
}

// deliver encodes a message, counts its bytes and delivers it after the network latency.
func (c *Cluster) deliver(from *host, s node.Send) {
	data, err := cbor.Marshal(s.Message)
	if err != nil {
		panic("capacity: encode message: " + err.Error())
	}
	if from.measured {
		c.Meter.sent(s.Message, len(data))
	}
	to := c.hosts[s.To]
	if to == nil {
		return
	}
	c.after(networkLatency, func() {
		var m node.Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			panic("capacity: decode message: " + err.Error())
		}
		c.step(to, node.PeerMessage{From: from.id, Message: m})
	})
}
