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

// Options configures one run.
type Options struct {
	Policy      string // "placement", "round-robin", "least-load" or "ideal"
	Load        float64
	Hosts       int
	Prefill     int // engines
	Decode      int // engines
	Duration    time.Duration
	Seed        uint64
	MessageLoss float64     // share of the messages between hosts that is lost
	LimitGreedy bool        // the greedy organisation is limited to its rate before placement
	CrashEngine engine.Role // role of the engine that crashes halfway through the run; empty for none
	CrashOwner  bool        // the host that owns the pool crashes halfway through the run
}

// DefaultOptions returns a pool of today's size: 12 engines behind 8 hosts.
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

// One-way network delay and jitter, the period and delay of load reports, and the
// period of Placer ticks.
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
	index        int
	attempt      ident.Attempt
	exclude      []ident.BackendID
	offset       int
	first        time.Duration // time of the first token; zero before it
	prefillSpent time.Duration // time spent on the latest prefill
	record       *Record
}

func (j *job) ref(p ident.Process) ident.BackendRef {
	return ident.BackendRef{Request: ident.NewRequestID(p, uint64(j.index)), Attempt: j.attempt}
}

// simHost is an entry host with the state that a node keeps per host.
type simHost struct {
	process ident.Process
	dead    bool
	budget  *retry.Budget
	jobs    map[ident.BackendRef]*job
}

// policy chooses engines. It answers place with sim.placed or sim.refused.
type policy interface {
	place(h int, j *job)
	prefillDone(h int, j *job)
	release(h int, j *job, output int)
	unreachable(h int, id ident.BackendID)
	hostFailed(h int) // called when membership has detected the failure
}

// sim is the state of one run.
type sim struct {
	loop
	options       Options
	rng           *rand.Rand
	hosts         []*simHost
	engines       map[ident.BackendID]*fakeEngine
	engineList    []*fakeEngine
	policy        policy
	records       []*Record
	unfinished    int           // requests without an outcome
	usefulPrefill time.Duration // prefill time of completed requests
	lostPrefill   time.Duration // prefill time of requests lost with their host
	orphanTime    time.Duration // time until engines had dropped the streams of the crashed host
}

// Run simulates the workload under a policy.
func Run(o Options) Summary {
	s := &sim{options: o, rng: rand.New(rand.NewPCG(o.Seed, 99)), engines: map[ident.BackendID]*fakeEngine{}}
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
		r := &Record{At: a.at, Organisation: a.organisation.name, Output: a.output}
		s.records = append(s.records, r)
		s.unfinished++
		j := &job{arrival: a, index: n, record: r}
		s.at(a.at, func() { s.start(j) })
	}
	if o.CrashEngine != "" {
		s.at(o.Duration/2, func() { s.engines[engineID(o.CrashEngine, 0)].crash() })
	}
	if o.CrashOwner {
		s.at(o.Duration/2, s.crashOwner)
	}
	s.run()
	return s.summary()
}

// crashOwner stops the host that owns the pool. Membership detects it 3 s later.
func (s *sim) crashOwner() {
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
		s.lostPrefill += j.prefillSpent
		s.unfinished--
	}
	s.after(3*time.Second, func() { s.policy.hostFailed(n) })
	s.every(50*time.Millisecond, s.running, func() { s.watchOrphans(h.process) })
}

// watchOrphans updates orphanTime while an engine still holds streams of a dead
// process.
func (s *sim) watchOrphans(p ident.Process) {
	for _, e := range s.engineList {
		for _, st := range e.streams {
			if owner, _ := st.ref.Request.Owner(); owner == p {
				s.orphanTime = s.now - s.options.Duration/2
			}
		}
	}
}

func engineID(r engine.Role, n int) ident.BackendID {
	return ident.BackendID(fmt.Sprintf("%s-%d", r, n))
}

func (s *sim) addEngine(r engine.Role, n int) {
	info := engine.Info{ID: engineID(r, n), Domain: domain, Role: r, Model: model, Version: "v1", Slots: engineSlots}
	e := &fakeEngine{loop: &s.loop, info: info, imports: map[ident.BackendRef]*stream{}}
	s.engines[info.ID] = e
	s.engineList = append(s.engineList, e)
}

// running reports whether requests are still to arrive or unfinished, at most one
// minute past Duration. Periodic events stop when it returns false. A request that
// never ends counts as unfinished in the summary.
func (s *sim) running() bool {
	return s.now < s.options.Duration || s.unfinished > 0 && s.now < s.options.Duration+time.Minute
}

// clock returns the virtual time as the wall time passed to the Placers.
func (s *sim) clock() time.Time { return wallStart.Add(s.now) }

// afterNetDelay runs f after a one-way network delay with jitter.
func (s *sim) afterNetDelay(f func()) {
	s.after(netDelay+time.Duration(s.rng.Int64N(int64(netJitter))), f)
}

func (s *sim) start(j *job) {
	if s.hosts[j.host].dead { // the load balancer selects another host
		j.host = (j.host + 1) % len(s.hosts)
	}
	h := s.hosts[j.host]
	if j.attempt == 0 {
		h.budget.RecordFirst(s.clock())
	}
	j.attempt++
	h.jobs[j.ref(h.process)] = j
	s.policy.place(j.host, j)
}

// end releases the current attempt.
func (s *sim) end(j *job, output int) {
	s.policy.release(j.host, j, output)
	delete(s.hosts[j.host].jobs, j.ref(s.hosts[j.host].process))
}

func (s *sim) refused(j *job) {
	delete(s.hosts[j.host].jobs, j.ref(s.hosts[j.host].process))
	s.unfinished--
	if j.attempt == 1 {
		j.record.Refused = true
	} else {
		j.record.Failed = true
	}
}

// placed runs prefill, import and decode of one attempt on the chosen engines.
func (s *sim) placed(j *job, prefill, decode ident.BackendID) {
	call := &prefillCall{
		ref:    j.ref(s.hosts[j.host].process),
		tokens: j.prompt + j.offset,
		prefix: j.prefix(j.index),
	}
	call.onEnd = func(o outcome, spent time.Duration) {
		s.afterNetDelay(func() {
			if j.record.Lost {
				s.lostPrefill += spent
				return
			}
			j.prefillSpent = spent
			if o != done {
				s.retry(j, prefill, o, 0)
				return
			}
			s.policy.prefillDone(j.host, j)
			s.decode(j, decode)
		})
	}
	s.afterNetDelay(func() { s.engines[prefill].prefill(call) })
}

func (s *sim) decode(j *job, id ident.BackendID) {
	left := float64(j.output - j.offset)
	st := &stream{ref: j.ref(s.hosts[j.host].process), total: left, remaining: left}
	st.onFirstToken = func() {
		s.afterNetDelay(func() {
			if j.first == 0 {
				j.first = s.now
			}
		})
	}
	st.onEnd = func(o outcome, sent int) {
		s.afterNetDelay(func() {
			switch {
			case j.record.Lost:
			case o != done:
				s.retry(j, id, o, sent)
			default:
				s.complete(j, sent)
			}
		})
	}
	s.afterNetDelay(func() { s.engines[id].decode(j.prompt+j.offset, st) })
}

func (s *sim) complete(j *job, sent int) {
	s.usefulPrefill += j.prefillSpent
	s.unfinished--
	s.end(j, sent)
	r := j.record
	r.Done = true
	r.End = s.now
	r.First = j.first - j.at
	r.InterToken = (s.now - j.first) / time.Duration(max(1, j.output-1))
}

// retry starts the next attempt from the tokens already sent, if the retry budget
// allows it.
func (s *sim) retry(j *job, id ident.BackendID, o outcome, sent int) {
	s.end(j, sent)
	j.offset += sent
	if o == broken {
		s.policy.unreachable(j.host, id)
	}
	j.exclude = append(j.exclude, id)
	if !s.hosts[j.host].budget.Allow(s.clock(), int(j.attempt)-1) {
		j.record.Failed = true
		s.unfinished--
		return
	}
	j.record.Retries++
	s.start(j)
}
