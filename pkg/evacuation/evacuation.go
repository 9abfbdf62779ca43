package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Ramp is the time from the end of an evacuation until the servers of the domain count in
	// full. It has to exceed the age of load reports, from which hosts see that a server that
	// was empty has got requests from others.
	Ramp time.Duration
	// RestoreGrace is how long an evacuation continues that is missing from the store after it
	// came back from an older copy. The operators write again what the copy lacks.
	RestoreGrace time.Duration
}

// DefaultConfig returns a ramp that is longer than most streams last.
func DefaultConfig() Config {
	return Config{Ramp: 10 * time.Second, RestoreGrace: 5 * time.Second}
}

// maxDomains bounds the domains that are remembered and not known to exist. Any program that
// writes the store can write such a key.
const maxDomains = 1024

// Change is a change of the state of a domain, for the log.
type Change struct {
	Domain    ident.FailureDomain
	Evacuated bool
}

// Tracker holds the evacuated failure domains. It is not safe for concurrent use.
type Tracker struct {
	cfg Config
	// evacuated has the time at which an evacuation ends unless it is listed again; zero for
	// one that is listed.
	evacuated map[ident.FailureDomain]time.Time
	returned  map[ident.FailureDomain]time.Time // end of the last evacuation
	changes   []Change
	// known reports whether a domain is known to exist; ignored counts the evacuations of
	// others that found no room.
	known   func(ident.FailureDomain) bool
	ignored int
}

// New returns a Tracker without evacuated domains. known reports whether a domain is known to
// exist; those are never left out for others.
func New(cfg Config, known func(ident.FailureDomain) bool) *Tracker {
	return &Tracker{cfg: cfg, known: known, evacuated: map[ident.FailureDomain]time.Time{}, returned: map[ident.FailureDomain]time.Time{}}
}

// List replaces the evacuated domains by those of a complete list. A domain that is missing
// from it is no longer evacuated, or RestoreGrace later if the store was restored from an older
// copy since the last list.
func (t *Tracker) List(now time.Time, domains []ident.FailureDomain, restored bool) {
	for _, d := range slices.Sorted(maps.Keys(t.evacuated)) {
		switch {
		case slices.Contains(domains, d) || !t.evacuated[d].IsZero(): // the latter is left to Tick
		case restored:
			t.evacuated[d] = now.Add(t.cfg.RestoreGrace)
		default:
			t.end(now, d)
		}
	}
	for _, d := range domains {
		t.Begin(d)
	}
}

// Begin records that a domain is evacuated.
func (t *Tracker) Begin(d ident.FailureDomain) {
	_, known := t.evacuated[d]
	if !known && len(t.evacuated) >= maxDomains && !t.known(d) {
		t.ignored++
		return
	}
	t.evacuated[d] = time.Time{}
	if !known {
		t.changes = append(t.changes, Change{Domain: d, Evacuated: true})
	}
}

// End records that the evacuation of a domain was withdrawn.
func (t *Tracker) End(now time.Time, d ident.FailureDomain) {
	if _, known := t.evacuated[d]; known {
		t.end(now, d)
	}
}

func (t *Tracker) end(now time.Time, d ident.FailureDomain) {
	delete(t.evacuated, d)
	t.returned[d] = now
	t.changes = append(t.changes, Change{Domain: d})
}

// Tick ends the evacuations that a restored store does not have, and the ramps that are over.
// It must only be called while the store can be read.
func (t *Tracker) Tick(now time.Time) {
	for _, d := range slices.Sorted(maps.Keys(t.evacuated)) {
		if ends := t.evacuated[d]; !ends.IsZero() && !now.Before(ends) {
			t.end(now, d)
		}
	}
	maps.DeleteFunc(t.returned, func(_ ident.FailureDomain, at time.Time) bool { return now.Sub(at) >= t.cfg.Ramp })
}

// Evacuated reports whether a domain is evacuated.
func (t *Tracker) Evacuated(d ident.FailureDomain) bool {
	if len(t.evacuated) == 0 {
		return false
	}
	_, evacuated := t.evacuated[d]
	return evacuated
}

// Share returns the share of its usual load that a domain should get, in (0, 1]. It grows
// after an evacuation.
func (t *Tracker) Share(now time.Time, d ident.FailureDomain) float64 {
	if len(t.returned) == 0 {
		return 1
	}
	at, returned := t.returned[d]
	if !returned {
		return 1
	}
	return RampShare(now.Sub(at), t.cfg.Ramp)
}

// firstShare is the share at the start of a ramp: with less, no request would show within a
// second that the server works again.
const firstShare = 0.05

// RampShare returns the share of the usual load of a server some time after it came back, on
// a ramp of the given length.
func RampShare(since, ramp time.Duration) float64 {
	if since >= ramp || ramp <= 0 {
		return 1
	}
	return max(firstShare, since.Seconds()/ramp.Seconds())
}

// Ramp returns Config.Ramp.
func (t *Tracker) Ramp() time.Duration { return t.cfg.Ramp }

// Empty reports whether no domain is evacuated.
func (t *Tracker) Empty() bool { return len(t.evacuated) == 0 }

// Domains returns the evacuated domains in order.
func (t *Tracker) Domains() []ident.FailureDomain { return slices.Sorted(maps.Keys(t.evacuated)) }

// Size returns the number of evacuated domains.
func (t *Tracker) Size() int { return len(t.evacuated) }

// Ignored returns the number of evacuations that found no room since the last call.
func (t *Tracker) Ignored() int {
	n := t.ignored
	t.ignored = 0
	return n
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}
