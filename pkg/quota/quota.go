package quota

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Limiter.
type Config struct {
	// SilentAfter is the silence after which a host is charged its share. Shorter
	// ones charge hosts for lost messages, longer ones admit more at the start of
	// a partition.
	SilentAfter time.Duration
	// ForgetAfter is the silence after which a host no longer counts. It must be
	// longer than a host may serve without the platform.
	ForgetAfter time.Duration
	// LeastHosts is the number of hosts that there must be, as one for each failure
	// domain. A process that starts in a cut-off part of the fleet knows no others and
	// must not take itself for the only one.
	LeastHosts int
	// Tolerance is what operators accept beyond a limit because hosts know of each
	// other late. It is used for that only: where it is not known whether other hosts
	// admit, and never while all hosts are heard.
	Tolerance Tolerance
}

// Tolerance is what may be admitted beyond rate and burst in any window.
type Tolerance struct {
	Window  time.Duration
	Overage float64 // part of rate x window + burst
	Slack   float64 // tokens
}

// toleranceParts is the number of sides of a partition that may use the tolerance at the
// same time.
const toleranceParts = 8

// part returns the tokens that one of them may use in a window.
func (t Tolerance) part(l Limit) float64 {
	return ((l.Rate*t.Window.Seconds()+l.Burst)*t.Overage + t.Slack) / toleranceParts
}

// perSecond returns the same for each second.
func (t Tolerance) perSecond(l Limit) float64 {
	if t.Window <= 0 {
		return 0
	}
	return t.part(l) / t.Window.Seconds()
}

// DefaultConfig suits reports every 100 ms.
func DefaultConfig() Config {
	return Config{SilentAfter: 500 * time.Millisecond, ForgetAfter: 30 * time.Second}
}

// Limit is the rate and burst of an organisation over all hosts.
type Limit struct {
	Rate  float64 // tokens per second; 0 is no limit
	Burst float64 // tokens
}

// Limiter decides which requests are within their organisation's limit. It is not
// safe for concurrent use.
type Limiter struct {
	cfg   Config
	orgs  map[ident.Organisation]*bucket
	peers map[ident.HostID]*peer
	start time.Time

	assumed int // hosts while they are not known yet, see SetFleet
}

type bucket struct {
	limit Limit
	level float64 // tokens of the whole fleet that are left; negative after overuse
	at    time.Time
	used  int64 // admitted by this host since its start
	told  int64 // part of used that the other hosts have been told
}

type peer struct {
	incarnation ident.Incarnation
	heard       time.Time
	used        map[ident.Organisation]int64
}

// New returns a limiter. It starts with empty buckets: what other hosts have admitted
// lately is not known yet, and processes that start one after the other would each admit
// a burst.
func New(cfg Config, now time.Time) *Limiter {
	return &Limiter{
		cfg:   cfg,
		orgs:  map[ident.Organisation]*bucket{},
		peers: map[ident.HostID]*peer{},
		start: now,
	}
}

// SetFleet sets the silence after which a host is charged its share, which follows the
// interval of reports, and the number of hosts that the fleet is assumed to have while they
// are still becoming known, or 0 once they are. Hosts that start together know few others
// at first and would each take a large share of all limits.
func (l *Limiter) SetFleet(silentAfter time.Duration, assumed int) {
	l.cfg.SilentAfter = silentAfter
	l.assumed = assumed
}

// SetLimit puts an organisation's limit in force.
func (l *Limiter) SetLimit(now time.Time, org ident.Organisation, lim Limit) {
	b := l.orgs[org]
	if b == nil {
		// An organisation that appears after the start has used nothing yet.
		b = &bucket{limit: lim, at: now}
		if now.Sub(l.start) > l.cfg.ForgetAfter {
			b.level = lim.Burst
		}
		l.orgs[org] = b
		return
	}
	l.refill(now, b)
	b.limit = lim
	b.level = min(b.level, l.capacity(now, b))
}

// reachable returns the number of hosts that count and how many of them are heard,
// this one included.
func (l *Limiter) reachable(now time.Time) (all, heard int) {
	all, heard = 1, 1
	for _, p := range l.peers {
		all++
		if now.Sub(p.heard) < l.cfg.SilentAfter {
			heard++
		}
	}
	return max(all, l.cfg.LeastHosts, l.assumed), heard
}

// capacity is the part of the burst that the hosts in reach may use.
func (l *Limiter) capacity(now time.Time, b *bucket) float64 {
	all, heard := l.reachable(now)
	return b.limit.Burst * float64(heard) / float64(all)
}

// silentShare returns the number of hosts that are not heard and the rate that each is
// assumed to use: its equal share, less what the tolerance covers.
func (l *Limiter) silentShare(now time.Time, b *bucket) (silent int, each float64) {
	all, heard := l.reachable(now)
	silent = all - heard
	if silent == 0 {
		return 0, 0
	}
	used := b.limit.Rate * float64(silent) / float64(all)
	if l.assumed == 0 {
		used = max(0, used-l.cfg.Tolerance.perSecond(b.limit))
	}
	return silent, used / float64(silent)
}

func (l *Limiter) refill(now time.Time, b *bucket) {
	d := now.Sub(b.at).Seconds()
	if d <= 0 {
		return
	}
	b.at = now
	silent, each := l.silentShare(now, b)
	gain := (b.limit.Rate - each*float64(silent)) * d
	b.level = min(l.capacity(now, b), b.level+gain)
}

// creditShare is the part of the burst that must be left for a large request. The rest of
// its tokens is paid before the next one: otherwise large requests would hardly ever find
// enough while small ones are admitted.
const creditShare = 1.0 / 16

// Take admits a request of so many tokens, or returns when there will be enough.
func (l *Limiter) Take(now time.Time, org ident.Organisation, tokens float64) (ok bool, after time.Duration) {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	l.refill(now, b)
	if lack := min(tokens, b.limit.Burst*creditShare) - b.level; lack > 0 {
		return false, l.wait(now, b, lack)
	}
	b.level -= tokens
	b.used += int64(tokens)
	return true, 0
}

// wait returns when a bucket will have gained what it lacks. While the fleet is not known
// yet the gain is small but soon grows.
func (l *Limiter) wait(now time.Time, b *bucket, lack float64) time.Duration {
	if l.assumed > 0 {
		return settleTime + time.Duration(lack/b.limit.Rate*float64(time.Second))
	}
	silent, each := l.silentShare(now, b)
	gain := max(b.limit.Rate-each*float64(silent), b.limit.Rate*leastGain)
	return time.Duration(lack / gain * float64(time.Second))
}

const (
	// settleTime is about how long a small fleet takes to know its hosts.
	settleTime = 300 * time.Millisecond
	// leastGain is the part of the rate that is counted at least, for hosts that hear
	// almost no others.
	leastGain = 0.05
)

// State returns the tokens that are left for an organisation and its limit.
func (l *Limiter) State(now time.Time, org ident.Organisation) (left float64, lim Limit) {
	b := l.orgs[org]
	if b == nil {
		return 0, Limit{}
	}
	l.refill(now, b)
	return b.level, b.limit
}

// Return gives back the tokens of a request that has not run.
func (l *Limiter) Return(now time.Time, org ident.Organisation, tokens float64) {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	l.refill(now, b)
	b.level = min(l.capacity(now, b), b.level+tokens)
	b.used -= int64(tokens)
}

// urgentLevel is the part of the burst below which hosts tell each other at once what they
// admit. Otherwise all of them take the same tokens until their next reports: with 85
// hosts that report once a second, 85 requests for each that fits.
const urgentLevel = 0.5

// Urgent tells whether the other hosts should be told now what this one has admitted.
func (l *Limiter) Urgent(now time.Time) bool {
	for _, b := range l.orgs {
		if b.used == b.told || b.limit.Rate <= 0 {
			continue
		}
		l.refill(now, b)
		if b.level < b.limit.Burst*urgentLevel {
			return true
		}
	}
	return false
}

// Told notes that all other hosts are being told what this one has admitted.
func (l *Limiter) Told() {
	for _, b := range l.orgs {
		b.told = b.used
	}
}

// Used returns what this host has admitted since its start.
func (l *Limiter) Used() map[ident.Organisation]int64 {
	used := make(map[ident.Organisation]int64, len(l.orgs))
	for name, b := range l.orgs {
		if b.used != 0 {
			used[name] = b.used
		}
	}
	return used
}

// Report is what a host says of what it has admitted.
type Report struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Up          time.Duration // since the start of its process
	Used        map[ident.Organisation]int64
}

// Heard takes another host's report.
func (l *Limiter) Heard(now time.Time, r Report) {
	p := l.peers[r.Host]
	known := p != nil && p.incarnation == r.Incarnation
	for _, b := range l.orgs {
		l.refill(now, b)
	}
	if !known {
		fresh := &peer{incarnation: r.Incarnation, used: map[ident.Organisation]int64{}}
		if p == nil && r.Up > now.Sub(l.start) {
			// It started before this host, which has begun with empty buckets for what
			// was admitted until then. A host that started later counts from zero.
			fresh.used = r.Used
		}
		p = fresh
		l.peers[r.Host] = p
	}
	l.charge(now, p, r.Used)
	p.used = r.Used
}

// charge takes what a peer has admitted since its last report, less what was
// assumed for it.
func (l *Limiter) charge(now time.Time, p *peer, used map[ident.Organisation]int64) {
	var assumed map[*bucket]float64
	if silent := now.Sub(p.heard) - l.cfg.SilentAfter; !p.heard.IsZero() && silent > 0 {
		assumed = make(map[*bucket]float64, len(l.orgs))
		for _, b := range l.orgs {
			_, each := l.silentShare(now, b)
			assumed[b] = silent.Seconds() * each
		}
	}
	// From here on the peer counts as heard, and its part of the burst may be used.
	p.heard = now
	for name, b := range l.orgs {
		d := float64(used[name]-p.used[name]) - assumed[b]
		b.level = min(l.capacity(now, b), b.level-d)
	}
}

// Tick forgets hosts that have been silent for too long.
func (l *Limiter) Tick(now time.Time) {
	for host, p := range l.peers {
		if now.Sub(p.heard) >= l.cfg.ForgetAfter {
			for _, b := range l.orgs {
				l.refill(now, b)
			}
			delete(l.peers, host)
		}
	}
}
