package quarantine

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Notes is what a host tells the others. Times are ages, because clocks differ.
type Notes struct {
	Crashes   []CrashNote   `cbor:"1,keyasint,omitempty"` // noticed by the sender
	Completed []TraitNote   `cbor:"2,keyasint,omitempty"` // accused traits that the sender has completed
	Suspects  []SuspectNote `cbor:"3,keyasint,omitempty"`
}

// CrashNote names a server that crashed when it began to answer a request.
type CrashNote struct {
	_       struct{} `cbor:",toarray"`
	Backend ident.BackendID
	AgeMS   int64
	Traits  []ident.Trait
}

// TraitNote is the age of the last completed answer with a trait.
type TraitNote struct {
	_     struct{} `cbor:",toarray"`
	Trait ident.Trait
	AgeMS int64
}

// SuspectNote describes a quarantined trait.
type SuspectNote struct {
	_      struct{} `cbor:",toarray"`
	Trait  ident.Trait
	AgeMS  int64 // since the quarantine, or since its last probe crashed a server
	WaitMS int64 // until the next probe, negative if it is due
	Probes int   // that crashed a server
}

const (
	// noteTTL is how long a host repeats a note in its messages, some of which are lost.
	noteTTL = 10 * time.Second
	// maxCrashNotes, maxTraitNotes and maxSuspectNotes limit the size of a message: with
	// names of 12 bytes it stays below 4 KB.
	maxCrashNotes   = 16
	maxTraitNotes   = 32
	maxSuspectNotes = 32
	// maxTraits is the number of traits of a request that count.
	maxTraits = 17
)

// HasNews reports whether there are notes that the other hosts should get at once.
func (t *Tracker) HasNews() bool { return t.unsent }

// MarkSent records that the notes are being sent to all hosts.
func (t *Tracker) MarkSent() { t.unsent = false }

// Notes returns the notes for the other hosts, or nil if there are none.
func (t *Tracker) Notes(now time.Time) *Notes {
	if len(t.crashes) == 0 && len(t.suspects) == 0 && len(t.refuted) == 0 {
		return nil
	}
	n := &Notes{}
	accused := map[ident.Trait]bool{}
	for p := range t.refuted {
		accused[p] = true
	}
	// The newest crashes come first, in case not all fit.
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		if c.own && now.Sub(c.at) < noteTTL && len(n.Crashes) < maxCrashNotes {
			n.Crashes = append(n.Crashes, CrashNote{Backend: c.backend, AgeMS: now.Sub(c.at).Milliseconds(), Traits: c.traits})
		}
		for _, p := range c.traits {
			accused[p] = true
		}
	}
	for p, s := range t.suspects {
		accused[p] = true
		if len(n.Suspects) < maxSuspectNotes {
			n.Suspects = append(n.Suspects, SuspectNote{
				Trait: p, AgeMS: now.Sub(s.since).Milliseconds(), WaitMS: s.until.Sub(now).Milliseconds(), Probes: s.probes,
			})
		}
	}
	for p := range accused {
		if c := t.completed[p]; now.Sub(c.own) < t.cfg.CompletedTTL && len(n.Completed) < maxTraitNotes {
			n.Completed = append(n.Completed, TraitNote{Trait: p, AgeMS: now.Sub(c.own).Milliseconds()})
		}
	}
	return n
}

// Apply applies the notes of another host.
func (t *Tracker) Apply(now time.Time, n *Notes) {
	if n == nil {
		return
	}
	for _, note := range n.Completed {
		c := t.completed[note.Trait]
		if at := before(now, note.AgeMS); at.After(c.at) {
			c.at = at
			t.setCompleted(now, note.Trait, c)
		}
	}
	for _, note := range n.Suspects {
		t.applySuspect(now, note)
	}
	added := false
	for _, note := range n.Crashes {
		at := before(now, note.AgeMS)
		if len(note.Traits) > 0 && len(note.Traits) <= maxTraits && now.Sub(at) < t.cfg.CrashTTL {
			added = t.addCrash(crash{backend: note.Backend, at: at, traits: slices.Clone(note.Traits)}) || added
		}
	}
	if added {
		t.evaluate(now)
	}
}

// before returns the time that was the given age ago.
func before(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMS)) * time.Millisecond)
}

// applySuspect adopts the quarantine of a trait by another host, unless an answer with the
// trait has been completed since.
func (t *Tracker) applySuspect(now time.Time, note SuspectNote) {
	since := before(now, note.AgeMS)
	wait := min(time.Duration(note.WaitMS)*time.Millisecond, max(t.cfg.ProbeAfterMax, t.cfg.RequestForgetAfter))
	if c := t.completed[note.Trait]; c.at.After(since) {
		t.refute(now, note.Trait, c)
		return
	}
	s := t.suspects[note.Trait]
	if s == nil {
		s = &suspect{since: since, until: now.Add(wait), probes: note.Probes}
		if t.forgotten(now, note.Trait, s) || len(t.suspects) >= maxSuspects {
			return
		}
		t.suspects[note.Trait] = s
		t.explain(note.Trait)
		t.changes = append(t.changes, Change{Trait: note.Trait, Kind: Learned})
		return
	}
	if note.Probes > s.probes {
		s.since = since
	}
	s.probes = max(s.probes, note.Probes)
	if until := now.Add(wait); until.After(s.until.Add(waitSlack)) {
		s.until = until
	}
}

// waitSlack is the smallest difference by which another host's time of the next probe counts
// as later. A note is older than its receiver can know, so without it the time would recede
// with each note that hosts repeat to each other. A probe defers the next by more.
const waitSlack = 3 * time.Second
