package follow

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Mirror serves a Follower's copy to other hosts, so that they need not read the store.
// It is a Sink that forwards every call to another Sink, and a Source for the other
// hosts. It is safe for concurrent use.
type Mirror struct {
	next Sink
	now  func() time.Time

	mu           sync.Mutex
	items        map[string]Item
	log          changeLog
	era          uint64        // of the copy; all revisions here are of it
	revision     uint64        // revision of the copy
	announced    Position      // position of the last notification of changed
	asOf         time.Time     // the copy is at least as recent as this
	failingSince time.Time     // first failed read since the last successful one; zero if there is none
	changed      chan struct{} // closed when the copy changes
}

// failureTolerance is how long reads may fail before the mirror returns ErrNotReady. A
// single failure, such as a watch that was cut, has no effect: the copy's age tells how far
// it can be trusted, and if all hosts turned to the store then, they would overload it.
const failureTolerance = time.Second

// pageSize is the number of items in one page of a list.
const pageSize = 200

// NewMirror returns an empty mirror in front of next. pageBytes bounds the keys and values of
// one page, and those of the changes that the mirror keeps. A list has at least one item in
// each page, whatever its size. A change that is longer is not kept, so that hosts that read
// through the mirror have to list it.
func NewMirror(next Sink, pageBytes int, now func() time.Time) *Mirror {
	return &Mirror{
		next: next, now: now,
		items: map[string]Item{}, log: changeLog{maxBytes: pageBytes}, changed: make(chan struct{}),
	}
}

// Replace replaces the copy by a new list. Hosts that follow the mirror have to list again
// too: an item that is missing from the new list may have expired while the store was
// unavailable, which must not be reported as a removal.
func (m *Mirror) Replace(items []Item, at Position) {
	m.mu.Lock()
	m.items = make(map[string]Item, len(items))
	for _, it := range items {
		m.items[it.Key] = it
	}
	m.log.reset(at.Revision)
	m.era, m.revision = at.Era, at.Revision
	m.mu.Unlock()
	m.next.Replace(items, at)
}

// Change applies changes to the copy.
func (m *Mirror) Change(items []Item) {
	m.mu.Lock()
	for _, it := range items {
		if it.Removed {
			delete(m.items, it.Key)
		} else {
			m.items[it.Key] = it
		}
	}
	m.log.add(items, func(it Item) bool { return m.items[it.Key].Revision != it.Revision })
	m.mu.Unlock()
	m.next.Change(items)
}

// Contact updates the age and the revision of the copy.
func (m *Mirror) Contact(sent time.Time, at Position) {
	m.mu.Lock()
	m.failingSince = time.Time{}
	m.revision = at.Revision
	if sent.After(m.asOf) {
		m.asOf = sent
	}
	if m.revision != m.announced.Revision || m.era != m.announced.Era {
		m.announced = at
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	m.next.Contact(sent, at)
}

// Failed records a failed read. If reads fail for longer than failureTolerance, the mirror
// returns ErrNotReady until the next successful one, so that hosts that can read the store
// do so themselves. A store that only requires a new list is not unreachable.
func (m *Mirror) Failed(err error) {
	if !needsList(err) {
		m.mu.Lock()
		if m.failingSince.IsZero() {
			m.failingSince = m.now()
		}
		m.mu.Unlock()
	}
	m.next.Failed(err)
}

// ready reports whether the mirror has a copy that it may serve. The caller must hold the
// lock.
func (m *Mirror) ready() bool {
	return m.revision != 0 && (m.failingSince.IsZero() || m.now().Sub(m.failingSince) < failureTolerance)
}

// age returns the largest possible age of the copy. The caller must hold the lock.
func (m *Mirror) age() time.Duration { return m.now().Sub(m.asOf) }

// Kept returns the number of changes that the mirror keeps for other hosts, and the bytes of
// their keys and values.
func (m *Mirror) Kept() (changes, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.log.items), m.log.bytes
}

// Copy returns the items of the copy and its position; ok is false if there is none yet.
func (m *Mirror) Copy() (items []Item, at Position, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.items)), Position{m.era, m.revision}, m.revision != 0
}

// List returns a page of the copy.
func (m *Mirror) List(_ context.Context, prefix, after string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ready() {
		return Page{}, ErrNotReady
	}
	p := Page{At: m.revision, Era: m.era, Mirrored: true, Age: m.age()}
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	slices.SortFunc(p.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if n := m.pageItems(p.Items); n < len(p.Items) {
		p.Items, p.More = p.Items[:n], true
	}
	return p, nil
}

// pageItems returns how many of the items fit into a page.
func (m *Mirror) pageItems(items []Item) int {
	n, bytes := 0, 0
	for n < min(len(items), pageSize) {
		if bytes += items[n].bytes(); n > 0 && bytes > m.log.maxBytes {
			break
		}
		n++
	}
	return n
}

// Wait returns the changes after a position as soon as there are any, or none once wait
// has passed.
func (m *Mirror) Wait(ctx context.Context, prefix string, after Position, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	begin := m.now()
	for {
		// Taken before the age, so that the copy is never taken for more recent than it is.
		held := m.now().Sub(begin)
		p, changed, err := m.changesSince(prefix, after)
		p.Held = held
		if err != nil || len(p.Items) > 0 {
			return p, err
		}
		select {
		case <-changed:
		case <-timer.C:
			held = m.now().Sub(begin)
			p, _, err = m.changesSince(prefix, after)
			p.Held = held
			return p, err
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (m *Mirror) changesSince(prefix string, after Position) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.ready() || after.Era > m.era:
		return Page{}, nil, ErrNotReady
	case after.Era < m.era:
		return Page{}, nil, ErrCompacted
	}
	items, ok := m.log.after(after.Revision)
	if !ok {
		return Page{}, nil, ErrCompacted
	}
	p := Page{At: max(m.revision, after.Revision), Era: m.era, Mirrored: true, Age: m.age()}
	p.Items = slices.DeleteFunc(items, func(it Item) bool { return !strings.HasPrefix(it.Key, prefix) })
	return p, m.changed, nil
}
