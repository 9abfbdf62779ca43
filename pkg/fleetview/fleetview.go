package fleetview

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// State is how certain a host is of its view of the fleet.
type State uint8

// States of a View.
const (
	// Alone is the state of a host that has received no heartbeat from another host.
	Alone State = iota
	// Separated is the state of a host that has met others and hears half of the known
	// hosts at most, itself included.
	Separated
	// Member is the state of a host that hears more than half of the known hosts, itself
	// included. Only a Member may act for the others.
	Member
)

// String returns the state as it is logged.
func (s State) String() string { return [...]string{"alone", "separated", "member"}[s] }

// Config holds the settings of a View.
type Config struct {
	Self  roster.Host
	Seeds []string // heartbeat addresses; may contain this host's own
	// Domains is the number of failure domains that have hosts, 0 if it is not configured.
	Domains int
	// Retention is how long a host that went silent without notice is counted. A shorter
	// time lets the others use its part sooner; after a partition of that length each side
	// acts as the whole fleet.
	Retention time.Duration
	// NamedRetention is how long a host is counted that only others have named.
	NamedRetention time.Duration
	// StopWindow is how long a host that announced its stop counts among those that share
	// with this one, after its last heartbeat: it serves until then, and what it has used
	// counts in a window of that length.
	StopWindow time.Duration
	// MinSettle is the least time without a new host after which the hosts that can be
	// reached are assumed to be known. It must exceed the interval of heartbeats to seeds.
	MinSettle time.Duration
}

// DefaultRetention equals the time for which a silent host keeps its part of the limits of
// servers (serverlimit.Config.MemberTTL).
const DefaultRetention = 10 * time.Minute

// DefaultConfig returns the default times.
func DefaultConfig() Config {
	return Config{
		Retention: DefaultRetention, NamedRetention: 30 * time.Second, StopWindow: 10 * time.Second, MinSettle: 1500 * time.Millisecond,
	}
}

// Report is what a host tells the others of its view.
type Report struct {
	Known int    `cbor:"1,keyasint,omitempty"` // hosts that the sender has heard and counts, itself included
	Slot  uint64 `cbor:"2,keyasint,omitempty"` // 1 + the slot of its fencing tokens, 0 if it has used none
	// Leader identifies the host with the lowest id of those that the sender hears, itself
	// included, by a hash of the id.
	Leader uint32 `cbor:"3,keyasint,omitempty"`
}

// leaderHash returns the hash of an id in a Report. It is not 0.
func leaderHash(id ident.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))>>33) + 1 }

// maxKnown bounds the number of hosts that are remembered or that another host may report: ten
// times the largest fleet that is planned. Larger reports are ignored.
const maxKnown = 1 << 14

// Timing is the pace of heartbeats, see roster.Roster.
type Timing struct {
	Interval    time.Duration
	SilentAfter time.Duration
}

// View is the view of one host. It is not safe for concurrent use.
type View struct {
	cfg       Config
	startedAt time.Time
	timing    Timing
	hosts     map[ident.HostID]*record
	byAddr    map[string]ident.HostID

	heardAny     bool // a heartbeat from another host has been received
	member       bool // this host has been a Member
	lastJoin     time.Time
	settledAt    time.Time // zero until settled
	staleTokenAt time.Time // see RecordStaleToken

	state        State
	live         int // hosts that are heard, this one included
	counted      int // known hosts, this one included
	heard        int // counted hosts that were heard, this one included
	size         int // counted by this host, or by a live one
	sharing      int // size and the hosts that stop
	domains      int // failure domains of the known hosts
	keepNotes    bool
	lowest       ident.HostID // of the live hosts, this one included
	leadingSince time.Time    // see LeadingSince

	updatedAt time.Time
	countedAt time.Time
	expiredAt time.Time
	recountAt time.Time // when the hosts must be counted anew

	slot     uint64
	slotUsed bool
}

// record is a host that is known or was within the retention period.
type record struct {
	roster.Host
	heardAt   time.Time // last heartbeat; zero for a host known only from others' samples
	knownAt   time.Time // last heartbeat, or when another host last named it
	gone      bool      // it has announced its stop, or another host has its address
	stopping  bool      // it has announced its stop
	keepNotes bool
	report    Report
}

// New returns a View that knows no other host.
func New(cfg Config, now time.Time) *View {
	v := &View{
		cfg: cfg, startedAt: now, lastJoin: now, updatedAt: now,
		hosts: map[ident.HostID]*record{}, byAddr: map[string]ident.HostID{},
	}
	v.settle(now)
	v.recount(now)
	return v
}

// SetSeeds replaces the seed addresses.
func (v *View) SetSeeds(seeds []string) {
	v.cfg.Seeds = seeds
	v.changed()
}

// Heartbeat is what a View needs of a heartbeat of another host.
type Heartbeat struct {
	From       roster.Host
	Leaving    bool          // the sender has announced its stop
	Known      []roster.Host // hosts that the sender considers alive
	KeepsNotes bool          // the sender's program reads notes
	Report     *Report       // nil from older programs
}

// Heard applies a heartbeat that is newer than the last one of its sender.
func (v *View) Heard(now time.Time, hb Heartbeat) {
	if !v.isOther(hb.From) {
		return
	}
	for _, h := range hb.Known {
		v.learn(now, h)
	}
	if !v.heardAny {
		v.heardAny, v.settledAt = true, time.Time{}
	}
	r := v.hosts[hb.From.ID]
	if r == nil {
		r = v.add(now, hb.From)
	}
	var report Report
	if hb.Report != nil && hb.Report.Known <= maxKnown && hb.Report.Slot <= Slots {
		report = *hb.Report
	}
	if !v.isLive(now, r) || r.gone != hb.Leaving || r.keepNotes != hb.KeepsNotes || r.report != report || r.Host != hb.From {
		v.changed()
	}
	v.setHost(r, hb.From)
	r.heardAt, r.knownAt = now, now
	r.gone, r.stopping, r.keepNotes, r.report = hb.Leaving, hb.Leaving, hb.KeepsNotes, report
}

// isOther reports whether a host is neither this one nor one that had its address before.
func (v *View) isOther(h roster.Host) bool {
	return h.ID != v.cfg.Self.ID && (h.Addr != v.cfg.Self.Addr || h.Addr == "")
}

// learn applies that another host considers a host alive.
func (v *View) learn(now time.Time, h roster.Host) {
	if !v.isOther(h) {
		return
	}
	if holder := v.hosts[v.byAddr[h.Addr]]; holder != nil && holder.ID != h.ID && v.isLive(now, holder) {
		return // the sender has not heard yet that the host was replaced
	}
	r := v.hosts[h.ID]
	if r == nil && len(v.hosts) >= maxKnown {
		return
	}
	if r == nil {
		v.setHost(v.add(now, h), h)
		return
	}
	if !r.gone {
		r.knownAt = now
	}
}

func (v *View) add(now time.Time, h roster.Host) *record {
	r := &record{Host: h, knownAt: now}
	v.hosts[h.ID] = r
	v.lastJoin = now
	v.changed()
	return r
}

// setHost sets the address of a host. Another host that had the address was replaced.
func (v *View) setHost(r *record, h roster.Host) {
	if v.byAddr[r.Addr] == r.ID && r.Addr != h.Addr {
		delete(v.byAddr, r.Addr)
	}
	if before := v.hosts[v.byAddr[h.Addr]]; before != nil && before.ID != h.ID {
		before.gone = true
		v.changed()
	}
	r.Host = h
	v.byAddr[h.Addr] = h.ID
}

// RecordStaleToken records that a backend server has refused an order of this host because it
// has seen a higher fencing token: a host without other seeds is not the whole fleet.
func (v *View) RecordStaleToken(now time.Time) {
	v.staleTokenAt = now
	v.changed()
}

func (v *View) isLive(now time.Time, r *record) bool {
	return !r.heardAt.IsZero() && now.Sub(r.heardAt) < v.timing.SilentAfter
}

// maxPause is the time without an Update after which nothing is known of the time between:
// the process was paused, and heartbeats that had waited may look recent.
const maxPause = time.Second

// Update sets the time and the pace of heartbeats. It must be called several times a second
// and after Heard.
func (v *View) Update(now time.Time, t Timing) {
	if now.Sub(v.updatedAt) > maxPause {
		v.leadingSince = time.Time{}
		v.changed()
	}
	v.updatedAt = now
	if t != v.timing {
		v.timing = t
		v.changed()
	}
	if v.settle(now) || !now.Before(v.recountAt) {
		v.recount(now)
	}
}

// settleIntervals is the number of heartbeat intervals without a new host after which all
// reachable hosts are assumed to be known.
const settleIntervals = 3

// settle determines whether the reachable hosts are known, and reports whether that is new.
func (v *View) settle(now time.Time) bool {
	if !v.settledAt.IsZero() || !v.heardAny && !v.singleHost(now) {
		return false
	}
	if v.heardAny && now.Sub(v.lastJoin) < max(v.cfg.MinSettle, settleIntervals*v.timing.Interval) {
		return false
	}
	v.settledAt = now
	return true
}

// singleHost reports whether the settings name no other host and there is no other sign of one.
func (v *View) singleHost(now time.Time) bool {
	if v.heardAny || v.cfg.Domains > 1 || !v.staleTokenAt.IsZero() && now.Sub(v.staleTokenAt) < v.cfg.Retention {
		return false
	}
	return !slices.ContainsFunc(v.cfg.Seeds, func(addr string) bool { return addr != v.cfg.Self.Addr })
}

// minRecount is the minimum time between two counts of the hosts, and recountsPerInterval
// bounds their number in a heartbeat interval: while the hosts of a large fleet meet, each
// heartbeat changes something.
const (
	minRecount          = 10 * time.Millisecond
	recountsPerInterval = 50
)

// maxRecount is the maximum time between two counts, with which silent hosts are forgotten.
const maxRecount = 5 * time.Second

// changed has the hosts counted anew soon.
func (v *View) changed() {
	if at := v.countedAt.Add(max(minRecount, v.timing.Interval/recountsPerInterval)); at.Before(v.recountAt) {
		v.recountAt = at
	}
}

// recount counts the hosts.
func (v *View) recount(now time.Time) {
	v.countedAt = now
	v.expire(now)
	v.recountAt = now.Add(maxRecount)
	v.live, v.counted, v.heard, v.keepNotes = 1, 1, 1, true
	stopping := 0
	v.lowest = v.cfg.Self.ID
	reported, votes, self := 0, 1, leaderHash(v.cfg.Self.ID)
	domains := map[ident.FailureDomain]struct{}{v.cfg.Self.Domain: {}}
	for id, r := range v.hosts {
		if r.stopping && now.Sub(r.heardAt) < v.cfg.StopWindow {
			stopping++
		}
		if r.gone {
			continue
		}
		v.counted++
		if !r.heardAt.IsZero() {
			v.heard++
		}
		domains[r.Domain] = struct{}{}
		v.keepNotes = v.keepNotes && r.keepNotes
		if !v.isLive(now, r) {
			continue
		}
		v.live++
		reported = max(reported, r.report.Known)
		v.lowest = min(v.lowest, id)
		if r.report.Leader == 0 || r.report.Leader == self {
			votes++
		}
		if silentAt := r.heardAt.Add(v.timing.SilentAfter); silentAt.Before(v.recountAt) {
			v.recountAt = silentAt
		}
	}
	v.domains = len(domains)
	v.size = max(v.counted, reported)
	v.sharing = v.size + stopping
	v.state = v.decide(now)
	v.member = v.member || v.state == Member && v.heardAny
	switch {
	case v.state != Member || v.lowest != v.cfg.Self.ID || 2*votes <= v.size:
		v.leadingSince = time.Time{}
	case v.leadingSince.IsZero():
		v.leadingSince = now
	}
}

func (v *View) decide(now time.Time) State {
	switch {
	case v.singleHost(now):
		return Member
	case !v.heardAny:
		return Alone
	case v.live == 1 || 2*v.live <= v.size:
		return Separated
	case now.Sub(v.startedAt) < v.cfg.Retention && 2*v.domains <= v.cfg.Domains:
		// The others may have started in the other failure domains, cut off from this one.
		return Separated
	}
	return Member
}

// expire forgets the hosts that have been silent for the retention period. A host that hears
// no other at all keeps what it knows, since it is the one that is cut off.
func (v *View) expire(now time.Time) {
	if v.live == 1 || now.Sub(v.expiredAt) < time.Second {
		return
	}
	v.expiredAt = now
	for id, r := range v.hosts {
		if now.Sub(r.knownAt) < v.cfg.Retention && (!r.heardAt.IsZero() || now.Sub(r.knownAt) < v.cfg.NamedRetention) {
			continue
		}
		delete(v.hosts, id)
		if v.byAddr[r.Addr] == id {
			delete(v.byAddr, r.Addr)
		}
	}
}

// State returns the state at the last Update.
func (v *View) State() State { return v.state }

// Size returns the number of hosts among which what they share is divided: those that this
// host counts, or more if a live host counts more, and those that stop.
func (v *View) Size() int { return v.sharing }

// Live returns the number of hosts that are heard, this one included.
func (v *View) Live() int { return v.live }

// SettledAt returns since when the reachable hosts are known, or the zero time.
func (v *View) SettledAt() time.Time { return v.settledAt }

// SingleHost reports whether the settings name no other host and there is no other sign of one: such
// a host is the whole fleet, and a Member.
func (v *View) SingleHost() bool { return v.singleHost(v.updatedAt) }

// Share returns the part of an amount shared by all hosts that this one may use: none while
// it is alone or still learns of others, nor if it was cut off from all before it knew most.
// Failure domains of which no host is known yet count with as many hosts as the others have
// on average.
func (v *View) Share() float64 {
	if v.state == Alone || v.settledAt.IsZero() || v.live == 1 && v.heardAny && !v.member {
		return 0
	}
	share := 1 / float64(v.sharing)
	if v.domains < v.cfg.Domains {
		share *= float64(v.domains) / float64(v.cfg.Domains)
	}
	return share
}

// Established reports whether this host has known most of the fleet at some time, so that the
// number of known hosts says how large it is.
func (v *View) Established() bool { return v.member || v.SingleHost() }

// Assumed returns the number of hosts to assume where a part must be divided although
// little is known of the others: at least fallback until this host is established.
func (v *View) Assumed(fallback int) int {
	if v.Established() {
		return v.sharing
	}
	return max(v.sharing, fallback)
}

// LeadingSince returns since when this host has led the fleet without a pause, or the zero
// time if it does not: it is a Member, its id is the lowest of the live hosts, and more than
// half of the known hosts see that too. Older programs do not say what they see and count as
// if they did. Without the agreement of the others, a host that is not heard any more but
// still hears them would go on to lead beside the next one.
func (v *View) LeadingSince() time.Time { return v.leadingSince }

// AllKeepNotes reports whether the programs of all known hosts read notes.
func (v *View) AllKeepNotes() bool { return v.keepNotes }

// Hosts returns the ids of the known hosts and of this one, in order.
func (v *View) Hosts() []ident.HostID {
	ids := []ident.HostID{v.cfg.Self.ID}
	for id, r := range v.hosts {
		if !r.gone {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// Report returns what the other hosts should know of this view.
func (v *View) Report() *Report {
	r := Report{Known: v.heard, Leader: leaderHash(v.lowest)}
	if v.slotUsed {
		r.Slot = v.slot + 1
	}
	return &r
}
