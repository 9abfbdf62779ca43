package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Tracker.
type Config struct {
	// ClaimInterval is the age at which a claim must be renewed. A shorter interval
	// finds orphans earlier but needs more messages.
	ClaimInterval time.Duration
	// OrphanGrace is how long the claims of a host that does not answer are kept. A
	// shorter period cancels the work of hosts that are only slow.
	OrphanGrace time.Duration
}

// Host is the state of an entry host.
type Host struct {
	Incarnation ident.Incarnation
	Live        bool
}

// Orphan is an attempt without a live owner.
type Orphan struct {
	Ref     ident.BackendRef
	Engines []ident.BackendID // engines that hold memory for it, sorted
}

// Tracker tracks the claims of all hosts on the engines of one pool owner.
type Tracker struct {
	cfg      Config
	hosts    map[ident.HostID]Host
	claims   map[ident.BackendRef]*claim
	held     map[ident.BackendID]map[ident.BackendRef]bool
	pending  map[uint64]pendingQuery // by query ID
	queryID  uint64
	nextScan time.Time
}

type claim struct {
	ref         ident.BackendRef
	process     ident.Process // zero if the request id names no process
	wire        Claim         // as sent in queries
	renewedAt   time.Time
	queriedAt   time.Time
	cancelledAt time.Time
	reserved    bool
	notOwned    bool
	engines     []ident.BackendID
}

type pendingQuery struct {
	query  Query
	sentAt time.Time
}

// New returns a tracker without claims.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		hosts:   map[ident.HostID]Host{},
		claims:  map[ident.BackendRef]*claim{},
		held:    map[ident.BackendID]map[ident.BackendRef]bool{},
		pending: map[uint64]pendingQuery{},
	}
}

// SetHosts replaces the known hosts. The state of a host that is not listed is unknown:
// it is queried, and its claims expire after the grace period.
func (t *Tracker) SetHosts(hosts map[ident.HostID]Host) { t.hosts = hosts }

// Len returns the number of claims.
func (t *Tracker) Len() int { return len(t.claims) }

// Renew records that the owner of an attempt has just claimed it with a reservation.
func (t *Tracker) Renew(now time.Time, ref ident.BackendRef) {
	c := t.claim(now, ref)
	c.reserved = true
	c.notOwned = false
	c.renewedAt = now
}

// Release records that the owner has released an attempt. If an engine still holds it one
// ClaimInterval later, Tick reports it as an orphan.
func (t *Tracker) Release(now time.Time, ref ident.BackendRef) {
	c, ok := t.claims[ref]
	if !ok {
		return
	}
	c.reserved = false
	c.notOwned = true
	c.cancelledAt = now
	t.deleteIfUnused(c)
}

// Observe replaces the set of attempts that an engine holds by those of its report.
func (t *Tracker) Observe(now time.Time, id ident.BackendID, held []engine.HeldRequest) {
	before := t.held[id]
	after := make(map[ident.BackendRef]bool, len(held))
	for _, h := range held {
		after[h.Ref] = true
		if !before[h.Ref] {
			t.claim(now, h.Ref).addEngine(id)
		}
	}
	for ref := range before {
		if !after[ref] {
			t.removeEngine(id, ref)
		}
	}
	t.held[id] = after
	if len(after) == 0 {
		delete(t.held, id)
	}
}

// Forget removes an engine that the caller no longer tracks.
func (t *Tracker) Forget(id ident.BackendID) {
	for ref := range t.held[id] {
		t.removeEngine(id, ref)
	}
	delete(t.held, id)
}

// Resumed renews every claim after this process was paused. The age of the claims says
// nothing about the other hosts then, since their renewals could not be received.
func (t *Tracker) Resumed(now time.Time) {
	for _, c := range t.claims {
		c.renewedAt = now
	}
	clear(t.pending)
}

// Receive processes a host's reply and returns the attempts that it no longer owns.
func (t *Tracker) Receive(now time.Time, from ident.HostID, r Reply) []Orphan {
	s, ok := t.pending[r.ID]
	if !ok || s.query.Process != r.Process || from != r.Process.Host {
		return nil
	}
	delete(t.pending, r.ID)
	notOwned := make(map[Claim]bool, len(r.NotOwned))
	for _, c := range r.NotOwned {
		notOwned[c] = true
	}
	var orphans []Orphan
	for _, id := range s.query.Claims {
		c, ok := t.claims[id.Ref(r.Process)]
		switch {
		case !ok:
		case notOwned[id]:
			orphans = append(orphans, t.orphan(now, c))
		case c.renewedAt.Before(s.sentAt):
			c.renewedAt = s.sentAt
		}
	}
	return orphans
}

// Tick returns the queries to send, each to the host of its Process, and the attempts
// that have become orphans or are still held one ClaimInterval after a cancellation.
func (t *Tracker) Tick(now time.Time) ([]Query, []Orphan) {
	if now.Before(t.nextScan) {
		return nil, nil
	}
	t.nextScan = now.Add(t.cfg.ClaimInterval / 4)
	t.expireQueries(now)
	var due, orphaned []*claim
	for _, c := range t.claims {
		switch {
		case t.isOrphan(now, c):
			if now.Sub(c.cancelledAt) >= t.cfg.ClaimInterval {
				orphaned = append(orphaned, c)
			}
		case t.queryable(now, c):
			due = append(due, c)
		}
	}
	slices.SortFunc(due, compareClaims)
	slices.SortFunc(orphaned, compareClaims)
	var orphans []Orphan
	for _, c := range orphaned {
		orphans = append(orphans, t.orphan(now, c))
	}
	return t.queries(now, due), orphans
}

func (t *Tracker) isOrphan(now time.Time, c *claim) bool {
	if c.notOwned || now.Sub(c.renewedAt) >= t.cfg.OrphanGrace {
		return true
	}
	h, known := t.hosts[c.process.Host]
	return known && (h.Incarnation > c.process.Incarnation || !h.Live)
}

// queryable reports whether a query may include the claim. That begins at half of the
// interval, so that the claims of one host need few queries. An unanswered query is
// repeated after a quarter of the interval: otherwise a few lost messages could let the
// claims of a live host expire.
func (t *Tracker) queryable(now time.Time, c *claim) bool {
	old := now.Sub(c.renewedAt) >= t.cfg.ClaimInterval/2
	return c.process.Host != "" && old && now.Sub(c.queriedAt) >= t.cfg.ClaimInterval/4
}

// queries groups the due claims, which are sorted by process, into one query for each
// process. A process is queried once one of its claims has reached the whole interval or
// has never been queried.
func (t *Tracker) queries(now time.Time, due []*claim) []Query {
	var out []Query
	for len(due) > 0 {
		p := due[0].process
		n := 0
		urgent := false
		for n < len(due) && due[n].process == p {
			urgent = urgent || now.Sub(due[n].renewedAt) >= t.cfg.ClaimInterval || due[n].queriedAt.IsZero()
			n++
		}
		if urgent {
			out = append(out, t.query(now, p, due[:n]))
		}
		due = due[n:]
	}
	return out
}

func (t *Tracker) query(now time.Time, p ident.Process, cs []*claim) Query {
	t.queryID++
	q := Query{ID: t.queryID, Process: p}
	for _, c := range cs {
		c.queriedAt = now
		q.Claims = append(q.Claims, c.wire)
	}
	t.pending[q.ID] = pendingQuery{query: q, sentAt: now}
	return q
}

func (t *Tracker) expireQueries(now time.Time) {
	for id, s := range t.pending {
		if now.Sub(s.sentAt) >= t.cfg.OrphanGrace {
			delete(t.pending, id)
		}
	}
}

// orphan marks the claim as orphaned and returns the orphan to cancel. The claim is kept
// only while an engine holds memory for it, so that a lost cancellation is repeated.
func (t *Tracker) orphan(now time.Time, c *claim) Orphan {
	o := Orphan{Ref: c.ref, Engines: slices.Clone(c.engines)}
	c.reserved = false
	c.notOwned = true
	c.cancelledAt = now
	t.deleteIfUnused(c)
	return o
}

func (t *Tracker) claim(now time.Time, ref ident.BackendRef) *claim {
	c, ok := t.claims[ref]
	if ok {
		return c
	}
	c = &claim{ref: ref, renewedAt: now}
	if p, id, err := parse(ref); err == nil {
		c.process, c.wire = p, id
	}
	t.claims[ref] = c
	return c
}

func (c *claim) addEngine(id ident.BackendID) {
	if at, ok := slices.BinarySearch(c.engines, id); !ok {
		c.engines = slices.Insert(c.engines, at, id)
	}
}

func (t *Tracker) removeEngine(id ident.BackendID, ref ident.BackendRef) {
	c, ok := t.claims[ref]
	if !ok {
		return
	}
	if at, ok := slices.BinarySearch(c.engines, id); ok {
		c.engines = slices.Delete(c.engines, at, at+1)
	}
	t.deleteIfUnused(c)
}

func (t *Tracker) deleteIfUnused(c *claim) {
	if !c.reserved && len(c.engines) == 0 {
		delete(t.claims, c.ref)
	}
}

// compareClaims orders claims by process and number, so that queries and orphans come in a
// deterministic order.
func compareClaims(a, b *claim) int {
	return cmp.Or(
		cmp.Compare(a.process.Host, b.process.Host),
		cmp.Compare(a.process.Incarnation, b.process.Incarnation),
		cmp.Compare(a.wire.Number, b.wire.Number),
		cmp.Compare(a.ref.Request, b.ref.Request),
		cmp.Compare(a.ref.Attempt, b.ref.Attempt),
	)
}
