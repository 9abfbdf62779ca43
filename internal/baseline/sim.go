package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/retry"
)

// Options describe one run.
type Options struct {
	Policy   string // "placement", "round-robin", "least-load" or "ideal"
	Load     float64
	Hosts    int
	Prefill  int // engines
	Decode   int // engines
	Duration time.Duration
	Seed     uint64
	Loss     float64     // share of the messages between hosts that are lost
	Limit    bool        // the greedy organisation is held to its rate in front
	Lose     engine.Role // role of the engine that dies in mid-run, or ""
	LoseHost bool        // the owner of the pool dies in mid-run
}

// DefaultOptions is the pool of the current scale: 12 engines behind 8 hosts.
func DefaultOptions(policy string, load float64) Options {
	return Options{
		Policy:   policy,
		Load:     load,
		Hosts:    8,
		Prefill:  3,
		Decode:   9,
		Duration: 240 * time.Second,
		Seed:     1,
	}
}

// Targets of the latency metrics.
const (
	firstTokenTarget = 950 * time.Millisecond
	interTokenTarget = 39 * time.Millisecond
)

// Delays of the network, one way, and of load reports.
const (
	netDelay   = 500 * time.Microsecond
	netJitter  = 500 * time.Microsecond
	pollPeriod = 250 * time.Millisecond
	reportLag  = 100 * time.Millisecond
	tickPeriod = 10 * time.Millisecond
)

var wallStart = time.Unix(1_800_000_000, 0)

const model ident.Model = "inspect-lm"
const domain ident.FailureDomain = "teku"

// job is one request at its entry host.
type job struct {
	arrival
	n       int
	attempt ident.Attempt
	exclude []ident.BackendID
	offset  int
	first   time.Duration // time of the first token, zero before
	spent   time.Duration // on the latest prefill
	record  *Record
}

func (j *job) ref(p ident.Process) ident.BackendRef {
	return ident.BackendRef{Request: ident.NewRequestID(p, uint64(j.n)), Attempt: j.attempt}
}

// simHost is an entry host with what the node would keep.
type simHost struct {
	process ident.Process
	dead    bool
	budget  *retry.Budget
	jobs    map[ident.BackendRef]*job
}

// policy chooses engines. It answers with sim.booked or sim.refused.
type policy interface {
	book(h int, j *job)
	prefillDone(h int, j *job)
	release(h int, j *job, output int)
	unreachable(h int, id ident.BackendID)
	hostDead(h int) // membership has noticed
}

// sim is one run.
type sim struct {
	loop
	o       Options
	rng     *rand.Rand
	hosts   []*simHost
	engines map[ident.BackendID]*fakeEngine
	order   []*fakeEngine
	policy  policy
	records []*Record
	open    int           // requests without an end
	useful  time.Duration // prefill time of completed requests
	lost    time.Duration // prefill time of requests that died with their host
	orphans time.Duration // until engines had dropped the dead host's streams
}

// Run plays the workload against a policy.
func Run(o Options) Summary {
	s := &sim{o: o, rng: rand.New(rand.NewPCG(o.Seed, 99)), engines: map[ident.BackendID]*fakeEngine{}}
	for n := range o.Prefill {
		s.addEngine(engine.Prefill, n)
	}
	for n := range o.Decode {
		s.addEngine(engine.Decode, n)
	}
	for n := range o.Hosts {
		p := ident.Process{Host: ident.HostID(fmt.Sprintf("teku-%d", n)), Incarnation: 1}
		s.hosts = append(s.hosts, &simHost{
			process: p,
			budget:  retry.New(retry.DefaultConfig(), wallStart),
			jobs:    map[ident.BackendRef]*job{},
		})
	}
	s.policy = newPolicy(s)
	for n, a := range arrivals(o) {
		r := &Record{At: a.at, Tenant: a.tenant.name, Output: a.output}
		s.records = append(s.records, r)
		s.open++
		j := &job{arrival: a, n: n, record: r}
		s.at(a.at, func() { s.start(j) })
	}
	if o.Lose != "" {
		s.at(o.Duration/2, func() { s.engines[engineID(o.Lose, 0)].kill() })
	}
	if o.LoseHost {
		s.at(o.Duration/2, s.killOwner)
	}
	s.run()
	return s.summary()
}

// killOwner stops the host that owns the pool. Membership notices 3 s later.
func (s *sim) killOwner() {
	var ids []ident.HostID
	for _, h := range s.hosts {
		ids = append(ids, h.process.Host)
	}
	owner := ident.Owner("pool/"+string(model)+"/"+string(domain), ids)
	n := slices.Index(ids, owner)
	h := s.hosts[n]
	h.dead = true
	for _, j := range h.jobs {
		j.record.Lost = true
		s.lost += j.spent
		s.open--
	}
	s.after(3*time.Second, func() { s.policy.hostDead(n) })
	s.every(50*time.Millisecond, s.running, func() { s.watchOrphans(h.process) })
}

// watchOrphans notes whether an engine still holds streams of a dead process.
func (s *sim) watchOrphans(p ident.Process) {
	for _, e := range s.order {
		for _, st := range e.streams {
			if owner, _ := st.ref.Request.Owner(); owner == p {
				s.orphans = s.now - s.o.Duration/2
			}
		}
	}
}

func engineID(r engine.Role, n int) ident.BackendID {
	return ident.BackendID(fmt.Sprintf("%s-%d", r, n))
}

func (s *sim) addEngine(r engine.Role, n int) {
	info := engine.Info{ID: engineID(r, n), Domain: domain, Role: r, Model: model, Version: "v1", Slots: slots}
	e := &fakeEngine{loop: &s.loop, info: info, importer: map[ident.BackendRef]*stream{}}
	s.engines[info.ID] = e
	s.order = append(s.order, e)
}

// running tells whether requests are still to come or open. A request that never
// ends stays open in the summary.
func (s *sim) running() bool {
	return s.now < s.o.Duration || s.open > 0 && s.now < s.o.Duration+time.Minute
}

// clock returns the virtual time as the Placers see it.
func (s *sim) clock() time.Time { return wallStart.Add(s.now) }

// net runs f after one network delay.
func (s *sim) net(f func()) {
	s.after(netDelay+time.Duration(s.rng.Int64N(int64(netJitter))), f)
}

func (s *sim) start(j *job) {
	if s.hosts[j.host].dead { // the load balancer takes another host
		j.host = (j.host + 1) % len(s.hosts)
	}
	h := s.hosts[j.host]
	if j.attempt == 0 {
		h.budget.First(s.clock())
	}
	j.attempt++
	h.jobs[j.ref(h.process)] = j
	s.policy.book(j.host, j)
}

// end forgets the current attempt.
func (s *sim) end(j *job, output int) {
	s.policy.release(j.host, j, output)
	delete(s.hosts[j.host].jobs, j.ref(s.hosts[j.host].process))
}

func (s *sim) refused(j *job) {
	delete(s.hosts[j.host].jobs, j.ref(s.hosts[j.host].process))
	s.open--
	if j.attempt == 1 {
		j.record.Refused = true
	} else {
		j.record.Failed = true
	}
}

// booked runs prefill, import and decode of one attempt.
func (s *sim) booked(j *job, prefill, decode ident.BackendID) {
	call := &prefillCall{
		ref:    j.ref(s.hosts[j.host].process),
		tokens: j.prompt + j.offset,
		prefix: j.prefix(j.n),
	}
	call.end = func(o outcome, spent time.Duration) {
		s.net(func() {
			if j.record.Lost {
				s.lost += spent
				return
			}
			j.spent = spent
			if o != done {
				s.retry(j, prefill, o, 0)
				return
			}
			s.policy.prefillDone(j.host, j)
			s.decode(j, decode)
		})
	}
	s.net(func() { s.engines[prefill].prefill(call) })
}

func (s *sim) decode(j *job, id ident.BackendID) {
	left := float64(j.output - j.offset)
	st := &stream{ref: j.ref(s.hosts[j.host].process), total: left, left: left}
	st.first = func() {
		s.net(func() {
			if j.first == 0 {
				j.first = s.now
			}
		})
	}
	st.end = func(o outcome, sent int) {
		s.net(func() {
			switch {
			case j.record.Lost:
			case o != done:
				s.retry(j, id, o, sent)
			default:
				s.complete(j, sent)
			}
		})
	}
	s.net(func() { s.engines[id].decode(j.prompt+j.offset, st) })
}

func (s *sim) complete(j *job, sent int) {
	s.useful += j.spent
	s.open--
	s.end(j, sent)
	r := j.record
	r.Done = true
	r.End = s.now
	r.First = j.first - j.at
	r.InterToken = (s.now - j.first) / time.Duration(max(1, j.output-1))
}

// retry starts the next attempt at the offset, within the retry budget.
func (s *sim) retry(j *job, id ident.BackendID, o outcome, sent int) {
	s.end(j, sent)
	j.offset += sent
	if o == broken {
		s.policy.unreachable(j.host, id)
	}
	j.exclude = append(j.exclude, id)
	if !s.hosts[j.host].budget.Allow(s.clock(), int(j.attempt)-1) {
		j.record.Failed = true
		s.open--
		return
	}
	j.record.Retries++
	s.start(j)
}
