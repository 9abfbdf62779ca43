package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// released keeps tombstones of ended requests for a limited time, so that neither a
// delayed Book nor a late report books one again.
type released struct {
	ttl        time.Duration
	tombstones map[ident.BackendRef]tombstone
	order      []ident.BackendRef // oldest first
}

type tombstone struct {
	round uint32
	at    time.Time
}

func newReleased(ttl time.Duration) released {
	return released{ttl: ttl, tombstones: map[ident.BackendRef]tombstone{}}
}

// add records that a request was released up to a round.
func (r *released) add(now time.Time, ref ident.BackendRef, round uint32) {
	old, ok := r.tombstones[ref]
	if !ok {
		r.order = append(r.order, ref)
	}
	r.tombstones[ref] = tombstone{round: max(round, old.round), at: now}
}

// covers reports whether this round of a request has been released.
func (r *released) covers(ref ident.BackendRef, round uint32) bool {
	t, ok := r.tombstones[ref]
	return ok && t.round >= round
}

// since returns the time since a release.
func (r *released) since(now time.Time, ref ident.BackendRef) (time.Duration, bool) {
	t, ok := r.tombstones[ref]
	return now.Sub(t.at), ok
}

func (r *released) expire(now time.Time) {
	for len(r.order) > 0 {
		ref := r.order[0]
		if now.Sub(r.tombstones[ref].at) < r.ttl {
			return
		}
		delete(r.tombstones, ref)
		r.order = r.order[1:]
	}
}
