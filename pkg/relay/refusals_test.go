package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// timers is a queue of actions by time.
type timers struct {
	items []timer
	added int
}

type timer struct {
	at    time.Time
	order int
	do    func()
}

func (t *timers) Len() int { return len(t.items) }
func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}
func (t *timers) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }
func (t *timers) Push(x any)    { t.items = append(t.items, x.(timer)) }
func (t *timers) Pop() any {
	last := t.items[len(t.items)-1]
	t.items = t.items[:len(t.items)-1]
	return last
}

const (
	engineMemory = 44_907
	engineSlots  = 64
	streamTime   = 6 * time.Second // mean
	streamTokens = 272             // mean output
	networkDelay = time.Millisecond
	queueTarget  = time.Second
)

// memoryEngine is a decode engine that only counts memory.

type memoryEngine struct {
	free  int64
	slots int
	speed float64 // of decoding, 1 is nominal
	holds map[string]int64
}

// engineFleet is hosts before engines that share their memory.
type engineFleet struct {
	now      time.Time
	queue    timers
	rnd      *rand.Rand
	arrivals *rand.Rand // of requests, the same whatever becomes of them
	hosts    []*relay.Relay
	ticks    []time.Time // next tick of each host
	byAddr   map[string]int
	engines  map[ident.BackendID]*memoryEngine
	lastID   relay.ID
	holds    int
	output   map[relay.ID]int64

	counting                                    bool
	requests, reservations, refused, served, no int
	late                                        int // cut at the deadline
	streamTime                                  time.Duration
}

func (f *engineFleet) after(d time.Duration, do func()) {
	f.queue.added++
	heap.Push(&f.queue, timer{f.now.Add(d), f.queue.added, do})
}

func newEngineFleet(hosts, engines int, seed uint64, speed func(i int) float64) *engineFleet {
	f := &engineFleet{
		now: time.Unix(1000, 0).UTC(), rnd: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		byAddr: map[string]int{}, engines: map[ident.BackendID]*memoryEngine{}, output: map[relay.ID]int64{},
	}
	s := catalog.New(1)
	s.Services["lm"] = &catalog.Service{Name: "lm", Engine: &catalog.Engine{
		Slots: engineSlots, MemoryTokens: engineMemory, HoldTTL: 2 * time.Second, TokensPerEvent: 1,
	}}
	s.AddRoute(&catalog.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, MaxAttempts: 1, Public: true,
		Timeout: 14 * time.Second, LatencyTarget: queueTarget, Split: []catalog.Share{{Service: "lm", Weight: 1}},
	})
	config := s.Build()
	var entries []backends.Entry
	for i := range engines {
		id := ident.BackendID(fmt.Sprintf("d%03d", i))
		f.engines[id] = &memoryEngine{free: engineMemory, speed: speed(i), holds: map[string]int64{}}
		entries = append(entries, backends.Entry{
			ID: id, Service: "lm", Stage: backends.Decode, Addr: string(id), StartedAt: 1,
			Domain: ident.FailureDomain(fmt.Sprint("z", i%3)),
		})
	}
	seeds := []string{"h000", "h001", "h002"}
	for i := range hosts {
		id := fmt.Sprintf("h%03d", i)
		f.byAddr[id] = i
		self := roster.Host{ID: ident.HostID(id), Incarnation: 1, Addr: id, Domain: ident.FailureDomain(fmt.Sprint("z", i%3))}
		f.hosts = append(f.hosts, relay.New(relay.DefaultConfig(self, seeds), f.now))
		f.ticks = append(f.ticks, time.Time{})
	}
	for i := range f.hosts {
		f.after(time.Duration(f.rnd.IntN(1000))*time.Millisecond, func() {
			f.step(i, relay.ConfigRead{Snapshot: config})
			f.step(i, relay.EntriesListed{Entries: entries})
		})
		f.read(i)
	}
	return f
}

// read delivers the configuration's confirmation each second.
func (f *engineFleet) read(i int) {
	f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 1})
	f.after(time.Second, func() { f.read(i) })
}

func (f *engineFleet) step(i int, e relay.Event) {
	for _, eff := range f.hosts[i].Step(f.now, e) {
		f.execute(i, eff)
	}
	at := f.hosts[i].Next()
	if f.ticks[i].After(f.now) && !at.Before(f.ticks[i]) {
		return
	}
	at = later(at, f.now.Add(time.Millisecond))
	f.ticks[i] = at
	f.after(at.Sub(f.now), func() {
		if f.ticks[i].Equal(at) {
			f.step(i, relay.Tick{})
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *engineFleet) execute(i int, eff relay.Effect) {
	switch e := eff.(type) {
	case relay.Send:
		for _, addr := range e.To {
			f.after(networkDelay, func() { f.step(f.byAddr[addr], relay.MessageReceived{Message: e.Message}) })
		}
	case relay.Reserve:
		f.after(networkDelay, func() { f.reserve(i, e) })
	case relay.ReleaseReservation:
		f.after(networkDelay, func() { f.endHold(e.To.ID, e.Hold) })
	case relay.Decode:
		f.after(networkDelay, func() { f.decode(i, e) })
	case relay.Refuse:
		delete(f.output, e.ID)
		if f.counting {
			f.no++
		}
	}
}

func (f *engineFleet) reserve(i int, e relay.Reserve) {
	g := f.engines[e.To.ID]
	answer := relay.Reserved{ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: relay.NotRun}
	if g.free >= e.Tokens && g.slots < engineSlots {
		f.holds++
		answer.Outcome, answer.Hold = relay.Succeeded, fmt.Sprint("hold-", f.holds)
		g.free -= e.Tokens
		g.slots++
		g.holds[answer.Hold] = e.Tokens
	}
	if f.counting {
		f.reservations++
		if answer.Hold == "" {
			f.refused++
		}
	}
	f.after(networkDelay, func() { f.step(i, answer) })
}

func (f *engineFleet) endHold(id ident.BackendID, hold string) {
	if tokens, held := f.engines[id].holds[hold]; held {
		f.engines[id].free += tokens
		f.engines[id].slots--
		delete(f.engines[id].holds, hold)
	}
}

func (f *engineFleet) decode(i int, e relay.Decode) {
	tokens := f.output[e.ID]
	delete(f.output, e.ID)
	noise := 0.9 + 0.2*f.rnd.Float64()
	took := time.Duration(float64(tokens) / streamTokens * float64(streamTime) / f.engines[e.To.ID].speed * noise)
	outcome, events := relay.Succeeded, tokens
	if left := e.Deadline.Sub(f.now); took > left {
		events = int64(float64(tokens) * float64(left) / float64(took))
		outcome, took = relay.Aborted, left
	}
	if f.counting {
		f.served++
		if outcome == relay.Aborted {
			f.late++
		}
		f.streamTime += took
	}
	f.after(networkDelay, func() { f.step(i, relay.StreamStarted{ID: e.ID, Attempt: e.Attempt.Attempt}) })
	f.after(took, func() {
		f.endHold(e.To.ID, e.Hold)
		f.after(networkDelay, func() {
			f.step(i, relay.CallEnded{
				ID: e.ID, Attempt: e.Attempt.Attempt, Outcome: outcome, Status: 200, Started: true, Events: int(events), Took: took,
			})
		})
	})
}

// arrive sends requests at a rate per second to random hosts until a time.
func (f *engineFleet) arrive(perSecond float64, until time.Time) {
	f.after(time.Duration(f.arrivals.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now.After(until) {
			return
		}
		f.lastID++
		tokens := int64(streamTokens * (0.4 + 1.2*f.arrivals.Float64()))
		f.output[f.lastID] = tokens
		if f.counting {
			f.requests++
		}
		f.step(f.arrivals.IntN(len(f.hosts)), relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{
			Host: "h", Path: "/x", RequestID: fmt.Sprint(f.lastID), Deadline: 14 * time.Second,
			PromptTokens: 4200 + f.arrivals.Int64N(2000), MaxOutputTokens: 600, OutputHint: tokens, TokensKnown: true,
		}})
		f.arrive(perSecond, until)
	})
}

func (f *engineFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.queue.Len() > 0 && !f.queue.items[0].at.After(end); {
		t := heap.Pop(&f.queue).(timer)
		f.now = t.at
		t.do()
	}
}

// overload runs the fleet at a load, as a fraction of what the memory of its engines allows.
func (f *engineFleet) overload(load float64, warm time.Duration) {
	perEngine := engineMemory / (5200 + 0.8*streamTokens)
	capacity := float64(len(f.engines)) * perEngine / streamTime.Seconds()
	f.run(5 * time.Second) // hosts discover each other
	f.arrive(load*capacity, f.now.Add(warm+10*time.Second))
	f.run(warm)
	f.counting = true
	f.run(10 * time.Second)
	f.counting = false
}

var _ = Describe("reservations of 77 hosts at 140 engines", func() {
	// servedNoise is twice the standard deviation of the share of 2,000 requests that are served.
	const servedNoise = 0.01
	// Guards against hosts that ask engines for memory that other hosts took since their last
	// report, each on its own and again every few milliseconds. Without pacing 0.2, 24, 34 and 28
	// reservations a request are refused; the share served was then as given here.
	DescribeTable("are seldom refused",
		func(load, servedBefore float64) {
			f := newEngineFleet(77, 140, 1, func(int) float64 { return 1 })
			f.overload(load, 8*time.Second)
			perRequest := float64(f.refused) / float64(f.requests)
			served := float64(f.served) / float64(f.requests)
			GinkgoWriter.Printf("load %.1f: %d requests, %d reservations, refused %.3f a request, served %.3f\n",
				load, f.requests, f.reservations, perRequest, served)
			Expect(perRequest).To(BeNumerically("<", 0.3))
			Expect(served).To(BeNumerically(">=", servedBefore-servedNoise))
		},
		Entry("at 0.8 of the capacity", 0.8, 1.001),
		Entry("at the capacity", 1.0, 0.937),
		Entry("at 1.2 of the capacity", 1.2, 0.804),
		Entry("at 1.5 of the capacity", 1.5, 0.670),
	)
})

var _ = Describe("streams of 77 hosts at 140 engines of 0.6 to 1.6 times the speed", func() {
	// Guards against long streams at slow engines, which end at their deadline.
	It("seldom end at their deadline", func() {
		f := newEngineFleet(77, 140, 1, func(i int) float64 { return 0.6 + float64(i)/139 })
		f.overload(0.75, 40*time.Second)
		GinkgoWriter.Printf("%d requests, %d served, %d cut at the deadline, mean %v\n", f.requests, f.served, f.late, f.streamTime/time.Duration(f.served))
		// Lengths are predicted, so a few turn out longer. Without speeds 11 of 1,393 are cut.
		Expect(f.late).To(BeNumerically("<=", f.served*2/1000))
	})
})
