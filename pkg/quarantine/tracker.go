package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Crashes is the number of servers that must crash under a trait before it is
	// quarantined. A lower number loses fewer servers to a harmful trait and suspects sound
	// ones more often.
	Crashes int
	// Spacing is the time within which crashes count as one, because they may have a
	// common cause, such as a failed rack.
	Spacing time.Duration
	// NewsDelay is the time within which the notes of other hosts arrive. A trait is not
	// quarantined earlier after its first crash, so that hosts that complete answers with
	// it can say so.
	NewsDelay time.Duration
	// CrashTTL is how long a crash counts.
	CrashTTL time.Duration
	// CompletedTTL is how long a completed answer counts as evidence that a trait is sound.
	CompletedTTL time.Duration
	// CompletedGrace is how long such a trait may go without another completed answer after
	// a crash before it is quarantined. It is also the time that servers have to complete
	// any answer: if they do not, the fault need not be in the requests.
	CompletedGrace time.Duration
	// ProbeAfter is the time until the first probe of a quarantined trait. It doubles with
	// each probe that crashes a server, up to ProbeAfterMax.
	ProbeAfter    time.Duration
	ProbeAfterMax time.Duration
	// ProbeTimeout is how long other requests wait for the result of a probe.
	ProbeTimeout time.Duration
	// ProbeTurn is the time that each host has for a probe before it is the turn of the
	// next. It must exceed the time in which hosts learn of a probe.
	ProbeTurn time.Duration
	// ForgetAfter is how long a trait stays quarantined after its probe is due if no request
	// asks for it.
	ForgetAfter time.Duration
	// RequestProbeFactor and RequestForgetAfter replace the factor of two and ForgetAfter for
	// whole requests. To keep one from the servers for long costs only its own caller, while
	// each probe may cost a server.
	RequestProbeFactor int
	RequestForgetAfter time.Duration
}

// DefaultConfig returns settings for servers that are back a few seconds after a crash.
func DefaultConfig() Config {
	return Config{
		Crashes:        3,
		Spacing:        100 * time.Millisecond,
		NewsDelay:      400 * time.Millisecond,
		CrashTTL:       30 * time.Second,
		CompletedTTL:   time.Minute,
		CompletedGrace: 3 * time.Second,
		ProbeAfter:     30 * time.Second,
		ProbeAfterMax:  10 * time.Minute,
		ProbeTimeout:   5 * time.Second,
		ProbeTurn:      2 * time.Second,
		ForgetAfter:    time.Minute,

		RequestProbeFactor: 10,
		RequestForgetAfter: time.Hour,
	}
}

const (
	// maxCrashes and maxCompleted limit what is remembered.
	maxCrashes   = 256
	maxCompleted = 4096
	// sameCrash is the largest difference between the times at which hosts notice a crash.
	sameCrash = time.Second
)

// Tracker decides for one host which traits are quarantined. It is not safe for concurrent
// use.
type Tracker struct {
	cfg       Config
	crashes   []crash // sorted by time
	completed map[ident.Trait]completion
	lastOwn   time.Time // last completed answer at this host, whatever its traits
	suspects  map[ident.Trait]*suspect
	refuted   map[ident.Trait]time.Time // when this host last had to say that a trait is sound
	changes   []Change
	unsent    bool // see HasNews
}

// crash is a server that crashed under a request that it had just begun to answer.
type crash struct {
	backend   ident.BackendID
	at        time.Time
	traits    []ident.Trait
	own       bool // noticed by this host
	explained bool // by a trait that has been quarantined
}

// completion is the last completed answer with a trait.
type completion struct {
	at  time.Time // anywhere, as far as is known
	own time.Time // at this host
}

// New returns a Tracker that knows of no crash.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:       cfg,
		completed: map[ident.Trait]completion{},
		suspects:  map[ident.Trait]*suspect{},
		refuted:   map[ident.Trait]time.Time{},
	}
}

// Crashed records that a server crashed when it began to answer a request with the given
// traits, in the order of the prompt.
func (t *Tracker) Crashed(now time.Time, backend ident.BackendID, traits []ident.Trait) {
	if len(traits) > 0 && t.addCrash(crash{backend: backend, at: now, traits: traits, own: true}) {
		t.unsent = true
		t.evaluate(now)
	}
}

// addCrash adds a crash unless it is known, and reports whether it was new.
func (t *Tracker) addCrash(c crash) bool {
	at := len(t.crashes)
	for i, known := range t.crashes {
		near := c.at.Sub(known.at).Abs() < sameCrash && known.backend == c.backend
		if near && slices.Equal(known.traits, c.traits) {
			return false
		}
		// All requests that began when the server crashed share its cause.
		c.explained = c.explained || near && known.explained
		if known.at.After(c.at) {
			at = min(at, i)
		}
	}
	t.crashes = slices.Insert(t.crashes, at, c)
	for _, p := range c.traits {
		if t.suspects[p] != nil {
			t.explain(p)
		}
	}
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
	}
	return true
}

// explain marks the crashes under a quarantined trait, so that they are not held against
// the other traits of the requests that ran on the crashed servers.
func (t *Tracker) explain(p ident.Trait) {
	for _, c := range t.crashes {
		if !slices.Contains(c.traits, p) {
			continue
		}
		for i := range t.crashes {
			other := &t.crashes[i]
			if other.backend == c.backend && other.at.Sub(c.at).Abs() < sameCrash {
				other.explained = true
			}
		}
	}
}

// Completed records a completed answer to a request with the given traits.
func (t *Tracker) Completed(now time.Time, traits []ident.Trait) {
	if len(traits) > 0 {
		t.lastOwn = now
	}
	for _, p := range traits {
		accused := t.accused(p)
		// Most requests never come again, so their answers count only while they are accused.
		if p.Digest() != "" && !accused && t.suspects[p] == nil {
			continue
		}
		// The other hosts need not say so too once they have heard it.
		t.unsent = t.unsent || accused
		t.setCompleted(now, p, completion{at: now, own: now})
	}
}

// accused reports whether a server has crashed under a trait since the last completed
// answer, and nothing else explains it.
func (t *Tracker) accused(p ident.Trait) bool {
	last := t.completed[p].at
	return slices.ContainsFunc(t.crashes, func(c crash) bool {
		return !c.explained && c.at.After(last) && slices.Contains(c.traits, p)
	})
}

func (t *Tracker) setCompleted(now time.Time, p ident.Trait, c completion) {
	if _, known := t.completed[p]; !known && len(t.completed) >= maxCompleted {
		t.makeRoom(now)
	}
	t.completed[p] = c
	if s := t.suspects[p]; s != nil && c.at.After(s.since) {
		t.refute(now, p, c)
		t.unsent = t.unsent || c.own.Equal(c.at)
		t.release(p, Cleared)
	}
}

// refute makes the notes say that this host has completed an answer with a trait.
func (t *Tracker) refute(now time.Time, p ident.Trait, c completion) {
	if c.own.Equal(c.at) {
		t.refuted[p] = now
	}
}

// release ends the quarantine of a trait. What it explained counts against other traits again.
func (t *Tracker) release(p ident.Trait, kind ChangeKind) {
	delete(t.suspects, p)
	for i := range t.crashes {
		t.crashes[i].explained = false
	}
	for other := range t.suspects {
		t.explain(other)
	}
	t.changes = append(t.changes, Change{Trait: p, Kind: kind})
}

// makeRoom drops the completed answers that no longer count, or any if the others fill the
// table: a trait without one is only suspected sooner.
func (t *Tracker) makeRoom(now time.Time) {
	maps.DeleteFunc(t.completed, func(_ ident.Trait, c completion) bool {
		return now.Sub(c.at) >= t.cfg.CompletedTTL
	})
	for p := range t.completed {
		if len(t.completed) < maxCompleted {
			return
		}
		delete(t.completed, p)
	}
}

// Tick forgets what has expired and quarantines the traits for which that is due.
func (t *Tracker) Tick(now time.Time) {
	expired := 0
	for expired < len(t.crashes) && now.Sub(t.crashes[expired].at) >= t.cfg.CrashTTL {
		expired++
	}
	t.crashes = slices.Delete(t.crashes, 0, expired)
	for p, s := range t.suspects {
		if t.forgotten(now, p, s) {
			t.release(p, Expired)
		}
	}
	maps.DeleteFunc(t.refuted, func(_ ident.Trait, at time.Time) bool { return now.Sub(at) >= noteTTL })
	t.evaluate(now)
}

// evaluate quarantines the traits that explain the crashes best.
func (t *Tracker) evaluate(now time.Time) {
	for len(t.crashes) >= t.cfg.Crashes {
		best, ok := t.mostSuspicious(now)
		if !ok {
			return
		}
		t.quarantine(now, best)
	}
}

// accusation is what speaks against a trait.
type accusation struct {
	trait     ident.Trait
	servers   []ident.BackendID // that crashed since the last completed answer
	first     time.Time         // first of these crashes
	completed time.Time         // last completed answer; zero if none is known
	position  int               // in the prompt
}

// mostSuspicious returns the trait that is to be quarantined next, if any: one without a
// completed answer before others, then the one that explains most of the crashes that
// nothing else explains. Of traits that always occur together it is the last one in the
// prompt, because more other requests share those before it.
func (t *Tracker) mostSuspicious(now time.Time) (accusation, bool) {
	var due []accusation
	count := map[ident.Trait]int{}
	for _, c := range t.crashes {
		if c.explained {
			continue
		}
		for i, p := range c.traits {
			if count[p]++; count[p] != t.cfg.Crashes {
				continue
			}
			if a := t.accuse(now, p, i); t.isDue(now, a) {
				due = append(due, a)
			}
		}
	}
	due = slices.DeleteFunc(due, func(a accusation) bool { return t.explainedByAnother(now, a) })
	if len(due) == 0 {
		return accusation{}, false
	}
	return slices.MinFunc(due, func(a, b accusation) int {
		return cmp.Or(a.completed.Compare(b.completed), cmp.Compare(len(b.servers), len(a.servers)),
			cmp.Compare(b.position, a.position), cmp.Compare(a.trait, b.trait))
	}), true
}

// explainedByAnother reports whether a trait of other requests is accused of all crashes that
// a trait is accused of: then either may be their cause, and another crash will tell. If the
// two still cannot be told apart after twice the crashes, both are quarantined.
func (t *Tracker) explainedByAnother(now time.Time, a accusation) bool {
	if len(a.servers) >= 2*t.cfg.Crashes {
		return false
	}
	common := map[ident.Trait]int{} // number of crashes of a that also are crashes under the trait
	related := map[ident.Trait]bool{a.trait: true}
	for _, under := range t.crashes {
		if !t.countsFor(a, under) {
			continue
		}
		found := map[ident.Trait]bool{}
		for _, c := range t.crashes {
			if c.backend != under.backend || c.at.Sub(under.at).Abs() >= sameCrash || c.explained {
				continue
			}
			for _, p := range c.traits {
				related[p] = related[p] || slices.Contains(c.traits, a.trait)
				if !found[p] && c.at.After(t.completed[p].at) {
					found[p] = true
					common[p]++
				}
			}
		}
	}
	for p, n := range common {
		if !related[p] && n >= common[a.trait] {
			return true
		}
	}
	return false
}

// countsFor reports whether a crash counts against a trait.
func (t *Tracker) countsFor(a accusation, c crash) bool {
	return !c.explained && c.at.After(a.completed) && slices.Contains(c.traits, a.trait)
}

// accuse collects the crashes under a trait.
func (t *Tracker) accuse(now time.Time, p ident.Trait, position int) accusation {
	a := accusation{trait: p, position: position}
	if c := t.completed[p]; now.Sub(c.at) < t.cfg.CompletedTTL {
		a.completed = c.at
	}
	var last time.Time
	lastOf := map[ident.BackendID]time.Time{}
	for _, c := range t.crashes {
		if !t.countsFor(a, c) {
			continue
		}
		// A server that is started again under its id may crash again. Under a trait that many
		// requests share, that may be its own fault.
		if before, crashed := lastOf[c.backend]; crashed && (p.Digest() == "" || c.at.Sub(before) < sameCrash) {
			continue
		}
		lastOf[c.backend] = c.at
		if len(a.servers) == 0 {
			a.first = c.at
		} else if c.at.Sub(last) < t.cfg.Spacing {
			continue
		}
		a.servers, last = append(a.servers, c.backend), c.at
	}
	return a
}

func (t *Tracker) isDue(now time.Time, a accusation) bool {
	wait := t.cfg.NewsDelay
	if !a.completed.IsZero() || t.lastOwn.Before(a.first) {
		wait = max(wait, t.cfg.CompletedGrace)
	}
	return len(a.servers) >= t.cfg.Crashes && now.Sub(a.first) >= wait
}
