package serverlimit

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// servedHalfLife is the time in which what an organisation has been granted counts half.
	servedHalfLife = 5 * time.Second
	// maxApplicants bounds the applicants that are remembered for one process.
	maxApplicants = 1024
	// sharePeriod is how long the part that others have lent is taken as unchanged.
	sharePeriod = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a host does not ask again.
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a request should come back.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// bucket is the state of a coordinator for one process.
type bucket struct {
	level      float64   // permits
	fullAt     time.Time // when a permit of a small part of a cold limit was there, see dropUnused
	refilledAt time.Time
	lent       map[ident.HostID]loan // parts that other hosts have lent to this one
	share      float64               // of the limit that was lent at shareAt
	shareAt    time.Time
	applicants map[Applicant]*record
	denied     float64 // asks per second, a decaying average
	deniedAt   time.Time
}

// loan is a host's part of a limit. A host lends it to one coordinator at a time, so
// coordinators that do not know of each other cannot issue more than the limit together.
type loan struct {
	since   time.Time
	heardAt time.Time
}

// record is what an applicant has been granted and denied.
type record struct {
	served   float64 // decays with servedHalfLife
	servedAt time.Time
	deniedAt time.Time
}

// ApplyNotes applies the notes of a host, which also say to whom it has lent its parts.
func (l *Limiter) ApplyNotes(now time.Time, from ident.HostID, notes []Note) []Change {
	changes := l.applyStatements(now, notes)
	for _, n := range notes {
		k := l.limits[Process{ID: n.Backend, StartedAt: n.StartedAt}]
		if k == nil {
			continue
		}
		if n.Coordinator != "" {
			k.proposed = n.Coordinator
			l.chooseCoordinator(now, Process{ID: n.Backend, StartedAt: n.StartedAt}, k)
		}
		l.recordLoan(now, k, from, n.Coordinator, n.LentMS)
	}
	return changes
}

// recordLoan records to which coordinator a host has lent its part, and for how long.
func (l *Limiter) recordLoan(now time.Time, k *limit, from, to ident.HostID, lentMS int64) {
	if to != l.cfg.Self {
		if _, lent := k.lent[from]; lent {
			l.refill(now, k)
			delete(k.lent, from)
			k.shareAt = time.Time{}
		}
		return
	}
	if k.lent == nil {
		k.lent = map[ident.HostID]loan{}
	}
	since := now.Add(-time.Duration(max(0, lentMS)) * time.Millisecond)
	k.lent[from] = loan{since: since, heardAt: now}
}

// Decide answers another host's ask, which also lends this host its part.
func (l *Limiter) Decide(now time.Time, from ident.HostID, ask Ask) {
	k := l.limits[Process{ID: ask.Backend, StartedAt: ask.StartedAt}]
	if k != nil && !k.limited() && k.cold.ended(now) {
		// The other host has not read yet that the server is warm.
		a := Answer{ID: ask.ID, Backend: ask.Backend, StartedAt: ask.StartedAt, Granted: true}
		l.outgoing = append(l.outgoing, Outgoing{To: from, Answer: &a})
		return
	}
	if k == nil || !k.limited() {
		a := Answer{ID: ask.ID, Backend: ask.Backend, StartedAt: ask.StartedAt, BackoffMS: l.cfg.LostBackoff.Milliseconds()}
		out := Outgoing{To: from, Answer: &a}
		if k != nil {
			// The other host has missed that the limit was lifted.
			out.Notes = []Note{k.note(now, Process{ID: ask.Backend, StartedAt: ask.StartedAt})}
		}
		l.outgoing = append(l.outgoing, out)
		return
	}
	l.recordLoan(now, k, from, l.cfg.Self, ask.LentMS)
	a := l.decide(now, k, ask)
	l.outgoing = append(l.outgoing, Outgoing{To: from, Answer: &a})
}

// decide issues a permit or denies it.
func (l *Limiter) decide(now time.Time, k *limit, ask Ask) Answer {
	l.refill(now, k)
	a := Applicant{Organisation: ask.Organisation, Priority: ask.Priority}
	if k.applicants == nil || len(k.applicants) >= maxApplicants {
		k.applicants = map[Applicant]*record{}
	}
	r := k.applicants[a]
	if r == nil {
		r = &record{servedAt: now}
		k.applicants[a] = r
	}
	rate := l.issueRate(k)
	need := 1.0
	if k.yields(now, a, max(time.Second, timeFor(2, rate))) {
		need = l.depth(k)
	}
	// The tolerance is for rounding: a level that is approached in steps may miss the depth.
	if k.level >= need-1e-6 {
		k.level--
		k.fullAt = time.Time{}
		r.served = r.servedNow(now) + 1
		r.servedAt, r.deniedAt = now, time.Time{}
		return Answer{ID: ask.ID, Backend: ask.Backend, StartedAt: ask.StartedAt, Granted: true}
	}
	r.deniedAt = now
	backlog := k.countDenied(now)
	backoff := min(max(timeFor(need-k.level, rate), minBackoff), maxBackoff)
	retryAfter := min(max(backoff+timeFor(backlog, rate), minRetryAfter), maxRetryAfter)
	return Answer{
		ID: ask.ID, Backend: ask.Backend, StartedAt: ask.StartedAt,
		BackoffMS: backoff.Milliseconds(), RetryAfterMS: retryAfter.Milliseconds(),
	}
}

// timeFor returns the time in which a bucket gains a number of permits.
func timeFor(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(n/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// yields reports whether others that were denied lately come before an applicant: more
// urgent ones, and equally urgent ones of organisations that have been granted less.
func (k *limit) yields(now time.Time, a Applicant, lately time.Duration) bool {
	own := k.applicants[a].servedNow(now)
	for b, r := range k.applicants {
		if b == a || r.deniedAt.IsZero() || now.Sub(r.deniedAt) > lately {
			continue
		}
		if b.Priority < a.Priority || b.Priority == a.Priority && r.servedNow(now) < own {
			return true
		}
	}
	return false
}

// servedNow returns how much has been granted, with its decay.
func (r *record) servedNow(now time.Time) float64 {
	return r.served * math.Exp2(-now.Sub(r.servedAt).Seconds()/servedHalfLife.Seconds())
}

// countDenied counts a denied ask and returns those of about the last second.
func (k *limit) countDenied(now time.Time) float64 {
	k.denied = k.denied*math.Exp(-now.Sub(k.deniedAt).Seconds()) + 1
	k.deniedAt = now
	return k.denied
}

// issueRate returns the permits per second that this host issues.
func (l *Limiter) issueRate(k *limit) float64 {
	issued := max(k.rate(), l.cfg.MinRate) * l.cfg.Share
	if k.cold.active {
		issued = min(issued, l.coldRate(k))
	}
	return issued * k.share
}

// depth returns the number of permits that a bucket saves.
func (l *Limiter) depth(k *limit) float64 {
	depth := max(l.cfg.Depth, k.rate()*l.cfg.DepthTime.Seconds())
	if k.cold.active {
		// All coordinators together save no more than one would.
		return max(1, depth*k.share)
	}
	return depth
}

// refill adds the permits of the time since the last refill, at the rate of its begin: a
// part that is lent in between counts from now on. After a time without refills, such as a
// pause of the process, nothing is known of what was lent meanwhile.
func (l *Limiter) refill(now time.Time, k *limit) {
	elapsed := now.Sub(k.refilledAt)
	k.refilledAt = now
	if elapsed > 0 && elapsed < maxRefill {
		k.level = min(l.depth(k), k.level+elapsed.Seconds()*l.issueRate(k))
	}
	l.dropUnused(now, k)
	if now.Sub(k.shareAt) < sharePeriod && elapsed < maxRefill {
		return
	}
	k.shareAt = now
	k.share = l.lentShare(now, k)
}

// maxRefill is the longest time for which one refill adds permits.
const maxRefill = time.Second

// lentShare returns the share of a limit that reachable hosts have lent to this one, its own
// part included. A part counts once the coordinator before this one has surely noticed that
// it has lost it.
func (l *Limiter) lentShare(now time.Time, k *limit) float64 {
	settled := l.fleet.loanTTL() + l.cfg.MessageDelay
	parts := 0
	if k.coordinator == l.cfg.Self && now.Sub(k.lentSince) >= settled {
		parts++
	}
	for host, lent := range k.lent {
		if now.Sub(lent.heardAt) >= l.fleet.loanTTL() {
			delete(k.lent, host)
			continue
		}
		if now.Sub(lent.since) >= settled {
			parts++
		}
	}
	return float64(parts) / float64(max(l.hostsFor(k), parts))
}
