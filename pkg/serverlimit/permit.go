package serverlimit

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Applicant is for whom a permit is asked.
type Applicant struct {
	Organisation ident.Organisation
	Priority     int // 0 is the most urgent
}

// Ask asks the coordinator of a process for a permit.
type Ask struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Backend      ident.BackendID
	StartedAt    int64
	Organisation ident.Organisation
	Priority     int
	LentMS       int64 // see Note
}

// Answer answers an Ask.
type Answer struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Backend      ident.BackendID
	StartedAt    int64
	Granted      bool
	BackoffMS    int64 // until the next permit may be asked for, if not granted
	RetryAfterMS int64 // until a request without a permit should come back
}

// Outcome is the result of Acquire.
type Outcome uint8

// Outcomes of Acquire.
const (
	Granted Outcome = iota
	Denied
	Pending // the coordinator has been asked
)

// permits is what this host knows of the permits for a process.
type permits struct {
	coordinator  ident.HostID // to which this host has lent its part; empty for none
	proposed     ident.HostID // the coordinator of another host
	lentSince    time.Time
	lentBefore   bool // the part has been lent by this process before
	backoffUntil time.Time
	retryAfter   time.Duration
	bucket
}

// Acquire asks for a permit for one request to a limited process. If the coordinator has to
// be asked, its answer has the returned id.
func (l *Limiter) Acquire(now time.Time, p Process, a Applicant) (Outcome, uint64) {
	k := l.limits[p]
	switch {
	case k == nil || !k.limited():
		return Granted, 0
	case !l.Askable(now, p):
		return Denied, 0
	}
	ask := Ask{
		Backend: p.ID, StartedAt: p.StartedAt, Organisation: a.Organisation, Priority: a.Priority,
		LentMS: now.Sub(k.lentSince).Milliseconds(),
	}
	if k.coordinator == l.cfg.Self {
		answer := l.decide(now, k, ask)
		l.applyAnswer(now, k, answer)
		if answer.Granted {
			return Granted, 0
		}
		return Denied, 0
	}
	l.nextAsk++
	ask.ID = l.nextAsk
	l.outgoing = append(l.outgoing, Outgoing{To: k.coordinator, Ask: &ask})
	return Pending, ask.ID
}

// Answered records the answer of a coordinator to an ask that is still waited for.
func (l *Limiter) Answered(now time.Time, a Answer) {
	if k := l.limits[Process{ID: a.Backend, StartedAt: a.StartedAt}]; k != nil {
		l.applyAnswer(now, k, a)
	}
}

func (l *Limiter) applyAnswer(now time.Time, k *limit, a Answer) {
	if a.Granted {
		return
	}
	k.backoffUntil = now.Add(time.Duration(a.BackoffMS) * time.Millisecond)
	k.retryAfter = time.Duration(a.RetryAfterMS) * time.Millisecond
}

// Unanswered records that an ask has not been answered within Config.AskTimeout.
func (l *Limiter) Unanswered(now time.Time, p Process) {
	if k := l.limits[p]; k != nil {
		k.backoffUntil = now.Add(l.cfg.LostBackoff)
		k.retryAfter = max(k.retryAfter, l.cfg.LostBackoff)
	}
}

// AskTimeout returns Config.AskTimeout.
func (l *Limiter) AskTimeout() time.Duration { return l.cfg.AskTimeout }
