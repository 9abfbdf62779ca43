package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

const (
	// maxRequestID is the length in bytes of the longest request id whose stream is recorded.
	maxRequestID = 256
	// pruneInterval is how often expired versions and origins are looked for.
	pruneInterval = time.Second
)

// Tracker knows the origins of streams. It is not safe for concurrent use.
type Tracker struct {
	cfg      Config
	versions *versions
	book     *book
	ranking  ranking
	// lastPeerAt is when there was another host, zero if never.
	lastPeerAt time.Time
	// lastID is of the last note or ask. It starts with the time, so that a late reply to an
	// earlier process of this host is not taken for one to this process.
	lastID  uint64
	notices notices
	// outdated is set if the view of the versions is too old, see tellIfOutdated.
	outdated bool
	asks     asks
	prunedAt time.Time
	out      Outputs
}

// New returns a tracker that knows no versions and no origins.
func New(cfg Config, now time.Time) *Tracker {
	return &Tracker{
		cfg:      cfg,
		versions: newVersions(cfg),
		book:     newBook(cfg.Life, cfg.Capacity),
		ranking:  newRanking(cfg, nil),
		lastID:   uint64(now.UnixNano()),
		notices:  newNotices(),
		asks:     newAsks(),
		prunedAt: now,
	}
}

// SetLife raises the longest time from the first event of a stream until a caller last
// resumes it. It is never lowered: streams that have begun may still be resumed.
func (t *Tracker) SetLife(life time.Duration) {
	if life > t.cfg.Life {
		t.cfg.Life, t.versions.cfg.Life, t.book.life = life, life, life
	}
}

// SetPeers sets the hosts that are alive and whose program keeps origins.
func (t *Tracker) SetPeers(now time.Time, peers []Peer) {
	had := t.ranking.count > 0
	t.ranking = newRanking(t.cfg, peers)
	if had || t.ranking.count > 0 {
		t.lastPeerAt = now
	}
	if !had && t.ranking.count > 0 {
		t.tellSeveral(now, slices.Collect(maps.Keys(t.versions.services))...)
	}
}

// Listed replaces the view of the servers by a complete list.
func (t *Tracker) Listed(now time.Time, servers []Serving) {
	t.tellSeveral(now, t.versions.replace(now, servers)...)
}

// Changed updates one server.
func (t *Tracker) Changed(now time.Time, s Serving) {
	added := t.versions.put(now, t.versions.lastCurrent(now), s)
	t.versions.updatedAt = now
	if added {
		t.tellSeveral(now, s.Service)
	}
}

// Removed records that a server is no longer listed.
func (t *Tracker) Removed(now time.Time, id ident.BackendID) {
	t.versions.remove(now, id)
	t.versions.updatedAt = now
}

// Confirmed records that the view of the servers is at least as recent as asOf. A host that
// calls it relies on its view only while that is recent; without any call, a view that is
// no longer updated is taken for current.
func (t *Tracker) Confirmed(now, asOf time.Time) {
	t.versions.confirm(now, asOf)
	t.tellIfOutdated(now)
	t.confirmAsks(now)
}

// Past adds the servers that were listed at any time within reach before now, as far as a
// history of the list shows. The view of the versions is complete since then. It has no
// effect on that before the first list; a reach of zero says that there is no history.
func (t *Tracker) Past(now time.Time, reach time.Duration, servers []Serving) {
	t.tellSeveral(now, t.versions.addPast(now, reach, servers)...)
}

// NeedsHistory reports whether a history of the list would make the view of a service's
// versions complete.
func (t *Tracker) NeedsHistory(now time.Time, service ident.Route) bool {
	return t.versions.needsHistory(now, service)
}

// Sole returns the only version that can have begun a stream of a service.
func (t *Tracker) Sole(now time.Time, service ident.Route) (ident.Version, bool) {
	return t.versions.sole(now, service)
}

// Begin records the origin of a stream whose first event has arrived. It reports whether
// the event may be sent at once; otherwise the stream follows in Outputs.Recorded.
func (t *Tracker) Begin(now time.Time, s Stream, by serverlimit.Process, v ident.Version) bool {
	if !recordable(s) {
		return true
	}
	t.book.put(now, record{stream: s, process: by, version: v, began: now, basis: Relayed})
	if only, ok := t.versions.sole(now, s.Service); ok && only == v {
		return true
	}
	if v == "" || t.versions.doubtful(s.Service, by, v, now) {
		return true // Such a stream goes on only at a sole version.
	}
	return t.notify(now, s)
}

// Resolve returns the origin of a stream that a caller resumes. If pending is true, other
// hosts have been asked and the outcome follows in Outputs.Resolved, once for all calls for
// the stream in the meantime.
//
// The others are asked also if one version alone can have begun the stream: they may have
// learned of another one earlier. For a stream without a name, that is all they are asked.
func (t *Tracker) Resolve(now time.Time, s Stream) (o Origin, pending bool) {
	if !recordable(s) {
		if o := t.only(now, s.Service); !o.Known() {
			return o, false
		}
		return t.ask(now, s)
	}
	if r := t.book.get(now, s); r != nil {
		return t.recorded(now, r), false
	}
	return t.ask(now, s)
}

// Receive applies a message of another host.
func (t *Tracker) Receive(now time.Time, from ident.HostID, m Message) {
	if from == t.cfg.Self {
		return
	}
	reply := Message{Acks: t.keep(now, from, m.Notes)}
	for _, id := range m.Acks {
		t.acknowledged(id, from)
	}
	for _, a := range m.Asks {
		reply.Answers = append(reply.Answers, t.answer(now, a))
	}
	for _, a := range m.Answers {
		t.answered(now, from, a)
	}
	if len(reply.Acks) > 0 || len(reply.Answers) > 0 {
		t.send(from, reply)
	}
}

// Tick ends the waits that have timed out and forgets what has expired.
func (t *Tracker) Tick(now time.Time) {
	t.tickNotices(now)
	t.tickAsks(now)
	t.tellIfOutdated(now)
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.prunedAt = now
		t.versions.prune(now)
		t.book.expire(now)
	}
}

// Next returns when the next Tick is due; zero if nothing waits.
func (t *Tracker) Next() time.Time {
	next := earliest(t.notices.next(), t.asks.next())
	if c := t.versions.confirmedAt; !c.IsZero() && !t.outdated {
		next = earliest(next, c.Add(t.cfg.StaleAfter+1))
	}
	return next
}

// Take returns the outputs since the last Take.
func (t *Tracker) Take() Outputs {
	out := t.out
	t.out = Outputs{}
	return out
}

func (t *Tracker) send(to ident.HostID, m Message) {
	t.out.Messages = append(t.out.Messages, Outgoing{To: to, Message: m})
}

func (t *Tracker) nextID() uint64 {
	t.lastID++
	return t.lastID
}

// only returns the origin of a stream of which nothing is recorded.
func (t *Tracker) only(now time.Time, service ident.Route) Origin {
	v, ok := t.versions.sole(now, service)
	if !ok {
		return Origin{}
	}
	return Origin{Version: v, Basis: OnlyVersion, Age: now.Sub(t.versions.completeSince)}
}

// recorded returns the origin of a stream that has a record.
func (t *Tracker) recorded(now time.Time, r *record) Origin {
	if t.reliable(r) {
		return Origin{Version: r.version, Process: r.process, Basis: r.basis, From: r.from, Age: now.Sub(r.began)}
	}
	if o := t.only(now, r.stream.Service); !r.conflicting && o.Version == r.version {
		return o
	}
	return Origin{}
}

// reliable reports whether the version of a record is that of the process that began the
// stream.
func (t *Tracker) reliable(r *record) bool {
	return !r.conflicting && r.version != "" &&
		!t.versions.doubtful(r.stream.Service, r.process, r.version, r.began)
}

func recordable(s Stream) bool { return s.RequestID != "" && len(s.RequestID) <= maxRequestID }

// earliest returns the earlier of two times, of which zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
