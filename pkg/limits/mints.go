package limits

import "time"

// Mints reports whether the process may use its slot's share of the rates now. It
// may not during the quarantine after its start, without contact, and after a
// newer process has taken the slot.
func (l *Limiter) Mints(now time.Time) bool {
	l.advance(now)
	return l.holdsRight()
}
