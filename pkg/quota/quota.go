package quota

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Limiter.
type Config struct {
	// SilentAfter is the time without a report after which a host counts as silent and
	// is assumed to use its share. A shorter time does so after a few lost messages, a
	// longer one admits more at the start of a partition.
	SilentAfter time.Duration
	// ForgetAfter is the time without a report after which a host is removed. It must
	// be longer than a host may serve without the platform.
	ForgetAfter time.Duration
	// MinHosts is the least number of hosts to assume, such as one for each failure
	// domain. A process that starts in a partitioned part of the fleet knows no other
	// hosts and must not use the whole limit.
	MinHosts int
	// Tolerance is what operators accept beyond a limit because reports arrive late. It
	// has three uses: hosts that are silent and may or may not be admitting requests, tokens
	// that requests stated and did not use (see Settle), and a debt for small requests.
	Tolerance Tolerance
}

// Tolerance is what may be admitted beyond rate and burst in any window.
type Tolerance struct {
	Window  time.Duration
	Overage float64 // fraction of rate x window + burst
	Slack   float64 // tokens
}

const (
	// tolerancePartitions is the number of parts of a partitioned fleet that may use the
	// tolerance at the same time.
	tolerancePartitions = 8
	// The tolerance is divided among its uses, so that the bound holds if all occur in one window.
	partitionShare  = 1.0 / 2
	settlementShare = 3.0 / 8
	smallShare      = 1.0 / 8
)

// tokens returns the tokens of the whole tolerance in a window.
func (t Tolerance) tokens(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*t.Overage + t.Slack
}

// perPartition returns the tokens that one part of a partitioned fleet may use in a window.
func (t Tolerance) perPartition(l Limit) float64 {
	return t.tokens(l) * partitionShare / tolerancePartitions
}

// perSecond returns perPartition as a rate in tokens per second.
func (t Tolerance) perSecond(l Limit) float64 {
	if t.Window <= 0 {
		return 0
	}
	return t.perPartition(l) / t.Window.Seconds()
}

// DefaultConfig returns settings for a report interval of 100 ms.
func DefaultConfig() Config {
	return Config{SilentAfter: 500 * time.Millisecond, ForgetAfter: 30 * time.Second}
}

// Limit is the rate and burst of an organisation over all hosts.
type Limit struct {
	Rate  float64 // tokens per second; 0 means no limit
	Burst float64 // tokens
}

// Limiter admits requests within their organisation's limit. It is not safe for
// concurrent use.
type Limiter struct {
	cfg       Config
	orgs      map[ident.Organisation]*bucket
	peers     map[ident.HostID]*peer
	startedAt time.Time

	assumedHosts int // size of the fleet while hosts are still being discovered, otherwise 0
	knownHosts   int // see SetKnownHosts

	// The number of reporting hosts is kept until recountAt, when the next of them could
	// become silent: counting them for each organisation and report would dominate the
	// processor time of a host in a large fleet.
	reporting int
	recountAt time.Time // zero if the number must be counted anew
}

type bucket struct {
	limit      Limit
	level      float64 // tokens left for the whole fleet; negative after overuse
	refilledAt time.Time
	used       int64 // tokens admitted by this host since its start
	reported   int64 // value of used in the last report to the other hosts

	toRelay     map[ident.HostID]struct{} // peers with reports that were not relayed yet
	relayedUsed int64                     // value of used that was relayed last

	unused     float64 // tokens stated by completed requests that have not been given back
	returnedAt time.Time
}

type peer struct {
	incarnation ident.Incarnation
	lastReport  time.Time
	reporting   bool // counted in Limiter.reporting
	used        map[ident.Organisation]int64
	sequence    uint64                        // of the last report
	relayed     map[ident.Organisation]uint64 // sequence of the last relayed use, where it is later
}

// New returns a limiter with empty buckets. It is not known yet what other hosts have
// admitted recently, and with full buckets processes that start one after the other would
// each admit a burst.
func New(cfg Config, now time.Time) *Limiter {
	return &Limiter{
		cfg:       cfg,
		orgs:      map[ident.Organisation]*bucket{},
		peers:     map[ident.HostID]*peer{},
		startedAt: now,
	}
}

// SetFleet sets SilentAfter, which depends on the report interval, and the assumed number
// of hosts while they are still being discovered, or 0 once they are known. Without that
// number, hosts that start together know few others at first and would each use a large
// share of all limits.
func (l *Limiter) SetFleet(silentAfter time.Duration, assumed int) {
	if silentAfter != l.cfg.SilentAfter {
		l.cfg.SilentAfter = silentAfter
		l.recountAt = time.Time{}
	}
	l.assumedHosts = assumed
}

// SetKnownHosts sets the number of hosts of the fleet that are known, this one included. It
// may count hosts that have been silent for longer than Config.ForgetAfter: they may be cut
// off and still admit requests.
func (l *Limiter) SetKnownHosts(n int) { l.knownHosts = n }

// SetLimit applies an organisation's limit.
func (l *Limiter) SetLimit(now time.Time, org ident.Organisation, lim Limit) {
	b := l.orgs[org]
	if b == nil {
		// An organisation that is added later than ForgetAfter after the start has used
		// nothing yet, so its bucket starts full. Before that, other hosts may have
		// admitted tokens that this host does not know of.
		b = &bucket{limit: lim, refilledAt: now}
		if now.Sub(l.startedAt) > l.cfg.ForgetAfter {
			b.level = lim.Burst
		}
		l.orgs[org] = b
		return
	}
	l.refill(now, b)
	if lim != b.limit {
		b.unused = 0 // of the old limit
	}
	b.limit = lim
	b.level = min(b.level, l.capacity(now, b))
}

// countHosts returns the number of hosts in the fleet and how many of them are reporting,
// this one included.
func (l *Limiter) countHosts(now time.Time) (all, reporting int) {
	if !now.Before(l.recountAt) {
		l.recount(now)
	}
	return max(len(l.peers)+1, l.cfg.MinHosts, l.assumedHosts, l.knownHosts), l.reporting + 1
}

// recount counts the peers that are reporting.
func (l *Limiter) recount(now time.Time) {
	l.reporting = 0
	l.recountAt = now.Add(l.cfg.SilentAfter)
	for _, p := range l.peers {
		silentAt := p.lastReport.Add(l.cfg.SilentAfter)
		if p.reporting = now.Before(silentAt); !p.reporting {
			continue
		}
		l.reporting++
		if silentAt.Before(l.recountAt) {
			l.recountAt = silentAt
		}
	}
}

// capacity returns the part of the burst that the reporting hosts may use.
func (l *Limiter) capacity(now time.Time, b *bucket) float64 {
	all, reporting := l.countHosts(now)
	return b.limit.Burst * float64(reporting) / float64(all)
}

// silentShare returns the number of silent hosts and the rate that each is assumed to use:
// its equal share, less what the tolerance covers.
func (l *Limiter) silentShare(now time.Time, b *bucket) (silent int, each float64) {
	all, reporting := l.countHosts(now)
	silent = all - reporting
	if silent == 0 {
		return 0, 0
	}
	used := b.limit.Rate * float64(silent) / float64(all)
	if l.assumedHosts == 0 {
		used = max(0, used-l.cfg.Tolerance.perSecond(b.limit))
	}
	return silent, used / float64(silent)
}

func (l *Limiter) refill(now time.Time, b *bucket) {
	d := now.Sub(b.refilledAt).Seconds()
	if d <= 0 {
		return
	}
	b.refilledAt = now
	silent, each := l.silentShare(now, b)
	gain := (b.limit.Rate - each*float64(silent)) * d
	b.level = min(l.capacity(now, b), b.level+gain)
	l.returnUnused(now, b)
}

// minBurstShare is the part of the burst that must be left to admit a larger request. The
// request overdraws the bucket, which must refill before the next one is admitted. If its
// full cost had to be available, large requests would hardly ever be admitted while small
// ones keep the bucket low.
const minBurstShare = 1.0 / 16

const (
	// smallRequestShare is the part of the burst up to which a request counts as small.
	smallRequestShare = 1.0 / 64
	// smallDebtShare is the part of the burst by which small requests may overdraw the
	// bucket. While an organisation asks for more than its rate, its large requests keep
	// the bucket at or below zero, and it could hardly make a small one.
	smallDebtShare = 0.5
)

// required returns the level at which a request is admitted.
func (l *Limiter) required(now time.Time, b *bucket, tokens float64) float64 {
	if tokens > b.limit.Burst*smallRequestShare {
		return min(tokens, b.limit.Burst*minBurstShare)
	}
	t := l.cfg.Tolerance
	debt := l.capacity(now, b) * smallDebtShare
	if t.Overage*t.Window.Seconds()*b.limit.Rate < b.limit.Burst {
		// A debt of a part of the burst would exceed the tolerance.
		debt = min(debt, t.tokens(b.limit)*smallShare*l.capacity(now, b)/b.limit.Burst)
	}
	return min(tokens-debt, b.limit.Burst*minBurstShare)
}

// Take admits a request that costs this many tokens, or returns the time after which
// enough will be available.
func (l *Limiter) Take(now time.Time, org ident.Organisation, tokens float64) (ok bool, after time.Duration) {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	l.refill(now, b)
	if missing := l.required(now, b, tokens) - b.level; missing > 0 {
		return false, l.refillTime(now, b, missing)
	}
	b.level -= tokens
	b.used += int64(tokens)
	return true, 0
}

// refillTime returns the time in which a bucket gains the missing tokens. While hosts are
// still being discovered the gain is small but soon grows, so the full rate is used then.
func (l *Limiter) refillTime(now time.Time, b *bucket, missing float64) time.Duration {
	if l.assumedHosts > 0 {
		return discoveryTime + time.Duration(missing/b.limit.Rate*float64(time.Second))
	}
	silent, each := l.silentShare(now, b)
	gain := max(b.limit.Rate-each*float64(silent), b.limit.Rate*minGainShare)
	return time.Duration(missing / gain * float64(time.Second))
}

const (
	// discoveryTime is the approximate time in which the hosts of a small fleet discover
	// each other.
	discoveryTime = 300 * time.Millisecond
	// minGainShare is the least part of the rate that refillTime assumes, for hosts that
	// receive reports from almost no others.
	minGainShare = 0.05
)

// State returns an organisation's remaining tokens and its limit.
func (l *Limiter) State(now time.Time, org ident.Organisation) (left float64, lim Limit) {
	b := l.orgs[org]
	if b == nil {
		return 0, Limit{}
	}
	l.refill(now, b)
	return b.level, b.limit
}

// Refund returns the tokens of a request that was admitted but did not run.
func (l *Limiter) Refund(now time.Time, org ident.Organisation, tokens float64) {
	b := l.orgs[org]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	l.refill(now, b)
	b.level = min(l.capacity(now, b), b.level+tokens)
	b.used -= int64(tokens)
}

// urgentBurstShare is the part of the burst below which hosts report what they admit at
// once. Otherwise all of them admit requests against the same tokens until their next
// report: with 85 hosts that report once a second, 85 requests for each that fits.
const urgentBurstShare = 0.5

// ReportDue reports whether this host should send a report ahead of the regular interval:
// it has admitted tokens since its last report and little is left of the burst.
func (l *Limiter) ReportDue(now time.Time) bool {
	for _, b := range l.orgs {
		if b.used == b.reported || b.limit.Rate <= 0 {
			continue
		}
		l.refill(now, b)
		if b.level < b.limit.Burst*urgentBurstShare {
			return true
		}
	}
	return false
}

// MarkReported records that a report is being sent to all other hosts.
func (l *Limiter) MarkReported() {
	for _, b := range l.orgs {
		b.reported = b.used
	}
}

// Used returns the tokens that this host has admitted since its start.
func (l *Limiter) Used() map[ident.Organisation]int64 {
	used := make(map[ident.Organisation]int64, len(l.orgs))
	for name, b := range l.orgs {
		if b.used != 0 {
			used[name] = b.used
		}
	}
	return used
}

// Report holds the tokens that a host has admitted since its start.
type Report struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Uptime      time.Duration // time since the start of its process
	Sequence    uint64        // rises with each report of a process
	Used        map[ident.Organisation]int64
}

// ApplyReport applies another host's report.
func (l *Limiter) ApplyReport(now time.Time, r Report) {
	p := l.peers[r.Host]
	known := p != nil && p.incarnation == r.Incarnation
	for _, b := range l.orgs {
		l.refill(now, b)
	}
	if !known {
		fresh := &peer{incarnation: r.Incarnation, used: map[ident.Organisation]int64{}}
		if p == nil && r.Uptime > now.Sub(l.startedAt) {
			// The peer started before this host. What it had admitted until then is
			// covered by the empty buckets with which this host started. The tokens of
			// a peer that started later are all charged.
			fresh.used = r.Used
		}
		if p != nil && p.reporting {
			l.reporting--
		}
		p = fresh
		l.peers[r.Host] = p
	}
	used := p.latest(r)
	l.charge(now, p, used)
	for name, b := range l.orgs {
		if used[name] != p.used[name] {
			b.markToRelay(r.Host)
		}
	}
	p.used, p.sequence = used, r.Sequence
}

// charge deducts the tokens that a peer has admitted since its last report, less those
// already deducted on the assumption that it used its share.
func (l *Limiter) charge(now time.Time, p *peer, used map[ident.Organisation]int64) {
	var assumed map[*bucket]float64
	if silent := now.Sub(p.lastReport) - l.cfg.SilentAfter; !p.lastReport.IsZero() && silent > 0 {
		assumed = make(map[*bucket]float64, len(l.orgs))
		for _, b := range l.orgs {
			_, each := l.silentShare(now, b)
			assumed[b] = silent.Seconds() * each
		}
	}
	// From here on the peer counts as reporting, so that its part of the burst may be used.
	p.lastReport = now
	if !p.reporting {
		p.reporting = true
		l.reporting++
	}
	for name, b := range l.orgs {
		d := float64(used[name]-p.used[name]) - assumed[b]
		b.level = min(l.capacity(now, b), b.level-d)
	}
}

// Tick removes hosts that have sent no report for ForgetAfter.
func (l *Limiter) Tick(now time.Time) {
	for host, p := range l.peers {
		if now.Sub(p.lastReport) >= l.cfg.ForgetAfter {
			for _, b := range l.orgs {
				l.refill(now, b)
			}
			delete(l.peers, host)
			l.recountAt = time.Time{}
		}
	}
}
