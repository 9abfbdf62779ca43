package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/outlook"
)

// enqueue lets a request wait for room at a decode engine.
func (r *Relay) enqueue(q *request) {
	q.phase = queued
	qu := r.queues[q.service.Name]
	if qu == nil {
		qu = &queue{items: fairqueue.New[ID, *request](0)}
		r.queues[q.service.Name] = qu
	}
	qu.items.Push(fairqueue.Item[ID, *request]{
		Key:          q.id,
		Organisation: q.organisation(),
		Cost:         q.cost(r.outlook),
		Priority:     q.rank(r.outlook),
		Value:        q,
	})
}

// cost is the memory of a decode engine that a request takes, in token seconds.
func (q *request) cost(p *outlook.Predictor) float64 { return p.Cost(q.ask.Prompt, q.output) }

// rank orders the waiting requests of an organisation: urgent ones first, and among
// equals the cheapest, which lets most callers have their answer in time while
// memory is short. Streams that go on elsewhere come before all.
func (q *request) rank(p *outlook.Predictor) int {
	const costs = 1 << 20
	if q.started {
		return costs
	}
	return -q.urgency()*costs - int(min(q.cost(p), costs-1))
}

// pump starts the waiting requests for which there is room.
func (r *Relay) pump() {
	for service, qu := range r.queues {
		if qu.items.Len() > 0 {
			r.pumpQueue(service, qu)
		}
	}
}

func (r *Relay) pumpQueue(service ident.Route, qu *queue) {
	var late []*request
	qu.items.Each(func(it fairqueue.Item[ID, *request]) {
		if !r.now.Before(it.Value.waitTill) {
			late = append(late, it.Value)
		}
	})
	for _, q := range late {
		r.logRequest(q, "overload", "waited for "+q.waitsFor)
		r.fail(q, Overloaded, r.comeBack(qu))
	}
	qu.items.Scan(func(it fairqueue.Item[ID, *request]) fairqueue.Decision {
		if !r.start(it.Value) {
			return fairqueue.Stop
		}
		return fairqueue.Take
	})
}

// comeBack returns when a refused request should find room: once what waits before
// it has been served at the recent pace.
func (r *Relay) comeBack(qu *queue) time.Duration {
	ahead := 0.0
	qu.items.Each(func(it fairqueue.Item[ID, *request]) { ahead += float64(it.Value.need()) })
	pace := max(qu.freed.value(r.now), minPace)
	wait := time.Duration(ahead / pace * float64(time.Second))
	return min(max(wait, comeBackLeast), comeBackMost)
}

const (
	// minPace in tokens a second stands for a queue that has not moved yet.
	minPace = 1000
	// comeBackLeast and comeBackMost bound the time to return after an overload.
	// The lower one is the time in which a decode engine ends a request or two.
	comeBackLeast = 500 * time.Millisecond
	comeBackMost  = 3 * time.Second
)

// start reserves room for a request if an engine has some and the prompt would be
// read soon.
func (r *Relay) start(q *request) bool {
	e := q.service.Engine
	if wait, ok := r.backends.PrefillTime(r.now, r.prefillQuery(q)); ok && wait > prefillWaitMost+r.readTime(q) {
		q.waitsFor = "prefill engine"
		return false
	}
	need := backends.Load{Requests: 1, Memory: q.need()}
	to, ok := r.backends.PickDecode(r.now, backends.Query{
		Service: q.service.Name,
		Stage:   backends.Decode,
		Model:   q.ask.Model,
		Avoid:   q.avoid,
		Near:    r.cfg.Backends.Domain,
		Need:    need,
		Memory:  e.MemoryTokens,
		Slots:   e.Slots,
		Unseen:  r.unseen(q.service.Name),
	})
	if !ok {
		q.waitsFor = "decode memory"
		return false
	}
	r.occupy(q, to, need)
	q.attempt++
	if e.HoldTTL == 0 {
		r.prefillOrDecode(q)
		return true
	}
	q.phase = reserving
	a := q.base()
	a.Deadline = earlier(a.Deadline, r.now.Add(reserveTimeout))
	r.emit(Reserve{Attempt: a, Tokens: q.need(), TTL: e.HoldTTL})
	return true
}

func (r *Relay) reserved(e Reserved) {
	q := r.current(e.ID, e.Attempt, reserving)
	if q == nil {
		if e.Hold != "" {
			r.log(Decision{Step: "late_reservation", Outcome: "expires by itself"})
		}
		return
	}
	if e.Outcome == Whole {
		r.backends.Reached(r.now, q.to.ID)
		q.hold = e.Hold
		r.prefillOrDecode(q)
		return
	}
	r.judge(q.to.ID, e.Outcome, backends.Full)
	r.vacate(q)
	r.logRequest(q, "reserve", e.Outcome.String())
	r.enqueue(q)
}

func (r *Relay) prefillQuery(q *request) backends.Query {
	near := q.to.Domain
	if near == "" {
		near = r.cfg.Backends.Domain
	}
	return backends.Query{
		Service: q.service.Name,
		Stage:   backends.Prefill,
		Model:   q.ask.Model,
		Avoid:   q.avoid,
		Near:    near,
		Need:    backends.Load{Requests: 1, Memory: q.ask.Prompt, Prompt: q.ask.Prompt},
		Memory:  q.service.Engine.MemoryTokens,
	}
}

// readTime is about how long an engine takes for a prompt alone.
func (r *Relay) readTime(q *request) time.Duration {
	return time.Duration(float64(q.ask.Prompt) / readRate * float64(time.Second))
}

// readRate in prompt tokens a second only separates the request's own time from
// the wait for others.
const readRate = 50_000

// prefillOrDecode has the prompt read, by the decode engine itself if there is no
// prefill engine.
func (r *Relay) prefillOrDecode(q *request) {
	query := r.prefillQuery(q)
	query.Unseen = r.unseen(q.service.Name)
	to, wait, ok := r.backends.PickPrefill(r.now, query)
	if !ok {
		q.local = true
		r.decode(q)
		return
	}
	q.phase = prefilling
	q.attempt++
	q.prefill = to
	q.reading = backends.Load{Requests: 1, Memory: q.ask.Prompt, Prompt: q.ask.Prompt}
	r.backends.Begin(to.ID, q.reading)
	q.ahead = r.backends.Load(to.ID).Prompt
	a := q.base()
	a.To = to
	a.Deadline = earlier(a.Deadline, r.now.Add(3*wait+prefillSlack))
	r.emit(Prefill{Attempt: a, Organisation: q.organisation()})
}

func (r *Relay) prefilled(e Prefilled) {
	q := r.current(e.ID, e.Attempt, prefilling)
	if q == nil {
		return
	}
	// An engine that refuses a prompt has no memory left, or is changing its stage for an
	// order that this host has not heard of.
	r.judge(q.prefill.ID, e.Outcome, backends.Busy)
	r.doneReading(q)
	if e.Outcome == Whole {
		r.backends.NotePrefill(q.prefill.ID, q.ahead, e.Took)
		q.handle = e.Handle
		r.decode(q)
		return
	}
	r.logRequest(q, "prefill", e.Outcome.String())
	q.avoid = append(q.avoid, q.prefill.ID)
	if e.Outcome == Unsent && r.timeLeft(q) || r.mayRepeat(q) {
		r.prefillOrDecode(q)
		return
	}
	r.fail(q, NoBackend, comeBackSoon)
}

// decode runs a request at the engine that has reserved room for it.
func (r *Relay) decode(q *request) {
	q.phase = decoding
	q.attempt++
	d := Decode{
		Attempt:      q.base(),
		Organisation: q.organisation(),
		Hold:         q.hold,
		Resume:       q.started,
	}
	if !q.local {
		source := q.prefill
		d.Source, d.Handle = &source, q.handle
	}
	if q.repeatable() && q.sent+1 < q.route.MaxAttempts {
		d.Silence = firstSilence
		if q.local {
			d.Silence += r.readTime(q) * localReadFactor
		}
	}
	q.hold, q.handle = "", ""
	r.emit(d)
}

// localReadFactor is how much longer a decode engine takes for a prompt than a
// prefill engine.
const localReadFactor = 4

func (r *Relay) begun(e Begun) {
	q := r.current(e.ID, e.Attempt, decoding)
	if q == nil {
		return
	}
	q.started = true
	q.mayRun = true
	r.backends.Succeeded(r.now, q.to.ID)
	r.logRequest(q, "first_event", "relayed")
}

func (r *Relay) decodeEnded(q *request, e Ended) {
	r.judge(q.to.ID, e.Outcome, backends.Full)
	if e.Outcome.ran() {
		q.mayRun = true
		q.sent++
	}
	if e.Outcome == Whole {
		r.learn(q, e)
		r.logRequest(q, "answer", "complete")
		r.finish(q)
		return
	}
	if e.Outcome == Failure && !e.Started {
		r.logRequest(q, "answer", "failure of the backend server")
		r.emit(Deliver{ID: q.id})
		r.finish(q)
		return
	}
	r.logRequest(q, "decode", e.Outcome.String())
	if e.Outcome == NotRun && !q.local {
		// The room was granted, so it is the KV cache that could not be had.
		r.backends.Failed(r.now, q.prefill.ID, backends.Unreachable)
	}
	if e.Outcome == NotRun && !q.local && r.mayRepeat(q) {
		r.decodeLocally(q)
		return
	}
	r.vacate(q)
	if r.resumable(q, e) {
		q.avoid = append(q.avoid, q.to.ID)
		q.local = false
		q.waitTill = r.now.Add(r.patience(q))
		r.enqueue(q)
		return
	}
	r.giveUp(q, e.Outcome)
}

// learn takes the length and time of a complete answer.
func (r *Relay) learn(q *request, e Ended) {
	if q.sent > 1 || q.ask.Resumes {
		return
	}
	stride := max(1, q.service.Engine.Stride)
	r.outlook.Ended(q.route.Name, q.ask.Output, int64(e.Events*stride), e.Took)
}

// decodeLocally sends a request whose KV cache could not be fetched to the same
// engine, which reads the prompt itself.
func (r *Relay) decodeLocally(q *request) {
	q.local = true
	r.decode(q)
}

// resumable decides whether a stream that broke off goes on elsewhere.
func (r *Relay) resumable(q *request, e Ended) bool {
	switch {
	case e.Outcome == Cut:
		return false
	case e.Outcome == Unsent:
		return r.timeLeft(q) && q.retries < maxRetries
	case e.Outcome.ran() && (!q.repeatable() || q.sent >= q.route.MaxAttempts):
		return false
	case !e.Outcome.ran() && q.attempt > maxRetries*callsPerTry:
		return false
	}
	return r.mayRepeat(q)
}

// callsPerTry is the number of calls that one try of a model request makes:
// reservation, prefill and decode.
const callsPerTry = 3
