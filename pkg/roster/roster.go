package roster

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Host is an entry host and its process.
type Host struct {
	_           struct{} `cbor:",toarray"`
	ID          ident.HostID
	Incarnation ident.Incarnation
	Addr        string // IP:port for beats
	Domain      ident.FailureDomain
}

// Beat is what a host says of itself.
type Beat struct {
	From     Host   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Leaving  bool   `cbor:"3,keyasint,omitempty"` // the host stops and takes no new work
	Known    []Host `cbor:"4,keyasint,omitempty"` // some hosts that the sender hears
}

// Config holds the timing of a Roster.
type Config struct {
	Self  Host
	Seeds []string // addresses for beats; may be stale or this host's own
	// Interval is the time between beats to one host in a small fleet. Shorter ones
	// make the view of load and quota fresher and cost bytes.
	Interval time.Duration
	// BeatsPerSecond bounds the beats that this host sends; the interval grows
	// beyond that.
	BeatsPerSecond float64
	// SilentIntervals is the number of intervals without a beat after which a host
	// is not heard any more.
	SilentIntervals int
	// ForgetAfter is the silence after which a host is not known any more. Until
	// then it still gets beats, in case it was only cut off.
	ForgetAfter time.Duration
	// KnownPerBeat is the number of other hosts that a beat names.
	KnownPerBeat int
}

// DefaultConfig returns settings that cost a host of a small fleet a few
// kilobytes a second.
func DefaultConfig(self Host, seeds []string) Config {
	return Config{
		Self:            self,
		Seeds:           seeds,
		Interval:        100 * time.Millisecond,
		BeatsPerSecond:  80,
		SilentIntervals: 5,
		ForgetAfter:     30 * time.Second,
		KnownPerBeat:    8,
	}
}

// Roster is the set of known hosts. It is not safe for concurrent use.
type Roster struct {
	cfg      Config
	hosts    map[ident.HostID]*member
	order    []ident.HostID // sorted
	sequence uint64
	lastBeat time.Time
	nextBeat time.Time
	seedAt   time.Time
	named    int       // position in order from which the next beat names hosts
	grown    time.Time // last time that a host was added, or the first beat
	settled  bool      // grown was long ago once
	welcome  []string  // addresses of hosts that were heard for the first time
}

type member struct {
	Host
	sequence uint64
	heard    time.Time // zero for a host that was only named by others
	known    time.Time // first named or last heard
	sent     time.Time
	leaving  bool
}

// seedInterval is the pause between beats to seeds that are not known as hosts.
const seedInterval = 500 * time.Millisecond

// silentResend is the pause between beats to a host that is not heard.
const silentResend = time.Second

// New returns a roster that knows only the seeds.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, hosts: map[ident.HostID]*member{}}
}

// Interval returns the time between beats to one host.
func (r *Roster) Interval() time.Duration {
	scaled := time.Duration(float64(len(r.hosts)) / r.cfg.BeatsPerSecond * float64(time.Second))
	return max(r.cfg.Interval, scaled)
}

// SilentAfter returns the silence after which a host is not heard any more.
func (r *Roster) SilentAfter() time.Duration {
	return time.Duration(r.cfg.SilentIntervals) * r.Interval()
}

// Next returns the time of the next beat.
func (r *Roster) Next() time.Time { return r.nextBeat }

// Tick returns the next beat and the addresses that get it, if one is due. all says that
// it goes to all hosts. Between two of those, new hosts get one of their own, so that they
// soon know the others.
func (r *Roster) Tick(now time.Time, leaving bool) (b Beat, to []string, all bool) {
	if now.Before(r.nextBeat) {
		to, r.welcome = r.welcome, nil
		if len(to) == 0 {
			return Beat{}, nil, false
		}
		r.sequence++
		return Beat{From: r.cfg.Self, Sequence: r.sequence, Leaving: leaving, Known: r.sample(now)}, to, false
	}
	r.welcome = nil
	if r.grown.IsZero() {
		r.grown = now
	}
	r.lastBeat = now
	r.nextBeat = now.Add(r.Interval())
	r.forget(now)
	r.sequence++
	b = Beat{From: r.cfg.Self, Sequence: r.sequence, Leaving: leaving, Known: r.sample(now)}
	for _, id := range r.order {
		m := r.hosts[id]
		if !r.heard(now, m) && now.Sub(m.sent) < silentResend {
			continue
		}
		m.sent = now
		to = append(to, m.Addr)
	}
	return b, append(to, r.seeds(now)...), true
}

// hastyInterval is the shortest time between two beats. It bounds what a host sends while
// its news is urgent.
const hastyInterval = 50 * time.Millisecond

// Hasten makes the next beat due as soon as the shortest interval allows.
func (r *Roster) Hasten() {
	if soon := r.lastBeat.Add(hastyInterval); soon.Before(r.nextBeat) {
		r.nextBeat = soon
	}
}

func (r *Roster) seeds(now time.Time) []string {
	if now.Sub(r.seedAt) < seedInterval {
		return nil
	}
	r.seedAt = now
	var to []string
	for _, addr := range r.cfg.Seeds {
		if addr != r.cfg.Self.Addr && !r.hasAddr(addr) {
			to = append(to, addr)
		}
	}
	return to
}

func (r *Roster) hasAddr(addr string) bool {
	for _, m := range r.hosts {
		if m.Addr == addr {
			return true
		}
	}
	return false
}

// sample names the next few hosts that are heard.
func (r *Roster) sample(now time.Time) []Host {
	var known []Host
	for range r.order {
		if len(known) == r.cfg.KnownPerBeat {
			break
		}
		r.named = (r.named + 1) % len(r.order)
		if m := r.hosts[r.order[r.named]]; r.heard(now, m) {
			known = append(known, m.Host)
		}
	}
	return known
}

// Hear takes a beat. It reports whether the beat is news, and whether the process
// is another one than before.
func (r *Roster) Hear(now time.Time, b Beat) (fresh, restarted bool) {
	if b.From.ID == r.cfg.Self.ID {
		return false, false
	}
	for _, h := range b.Known {
		r.name(now, h)
	}
	m := r.hosts[b.From.ID]
	switch {
	case m == nil:
		m = r.add(now, b.From)
		r.welcome = append(r.welcome, b.From.Addr)
	case m.Incarnation == b.From.Incarnation && b.Sequence <= m.sequence:
		// A late or repeated beat, unless the host was silent: then a process whose
		// clock went back has started at the same time of day.
		if r.heard(now, m) || m.heard.IsZero() {
			return false, false
		}
		restarted = true
	case m.Incarnation != b.From.Incarnation:
		// The time of day may have gone back between two processes, so a later start
		// is not required of a new process if the old one has fallen silent.
		if b.From.Incarnation < m.Incarnation && r.heard(now, m) {
			return false, false
		}
		restarted = !m.heard.IsZero()
	}
	m.Host = b.From
	m.sequence = b.Sequence
	m.heard = now
	m.known = now
	m.leaving = b.Leaving
	return true, restarted
}

// name notes a host that another one hears.
func (r *Roster) name(now time.Time, h Host) {
	if h.ID == r.cfg.Self.ID {
		return
	}
	m := r.hosts[h.ID]
	if m == nil {
		r.add(now, h).known = now
		return
	}
	if m.heard.IsZero() || h.Incarnation > m.Incarnation && !r.heard(now, m) {
		m.Host = h
		m.sequence = 0
		m.known = now
	}
}

func (r *Roster) add(now time.Time, h Host) *member {
	r.grown = now
	m := &member{Host: h}
	r.hosts[h.ID] = m
	at, _ := slices.BinarySearch(r.order, h.ID)
	r.order = slices.Insert(r.order, at, h.ID)
	return m
}

func (r *Roster) forget(now time.Time) {
	r.order = slices.DeleteFunc(r.order, func(id ident.HostID) bool {
		old := now.Sub(r.hosts[id].known) >= r.cfg.ForgetAfter
		if old {
			delete(r.hosts, id)
		}
		return old
	})
	if len(r.order) > 0 {
		r.named %= len(r.order)
	}
}

func (r *Roster) heard(now time.Time, m *member) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < r.SilentAfter()
}

// Heard returns the hosts that are heard and not leaving, in order of their ids.
func (r *Roster) Heard(now time.Time) []Host {
	var hosts []Host
	for _, id := range r.order {
		if m := r.hosts[id]; r.heard(now, m) && !m.leaving {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// Others returns the number of hosts that Heard returns.
func (r *Roster) Others(now time.Time) int {
	n := 0
	for _, m := range r.hosts {
		if r.heard(now, m) && !m.leaving {
			n++
		}
	}
	return n
}

// Silent returns the hosts that were heard once and have fallen silent.
func (r *Roster) Silent(now time.Time) []ident.HostID {
	var hosts []ident.HostID
	for _, id := range r.order {
		if m := r.hosts[id]; !m.heard.IsZero() && !r.heard(now, m) {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.cfg.Seeds = seeds }

// SilentDomains returns the failure domains other than the own one of which hosts are
// known and none is heard.
func (r *Roster) SilentDomains(now time.Time) []ident.FailureDomain {
	heard := map[ident.FailureDomain]bool{r.cfg.Self.Domain: true}
	for _, m := range r.hosts {
		if r.heard(now, m) {
			heard[m.Domain] = true
		}
	}
	var silent []ident.FailureDomain
	for _, m := range r.hosts {
		if !m.heard.IsZero() && !heard[m.Domain] && !slices.Contains(silent, m.Domain) {
			silent = append(silent, m.Domain)
		}
	}
	slices.Sort(silent)
	return silent
}

const (
	// settleIntervals is the number of intervals without another new host after which
	// all hosts in reach are taken for known: a beat names only some of them.
	settleIntervals = 3
	// settleAlone is the time after which a host that hears no other one takes itself for
	// the only one in reach: three beats to the seeds.
	settleAlone = 3 * seedInterval
)

// Settled tells whether the hosts that were there when this one started are known.
func (r *Roster) Settled(now time.Time) bool {
	if r.settled || r.grown.IsZero() {
		return r.settled
	}
	after := settleIntervals * r.Interval()
	if len(r.hosts) == 0 {
		after = settleAlone
	}
	r.settled = now.Sub(r.grown) >= after
	return r.settled
}

// Size returns the number of known hosts, this one included.
func (r *Roster) Size() int { return len(r.hosts) + 1 }
