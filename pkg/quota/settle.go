package quota

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// returnInterval is the time between two returns of unused tokens. Each changes what this
	// host reports.
	returnInterval = time.Second
	// maxReturnTime is the longest time for which the allowance of returns accumulates.
	maxReturnTime = 2 * returnInterval
	// maxUnusedTime is the time in which the tokens that are kept to be given back are returned.
	// A host of a large fleet ends a request of an organisation once in several seconds.
	maxUnusedTime = 30 * time.Second
	// minReporting is the part of the hosts that must report for tokens to be given back. In a
	// partition, parts use the tolerance before they notice it; replaced hosts are silent, too.
	minReporting = 0.9
)

// Settle records that a request of this host, which has ended, has not used this many of the
// tokens that it was charged: requests are charged for the longest output that they allow.
// The tokens are given back slowly. An organisation may thus state more than its rate in a
// window, but all hosts together return no more than a part of the tolerance.
func (l *Limiter) Settle(now time.Time, org ident.Organisation, unused float64) {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 || !(unused > 0) {
		return
	}
	l.refill(now, b)
	b.unused = min(b.unused+unused, l.returnRate(now, b)*maxUnusedTime.Seconds())
}

// returnRate returns the tokens per second that this host may give back: its equal share of
// that part of the tolerance.
func (l *Limiter) returnRate(now time.Time, b *bucket) float64 {
	all, _ := l.countHosts(now)
	if t := l.cfg.Tolerance; t.Window > 0 {
		return t.tokens(b.limit) * settlementShare / (t.Window + maxReturnTime).Seconds() / float64(all)
	}
	return 0
}

// returnUnused gives back what is due of the unused tokens. The other hosts see it in the next
// report.
func (l *Limiter) returnUnused(now time.Time, b *bucket) {
	since := now.Sub(b.returnedAt)
	if since < returnInterval {
		return
	}
	b.returnedAt = now
	if all, reporting := l.countHosts(now); float64(reporting) < minReporting*float64(all) {
		return
	}
	tokens := float64(int64(min(b.unused, l.returnRate(now, b)*min(since, maxReturnTime).Seconds())))
	b.unused -= tokens
	b.used -= int64(tokens)
	b.level = min(l.capacity(now, b), b.level+tokens)
}

const (
	// silentIntervals is the number of report intervals after which a host counts as silent:
	// one lost report must not suffice. With 5 and an interval of 0.86 s, each part of a
	// partitioned fleet uses the whole rate for 4.3 s, which exceeds the bound with four parts.
	silentIntervals = 2.2
	// minSilentAfter is the least time after which a host counts as silent.
	minSilentAfter = 500 * time.Millisecond
)

// SilentAfter returns the time without a report after which a host counts as silent in a
// fleet with this interval of reports.
func SilentAfter(interval time.Duration) time.Duration {
	return max(minSilentAfter, time.Duration(silentIntervals*float64(interval)))
}
