package serverlimit

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// cold is the statement that a process is cold, which has an end. While it holds, the process
// takes no more than perSecond requests.
type cold struct {
	active    bool
	perSecond float64
	until     time.Time // end of the statement, also after it
}

// ended reports whether the process was cold shortly before.
func (c cold) ended(now time.Time) bool {
	return !c.active && !c.until.IsZero() && now.Sub(c.until) < forgetAfter
}

const (
	// maxLentCold is the number of cold processes up to which hosts lend their parts to a
	// coordinator, which takes a note in each heartbeat for each of them. With more, each host
	// uses its own part: it finds a process with a permit more often, the more there are.
	maxLentCold = 16
	// unusedPermitTime is how long a host with a small part of a cold limit keeps a permit. If
	// it kept it, all hosts could use what they have saved in one second.
	unusedPermitTime = 750 * time.Millisecond
	// warmMemory is how long it is remembered that a process was cold.
	warmMemory = time.Minute
)

// SetCold records that a process is cold until a time and takes perSecond requests per second
// from all hosts together, or that it is not if until has passed or perSecond is not positive.
// It returns what has changed.
func (l *Limiter) SetCold(now time.Time, p Process, perSecond float64, until time.Time) (Change, bool) {
	k := l.limits[p]
	active := perSecond > 0 && now.Before(until)
	switch {
	case !active && (k == nil || !k.cold.active):
		return Change{}, false
	case !active:
		l.warm(now, k, now)
		return Change{Process: p, Lifted: true}, true
	case k == nil && len(l.limits) >= maxLimits:
		return Change{}, false
	case k == nil:
		k = &limit{lifted: true}
		l.limits[p] = k
	}
	if k.cold.active && k.cold.perSecond == perSecond {
		k.cold.until = until
		return Change{}, false
	}
	l.refill(now, k)
	began := !k.cold.active
	k.cold = cold{active: true, perSecond: perSecond, until: until}
	if began {
		l.coldCount++
		k.level, k.fullAt = l.rng.Float64(), time.Time{}
	}
	l.restrict(now, p, k)
	return Change{Process: p, PerSecond: perSecond}, true
}

// Cold reports whether a process is cold and has not named a limit.
func (l *Limiter) Cold(p Process) bool {
	k := l.limits[p]
	return k != nil && k.cold.active && k.lifted
}

// WarmSince returns since when a process that was cold is warm; zero if it was not cold lately
// or still is.
func (l *Limiter) WarmSince(now time.Time, p Process) time.Time {
	if k := l.limits[p]; k != nil && k.cold.ended(now) {
		return k.cold.until
	}
	return time.Time{}
}

// endCold ends the statements whose time has passed.
func (l *Limiter) endCold(now time.Time) {
	if l.coldCount == 0 {
		return
	}
	for p, k := range l.limits {
		if k.cold.active && !now.Before(k.cold.until) {
			l.warm(now, k, k.cold.until)
			l.ended = append(l.ended, p)
		}
	}
}

func (l *Limiter) warm(now time.Time, k *limit, at time.Time) {
	l.refill(now, k)
	k.cold.active, k.cold.until = false, at
	l.coldCount--
}

// Warmed returns the processes whose statements have ended since the last call.
func (l *Limiter) Warmed() []Process {
	p := l.ended
	l.ended = nil
	return p
}

// countCold counts the cold processes anew: limits may have been forgotten.
func (l *Limiter) countCold() {
	l.coldCount = 0
	for _, k := range l.limits {
		if k.cold.active {
			l.coldCount++
		}
	}
}

// forgettable reports whether nothing is left to know of a process that was cold.
func (l *limit) forgettable(now time.Time) bool {
	return l.at.IsZero() && !l.cold.active && now.Sub(l.cold.until) >= warmMemory
}

// lendsCold reports whether other hosts are to be told to whom the part of a cold limit is lent.
func (l *limit) lendsCold(self ident.HostID) bool {
	return l.cold.active && l.coordinator != "" && l.coordinator != self
}

// keepsOwnPart reports whether this host uses its own part of the limit of a cold process: it
// knows no coordinator, or too many processes are cold.
func (l *Limiter) keepsOwnPart(k *limit) bool {
	return k.cold.active && k.lifted && (len(l.fleet.AbleCold) == 0 || l.coldCount > maxLentCold)
}

// hostsFor returns the number of hosts among which a limit is divided.
func (l *Limiter) hostsFor(k *limit) int {
	if k.cold.active {
		return max(l.hosts(), l.fleet.AssumedHosts)
	}
	return l.hosts()
}

// smallPart reports whether this host issues so small a part of a cold limit that what it may
// save is less than one permit.
func (l *Limiter) smallPart(k *limit) bool {
	return k.cold.active && max(l.cfg.Depth, k.rate()*l.cfg.DepthTime.Seconds())*k.share < 1
}

// deviations is the number of standard deviations between the mean and the bound of the
// permits that hosts with small parts use in a second.
const deviations = 4

// coldRate returns the permits per second of a cold limit that all hosts together may issue.
// Hosts with small parts do not know of each other's permits: after a time without requests,
// the permits of unusedPermitTime and those of the second itself may be used in one second,
// and their number varies by its square root.
func (l *Limiter) coldRate(k *limit) float64 {
	bound := l.cfg.ColdOverage*k.cold.perSecond + l.cfg.ColdSlack
	if !l.smallPart(k) {
		return max(0, bound-max(l.cfg.Depth, k.rate()*l.cfg.DepthTime.Seconds()))
	}
	const half = deviations / 2.0
	root := math.Sqrt(half*half+bound) - half // mean + deviations x sqrt(mean) = bound
	return root * root / (1 + unusedPermitTime.Seconds())
}

// dropUnused drops the permit of a small part after unusedPermitTime. The levels begin at
// random, so the times at which the hosts have a permit are spread.
func (l *Limiter) dropUnused(now time.Time, k *limit) {
	if !l.smallPart(k) || k.level < 1 {
		k.fullAt = time.Time{}
		return
	}
	k.level = 1
	if k.fullAt.IsZero() {
		k.fullAt = now
	} else if now.Sub(k.fullAt) >= unusedPermitTime {
		k.level, k.fullAt = 0, time.Time{}
	}
}
