package quarantine

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// maxSuspects limits the number of quarantined traits.
const maxSuspects = 256

// suspect is the state of a quarantined trait.
type suspect struct {
	since   time.Time // a completed answer after this clears the trait
	probes  int       // that crashed a server
	until   time.Time // no request with the trait before this
	askedAt time.Time // last request with the trait at this host
}

// ChangeKind says what happened to a trait.
type ChangeKind uint8

// Kinds of changes.
const (
	Quarantined ChangeKind = iota
	Learned                // quarantined by another host
	Probed                 // a request with the trait is let through
	Cleared                // an answer with the trait was completed
	Expired                // no request has asked for the trait
)

// String returns the kind as it is logged.
func (k ChangeKind) String() string {
	return [...]string{"quarantined", "learned", "probed", "cleared", "expired"}[k]
}

// Change is a change of the state of a trait, for the log.
type Change struct {
	Trait   ident.Trait
	Kind    ChangeKind
	Servers []ident.BackendID // that crashed under the trait, if Quarantined
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

func (t *Tracker) quarantine(now time.Time, a accusation) {
	t.explain(a.trait)
	if t.suspects[a.trait] != nil || len(t.suspects) >= maxSuspects {
		return
	}
	t.suspects[a.trait] = &suspect{since: now, until: now.Add(t.cfg.ProbeAfter)}
	t.unsent = true
	t.changes = append(t.changes, Change{Trait: a.trait, Kind: Quarantined, Servers: a.servers})
}

// Verdict is the decision on a request.
type Verdict struct {
	Blocked ident.Trait   // the quarantined trait; empty if the request may run
	Wait    time.Duration // until a request with the trait may run
	Probes  []ident.Trait // quarantined traits that the request probes; see ProbeCrashed
}

// Check decides whether a request with the given traits may run. turn returns the position
// of this host in the order in which the hosts may probe a trait.
func (t *Tracker) Check(now time.Time, traits []ident.Trait, turn func(ident.Trait) int) Verdict {
	var probes []ident.Trait
	for _, p := range traits {
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
		t.changes = append(t.changes, Change{Trait: p, Kind: Probed})
	}
	return Verdict{Probes: probes}
}

// Blocks returns the quarantined trait of a request that has been checked before, or "".
// probes are the traits that the request probes.
func (t *Tracker) Blocks(traits, probes []ident.Trait) ident.Trait {
	if len(t.suspects) == 0 {
		return ""
	}
	for _, p := range traits {
		if t.suspects[p] != nil && !slices.Contains(probes, p) {
			return p
		}
	}
	return ""
}

// Wait returns the time until a request with a quarantined trait may run.
func (t *Tracker) Wait(now time.Time, p ident.Trait) time.Duration {
	if s := t.suspects[p]; s != nil {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// ProbeCrashed records that the probe of traits crashed a server. A completed probe clears
// them, and one that ended in another way has shown nothing.
func (t *Tracker) ProbeCrashed(now time.Time, probes []ident.Trait) {
	for _, p := range probes {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		s.probes++
		s.since = now
		s.until = now.Add(t.probeAfter(p, s.probes))
		t.unsent = true
	}
}

func (t *Tracker) probeAfter(p ident.Trait, probes int) time.Duration {
	d, factor, most := t.cfg.ProbeAfter, 2, t.cfg.ProbeAfterMax
	if p.Digest() != "" {
		factor, most = t.cfg.RequestProbeFactor, t.cfg.RequestForgetAfter
	}
	for range probes {
		d = min(time.Duration(factor)*d, most)
	}
	return d
}

func (t *Tracker) forgotten(now time.Time, p ident.Trait, s *suspect) bool {
	after := t.cfg.ForgetAfter
	if p.Digest() != "" {
		after = t.cfg.RequestForgetAfter
	}
	last := s.until
	if s.askedAt.After(last) {
		last = s.askedAt
	}
	return now.Sub(last) >= after
}

// Suspects returns the quarantined traits in order.
func (t *Tracker) Suspects() []ident.Trait {
	var traits []ident.Trait
	for p := range t.suspects {
		traits = append(traits, p)
	}
	slices.Sort(traits)
	return traits
}

// HasChanges reports whether Changes would return any.
func (t *Tracker) HasChanges() bool { return len(t.changes) > 0 }
