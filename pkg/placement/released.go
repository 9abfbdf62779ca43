package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// released remembers ended requests for a while, so that neither a delayed Book
// nor a lagging report brings one back.
type released struct {
	ttl    time.Duration
	rounds map[ident.BackendRef]tombstone
	order  []ident.BackendRef // oldest first
}

type tombstone struct {
	round uint32
	at    time.Time
}

func newReleased(ttl time.Duration) released {
	return released{ttl: ttl, rounds: map[ident.BackendRef]tombstone{}}
}

// add notes that a request was released up to a round.
func (r *released) add(now time.Time, ref ident.BackendRef, round uint32) {
	old, ok := r.rounds[ref]
	if !ok {
		r.order = append(r.order, ref)
	}
	r.rounds[ref] = tombstone{round: max(round, old.round), at: now}
}

// covers tells whether a Book of this round came after its release.
func (r *released) covers(ref ident.BackendRef, round uint32) bool {
	t, ok := r.rounds[ref]
	return ok && t.round >= round
}

// since returns the time since a release.
func (r *released) since(now time.Time, ref ident.BackendRef) (time.Duration, bool) {
	t, ok := r.rounds[ref]
	return now.Sub(t.at), ok
}

func (r *released) expire(now time.Time) {
	for len(r.order) > 0 {
		ref := r.order[0]
		if now.Sub(r.rounds[ref].at) < r.ttl {
			return
		}
		delete(r.rounds, ref)
		r.order = r.order[1:]
	}
}
