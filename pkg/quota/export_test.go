package quota

import "time"

// CountReporting returns the number of reporting hosts as the limiter uses it, and the
// same number counted from the times of the reports.
func (l *Limiter) CountReporting(now time.Time) (used, counted int) {
	counted = 1
	for _, p := range l.peers {
		if now.Sub(p.lastReport) < l.cfg.SilentAfter {
			counted++
		}
	}
	_, used = l.countHosts(now)
	return used, counted
}
