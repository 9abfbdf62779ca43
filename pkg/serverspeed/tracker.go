// Package serverspeed learns how fast backend servers are compared with others of their
// service, from the times of the calls of all hosts.
//
// A speed is a factor on times: 1 is typical, 2 takes twice as long. It is a median of recent
// measurements, so that single slow calls do not matter, and it is 1 unless the measurements
// show that a server differs: while servers are of equal speed, or too little is known,
// nothing changes. Hosts exchange the measurements that tell something.
//
// A Tracker is a state machine without clock or I/O.
package serverspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Kind is the kind of work that was measured. The numbers are part of the protocol between
// hosts.
type Kind uint8

// Kinds of work.
const (
	Token   Kind = iota + 1 // an event of a stream after the first one
	Prefill                 // a token of a prompt
	Call                    // a call to a plain server
)

// Class is the work whose times can be compared with each other: one kind for one service or
// route.
type Class struct {
	Kind Kind
	Name ident.Route
}

const (
	// window is the number of most recent measurements of a server that count. Five slow ones
	// suffice to see a slow-down.
	window = 9
	// minSupport is the number of measurements below which a server counts as typical.
	minSupport = 5
	// maxAge is the age of measurements that no longer count.
	maxAge = time.Minute
	// typicalWindow and minTypical are the number of recent measurements of a class whose median
	// is the typical time, and the least for which there is one.
	typicalWindow = 63
	minTypical    = 12
	// minDifference is the difference from the typical time, as a factor, below which servers
	// count as equal.
	minDifference = 1.2
	// standardErrors is the number of standard errors by which a server must differ.
	standardErrors = 2.5
	// maxFactor bounds the ratios that are believed.
	maxFactor = 16
)

// Report is what one host measured of a process since its last report.
type Report struct {
	Process serverlimit.Process
	Kind    Kind
	Factor  float64
	Count   int // measurements
}

// Tracker holds the speeds of servers. It is not safe for concurrent use.
type Tracker struct {
	servers map[ident.BackendID]*server
	typical map[Class]*typical
	pending map[ident.BackendID]map[Kind]*pending
	rejects uint64
	changes []Change
}

// Change says that a process differs from the typical speed, or no longer does.
type Change struct {
	Process serverlimit.Process
	Kind    Kind
	Factor  float64
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

type server struct {
	startedAt int64
	kinds     map[Kind]*estimate
}

type estimate struct {
	samples []sample // oldest first
	factor  float64
	support int
	last    time.Time
	// questioned is until when hosts report all that they measure, see Report.
	questioned time.Time
}

type sample struct {
	log    float64
	weight int
	at     time.Time
}

// typical is the median of recent times of a class, as a logarithm.
type typical struct {
	recent []float64
	next   int
	sorted []float64 // buffer
}

type pending struct {
	logs  []float64
	since time.Time
}

// New returns a Tracker that knows no speeds.
func New() *Tracker {
	return &Tracker{servers: map[ident.BackendID]*server{}, typical: map[Class]*typical{}, pending: map[ident.BackendID]map[Kind]*pending{}}
}

func (t *typical) add(v float64) (median float64, ok bool) {
	if len(t.recent) < typicalWindow {
		t.recent = append(t.recent, v)
	} else {
		t.recent[t.next] = v
		t.next = (t.next + 1) % typicalWindow
	}
	t.sorted = append(t.sorted[:0], t.recent...)
	slices.Sort(t.sorted)
	return t.sorted[len(t.sorted)/2], len(t.recent) >= minTypical
}

// Record records the time in seconds of one unit of work at a process.
func (t *Tracker) Record(now time.Time, p serverlimit.Process, c Class, seconds float64) {
	if !(seconds > 0) || math.IsInf(seconds, 1) {
		return
	}
	ty := t.typical[c]
	if ty == nil {
		ty = &typical{}
		t.typical[c] = ty
	}
	v := math.Log(seconds)
	median, ok := ty.add(v)
	if !ok {
		return
	}
	ratio := min(max(v-median, -math.Log(maxFactor)), math.Log(maxFactor))
	if !t.add(now, p, c.Kind, sample{ratio, 1, now}) {
		return
	}
	kinds := t.pending[p.ID]
	if kinds == nil {
		kinds = map[Kind]*pending{}
		t.pending[p.ID] = kinds
	}
	if kinds[c.Kind] == nil {
		kinds[c.Kind] = &pending{since: now}
	}
	kinds[c.Kind].logs = append(kinds[c.Kind].logs, ratio)
}

// Apply applies the report of another host, which is as old as at says, and reports whether
// its values are in range.
func (t *Tracker) Apply(now, at time.Time, r Report) bool {
	if !(r.Factor >= 1.0/maxFactor && r.Factor <= maxFactor) || r.Count < 1 || r.Kind < Token || r.Kind > Call {
		t.rejects++
		return false
	}
	t.add(now, r.Process, r.Kind, sample{math.Log(r.Factor), min(r.Count, minSupport), at})
	return true
}

// Rejected returns the number of reports with values out of range.
func (t *Tracker) Rejected() uint64 { return t.rejects }

// add adds a sample and returns false if it is of an earlier process than the known one.
func (t *Tracker) add(now time.Time, p serverlimit.Process, k Kind, s sample) bool {
	sv := t.servers[p.ID]
	if sv != nil && p.StartedAt < sv.startedAt {
		return false
	}
	if sv == nil || p.StartedAt > sv.startedAt {
		sv = &server{startedAt: p.StartedAt, kinds: map[Kind]*estimate{}}
		t.servers[p.ID] = sv
		delete(t.pending, p.ID)
	}
	e := sv.kinds[k]
	if e == nil {
		e = &estimate{factor: 1}
		sv.kinds[k] = e
	}
	at, _ := slices.BinarySearchFunc(e.samples, s.at, func(o sample, t time.Time) int { return o.at.Compare(t) })
	e.samples = slices.Insert(e.samples, at, s)
	if until := s.at.Add(questionTime); math.Abs(s.log) > math.Log(questionFactor) && until.After(e.questioned) {
		e.questioned = until
	}
	before := e.factor
	if e.update(now); (before == 1) != (e.factor == 1) {
		t.changes = append(t.changes, Change{p, k, e.factor})
	}
	return true
}

// update computes the factor from the most recent samples.
func (e *estimate) update(now time.Time) {
	first, weight := len(e.samples), 0
	for first > 0 && weight < window && now.Sub(e.samples[first-1].at) < maxAge {
		first--
		weight += e.samples[first].weight
	}
	e.samples = slices.Delete(e.samples, 0, first)
	e.factor, e.support = 1, weight
	if weight < minSupport {
		return
	}
	e.last = e.samples[len(e.samples)-1].at
	median := weightedMedian(e.samples, func(s sample) float64 { return s.log })
	deviation := weightedMedian(e.samples, func(s sample) float64 { return math.Abs(s.log - median) })
	// 1.48 converts the median deviation to a standard deviation of normal noise, and 1.25 the
	// standard error of a mean to that of a median.
	standardError := 1.25 * 1.48 * deviation / math.Sqrt(float64(weight))
	if math.Abs(median) > max(math.Log(minDifference), standardErrors*standardError) {
		e.factor = math.Exp(median)
	}
}

func weightedMedian(samples []sample, value func(sample) float64) float64 {
	type weighted struct {
		v float64
		w int
	}
	all, total := make([]weighted, 0, len(samples)), 0
	for _, s := range samples {
		all = append(all, weighted{value(s), s.weight})
		total += s.weight
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(a.v, b.v) })
	for _, a := range all {
		if total -= 2 * a.w; total <= 0 {
			return a.v
		}
	}
	return 0
}

// Factor returns the time that a process takes compared with the typical one, and whether
// that is well supported. It is 1 for a process of which too little is known.
func (t *Tracker) Factor(now time.Time, p serverlimit.Process, k Kind) (factor float64, supported bool) {
	sv := t.servers[p.ID]
	if sv == nil || sv.startedAt != p.StartedAt {
		return 1, false
	}
	e := sv.kinds[k]
	if e == nil || e.support < minSupport || now.Sub(e.last) >= maxAge {
		return 1, false
	}
	return e.factor, true
}

// Typical returns the typical time of a class in seconds, and whether it is known.
func (t *Tracker) Typical(c Class) (seconds float64, known bool) {
	ty := t.typical[c]
	if ty == nil || len(ty.recent) < minTypical {
		return 0, false
	}
	return math.Exp(ty.sorted[len(ty.sorted)/2]), true
}

// Report returns measurements that the other hosts need, and forgets them, or false if there are
// none. A measurement that differs much raises the question whether the server is typical, and
// for some time all hosts report what they measure of it. Reports of those that differ alone
// would make servers seem to differ that only vary.
func (t *Tracker) Report(now time.Time) (Report, bool) {
	var best Report
	most := 0.0
	for id, kinds := range t.pending {
		sv := t.servers[id]
		for k, p := range kinds {
			if sv == nil || now.Sub(p.since) >= maxReportAge {
				delete(kinds, k)
				continue
			}
			slices.Sort(p.logs)
			median := p.logs[len(p.logs)/2]
			e := sv.kinds[k]
			if e == nil || e.factor == 1 && !now.Before(e.questioned) {
				continue
			}
			if tells := (1 + math.Abs(median)) * float64(len(p.logs)); tells > most || tells == most && id < best.Process.ID {
				most = tells
				best = Report{Process: serverlimit.Process{ID: id, StartedAt: sv.startedAt}, Kind: k, Factor: math.Exp(median), Count: len(p.logs)}
			}
		}
		if len(kinds) == 0 {
			delete(t.pending, id)
		}
	}
	if best.Count == 0 {
		return Report{}, false
	}
	delete(t.pending[best.Process.ID], best.Kind)
	return best, true
}

const (
	// maxReportAge is the age of measurements that are not reported any more.
	maxReportAge = 15 * time.Second
	// questionTime is how long all hosts report a server after a measurement that differs by
	// questionFactor, which is three standard deviations of the times of streams.
	questionTime   = 10 * time.Second
	questionFactor = 1.35
)

// Tick forgets servers of which nothing has been measured for long.
func (t *Tracker) Tick(now time.Time) {
	for id, sv := range t.servers {
		for k, e := range sv.kinds {
			if len(e.samples) == 0 || now.Sub(e.samples[len(e.samples)-1].at) >= maxAge {
				delete(sv.kinds, k)
			}
		}
		if len(sv.kinds) == 0 {
			delete(t.servers, id)
			delete(t.pending, id)
		}
	}
}
