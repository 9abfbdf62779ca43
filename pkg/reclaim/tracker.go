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
	// ClaimInterval is the age at which a claim must be renewed. A shorter one
	// finds orphans earlier and costs more messages.
	ClaimInterval time.Duration
	// OrphanGrace is how long a silent host keeps its claims. A shorter one
	// cancels the work of hosts that are only slow.
	OrphanGrace time.Duration
}

// Host is the state of an entry host.
type Host struct {
	Incarnation ident.Incarnation
	Live        bool
}

// Orphan is work without a live owner.
type Orphan struct {
	Ref     ident.BackendRef
	Engines []ident.BackendID // that hold memory for it, sorted
}

// Tracker follows the claims of all hosts on the engines of one pool owner.
type Tracker struct {
	cfg      Config
	hosts    map[ident.HostID]Host
	claims   map[ident.BackendRef]*claim
	held     map[ident.BackendID]map[ident.BackendRef]bool
	sent     map[uint64]sentQuery
	queryID  uint64
	nextScan time.Time
}

type claim struct {
	ref       ident.BackendRef
	process   ident.Process // zero when the request id names none
	short     Claim
	renewed   time.Time
	asked     time.Time
	cancelled time.Time
	booked    bool
	disowned  bool
	engines   []ident.BackendID
}

type sentQuery struct {
	query Query
	at    time.Time
}

// New returns a tracker without claims.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:    cfg,
		hosts:  map[ident.HostID]Host{},
		claims: map[ident.BackendRef]*claim{},
		held:   map[ident.BackendID]map[ident.BackendRef]bool{},
		sent:   map[uint64]sentQuery{},
	}
}

// SetHosts replaces the known hosts. A host that is not listed is neither live
// nor dead; it is asked.
func (t *Tracker) SetHosts(hosts map[ident.HostID]Host) { t.hosts = hosts }

// Len returns the number of claims.
func (t *Tracker) Len() int { return len(t.claims) }

// Renew notes that the owner of an attempt has just claimed it with a booking.
func (t *Tracker) Renew(now time.Time, ref ident.BackendRef) {
	c := t.claim(now, ref)
	c.booked = true
	c.disowned = false
	c.renewed = now
}

// Release notes that the owner of an attempt has given it up. An engine that
// still holds it one interval later is told to cancel it.
func (t *Tracker) Release(now time.Time, ref ident.BackendRef) {
	c, ok := t.claims[ref]
	if !ok {
		return
	}
	c.booked = false
	c.disowned = true
	c.cancelled = now
	t.forgetIdle(c)
}

// Observe replaces what an engine holds, from a report.
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
			t.dropEngine(id, ref)
		}
	}
	t.held[id] = after
	if len(after) == 0 {
		delete(t.held, id)
	}
}

// Forget removes an engine that the caller no longer follows.
func (t *Tracker) Forget(id ident.BackendID) {
	for ref := range t.held[id] {
		t.dropEngine(id, ref)
	}
	delete(t.held, id)
}

// Resumed counts every claim as renewed. After a pause the ages say nothing about
// the other hosts, since their renewals could not be received.
func (t *Tracker) Resumed(now time.Time) {
	for _, c := range t.claims {
		c.renewed = now
	}
	clear(t.sent)
}

// Receive takes a host's answer and returns the attempts that it disowns.
func (t *Tracker) Receive(now time.Time, from ident.HostID, r Reply) []Orphan {
	s, ok := t.sent[r.ID]
	if !ok || s.query.Process != r.Process || from != r.Process.Host {
		return nil
	}
	delete(t.sent, r.ID)
	notMine := make(map[Claim]bool, len(r.NotMine))
	for _, c := range r.NotMine {
		notMine[c] = true
	}
	var orphans []Orphan
	for _, short := range s.query.Claims {
		c, ok := t.claims[short.Ref(r.Process)]
		switch {
		case !ok:
		case notMine[short]:
			orphans = append(orphans, t.orphan(now, c))
		case c.renewed.Before(s.at):
			c.renewed = s.at
		}
	}
	return orphans
}

// Tick returns the queries to send, each to the host of its Process, and the
// attempts that have become orphans or are still held after a cancellation.
func (t *Tracker) Tick(now time.Time) ([]Query, []Orphan) {
	if now.Before(t.nextScan) {
		return nil, nil
	}
	t.nextScan = now.Add(t.cfg.ClaimInterval / 4)
	t.expireQueries(now)
	var due, lost []*claim
	for _, c := range t.claims {
		switch {
		case t.isOrphan(now, c):
			if now.Sub(c.cancelled) >= t.cfg.ClaimInterval {
				lost = append(lost, c)
			}
		case t.mayAsk(now, c):
			due = append(due, c)
		}
	}
	slices.SortFunc(due, compareClaims)
	slices.SortFunc(lost, compareClaims)
	var orphans []Orphan
	for _, c := range lost {
		orphans = append(orphans, t.orphan(now, c))
	}
	return t.queries(now, due), orphans
}

func (t *Tracker) isOrphan(now time.Time, c *claim) bool {
	if c.disowned || now.Sub(c.renewed) >= t.cfg.OrphanGrace {
		return true
	}
	h, known := t.hosts[c.process.Host]
	return known && (h.Incarnation > c.process.Incarnation || !h.Live)
}

// mayAsk includes claims past half of their interval, so that the claims of one
// host travel in few queries. A query without an answer is repeated soon: the host
// may lose its claims because of a few lost messages otherwise.
func (t *Tracker) mayAsk(now time.Time, c *claim) bool {
	old := now.Sub(c.renewed) >= t.cfg.ClaimInterval/2
	return c.process.Host != "" && old && now.Sub(c.asked) >= t.cfg.ClaimInterval/4
}

// queries groups the due claims by process. A process is asked when one of its
// claims has reached the whole interval.
func (t *Tracker) queries(now time.Time, due []*claim) []Query {
	var out []Query
	for len(due) > 0 {
		p := due[0].process
		n := 0
		urgent := false
		for n < len(due) && due[n].process == p {
			urgent = urgent || now.Sub(due[n].renewed) >= t.cfg.ClaimInterval || due[n].asked.IsZero()
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
		c.asked = now
		q.Claims = append(q.Claims, c.short)
	}
	t.sent[q.ID] = sentQuery{query: q, at: now}
	return q
}

func (t *Tracker) expireQueries(now time.Time) {
	for id, s := range t.sent {
		if now.Sub(s.at) >= t.cfg.OrphanGrace {
			delete(t.sent, id)
		}
	}
}

// orphan returns the claim's orphan and keeps the claim only while an engine
// holds memory for it, so that a lost cancellation is repeated.
func (t *Tracker) orphan(now time.Time, c *claim) Orphan {
	o := Orphan{Ref: c.ref, Engines: slices.Clone(c.engines)}
	c.booked = false
	c.disowned = true
	c.cancelled = now
	t.forgetIdle(c)
	return o
}

func (t *Tracker) claim(now time.Time, ref ident.BackendRef) *claim {
	c, ok := t.claims[ref]
	if ok {
		return c
	}
	c = &claim{ref: ref, renewed: now}
	if p, short, err := parse(ref); err == nil {
		c.process, c.short = p, short
	}
	t.claims[ref] = c
	return c
}

func (c *claim) addEngine(id ident.BackendID) {
	if at, ok := slices.BinarySearch(c.engines, id); !ok {
		c.engines = slices.Insert(c.engines, at, id)
	}
}

func (t *Tracker) dropEngine(id ident.BackendID, ref ident.BackendRef) {
	c, ok := t.claims[ref]
	if !ok {
		return
	}
	if at, ok := slices.BinarySearch(c.engines, id); ok {
		c.engines = slices.Delete(c.engines, at, at+1)
	}
	t.forgetIdle(c)
}

func (t *Tracker) forgetIdle(c *claim) {
	if !c.booked && len(c.engines) == 0 {
		delete(t.claims, c.ref)
	}
}

// compareClaims orders claims by process and number, for a fixed order of effects.
func compareClaims(a, b *claim) int {
	return cmp.Or(
		cmp.Compare(a.process.Host, b.process.Host),
		cmp.Compare(a.process.Incarnation, b.process.Incarnation),
		cmp.Compare(a.short.Number, b.short.Number),
		cmp.Compare(a.ref.Request, b.ref.Request),
		cmp.Compare(a.ref.Attempt, b.ref.Attempt),
	)
}
