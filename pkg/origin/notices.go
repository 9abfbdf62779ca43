package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

const (
	// maxNotices is the number of streams whose first event waits for an acknowledgement.
	// Further ones are told, but do not wait.
	maxNotices = 8192
	// maxNotes is the number of notes in a message, which has to fit into a datagram.
	maxNotes = 80
)

// notices are the notes that wait for an acknowledgement.
type notices struct {
	waiting   map[uint64]*notice
	resends   timeouts
	deadlines timeouts
}

type notice struct {
	stream Stream
	to     []ident.HostID // in order of rank; the last one is told with the second attempt
	first  int            // number of hosts told with the first attempt
}

func newNotices() notices { return notices{waiting: map[uint64]*notice{}} }

func (n *notices) next() time.Time {
	waits := func(id uint64) bool { return n.waiting[id] != nil }
	return earliest(n.resends.next(waits), n.deadlines.next(waits))
}

// notify tells the holders of a stream its origin. It reports whether there is nothing to
// wait for.
func (t *Tracker) notify(now time.Time, s Stream) bool {
	r := t.book.get(now, s)
	to := t.ranking.best(s.RequestID, t.cfg.Holders+1, true)
	if r == nil || len(to) == 0 {
		return true
	}
	r.told = true
	first := min(len(to), t.cfg.Holders)
	n := note(now, r)
	if len(t.notices.waiting) < maxNotices {
		n.ID = t.nextID()
		t.notices.waiting[n.ID] = &notice{stream: s, to: to, first: first}
		t.notices.resends.add(now.Add(t.cfg.AckTimeout/2), n.ID)
		t.notices.deadlines.add(now.Add(t.cfg.AckTimeout), n.ID)
	}
	for _, h := range to[:first] {
		t.send(h, Message{Notes: []Note{n}})
	}
	return n.ID == 0
}

func note(now time.Time, r *record) Note {
	return Note{
		RequestID: r.stream.RequestID,
		Service:   r.stream.Service,
		Backend:   r.process.ID,
		StartedAt: r.process.StartedAt,
		Version:   r.version,
		AgeMS:     now.Sub(r.began).Milliseconds(),
	}
}

// tickNotices repeats the notes that no host has acknowledged yet, and ends the waits.
func (t *Tracker) tickNotices(now time.Time) {
	for {
		id, due := t.notices.resends.due(now)
		if !due {
			break
		}
		w := t.notices.waiting[id]
		if w == nil {
			continue
		}
		r := t.book.get(now, w.stream)
		if r == nil {
			continue
		}
		n := note(now, r)
		n.ID = id
		for _, h := range w.to {
			t.send(h, Message{Notes: []Note{n}})
		}
	}
	for {
		id, due := t.notices.deadlines.due(now)
		if !due {
			break
		}
		t.finishNotice(id)
	}
}

func (t *Tracker) finishNotice(id uint64) {
	if w := t.notices.waiting[id]; w != nil {
		delete(t.notices.waiting, id)
		t.out.Recorded = append(t.out.Recorded, w.stream)
	}
}

func (t *Tracker) acknowledged(id uint64, from ident.HostID) {
	if w := t.notices.waiting[id]; w != nil && slices.Contains(w.to, from) {
		t.finishNotice(id)
	}
}

// keep records the notes of another host. It returns the ids to acknowledge.
func (t *Tracker) keep(now time.Time, from ident.HostID, notes []Note) []uint64 {
	var acks []uint64
	for _, n := range notes {
		s := Stream{RequestID: n.RequestID, Service: n.Service}
		if !recordable(s) || n.Version == "" {
			continue
		}
		t.book.put(now, record{
			stream:  s,
			process: serverlimit.Process{ID: n.Backend, StartedAt: n.StartedAt},
			version: n.Version,
			began:   now.Add(-age(n.AgeMS)),
			from:    from,
			basis:   Told,
			told:    true,
		})
		if id, asked := t.asks.byStream[s]; asked {
			t.conclude(now, t.asks.byID[id])
		}
		if n.ID != 0 {
			acks = append(acks, n.ID)
		}
	}
	return acks
}

// tellSeveral tells the holders the origins of the streams of those services that several
// versions serve. While there was one, nobody was told.
func (t *Tracker) tellSeveral(now time.Time, services ...ident.Route) {
	services = slices.DeleteFunc(services, func(s ident.Route) bool {
		_, n := t.versions.candidates(now, s)
		return n < 2
	})
	if len(services) > 0 {
		t.tell(now, func(s ident.Route) bool { return slices.Contains(services, s) })
	}
}

// tellIfOutdated tells the holders all origins once the view of the versions is too old to
// show that there is one version alone.
func (t *Tracker) tellIfOutdated(now time.Time) {
	outdated := !t.versions.current(now)
	if outdated && !t.outdated {
		t.tell(now, func(ident.Route) bool { return true })
	}
	t.outdated = outdated
}

// tell tells the holders the origins of the streams of some services that they have not been
// told.
func (t *Tracker) tell(now time.Time, of func(ident.Route) bool) {
	if t.ranking.count == 0 {
		return
	}
	batches := map[ident.HostID][]Note{}
	t.book.each(now, func(r *record) {
		if r.told || !of(r.stream.Service) || !t.reliable(r) {
			return
		}
		r.told = true
		n := note(now, r)
		for _, h := range t.ranking.best(n.RequestID, t.cfg.Holders, true) {
			batches[h] = append(batches[h], n)
		}
	})
	for _, h := range slices.Sorted(maps.Keys(batches)) {
		for batch := range slices.Chunk(batches[h], maxNotes) {
			t.send(h, Message{Notes: batch})
		}
	}
}
