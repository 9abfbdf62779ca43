package roster

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Host identifies an entry host and its current process.
type Host struct {
	_           struct{} `cbor:",toarray"`
	ID          ident.HostID
	Incarnation ident.Incarnation
	Addr        string // IP:port for heartbeats
	Domain      ident.FailureDomain
}

// Heartbeat is the message that a host sends to the others periodically.
type Heartbeat struct {
	From     Host   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"` // the host is shutting down and accepts no new requests
	Known    []Host `cbor:"4,keyasint,omitempty"` // sample of the hosts that the sender considers alive
}

// Config holds the timing of a Roster.
type Config struct {
	Self  Host
	Seeds []string // heartbeat addresses; may be stale or this host's own
	// Interval is the time between heartbeats to one host in a small fleet. A shorter
	// interval gives a fresher view of load and quota and costs more bandwidth.
	Interval time.Duration
	// MaxHeartbeatsPerSecond bounds the heartbeats that this host sends; in a larger
	// fleet the interval grows instead.
	MaxHeartbeatsPerSecond float64
	// SilentIntervals is the number of intervals without a heartbeat after which a host
	// counts as silent.
	SilentIntervals int
	// ForgetAfter is how long a host may be silent before it is removed. Until then it
	// still gets heartbeats, in case it was only partitioned.
	ForgetAfter time.Duration
	// HostsPerHeartbeat is the number of other hosts in the sample of a heartbeat.
	HostsPerHeartbeat int
}

// DefaultConfig returns settings that cost a host of a small fleet a few kilobytes per
// second.
func DefaultConfig(self Host, seeds []string) Config {
	return Config{
		Self:                   self,
		Seeds:                  seeds,
		Interval:               100 * time.Millisecond,
		MaxHeartbeatsPerSecond: 80,
		SilentIntervals:        5,
		ForgetAfter:            30 * time.Second,
		HostsPerHeartbeat:      8,
	}
}

// Roster is the membership view of one host. It is not safe for concurrent use.
type Roster struct {
	cfg           Config
	members       map[ident.HostID]*member
	order         []ident.HostID // sorted
	sequence      uint64
	lastHeartbeat time.Time
	nextHeartbeat time.Time
	lastSeed      time.Time
	sampleIndex   int       // position in order of the last host in a sample
	batchIndex    int       // position in order of the next batch
	expedited     bool      // the next heartbeat goes to all hosts at once
	lastJoin      time.Time // last time that a host was added, or the first heartbeat
	converged     bool      // see Converged
	extraAddrs    []string  // hosts that get a heartbeat before the next one to all hosts
}

type member struct {
	Host
	sequence  uint64
	lastHeard time.Time // last heartbeat; zero for a host known only from others' samples
	lastKnown time.Time // last heartbeat, or when the host was learned from a sample
	lastSent  time.Time
	leaving   bool
}

// seedInterval is the interval of heartbeats to seeds that are not known as hosts.
const seedInterval = 500 * time.Millisecond

// silentResendInterval is the interval of heartbeats to a silent host.
const silentResendInterval = time.Second

// New returns a roster without known hosts.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, members: map[ident.HostID]*member{}}
}

// Interval returns the time between heartbeats to one host.
func (r *Roster) Interval() time.Duration {
	scaled := time.Duration(float64(len(r.members)) / r.cfg.MaxHeartbeatsPerSecond * float64(time.Second))
	return max(r.cfg.Interval, scaled)
}

// SilentAfter returns the time without a heartbeat after which a host counts as silent.
func (r *Roster) SilentAfter() time.Duration {
	return time.Duration(r.cfg.SilentIntervals) * r.Interval()
}

// Next returns the time of the next heartbeat.
func (r *Roster) Next() time.Time { return r.nextHeartbeat }

// Tick returns the next heartbeat and the addresses to send it to, if one is due. all
// reports whether it goes to all hosts. Between two of those, a heartbeat goes to newly
// joined hosts alone, so that they soon learn of the others, and to those of Notify.
func (r *Roster) Tick(now time.Time, leaving bool) (hb Heartbeat, to []string, all bool) {
	if now.Before(r.nextHeartbeat) {
		to, r.extraAddrs = r.extraAddrs, nil
		if len(to) == 0 {
			return Heartbeat{}, nil, false
		}
		r.sequence++
		return Heartbeat{From: r.cfg.Self, Sequence: r.sequence, Leaving: leaving, Known: r.sample(now)}, to, false
	}
	if r.lastJoin.IsZero() {
		r.lastJoin = now
	}
	r.removeStale(now)
	batch, all := r.nextBatch()
	r.lastHeartbeat = now
	r.nextHeartbeat = now.Add(r.Interval())
	if !all {
		r.nextHeartbeat = now.Add(r.Interval() * time.Duration(len(batch)) / time.Duration(len(r.order)))
	}
	r.sequence++
	hb = Heartbeat{From: r.cfg.Self, Sequence: r.sequence, Leaving: leaving, Known: r.sample(now)}
	to, r.extraAddrs = r.extraAddrs, nil
	for _, id := range batch {
		m := r.members[id]
		if !r.alive(now, m) && now.Sub(m.lastSent) < silentResendInterval || slices.Contains(to, m.Addr) {
			continue
		}
		m.lastSent = now
		to = append(to, m.Addr)
	}
	return hb, append(to, r.unknownSeeds(now)...), all
}

// hostsPerBatch is the number of hosts that get a heartbeat at the same time. The
// heartbeats to all hosts of a large fleet would occupy the link of this host for a tenth
// of a second, and delay its callers.
const hostsPerBatch = 16

// nextBatch returns the hosts that get the next heartbeat, and whether these are all.
// While hosts are still being discovered, all of them get it, so that none is missed when
// the others seem to be known.
func (r *Roster) nextBatch() (batch []ident.HostID, all bool) {
	if r.expedited || !r.converged || len(r.order) <= hostsPerBatch {
		r.expedited, r.batchIndex = false, 0
		return r.order, true
	}
	if r.batchIndex >= len(r.order) {
		r.batchIndex = 0
	}
	batch = r.order[r.batchIndex:min(r.batchIndex+hostsPerBatch, len(r.order))]
	r.batchIndex += len(batch)
	return batch, false
}

// minInterval is the shortest time between two heartbeats to all hosts. It bounds the
// traffic while ExpediteNext is called repeatedly.
const minInterval = 50 * time.Millisecond

// ExpediteNext makes the next heartbeat go to all hosts, as soon as minInterval allows.
func (r *Roster) ExpediteNext() {
	r.expedited = true
	if soon := r.lastHeartbeat.Add(minInterval); soon.Before(r.nextHeartbeat) {
		r.nextHeartbeat = soon
	}
}

// NextSequence assigns the sequence of a heartbeat to a message that is not one, so that
// its receivers can order it among the heartbeats.
func (r *Roster) NextSequence() uint64 {
	r.sequence++
	return r.sequence
}

// Notify sends the next heartbeat to an address at once, ahead of the one to all hosts.
func (r *Roster) Notify(addr string) {
	if !slices.Contains(r.extraAddrs, addr) {
		r.extraAddrs = append(r.extraAddrs, addr)
	}
}

// unknownSeeds returns the seeds that are not known as hosts, once per seedInterval.
func (r *Roster) unknownSeeds(now time.Time) []string {
	if now.Sub(r.lastSeed) < seedInterval {
		return nil
	}
	r.lastSeed = now
	var to []string
	for _, addr := range r.cfg.Seeds {
		if addr != r.cfg.Self.Addr && !r.hasAddr(addr) {
			to = append(to, addr)
		}
	}
	return to
}

func (r *Roster) hasAddr(addr string) bool {
	for _, m := range r.members {
		if m.Addr == addr {
			return true
		}
	}
	return false
}

// sample returns the next few hosts that are alive, in rotation.
func (r *Roster) sample(now time.Time) []Host {
	var known []Host
	for range r.order {
		if len(known) == r.cfg.HostsPerHeartbeat {
			break
		}
		r.sampleIndex = (r.sampleIndex + 1) % len(r.order)
		if m := r.members[r.order[r.sampleIndex]]; r.alive(now, m) {
			known = append(known, m.Host)
		}
	}
	return known
}

// Receive processes a heartbeat. fresh reports whether it is newer than the last one of
// its sender, and restarted whether it comes from another process than before.
func (r *Roster) Receive(now time.Time, hb Heartbeat) (fresh, restarted bool) {
	if hb.From.ID == r.cfg.Self.ID {
		return false, false
	}
	for _, h := range hb.Known {
		r.learn(now, h)
	}
	m := r.members[hb.From.ID]
	switch {
	case m == nil:
		m = r.add(now, hb.From)
		r.Notify(hb.From.Addr)
	case m.Incarnation == hb.From.Incarnation && hb.Sequence <= m.sequence:
		// A delayed or duplicate heartbeat, unless the host was silent: then it comes
		// from a new process whose clock was set back and that got the same incarnation.
		if r.alive(now, m) || m.lastHeard.IsZero() {
			return false, false
		}
		restarted = true
	case m.Incarnation != hb.From.Incarnation:
		// The clock may have been set back between two processes, so a new process may
		// have a lower incarnation if the old one has become silent.
		if hb.From.Incarnation < m.Incarnation && r.alive(now, m) {
			return false, false
		}
		restarted = !m.lastHeard.IsZero()
	}
	m.Host = hb.From
	m.sequence = hb.Sequence
	m.lastHeard = now
	m.lastKnown = now
	m.leaving = hb.Leaving
	return true, restarted
}

// learn adds or updates a host from another host's sample.
func (r *Roster) learn(now time.Time, h Host) {
	if h.ID == r.cfg.Self.ID {
		return
	}
	m := r.members[h.ID]
	if m == nil {
		r.add(now, h).lastKnown = now
		return
	}
	if m.lastHeard.IsZero() || h.Incarnation > m.Incarnation && !r.alive(now, m) {
		m.Host = h
		m.sequence = 0
		m.lastKnown = now
	}
}

func (r *Roster) add(now time.Time, h Host) *member {
	r.lastJoin = now
	m := &member{Host: h}
	r.members[h.ID] = m
	at, _ := slices.BinarySearch(r.order, h.ID)
	r.order = slices.Insert(r.order, at, h.ID)
	return m
}

// removeStale removes the hosts that have sent no heartbeat for ForgetAfter, or none
// since they were learned that long ago.
func (r *Roster) removeStale(now time.Time) {
	r.order = slices.DeleteFunc(r.order, func(id ident.HostID) bool {
		stale := now.Sub(r.members[id].lastKnown) >= r.cfg.ForgetAfter
		if stale {
			delete(r.members, id)
		}
		return stale
	})
	if len(r.order) > 0 {
		r.sampleIndex %= len(r.order)
	}
}

func (r *Roster) alive(now time.Time, m *member) bool {
	return !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < r.SilentAfter()
}

// Alive returns the hosts that are alive and not leaving, in order of their ids.
func (r *Roster) Alive(now time.Time) []Host {
	var hosts []Host
	for _, id := range r.order {
		if m := r.members[id]; r.alive(now, m) && !m.leaving {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// Stopped returns the hosts that have announced that they shut down.
func (r *Roster) Stopped() []ident.HostID {
	var hosts []ident.HostID
	for _, id := range r.order {
		if r.members[id].leaving {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// Addr returns the address of a host, or "" if it is not known.
func (r *Roster) Addr(id ident.HostID) string {
	if m := r.members[id]; m != nil {
		return m.Addr
	}
	return ""
}

// AliveCount returns the number of hosts that Alive returns.
func (r *Roster) AliveCount(now time.Time) int {
	n := 0
	for _, m := range r.members {
		if r.alive(now, m) && !m.leaving {
			n++
		}
	}
	return n
}

// Silent returns the hosts that have sent heartbeats before and are silent now.
func (r *Roster) Silent(now time.Time) []ident.HostID {
	var hosts []ident.HostID
	for _, id := range r.order {
		if m := r.members[id]; !m.lastHeard.IsZero() && !r.alive(now, m) {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// SetSeeds replaces the seed addresses.
func (r *Roster) SetSeeds(seeds []string) { r.cfg.Seeds = seeds }

// SilentDomains returns the other failure domains that have a silent host and none that
// is alive. A host that was leaving when it was last heard has stopped as announced, which
// says nothing of its domain.
func (r *Roster) SilentDomains(now time.Time) []ident.FailureDomain {
	aliveDomains := map[ident.FailureDomain]bool{r.cfg.Self.Domain: true}
	for _, m := range r.members {
		if r.alive(now, m) {
			aliveDomains[m.Domain] = true
		}
	}
	var silent []ident.FailureDomain
	for _, m := range r.members {
		if !m.lastHeard.IsZero() && !m.leaving && !aliveDomains[m.Domain] && !slices.Contains(silent, m.Domain) {
			silent = append(silent, m.Domain)
		}
	}
	slices.Sort(silent)
	return silent
}

const (
	// convergeIntervals is the number of intervals without a new host after which all
	// reachable hosts are assumed to be known. It is more than one, since a heartbeat
	// carries only a sample of the hosts.
	convergeIntervals = 3
	// aloneTimeout is the time after which a host that knows no other host assumes that
	// none is reachable: three heartbeats to the seeds.
	aloneTimeout = 3 * seedInterval
)

// Converged reports whether the hosts that were running when this one started are known.
// Once true, it stays true.
func (r *Roster) Converged(now time.Time) bool {
	if r.converged || r.lastJoin.IsZero() {
		return r.converged
	}
	after := convergeIntervals * r.Interval()
	if len(r.members) == 0 {
		after = aloneTimeout
	}
	r.converged = now.Sub(r.lastJoin) >= after
	return r.converged
}

// Size returns the number of known hosts, this one included.
func (r *Roster) Size() int { return len(r.members) + 1 }
