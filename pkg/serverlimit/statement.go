package serverlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Process identifies a process of a backend server. A new process at the same address has
// named no limit.
type Process struct {
	ID        ident.BackendID
	StartedAt int64 // see backends.Entry
}

// Kind says what an answer tells of a limit.
type Kind uint8

// Kinds of statements.
const (
	Unknown Kind = iota // the answer cannot be read or attributed
	None                // the process names no limit
	Named
)

// Statement is what a process says of its limit in an answer.
type Statement struct {
	Kind      Kind
	PerSecond float64 // requests from all hosts together, if Named
}

// Note is what a host tells the others of a limit. Times are ages, because clocks differ.
type Note struct {
	_         struct{} `cbor:",toarray"`
	Backend   ident.BackendID
	StartedAt int64
	Lifted    bool    // the process no longer names one
	PerSecond float64 // requests
	AgeMS     int64   // since the latest answer that said so
	// Coordinator is the host to which the sender has lent its part of the limit, and LentMS
	// the time since then. Empty if it has lent it to nobody.
	Coordinator ident.HostID
	LentMS      int64
}

// limit is what is known of the limit of a process.
type limit struct {
	lifted    bool // no limit is named
	perSecond float64
	at        time.Time // of the latest answer that said so; zero if none has named one
	cold      cold
	permits
}

// limited reports whether requests to the process need a permit.
func (l *limit) limited() bool { return !l.lifted || l.cold.active }

// rate returns the requests per second that the process takes from all hosts together.
func (l *limit) rate() float64 {
	switch {
	case !l.cold.active:
		return l.perSecond
	case l.lifted:
		return l.cold.perSecond
	}
	return min(l.perSecond, l.cold.perSecond)
}

const (
	// statementSlack is the largest difference of the times at which hosts hear what a
	// process says at one moment.
	statementSlack = 250 * time.Millisecond
	// liftedNoteTTL is how long hosts are told that a limit was lifted.
	liftedNoteTTL = 10 * time.Second
	// forgetAfter is how long the limit of a process that is not listed is remembered.
	forgetAfter = 10 * time.Minute
	// maxLimits and maxNotes bound what is remembered and what is in one message.
	maxLimits = 4096
	maxNotes  = 64
)

// stricter reports whether a statement allows less than what is known.
func (l *limit) stricter(lifted bool, perSecond float64) bool {
	return !lifted && (l.lifted || perSecond < l.perSecond)
}

func (l *limit) same(lifted bool, perSecond float64) bool {
	return l.lifted == lifted && (lifted || l.perSecond == perSecond)
}

// Change is a change of what is known of a limit, for the log.
type Change struct {
	Process   Process
	Lifted    bool
	PerSecond float64
}

// Observe records what a process says of its limit in the answer to a request that was sent
// at sentAt, and returns what has changed. Answers overtake each other: one to a request that
// was sent before the latest statement was received may be the older one, and counts only
// if it is stricter.
func (l *Limiter) Observe(now, sentAt time.Time, p Process, s Statement) (Change, bool) {
	known := l.limits[p]
	if s.Kind == Unknown || s.Kind == None && (known == nil || known.at.IsZero()) {
		return Change{}, false
	}
	lifted := s.Kind == None
	if known != nil && sentAt.Before(known.at) && !known.stricter(lifted, s.PerSecond) {
		return Change{}, false
	}
	c, changed := l.set(now, p, lifted, s.PerSecond, now)
	l.unsent = l.unsent || changed
	return c, changed
}

// applyStatements applies what another host has heard and returns what has changed.
func (l *Limiter) applyStatements(now time.Time, notes []Note) []Change {
	var changes []Change
	for _, n := range notes {
		p := Process{ID: n.Backend, StartedAt: n.StartedAt}
		at := now.Add(-time.Duration(max(0, n.AgeMS)) * time.Millisecond)
		known := l.limits[p]
		switch {
		case n.Lifted && (known == nil || known.at.IsZero()):
			continue
		case known != nil && at.Before(known.at.Add(-statementSlack)):
			continue
		case known != nil && at.Before(known.at.Add(statementSlack)) && !known.stricter(n.Lifted, n.PerSecond):
			continue
		}
		if c, changed := l.set(now, p, n.Lifted, n.PerSecond, at); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// set records a statement made at the given time.
func (l *Limiter) set(now time.Time, p Process, lifted bool, perSecond float64, at time.Time) (Change, bool) {
	known := l.limits[p]
	if known == nil {
		if len(l.limits) >= maxLimits {
			return Change{}, false
		}
		known = &limit{lifted: true}
		l.limits[p] = known
	}
	if at.After(known.at) {
		known.at = at
	}
	if known.same(lifted, perSecond) {
		return Change{}, false
	}
	l.refill(now, known)
	known.lifted, known.perSecond = lifted, perSecond
	l.restrict(now, p, known)
	return Change{Process: p, Lifted: lifted, PerSecond: perSecond}, true
}

// HasNews reports whether there is a change that the other hosts should get at once.
func (l *Limiter) HasNews() bool { return l.unsent }

// MarkSent records that the notes are being sent to all hosts.
func (l *Limiter) MarkSent() { l.unsent = false }

// Empty reports whether no process is known to have named a limit.
func (l *Limiter) Empty() bool { return len(l.limits) == 0 }

// Notes returns what the other hosts are told, the latest first. A limit is repeated for as
// long as it holds, for hosts that start later.
func (l *Limiter) Notes(now time.Time) []Note {
	var notes []Note
	for p, k := range l.limits {
		if !k.lifted || now.Sub(k.at) < liftedNoteTTL || k.lendsCold(l.cfg.Self) {
			notes = append(notes, k.note(now, p))
		}
	}
	slices.SortFunc(notes, func(a, b Note) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Backend, b.Backend))
	})
	return notes[:min(len(notes), maxNotes)]
}

func (l *limit) note(now time.Time, p Process) Note {
	age := now.Sub(l.at)
	if l.at.IsZero() {
		age = forgetAfter // the note only tells to whom the part is lent
	}
	return Note{
		Backend: p.ID, StartedAt: p.StartedAt, Lifted: l.lifted, PerSecond: l.perSecond, AgeMS: age.Milliseconds(),
		Coordinator: l.coordinator, LentMS: now.Sub(l.lentSince).Milliseconds(),
	}
}
