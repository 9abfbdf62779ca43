package serverlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// The users' bound for a cold server that takes perSecond requests.
func coldBound(perSecond float64) float64 { return 1.5*perSecond + 5 }

const (
	coldPerSecond = 18.0
	// coldStep is the resolution of the simulation of cold servers.
	coldStep = 20 * time.Millisecond
	// coldLag is the longest time in which a host reads that a server is cold.
	coldLag = 1200 * time.Millisecond
	// coldQueue is how long a request waits for a permit, the queue time of the most urgent
	// model requests.
	coldQueue = 480 * time.Millisecond
)

// coldSimulation is a fleet with servers of one service that turn cold.
type coldSimulation struct {
	hosts, servers int
	demand         func(at time.Duration) float64 // requests per second at all hosts together
	length         time.Duration
	start          bool                           // all hosts start at the beginning and find each other
	coldAt         func(server int) time.Duration // when a server turns cold
	coldFor        time.Duration
	// side returns the side of a partition on which a host is.
	side func(host int, at time.Duration) int
	// restart returns whether a host starts anew in the interval of a second that begins.
	restart func(host, second int) bool
}

type coldFleet struct {
	coldSimulation
	rng     *rand.Rand
	begin   time.Time
	now     time.Time
	step    int
	hosts   []*coldHost
	pending map[int][]func()
	served  [][]time.Time // by server
	refused int
	total   int
}

type coldHost struct {
	number    int
	id        ident.HostID
	limiter   *serverlimit.Limiter
	startedAt time.Time
	heard     map[int]time.Time
	known     map[int]bool // servers that it knows to be cold
	waiting   []*coldRequest
	asks      map[uint64]*coldRequest
	process   int
}

type coldRequest struct {
	at, askedAt time.Time
	server      int
}

func (f *coldFleet) at() time.Duration { return f.now.Sub(f.begin) }

func (f *coldFleet) process(server int) serverlimit.Process {
	return serverlimit.Process{ID: ident.BackendID(fmt.Sprint("s", server)), StartedAt: 1}
}

func (f *coldFleet) interval() time.Duration {
	return time.Duration(f.coldSimulation.hosts) * 12500 * time.Microsecond
}

func (f *coldFleet) newProcess(h *coldHost) {
	h.process++
	h.limiter = serverlimit.New(serverlimit.DefaultConfig(h.id, uint64(h.process)<<32|uint64(h.number)), f.now)
	h.startedAt, h.heard, h.known = f.now, map[int]time.Time{}, map[int]bool{}
	h.waiting, h.asks = nil, map[uint64]*coldRequest{}
}

func (f *coldFleet) sideOf(h *coldHost) int {
	if f.side == nil {
		return 0
	}
	return f.side(h.number, f.at())
}

func (f *coldFleet) send(from, to *coldHost, receive func()) {
	process := to.process
	delay := 1
	f.pending[f.step+delay] = append(f.pending[f.step+delay], func() {
		if f.sideOf(from) == f.sideOf(to) && to.process == process && f.rng.Float64() > 0.01 {
			to.heard[from.number] = f.now
			receive()
		}
	})
}

// update gives a limiter the view of its host: those heard within five intervals are
// reachable; a host that has just started has not found the others yet.
func (f *coldFleet) update(h *coldHost) {
	v := serverlimit.Fleet{HeartbeatInterval: f.interval()}
	for i, at := range h.heard {
		if f.now.Sub(at) < 5*f.interval() {
			v.Reachable = append(v.Reachable, f.hosts[i].id)
		} else {
			v.Silent = append(v.Silent, f.hosts[i].id)
		}
	}
	converged := f.now.Sub(h.startedAt) >= max(1500*time.Millisecond, 3*f.interval())
	if converged {
		v.Able = append(slices.Clone(v.Reachable), h.id)
		v.AbleCold = v.Able
	}
	if seedsHeard := h.number == 0 || len(h.heard) > 0; !converged || !f.heardSeeds(h) || !seedsHeard {
		v.AssumedHosts = 4 * f.servers
	}
	h.limiter.SetFleet(f.now, v, func(serverlimit.Process) bool { return true })
}

// heardSeeds reports whether a host has heard the seeds, which are the first four hosts.
func (f *coldFleet) heardSeeds(h *coldHost) bool {
	for i := range min(4, len(f.hosts)) {
		if _, heard := h.heard[i]; !heard && i != h.number {
			return false
		}
	}
	return true
}

func (f *coldFleet) flush(h *coldHost) {
	for _, o := range h.limiter.Outgoing() {
		to := f.hosts[slices.IndexFunc(f.hosts, func(c *coldHost) bool { return c.id == o.To })]
		f.send(h, to, func() {
			to.limiter.ApplyNotes(f.now, h.id, o.Notes)
			if o.Ask != nil {
				to.limiter.Decide(f.now, h.id, *o.Ask)
				f.flush(to)
			}
			if o.Answer == nil {
				return
			}
			q := to.asks[o.Answer.ID]
			delete(to.asks, o.Answer.ID)
			if q == nil {
				return
			}
			to.limiter.Answered(f.now, *o.Answer)
			if o.Answer.Granted {
				f.served[q.server] = append(f.served[q.server], f.now)
				return
			}
			to.waiting = append(to.waiting, q)
		})
	}
}

// try sends a request to a server, or asks for a permit, and reports whether it did.
func (f *coldFleet) try(h *coldHost, q *coldRequest) bool {
	for _, s := range f.rng.Perm(f.servers) {
		if !h.limiter.Askable(f.now, f.process(s)) {
			continue
		}
		outcome, id := h.limiter.Acquire(f.now, f.process(s), serverlimit.Applicant{Organisation: "o"})
		switch outcome {
		case serverlimit.Granted:
			f.served[s] = append(f.served[s], f.now)
			return true
		case serverlimit.Pending:
			q.server, q.askedAt = s, f.now
			h.asks[id] = q
			return true
		}
	}
	return false
}

func (f *coldFleet) turn(h *coldHost) {
	for s := range f.servers {
		at := f.coldAt(s)
		lag := time.Duration((h.number*7919+s*104729)%1000) * coldLag / 1000
		if known := f.at() >= at+lag; known && !h.known[s] {
			h.known[s] = true
			h.limiter.SetCold(f.now, f.process(s), coldPerSecond, f.now.Add(f.coldFor))
			f.update(h)
		}
	}
	if f.step%5 == h.number%5 {
		h.limiter.Tick(f.now)
	}
	if f.step%12 == h.number%12 {
		f.update(h)
	}
	if phase := f.interval() * time.Duration(h.number) / time.Duration(len(f.hosts)); (f.at()+phase)%f.interval() < coldStep {
		notes := h.limiter.Notes(f.now)
		for _, to := range f.hosts {
			if to != h {
				f.send(h, to, func() { to.limiter.ApplyNotes(f.now, h.id, notes) })
			}
		}
	}
	for id, q := range h.asks {
		if f.now.Sub(q.askedAt) >= h.limiter.AskTimeout() {
			delete(h.asks, id)
			h.limiter.Unanswered(f.now, f.process(q.server))
			h.waiting = append(h.waiting, q)
		}
	}
	waiting := h.waiting
	h.waiting = nil
	full := false // the queue is served in order
	for _, q := range waiting {
		switch {
		case f.now.Sub(q.at) >= coldQueue:
			f.refused++
		case full || !f.try(h, q):
			full = true
			h.waiting = append(h.waiting, q)
		}
	}
	f.flush(h)
}

func (s coldSimulation) run(seed uint64) *coldFleet {
	f := &coldFleet{
		coldSimulation: s, rng: rand.New(rand.NewPCG(seed, 5)), begin: time.Unix(100_000, 0), pending: map[int][]func(){},
		served: make([][]time.Time, s.servers),
	}
	f.now = f.begin
	for i := range s.hosts {
		h := &coldHost{number: i, id: ident.HostID(fmt.Sprint("h", i))}
		f.hosts = append(f.hosts, h)
		f.newProcess(h)
	}
	if !s.start {
		for _, h := range f.hosts {
			h.startedAt = f.now.Add(-time.Minute)
			for _, o := range f.hosts {
				if o != h {
					h.heard[o.number] = f.now
				}
			}
			f.update(h)
		}
	}
	due := 0.0
	for ; f.at() < s.length; f.step++ {
		f.now = f.begin.Add(time.Duration(f.step) * coldStep)
		for _, do := range f.pending[f.step] {
			do()
		}
		delete(f.pending, f.step)
		for _, h := range f.hosts {
			if s.restart != nil && f.at()%time.Second == 0 && s.restart(h.number, int(f.at()/time.Second)) {
				f.newProcess(h)
			}
			f.turn(h)
		}
		for due += s.demand(f.at()) * coldStep.Seconds(); due >= 1; due-- {
			f.total++
			h := f.hosts[f.rng.IntN(len(f.hosts))]
			h.waiting = append(h.waiting, &coldRequest{at: f.now})
		}
	}
	return f
}

// most returns the most requests that one server got in any one second while all hosts knew
// that it was cold.
func (f *coldFleet) most() int {
	n := 0
	for s, times := range f.served {
		from, to := f.begin.Add(f.coldAt(s)+coldLag), f.begin.Add(f.coldAt(s)+f.coldFor)
		var counted []time.Time
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				counted = append(counted, at)
			}
		}
		n = max(n, most(counted, time.Second))
	}
	return n
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// bursts is a demand far above the limits for a second in each five, and none in between.
func bursts(perSecond float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5*time.Second) < time.Second {
			return perSecond
		}
		return 0
	}
}

func atOnce(int) time.Duration { return 0 }

// split puts the hosts on a number of sides from one time to another.
func split(sides int, from, to time.Duration) func(int, time.Duration) int {
	return func(host int, at time.Duration) int {
		if at < from || at >= to {
			return 0
		}
		return host % sides
	}
}

// Guards against hosts that together send a cold server more than it can take in a second,
// because some of them do not know of each other, and against a fleet that does not serve while
// all servers are cold.
var _ = DescribeTable("a fleet whose servers are cold",
	func(s coldSimulation, served float64) {
		if s.coldFor == 0 {
			s.coldFor = s.length
		}
		seeds := 2
		if s.hosts*s.servers > 500 {
			seeds = 1
		}
		for seed := range uint64(seeds) {
			f := s.run(seed)
			share := 1 - float64(f.refused)/float64(f.total)
			GinkgoWriter.Printf("seed %d: at most %d requests in a second (allowed %.0f), %.1f %% of %d served\n",
				seed, f.most(), coldBound(coldPerSecond), 100*share, f.total)
			Expect(float64(f.most())).To(BeNumerically("<=", coldBound(coldPerSecond)), "seed %d", seed)
			Expect(share).To(BeNumerically(">=", served), "seed %d", seed)
		}
	},
	Entry("77 hosts, 40 servers cold at once", coldSimulation{
		hosts: 77, servers: 40, demand: constant(127), length: 10 * time.Second, coldAt: atOnce}, 0.9),
	Entry("77 hosts that all start with 40 cold servers", coldSimulation{
		hosts: 77, servers: 40, demand: constant(127), length: 10 * time.Second, coldAt: atOnce, start: true}, 0.8),
	Entry("77 hosts that start and never hear of each other", coldSimulation{
		hosts: 77, servers: 20, demand: bursts(1500), length: 15 * time.Second, coldAt: atOnce, start: true,
		side: split(77, 0, time.Hour)}, 0.0),
	Entry("77 hosts that start on three sides", coldSimulation{
		hosts: 77, servers: 20, demand: constant(400), length: 10 * time.Second, coldAt: atOnce, start: true,
		side: split(3, 0, time.Hour)}, 0.0),
	Entry("77 hosts cut into three, with far too many requests", coldSimulation{
		hosts: 77, servers: 20, demand: constant(600), length: 18 * time.Second, coldAt: atOnce, side: split(3, 4*time.Second, 14*time.Second)}, 0.0),
	Entry("77 hosts all cut off from each other, 10 servers", coldSimulation{
		hosts: 77, servers: 10, demand: bursts(1000), length: 18 * time.Second, coldAt: atOnce, side: split(77, 4*time.Second, 14*time.Second)}, 0.0),
	Entry("77 hosts, 10 servers, far too many requests in bursts", coldSimulation{
		hosts: 77, servers: 10, demand: bursts(1000), length: 12 * time.Second, coldAt: atOnce}, 0.0),
	Entry("8 hosts, 2 servers, cut into two, with what the servers take", coldSimulation{
		hosts: 8, servers: 2, demand: constant(18), length: 25 * time.Second, coldAt: atOnce, side: split(2, 5*time.Second, 15*time.Second)}, 0.6),
	Entry("8 hosts, 2 servers, a host starts anew each second", coldSimulation{
		hosts: 8, servers: 2, demand: constant(100), length: 25 * time.Second, coldAt: atOnce,
		restart: func(host, second int) bool { return second > 0 && second%8 == host }}, 0.0),
	Entry("77 hosts that all start anew while cut in two", coldSimulation{
		hosts: 77, servers: 12, demand: constant(400), length: 20 * time.Second, coldAt: atOnce, side: split(2, 4*time.Second, 18*time.Second),
		restart: func(_, second int) bool { return second == 8 }}, 0.0),
	Entry("120 hosts, 30 servers that turn cold one after the other", coldSimulation{
		hosts: 120, servers: 30, demand: constant(200), length: 12 * time.Second, coldFor: 6 * time.Second,
		coldAt: func(s int) time.Duration { return time.Duration(s) * 150 * time.Millisecond }}, 0.9),
)

// Guards against a cold server that nobody issues permits for, because its coordinator would run
// an earlier program.
var _ = It("a host of an earlier program does not coordinate the limit of a cold server", func() {
	l := serverlimit.New(serverlimit.DefaultConfig("self", 1), start)
	l.SetFleet(start, serverlimit.Fleet{
		Able: []ident.HostID{"old1", "old2", "old3", "self"}, AbleCold: []ident.HostID{"self"}, Reachable: []ident.HostID{"old1", "old2", "old3"},
	}, func(serverlimit.Process) bool { return true })
	for i := range 10 {
		p := serverlimit.Process{ID: ident.BackendID(fmt.Sprint("s", i)), StartedAt: 1}
		l.SetCold(start, p, coldPerSecond, start.Add(time.Minute))
		outcome, _ := l.Acquire(start, p, serverlimit.Applicant{})
		Expect(outcome).NotTo(Equal(serverlimit.Pending))
	}
})
