package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// limitNoticed records what a backend server says of its limit.
func (r *Relay) limitNoticed(e ServerNoticed) {
	r.coldHeard(e)
	first := !r.KnowsServerLimits()
	c, changed := r.backends.Limits().Observe(r.now, e.SentAt, e.From.Process(), e.Notice.Limit)
	if !changed {
		return
	}
	r.logLimit(Decision{RequestID: e.RequestID}, c)
	if first {
		r.updateServerLimits()
	}
}

// logLimit logs a change of the limit of a backend server.
func (r *Relay) logLimit(d Decision, c serverlimit.Change) {
	d.Step, d.Backend, d.Outcome = "server_limit", c.Process.ID, fmt.Sprintf("%g requests per second", c.PerSecond)
	if c.Lifted {
		d.Outcome = "lifted"
	}
	r.log(d)
}

// KnowsServerLimits reports whether any backend server is known to have named a limit.
func (r *Relay) KnowsServerLimits() bool { return !r.backends.Limits().Empty() }

// limitsUpdatesPerHeartbeat is how often the limits get the state of the fleet, per heartbeat
// interval. In a large fleet it changes slowly and takes long to collect.
const limitsUpdatesPerHeartbeat = 4

// updateServerLimits passes the state of the fleet to the limits of servers.
func (r *Relay) updateServerLimits() {
	r.backends.Limits().Tick(r.now)
	r.logWarmed()
	if !r.KnowsServerLimits() && !r.coldServices || r.now.Sub(r.limitsUpdatedAt) < r.roster.Interval()/limitsUpdatesPerHeartbeat {
		return
	}
	r.limitsUpdatedAt = r.now
	r.forgetCold()
	f := serverlimit.Fleet{
		Silent: r.roster.Silent(r.now), Stopped: r.roster.Stopped(), MinHosts: r.assumedHosts(), HeartbeatInterval: r.roster.Interval(),
		AssumedHosts: r.coldAssumedHosts(),
	}
	converged := r.roster.Converged(r.now)
	if converged && r.drainStartedAt.IsZero() {
		f.Able = append(f.Able, r.cfg.Roster.Self.ID)
		f.AbleCold = append(f.AbleCold, r.cfg.Roster.Self.ID)
	}
	for _, h := range r.roster.Alive(r.now) {
		f.Reachable = append(f.Reachable, h.ID)
		if converged && r.keepsLimits[h.ID] {
			f.Able = append(f.Able, h.ID)
			if r.keepsCold[h.ID] {
				f.AbleCold = append(f.AbleCold, h.ID)
			}
		}
	}
	r.backends.Limits().SetFleet(r.now, f, r.backends.HasProcess)
}

// serverLimitNewsDue reports whether a heartbeat to all hosts should carry news of limits.
// In a large fleet sendLimitMessages sends them alone.
func (r *Relay) serverLimitNewsDue() bool {
	return !r.hasAggregators() && r.backends.Limits().HasNews()
}

// limitNewsInterval is the minimum time between two messages with news of limits: a server may
// name another number in each answer.
const limitNewsInterval = 100 * time.Millisecond

// sendLimitMessages sends asks for permits and answers to them, and in a large fleet the
// news of limits.
func (r *Relay) sendLimitMessages() {
	limits := r.backends.Limits()
	if limits.HasNews() && r.hasAggregators() && r.now.Sub(r.limitNewsAt) >= limitNewsInterval {
		r.limitNewsAt = r.now
		limits.MarkSent()
		r.sendToAll(Message{Limits: limits.Notes(r.now)})
	}
	for _, o := range limits.Outgoing() {
		m := Message{Heartbeat: roster.Heartbeat{From: r.cfg.Roster.Self}, Limits: o.Notes}
		if o.Ask != nil {
			m.Asks = []serverlimit.Ask{*o.Ask}
		}
		if o.Answer != nil {
			m.Answers = []serverlimit.Answer{*o.Answer}
		}
		if addr := r.roster.Addr(o.To); addr != "" {
			r.emit(Send{To: []string{addr}, Message: m})
		}
	}
}

// applyLimitMessage applies what a message says of limits and permits.
func (r *Relay) applyLimitMessage(m Message) {
	from := m.Heartbeat.From.ID
	first := !r.KnowsServerLimits()
	for _, c := range r.backends.Limits().ApplyNotes(r.now, from, m.Limits) {
		r.logLimit(Decision{Peer: from}, c)
	}
	if first {
		r.updateServerLimits()
	}
	for _, ask := range m.Asks {
		r.backends.Limits().Decide(r.now, from, ask)
	}
	for _, a := range m.Answers {
		r.permitAnswered(a)
	}
}

// permitted reports whether a request may be sent to its target: the server is not limited,
// or the request has a permit for it.
func (r *Relay) permitted(q *request) bool {
	return !r.backends.Limits().Limited(q.target.Process()) || slices.Contains(q.permits, q.target.Process())
}

// usePermit removes the permit for a server to which the request is being sent.
func (q *request) usePermit(to backends.Target) {
	n := len(q.permits)
	q.permits = slices.DeleteFunc(q.permits, func(p serverlimit.Process) bool { return p == to.Process() })
	q.permitUsed = len(q.permits) < n
}

// keepPermit takes back the last permit that was used for a call that has not been sent.
func (q *request) keepPermit(to backends.Target) {
	if q.permitUsed {
		q.permits, q.permitUsed = append(q.permits, to.Process()), false
	}
}

// acquirePermit gets a permit for a request to a server, if one is needed. While the
// coordinator is asked, the request waits and then goes on with resume.
func (r *Relay) acquirePermit(q *request, to backends.Target, resume func(granted bool)) serverlimit.Outcome {
	p := to.Process()
	if !r.backends.Limits().Limited(p) || slices.Contains(q.permits, p) {
		return serverlimit.Granted
	}
	outcome, ask := r.backends.Limits().Acquire(r.now, p, serverlimit.Applicant{Organisation: q.organisation(), Priority: q.priority()})
	switch outcome {
	case serverlimit.Granted:
		q.permits = append(q.permits, p)
	case serverlimit.Pending:
		q.phase, q.askedAt, q.ask, q.askedFor, q.resume = permitting, r.now, ask, p, resume
		r.awaitingPermit[ask] = q
	}
	return outcome
}

// permitAnswered goes on with a request whose ask has been answered.
func (r *Relay) permitAnswered(a serverlimit.Answer) {
	q := r.awaitingPermit[a.ID]
	if q == nil {
		return // the ask has timed out, or the caller has left
	}
	r.backends.Limits().Answered(r.now, a)
	if a.Granted {
		q.permits = append(q.permits, q.askedFor)
	}
	r.resumeAsked(q, a.Granted)
}

func (r *Relay) resumeAsked(q *request, granted bool) {
	resume := q.resume
	r.forgetAsk(q)
	resume(granted)
}

func (r *Relay) forgetAsk(q *request) {
	delete(r.awaitingPermit, q.ask)
	q.ask, q.resume = 0, nil
}

// expireAsks goes on with the requests whose asks have not been answered in time.
func (r *Relay) expireAsks() {
	var late []*request
	for _, q := range r.awaitingPermit {
		if r.now.Sub(q.askedAt) >= r.backends.Limits().AskTimeout() {
			late = append(late, q)
		}
	}
	for _, q := range late {
		r.backends.Limits().Unanswered(r.now, q.askedFor)
		r.logRequest(q, "permit", "coordinator did not answer")
		r.resumeAsked(q, false)
	}
}

// refuseUnpermitted ends the queued requests of a service all of whose engines have named a
// limit, if none of them issues a permit now.
func (r *Relay) refuseUnpermitted(service ident.Route, qu *queue) {
	wait, askable := r.backends.PermitWait(r.now, service, backends.Decode)
	if wait == 0 || askable {
		return
	}
	for _, q := range qu.all() {
		r.fail(q, NoPermit, r.spread(wait))
	}
}
