package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type discardReceiver struct{}

// Receive implements peer.Receiver.
func (discardReceiver) Receive(node.Batch) {}

// DeliveryCost returns the processor time in microseconds of one delivery between two
// hosts over loopback without TLS, for sender and receiver together. A host sends as
// many deliveries as it receives, so this is its cost per delivery sent.
func DeliveryCost(messages, n int) (float64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	srv := peer.NewServer(discardReceiver{}, nil)
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Close() }()
	c := peer.NewClient(nil)
	defer c.Close()
	b := node.Batch{From: ident.Process{Host: "a", Incarnation: 1}, To: "b"}
	for range messages {
		b.Messages = append(b.Messages, node.Message{HostList: &hostlist.Message{Ask: &hostlist.Ask{Version: 1}}})
	}
	deliver := func(k int) error {
		for range k {
			if err := c.Deliver(context.Background(), ln.Addr().String(), b); err != nil {
				return err
			}
		}
		return nil
	}
	if err := deliver(100); err != nil {
		return 0, err
	}
	begin := cpuTime()
	err = deliver(n)
	return float64((cpuTime() - begin).Microseconds()) / float64(n), err
}

// PollCost returns the processor time in microseconds of one poll of an engine that
// holds requests, for router and engine together. It is an upper bound for the router.
func PollCost(held, n int) (float64, error) {
	e, err := fake.NewEngine(fake.EngineConfig{
		Info:   engine.Info{ID: "e", Role: engine.Prefill, Model: "m", Version: "v", Slots: held},
		Timing: fake.DefaultTiming(),
	})
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	defer e.Close()
	c := enginehttp.New(e.Info().Addr, enginehttp.Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range held {
		ref := ident.BackendRef{Request: ident.NewRequestID(ident.Process{Host: "h", Incarnation: 1}, uint64(i)), Attempt: 1}
		go func() {
			_, _ = c.Prefill(ctx, engine.PrefillRequest{Ref: ref, Model: "m", Version: "v", Prompt: longPrompt})
		}()
	}
	time.Sleep(500 * time.Millisecond) // the report lags by 200 ms
	begin := cpuTime()
	for range n {
		if _, err := c.Report(ctx); err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
		if _, err := c.Events(ctx, 0); err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
	}
	return float64((cpuTime() - begin).Microseconds()) / float64(n), nil
}

// longPrompt keeps an engine busy for longer than the measurement.
var longPrompt = manyWords(100_000)

func manyWords(n int) string {
	b := make([]byte, 0, 2*n)
	for range n {
		b = append(b, 'a', ' ')
	}
	return string(b)
}

// FullList returns the host list of a fleet with the given numbers of hosts and replicas.
func FullList(version uint64, hosts, replicas int) hostlist.List {
	l := hostlist.List{Version: version}
	for i := range hosts {
		d := i % 19
		l.EntryHosts = append(l.EntryHosts, membership.HostInfo{
			ID: hostID(d, i/19), Addr: hostAddr(d, i/19), Domain: domainName(d), Slot: ident.Slot(i / 19),
		})
	}
	s := TargetDomain()
	for i := range replicas {
		e := s.engine(i / 19)
		e.Domain = domainName(i % 19)
		e.ID = ident.BackendID(fmt.Sprintf("%s-engine-%04d", e.Domain, i/19))
		l.Backends = append(l.Backends, e)
	}
	return l
}

// ListCost is the cost of a version of the whole host list at a host.
type ListCost struct {
	Wire   int     // bytes in CBOR
	Heap   float64 // bytes of the decoded list
	Micros float64 // duration of the step that receives it
	Tick   float64 // microseconds of a tick with this list, without requests
}

// MeasureList measures the host list of a whole fleet in a domain of 8 hosts, which own
// the domain's pools. Of each other domain only two hosts run.
func MeasureList(hosts, replicas int) (ListCost, error) {
	s := TargetDomain().WithHosts(8)
	l := FullList(2, hosts, replicas)
	l.EntryHosts = slices.DeleteFunc(l.EntryHosts, func(h membership.HostInfo) bool {
		return h.Domain == domainName(0) && int(h.Slot) >= s.Hosts
	})
	l.Backends = slices.DeleteFunc(l.Backends, func(e engine.Info) bool { return e.Domain == domainName(0) })
	l.Backends = append(l.Backends, s.List(1).Backends...)
	data, err := cbor.Marshal(l)
	if err != nil {
		return ListCost{}, fmt.Errorf("capacity: %w", err)
	}
	own, heap := HeapBytes(func() *hostlist.List {
		var own hostlist.List
		_ = cbor.Unmarshal(data, &own)
		return &own
	})
	// Without these, their release would be subtracted from the size of the decoded list.
	runtime.KeepAlive(l)
	runtime.KeepAlive(data)
	out := ListCost{Wire: len(data), Heap: float64(heap)}
	c := NewCluster(s, 1)
	c.Quiet(true)
	c.Run(8 * time.Second)
	c.Meter.Reset()
	c.list = *own
	for _, h := range c.sortedHosts() {
		c.step(h, node.HostsRead{List: c.list})
	}
	out.Micros = c.Meter.Kinds["HostsRead"].PerStep()
	c.Run(time.Second)
	c.Meter.Reset()
	c.Run(2 * time.Second)
	out.Tick = c.Meter.Kinds["Tick"].PerStep()
	return out, nil
}

// IdleNodeHeap returns the heap bytes of each of n idle nodes in one process.
func IdleNodeHeap(n int) float64 {
	s := Shape{Hosts: n, Domains: 1, Engines: 4, Models: 1, Organisations: 10, Rate: 1, Burst: 15}
	_, heap := HeapBytes(func() *Cluster { return NewCluster(s, 1) })
	return float64(heap) / float64(n)
}

// RulesCost returns size and heap in bytes and parse time in microseconds of the rules
// of the given number of organisations.
func RulesCost(organisations int) (size int, heap, micros float64, err error) {
	s := TargetDomain()
	s.Organisations = organisations
	text := []byte(s.Rules(0))
	_, bytes := HeapBytes(func() *ruleset.Rules {
		var r *ruleset.Rules
		begin := time.Now()
		r, err = ruleset.Parse(text)
		micros = float64(time.Since(begin).Microseconds())
		return r
	})
	return len(text), float64(bytes), micros, err
}
