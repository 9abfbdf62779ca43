package serverlimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Limiter.
type Config struct {
	Self ident.HostID
	// Seed makes the numbers of asks differ between the processes of a host, so that a late
	// answer to an earlier process is not taken for one to this process.
	Seed uint64
	// Share is the part of a limit that is issued. The rest covers what a bucket has saved,
	// so that a limit also holds over a few seconds after a pause.
	Share float64
	// ColdOverage and ColdSlack bound the requests that a cold server may get in any one second
	// to ColdOverage x limit + ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// Depth is the number of permits that a bucket saves, or DepthTime those of a time if
	// that is more. A permit for which others come first is issued only from a full bucket.
	Depth     float64
	DepthTime time.Duration
	// MinRate, in requests per second, is issued for a limit of zero too: without any request
	// nobody would learn that it has been lifted.
	MinRate float64
	// AskTimeout is how long a request waits for a permit. An answer that comes later is not
	// used.
	AskTimeout time.Duration
	// LostBackoff is how long no permit is asked for after an ask without an answer.
	LostBackoff time.Duration
	// ConfirmAfter is the age of what is known of a limit from which on requests prefer the
	// process, so that somebody hears whether the limit still holds.
	ConfirmAfter time.Duration
	// MemberTTL is how long a host that went silent without notice keeps its part of all
	// limits. It may be cut off and still send requests.
	MemberTTL time.Duration
	// MessageDelay is the assumed bound on the delay of messages. A host that changes its
	// coordinator lends its part to the new one only after that and the time after which the
	// earlier one does not count on it any more.
	MessageDelay time.Duration
}

// DefaultConfig returns settings for a host.
func DefaultConfig(self ident.HostID, seed uint64) Config {
	return Config{
		Self:         self,
		Seed:         seed,
		Share:        0.8,
		ColdOverage:  1.5,
		ColdSlack:    5,
		Depth:        1.5,
		DepthTime:    200 * time.Millisecond,
		MinRate:      0.1,
		AskTimeout:   100 * time.Millisecond,
		LostBackoff:  200 * time.Millisecond,
		ConfirmAfter: 5 * time.Second,
		MemberTTL:    10 * time.Minute,
		MessageDelay: 2 * time.Second,
	}
}

// Fleet is what this host sees of the others.
type Fleet struct {
	// Able are the reachable hosts that can coordinate, this one included if it can; empty
	// while hosts are still being discovered.
	Able []ident.HostID
	// AbleCold are those of Able whose programs keep the limits of cold servers.
	AbleCold []ident.HostID
	// Reachable are all reachable hosts, Silent those that have gone silent without notice,
	// and Stopped those that have announced that they stop.
	Reachable, Silent, Stopped []ident.HostID
	// MinHosts is the least number of hosts to assume.
	MinHosts int
	// HeartbeatInterval is how often each host sends its notes to all others.
	HeartbeatInterval time.Duration
	// AssumedHosts is the least number of hosts to assume for servers that are cold. It is set
	// while this host may not know the whole fleet.
	AssumedHosts int
}

const (
	// loanHeartbeats is the number of heartbeat intervals after which a loan that has not been
	// repeated ends.
	loanHeartbeats = 2.5
	minLoanTTL     = 500 * time.Millisecond
)

// loanTTL returns the time after which a loan that has not been repeated ends.
func (f Fleet) loanTTL() time.Duration {
	return max(minLoanTTL, time.Duration(loanHeartbeats*float64(f.HeartbeatInterval)))
}

// Limiter keeps the limits that are known to one host and coordinates some of them. It is
// not safe for concurrent use.
type Limiter struct {
	cfg       Config
	startedAt time.Time
	limits    map[Process]*limit
	unsent    bool // see HasNews
	fleet     Fleet
	members   map[ident.HostID]time.Time // when each host was last reachable, roughly
	nextAsk   uint64
	outgoing  []Outgoing
	rng       *rand.Rand
	coldCount int       // processes that are cold
	ended     []Process // that are no longer cold
}

// New returns a Limiter that knows of no limit.
func New(cfg Config, now time.Time) *Limiter {
	return &Limiter{
		cfg:       cfg,
		startedAt: now,
		limits:    map[Process]*limit{},
		members:   map[ident.HostID]time.Time{},
		nextAsk:   cfg.Seed,
		rng:       rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(string(cfg.Self)))),
	}
}

// Tick refills the buckets of this host. It must be called several times a second.
func (l *Limiter) Tick(now time.Time) {
	for _, k := range l.limits {
		l.refill(now, k)
	}
	l.endCold(now)
}

// SetFleet records which hosts are reachable. listed reports whether a process is listed.
func (l *Limiter) SetFleet(now time.Time, f Fleet, listed func(Process) bool) {
	l.fleet = f
	for _, id := range f.Stopped {
		delete(l.members, id)
	}
	for _, id := range f.Silent {
		if l.members[id].IsZero() {
			l.members[id] = now
		}
	}
	for _, id := range f.Reachable {
		l.members[id] = now
	}
	maps.DeleteFunc(l.members, func(_ ident.HostID, seen time.Time) bool { return now.Sub(seen) >= l.cfg.MemberTTL })
	l.countCold()
	for p, k := range l.limits {
		if now.Sub(k.at) >= forgetAfter && !listed(p) || k.forgettable(now) {
			delete(l.limits, p)
			continue
		}
		l.chooseCoordinator(now, p, k)
	}
}

// hosts returns the number of hosts among which limits are divided.
func (l *Limiter) hosts() int { return max(len(l.members)+1, l.fleet.MinHosts) }

// Limited reports whether requests to a process need a permit.
func (l *Limiter) Limited(p Process) bool {
	k := l.limits[p]
	return k != nil && k.limited()
}

// Askable reports whether a permit for a limited process may be asked for now.
func (l *Limiter) Askable(now time.Time, p Process) bool {
	k := l.limits[p]
	return k == nil || !k.limited() || k.coordinator != "" && !now.Before(k.backoffUntil)
}

// Preferred reports whether a limited process should be used although others have room:
// this host issues the permits and has one left, or it is not certain any more that the
// limit still holds.
func (l *Limiter) Preferred(now time.Time, p Process) bool {
	k := l.limits[p]
	if k == nil || !k.limited() {
		return true
	}
	if k.coordinator == l.cfg.Self {
		l.refill(now, k)
		return k.level >= 1
	}
	return !k.lifted && now.Sub(k.at) >= l.cfg.ConfirmAfter
}

// RetryAfter returns the time after which a request that gets no permit should come back.
func (l *Limiter) RetryAfter(p Process) time.Duration {
	if k := l.limits[p]; k != nil {
		return k.retryAfter
	}
	return 0
}

// restrict starts to divide a limit that has been named or changed.
func (l *Limiter) restrict(now time.Time, p Process, k *limit) {
	l.refill(now, k)
	k.level = min(k.level, l.depth(k))
	l.chooseCoordinator(now, p, k)
}

// chooseCoordinator lends this host's part of a limit to a coordinator. It stays with one
// that is reachable, as each change leaves the part unused for a while, unless other hosts
// use one with a higher rank: in the end all use the same one.
func (l *Limiter) chooseCoordinator(now time.Time, p Process, k *limit) {
	if l.keepsOwnPart(k) {
		k.proposed = ""
		l.lend(now, k, l.cfg.Self)
		return
	}
	able := l.fleet.Able
	if k.cold.active && k.lifted {
		able = l.fleet.AbleCold
	}
	var inUse []ident.HostID
	for _, id := range []ident.HostID{k.coordinator, k.proposed} {
		if slices.Contains(able, id) {
			inUse = append(inUse, id)
		}
	}
	if len(inUse) == 0 {
		inUse = able
	}
	k.proposed = ""
	l.lend(now, k, ident.Owner(string(p.ID), inUse))
}

// lend lends this host's part of a limit to a coordinator, or to none if it is empty.
func (l *Limiter) lend(now time.Time, k *limit, to ident.HostID) {
	if to == "" || to == k.coordinator {
		k.coordinator = to
		return
	}
	switch {
	case k.coordinator == "" && !k.lentBefore && k.cold.active:
		// The process before this one may have lent it. That the part counts twice until the
		// loan ends is within the overage, and a fleet that restarts can serve at once.
		k.lentSince = l.startedAt.Add(-forgetAfter)
	case k.coordinator == "" && !k.lentBefore:
		k.lentSince = l.startedAt // by the process before this one, it may have been lent
	case k.coordinator == l.cfg.Self && k.cold.active:
		// Nobody else uses the part, so it counts as of when the coordinator before lost it.
	default:
		k.lentSince = now
	}
	k.coordinator, k.lentBefore = to, true
	if to == l.cfg.Self && k.cold.active {
		k.level, k.fullAt = l.rng.Float64(), time.Time{}
	}
}

// Outgoing is a message for another host.
type Outgoing struct {
	To     ident.HostID
	Ask    *Ask
	Answer *Answer
	Notes  []Note // with an answer about a limit of which the other host should know more
}

// Outgoing returns the messages to send since the last call.
func (l *Limiter) Outgoing() []Outgoing {
	out := l.outgoing
	l.outgoing = nil
	return out
}
