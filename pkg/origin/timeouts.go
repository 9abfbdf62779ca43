package origin

import "time"

// timeouts are deadlines in the order in which they were added. All have the same length,
// so the first is the earliest.
type timeouts struct {
	queue []timeout
}

type timeout struct {
	at time.Time
	id uint64
}

func (t *timeouts) add(at time.Time, id uint64) { t.queue = append(t.queue, timeout{at, id}) }

// due removes the first deadline that has passed and returns its id.
func (t *timeouts) due(now time.Time) (uint64, bool) {
	if len(t.queue) == 0 || now.Before(t.queue[0].at) {
		return 0, false
	}
	id := t.queue[0].id
	t.queue = t.queue[1:]
	return id, true
}

// next returns the first deadline for which waits reports true, or zero.
func (t *timeouts) next(waits func(id uint64) bool) time.Time {
	for len(t.queue) > 0 {
		if waits(t.queue[0].id) {
			return t.queue[0].at
		}
		t.queue = t.queue[1:]
	}
	return time.Time{}
}
