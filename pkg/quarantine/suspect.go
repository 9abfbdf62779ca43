package quarantine

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// maxSuspects limits the number of quarantined parts.
const maxSuspects = 64

// suspect is the state of a quarantined part.
type suspect struct {
	since   time.Time // a completed answer after this clears the part
	probes  int       // that crashed a server
	until   time.Time // no request with the part before this
	askedAt time.Time // last request with the part at this host
}

// ChangeKind says what happened to a part.
type ChangeKind uint8

// Kinds of changes.
const (
	Quarantined ChangeKind = iota
	Learned                // quarantined by another host
	Probed                 // a request with the part is let through
	Cleared                // an answer with the part was completed
	Expired                // no request has asked for the part
)

// String returns the kind as it is logged.
func (k ChangeKind) String() string {
	return [...]string{"quarantined", "learned", "probed", "cleared", "expired"}[k]
}

// Change is a change of the state of a part, for the log.
type Change struct {
	Part    ident.PromptPart
	Kind    ChangeKind
	Servers []ident.BackendID // that crashed under the part, if Quarantined
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

func (t *Tracker) quarantine(now time.Time, a accusation) {
	t.explain(a.part)
	if t.suspects[a.part] != nil || len(t.suspects) >= maxSuspects {
		return
	}
	t.suspects[a.part] = &suspect{since: now, until: now.Add(t.cfg.ProbeAfter)}
	t.unsent = true
	t.changes = append(t.changes, Change{Part: a.part, Kind: Quarantined, Servers: a.servers})
}

// Verdict is the decision on a request.
type Verdict struct {
	Blocked ident.PromptPart   // the quarantined part; empty if the request may run
	Wait    time.Duration      // until a request with the part may run
	Probes  []ident.PromptPart // quarantined parts that the request probes; see ProbeCrashed
}

// Check decides whether a request with the given parts may run. turn returns the position
// of this host in the order in which the hosts may probe a part.
func (t *Tracker) Check(now time.Time, parts []ident.PromptPart, turn func(ident.PromptPart) int) Verdict {
	var probes []ident.PromptPart
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		s.askedAt = now
		if wait := s.until.Sub(now); wait > 0 {
			return Verdict{Blocked: p, Wait: wait}
		}
		if wait := s.until.Add(time.Duration(turn(p)) * t.cfg.ProbeTurn).Sub(now); wait > 0 {
			return Verdict{Blocked: p, Wait: wait}
		}
		probes = append(probes, p)
	}
	for _, p := range probes {
		t.suspects[p].until = now.Add(t.cfg.ProbeTimeout)
		t.unsent = true
		t.changes = append(t.changes, Change{Part: p, Kind: Probed})
	}
	return Verdict{Probes: probes}
}

// Blocks returns the quarantined part of a request that has been checked before, or "".
// probes are the parts that the request probes.
func (t *Tracker) Blocks(parts, probes []ident.PromptPart) ident.PromptPart {
	if len(t.suspects) == 0 {
		return ""
	}
	for _, p := range parts {
		if t.suspects[p] != nil && !slices.Contains(probes, p) {
			return p
		}
	}
	return ""
}

// Wait returns the time until a request with a quarantined part may run.
func (t *Tracker) Wait(now time.Time, p ident.PromptPart) time.Duration {
	if s := t.suspects[p]; s != nil {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// ProbeCrashed records that the probe of parts crashed a server. A completed probe clears
// them, and one that ended in another way has shown nothing.
func (t *Tracker) ProbeCrashed(now time.Time, probes []ident.PromptPart) {
	for _, p := range probes {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		s.probes++
		s.since = now
		s.until = now.Add(t.probeAfter(s.probes))
		t.unsent = true
	}
}

func (t *Tracker) probeAfter(probes int) time.Duration {
	d := t.cfg.ProbeAfter
	for range probes {
		d = min(2*d, t.cfg.ProbeAfterMax)
	}
	return d
}

func (t *Tracker) forgotten(now time.Time, s *suspect) bool {
	last := s.until
	if s.askedAt.After(last) {
		last = s.askedAt
	}
	return now.Sub(last) >= t.cfg.ForgetAfter
}

// Suspects returns the quarantined parts in order.
func (t *Tracker) Suspects() []ident.PromptPart {
	var parts []ident.PromptPart
	for p := range t.suspects {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return parts
}

// HasChanges reports whether Changes would return any.
func (t *Tracker) HasChanges() bool { return len(t.changes) > 0 }
