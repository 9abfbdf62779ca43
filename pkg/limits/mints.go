package limits

import "time"

// CanMint reports whether the process may use its slot's share of the rates now. It
// may not during a quarantine, after its lease has expired for lack of contact, or
// once it drains or a newer process has taken the slot.
func (l *Limiter) CanMint(now time.Time) bool {
	l.advance(now)
	return l.canMint()
}
