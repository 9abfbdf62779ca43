package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// maxAsks is the number of streams about which other hosts are asked at a time.
const maxAsks = 4096

// asks are the streams about which other hosts have been asked.
type asks struct {
	byID      map[uint64]*ask
	byStream  map[Stream]uint64
	deadlines timeouts
	confirms  timeouts
}

type ask struct {
	id      uint64
	stream  Stream
	at      time.Time
	waiting []ident.HostID  // hosts that have not answered
	only    Origin          // OnlyVersion, as others say
	refuted bool            // others disagree on the only version
	seen    []ident.Version // that others see alone
	several bool            // a host that has answered sees several versions
	// confirming is set if a confirmed view is awaited.
	confirming bool
}

func newAsks() asks { return asks{byID: map[uint64]*ask{}, byStream: map[Stream]uint64{}} }

func (a *asks) next() time.Time {
	return earliest(
		a.deadlines.next(func(id uint64) bool { return a.byID[id] != nil && !a.byID[id].confirming }),
		a.confirms.next(func(id uint64) bool { return a.byID[id] != nil }),
	)
}

// ask asks the hosts that may have been told of a stream.
func (t *Tracker) ask(now time.Time, s Stream) (o Origin, pending bool) {
	if _, asked := t.asks.byStream[s]; asked {
		return Origin{}, true
	}
	to := t.ranking.best(s.RequestID, t.cfg.Asked, false)
	// A host without others is the only one that can have begun streams, unless it has been
	// cut off from them.
	alone := len(to) == 0 && (t.lastPeerAt.IsZero() || now.Sub(t.lastPeerAt) > t.cfg.Life)
	if alone || len(t.asks.byID) >= maxAsks {
		return t.only(now, s.Service), false
	}
	a := &ask{id: t.nextID(), stream: s, at: now, waiting: to}
	if len(to) == 0 && !t.awaitsConfirmation(now, a) {
		return t.only(now, s.Service), false
	}
	t.asks.byID[a.id], t.asks.byStream[s] = a, a.id
	t.asks.deadlines.add(now.Add(t.cfg.AskTimeout), a.id)
	t.asks.confirms.add(now.Add(t.cfg.AskTimeout+t.cfg.ConfirmTimeout), a.id)
	a.confirming = len(to) == 0
	q := Ask{ID: a.id, Service: s.Service}
	if recordable(s) {
		q.RequestID = s.RequestID
	}
	for _, h := range to {
		t.send(h, Message{Asks: []Ask{q}})
	}
	return Origin{}, true
}

// answer answers another host.
func (t *Tracker) answer(now time.Time, q Ask) Answer {
	a := Answer{ID: q.ID}
	s := Stream{RequestID: q.RequestID, Service: q.Service}
	var o Origin
	if r := t.book.get(now, s); r != nil {
		o = t.recorded(now, r)
		if !o.Known() {
			a.Backend, a.StartedAt = r.process.ID, r.process.StartedAt
			return a
		}
	} else if o = t.only(now, q.Service); !o.Known() {
		switch v, n := t.versions.candidates(now, q.Service); {
		case n == 1:
			a.Basis, a.Version = OneSeen, v
		case n > 1:
			a.Basis = SeveralSeen
		}
		return a
	}
	a.Basis, a.Version, a.AgeMS = o.Basis, o.Version, o.Age.Milliseconds()
	a.Backend, a.StartedAt = o.Process.ID, o.Process.StartedAt
	return a
}

// answered applies an answer. The first one that knows the origin from a record decides; an
// only version is believed when no host has such a record.
func (t *Tracker) answered(now time.Time, from ident.HostID, m Answer) {
	a := t.asks.byID[m.ID]
	if a == nil {
		return
	}
	i := slices.Index(a.waiting, from)
	if i < 0 {
		return
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	switch {
	case m.Basis == OnlyVersion:
		o := Origin{Version: m.Version, Basis: OnlyVersion, From: from, Age: age(m.AgeMS)}
		a.refuted = a.refuted || a.only.Known() && a.only.Version != o.Version
		a.only = o
	case m.Basis == Relayed || m.Basis == Told:
		r := record{
			stream:  a.stream,
			process: serverlimit.Process{ID: m.Backend, StartedAt: m.StartedAt},
			version: m.Version,
			began:   now.Add(-age(m.AgeMS)),
			from:    from,
			basis:   Told,
			told:    true,
		}
		t.book.put(now, r)
		if r := t.book.get(now, a.stream); r != nil {
			t.resolved(a, t.recorded(now, r))
		} else {
			t.resolved(a, Origin{})
		}
		return
	case m.Backend != "":
		t.resolved(a, Origin{})
		return
	case m.Basis == OneSeen:
		a.seen = append(a.seen, m.Version)
	case m.Basis == SeveralSeen:
		a.several = true
	}
	if len(a.waiting) == 0 {
		t.conclude(now, a)
	}
}

// conclude ends an ask to which no host has answered that it has a record, or lets it wait for
// a confirmed view. This host may have been cut off or paused while another version came, so it
// believes its own view only if that is confirmed since, or another host agrees and none
// disagrees.
func (t *Tracker) conclude(now time.Time, a *ask) {
	if r := t.book.get(now, a.stream); r != nil { // told in the meantime
		t.resolved(a, t.recorded(now, r))
		return
	}
	own := t.only(now, a.stream.Service)
	one, n := t.versions.candidates(now, a.stream.Service)
	switch {
	case a.refuted || own.Known() && a.only.Known() && own.Version != a.only.Version:
		t.resolved(a, Origin{})
	case own.Known() && !a.agrees(own.Version) && t.awaitsConfirmation(now, a):
		a.confirming = true
	case own.Known():
		t.resolved(a, own)
	case a.only.Known() && (n == 0 || n == 1 && one == a.only.Version):
		t.resolved(a, a.only)
	default:
		t.resolved(a, Origin{})
	}
}

// agrees reports whether another host has answered that it sees no version but v, and none that
// it sees another one.
func (a *ask) agrees(v ident.Version) bool {
	others := slices.ContainsFunc(a.seen, func(o ident.Version) bool { return o != v })
	return !a.several && !others && (a.only.Known() || len(a.seen) > 0)
}

func (t *Tracker) resolved(a *ask, o Origin) {
	delete(t.asks.byID, a.id)
	delete(t.asks.byStream, a.stream)
	t.out.Resolved = append(t.out.Resolved, Resolved{Stream: a.stream, Origin: o})
}

// awaitsConfirmation reports whether the only version that this host sees may be out of date,
// and a confirmed view is to be expected.
func (t *Tracker) awaitsConfirmation(now time.Time, a *ask) bool {
	confirmed := t.versions.confirmedAt
	return !confirmed.IsZero() && confirmed.Before(a.at) && t.only(now, a.stream.Service).Known()
}

// confirmAsks ends the asks that wait for a confirmed view.
func (t *Tracker) confirmAsks(now time.Time) {
	var ready []*ask
	for _, a := range t.asks.byID {
		if a.confirming && !t.versions.confirmedAt.Before(a.at) {
			ready = append(ready, a)
		}
	}
	slices.SortFunc(ready, func(a, b *ask) int { return cmp.Compare(a.id, b.id) })
	for _, a := range ready {
		t.conclude(now, a)
	}
}

func (t *Tracker) tickAsks(now time.Time) {
	for {
		id, due := t.asks.deadlines.due(now)
		if !due {
			break
		}
		a := t.asks.byID[id]
		if a != nil && !a.confirming {
			t.conclude(now, a)
		}
	}
	for {
		id, due := t.asks.confirms.due(now)
		if !due {
			break
		}
		if a := t.asks.byID[id]; a != nil {
			t.resolved(a, Origin{})
		}
	}
}

// age returns an age that another host states, within sensible limits.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), time.Hour.Milliseconds())) * time.Millisecond
}
