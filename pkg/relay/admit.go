package relay

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
)

// maxWait stands for the deadline of a caller that states none on a route without
// a timeout.
const maxWait = 60 * time.Second

// arrived admits a request or refuses it at once.
func (r *Relay) arrived(e Arrived) {
	q := &request{id: e.ID, ask: e.Ask, arrived: r.now}
	status, reason, after := r.admit(q)
	if status != 0 {
		r.logRequest(q, "admit", string(reason))
		r.emit(Refuse{ID: e.ID, Status: status, RetryAfter: after, Reason: reason})
		return
	}
	r.requests[q.id] = q
	r.budget(q.service.Name).First(r.now)
	r.admitted(q.service.Name).add(r.now, 1)
	if q.service.Engine == nil {
		r.call(q)
		return
	}
	q.output = r.outlook.Output(q.route.Name, q.ask.Output, q.ask.Hint)
	r.noteWork(q)
	r.enqueue(q)
}

// admit fills in what the configuration says of a request, or returns the status
// of a refusal.
func (r *Relay) admit(q *request) (status int, reason Reason, after time.Duration) {
	if r.conf == nil || !r.listed {
		return 503, NoConfig, comeBackStart
	}
	if !r.drainAt.IsZero() && r.now.Sub(r.drainAt) > r.cfg.DrainAccept {
		return 503, Stopping, comeBackSoon
	}
	route := r.conf.Match(q.ask.Host, q.ask.Path)
	stale := r.stale()
	switch {
	case route == nil && stale:
		return 503, StaleConfig, r.whenStale()
	case route == nil:
		return 404, NoRoute, 0
	}
	q.route = route
	if !route.Open {
		if stale {
			return 503, StaleConfig, r.whenStale()
		}
		if q.org = r.conf.Holder(q.ask.Key); q.org == nil {
			return 401, BadKey, 0
		}
	}
	if q.service = r.conf.Choose(route, q.ask.RequestID); q.service == nil {
		return 503, NoBackend, comeBackStart
	}
	if e := q.service.Engine; e != nil && e.MemoryTokens > 0 && q.most() > e.MemoryTokens {
		return 503, TooLarge, 0
	}
	if !r.backends.Listed(q.service.Name, answering(q.service)) {
		return 503, NoBackend, comeBackStart
	}
	r.setTimes(q)
	return r.takeTokens(q)
}

// answering returns the stage of the backend servers that answer for a service.
func answering(s *catalog.Service) backends.Stage {
	if s.Engine == nil {
		return backends.Plain
	}
	return backends.Decode
}

// whenStale is the time to come back after a refusal for a configuration that is too
// old: at once if another host has a newer one.
func (r *Relay) whenStale() time.Duration {
	if r.peerFresh() {
		return comeBackSoon
	}
	return comeBackStart
}

func (r *Relay) setTimes(q *request) {
	wait := maxWait
	if q.ask.Deadline > 0 {
		wait = min(wait, q.ask.Deadline)
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(wait)
	q.waitTill = q.arrived.Add(r.patience(q))
}

// patience returns how long a request may wait for room from now on.
func (r *Relay) patience(q *request) time.Duration {
	left := q.deadline.Sub(r.now)
	switch {
	case q.started:
		return min(resumeWait, left)
	case q.route.Target == 0:
		return left / 2
	}
	return min(time.Duration(float64(q.route.Target)*r.cfg.QueueShare), left)
}

func (r *Relay) takeTokens(q *request) (status int, reason Reason, after time.Duration) {
	if q.org == nil || q.org.Rate <= 0 {
		return 0, "", 0
	}
	tokens := q.org.PlainTokens
	if q.ask.Sized && !q.org.CountRequests {
		tokens = float64(q.ask.Prompt + q.ask.Output)
	}
	ok, wait := r.quota.Take(r.now, q.org.Name, tokens)
	if !ok {
		left, lim := r.quota.State(r.now, q.org.Name)
		r.log(Decision{
			Step: "limit", RequestID: q.ask.RequestID, Organisation: q.org.Name, Version: r.conf.Version, Age: r.age(),
			Detail: fmt.Sprintf("asks for %.0f tokens of %.0f left, limit %.0f/s and %.0f at once", tokens, left, lim.Rate, lim.Burst),
		})
		return 429, OverLimit, wait
	}
	q.charged = tokens
	return 0, "", 0
}

// most is the KV cache in tokens that a request may come to hold.
func (q *request) most() int64 { return q.ask.Prompt + q.ask.Output }

// need is the KV cache in tokens that is counted for a request: its prompt and a part
// of the expected output. The requests of an engine are at different points of their
// answers, so their memory together stays below the sum of their ends.
func (q *request) need() int64 {
	return min(q.most(), q.ask.Prompt+int64(q.output*outputShare))
}

// urgency returns the rank of a request, 0 first.
func (q *request) urgency() int {
	if q.org != nil && q.org.HasPriority {
		return q.org.Priority
	}
	return q.route.Priority
}

// repeatable tells whether a request that may have run may run again.
func (q *request) repeatable() bool {
	return q.route.Kind == catalog.Idempotent || q.route.Kind == catalog.Stream && q.route.Resumable
}
