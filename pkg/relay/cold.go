package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// coldStatement is what a server's process has said of how long it stays cold.
type coldStatement struct {
	until    time.Time
	sequence uint64 // of the entry that said so
}

// coldStated applies what an entry says; started is set if its process has just been seen to
// start. An entry that is read again does not extend the time that it stated.
func (r *Relay) coldStated(e backends.Entry, started bool) {
	p := e.Process()
	known, seen := r.cold[p]
	s := coldStatement{until: r.now.Add(e.Cold), sequence: e.Sequence}
	switch {
	case e.ColdStated && seen && e.Sequence > 0 && (e.Sequence == known.sequence || e.Sequence < known.sequence && e.StartedAt > 0):
		return
	case e.ColdStated:
	case seen || !started:
		return
	default:
		// A process that has just started and does not say how long it is cold.
		s.until = r.now.Add(r.coldStart(e.Service))
	}
	r.cold[p] = s
	r.applyCold(e.Service, p)
}

// coldHeard applies what a server says in an answer. What its entry says later replaces it.
func (r *Relay) coldHeard(e ServerNoticed) {
	p := e.From.Process()
	entry, ok := r.backends.Entry(p.ID)
	if !e.Notice.ColdStated || !ok || entry.StartedAt != p.StartedAt {
		return
	}
	r.cold[p] = coldStatement{until: r.now.Add(e.Notice.Cold), sequence: r.cold[p].sequence}
	r.applyCold(entry.Service, p)
}

func (r *Relay) coldService(service ident.Route) *catalog.Service {
	if r.snapshot == nil || r.snapshot.Services[service] == nil {
		return &catalog.Service{}
	}
	return r.snapshot.Services[service]
}

func (r *Relay) coldStart(service ident.Route) time.Duration { return r.coldService(service).ColdStart }

// applyCold limits a process of a service for as long as it is cold.
func (r *Relay) applyCold(service ident.Route, p serverlimit.Process) {
	first := !r.KnowsServerLimits()
	until := r.cold[p].until
	c, changed := r.backends.Limits().SetCold(r.now, p, r.coldService(service).ColdPerSecond, until)
	if !changed {
		return
	}
	if c.Lifted {
		r.logWarm(p.ID)
	} else {
		r.log(Decision{Step: "server_cold", Backend: p.ID, Age: until.Sub(r.now), Outcome: fmt.Sprintf("%g requests per second", c.PerSecond)})
	}
	if first {
		r.updateServerLimits()
	}
}

func (r *Relay) logWarm(id ident.BackendID) {
	r.log(Decision{Step: "server_cold", Backend: id, Outcome: "warm, gets a growing share"})
}

func (r *Relay) logWarmed() {
	for _, p := range r.backends.Limits().Warmed() {
		r.logWarm(p.ID)
	}
}

// applyColdServices applies a configuration to what is known of cold servers.
func (r *Relay) applyColdServices() {
	r.coldServices = false
	for _, sv := range r.snapshot.Services {
		r.coldServices = r.coldServices || sv.ColdPerSecond > 0
	}
	for _, id := range r.backends.IDs() {
		e, _ := r.backends.Entry(id)
		if _, stated := r.cold[e.Process()]; stated {
			r.applyCold(e.Service, e.Process())
		}
	}
}

// forgetCold drops what processes have said that are no longer listed.
func (r *Relay) forgetCold() {
	for p := range r.cold {
		if !r.backends.HasProcess(p) {
			delete(r.cold, p)
		}
	}
}

// hostsPerServer is the number of hosts for each backend server that a host assumes which may
// not know the whole fleet. Fleets have fewer: 77 hosts for 140 servers, 195 for 60.
const hostsPerServer = 4

// coldAssumedHosts returns the least number of hosts to assume, or 0 if this host knows the fleet:
// the hosts have found each other, and it has heard of the hosts at all seeds. Without that, a
// group of hosts that start while they are cut off would take itself for the whole fleet.
func (r *Relay) coldAssumedHosts() int {
	known := []string{r.cfg.Roster.Self.Addr}
	for _, h := range r.roster.Alive(r.now) {
		known = append(known, h.Addr)
	}
	for _, id := range slices.Concat(r.roster.Silent(r.now), r.roster.Stopped()) {
		known = append(known, r.roster.Addr(id))
	}
	unknownSeed := slices.ContainsFunc(r.cfg.Roster.Seeds, func(seed string) bool { return !slices.Contains(known, seed) })
	switch {
	case unknownSeed:
		return hostsPerServer * r.backends.Size()
	case !r.roster.Converged(r.now):
		// The hosts at the seeds soon tell of the others.
		return max(3*r.roster.Size()/2, hostsPerServer*r.backends.Size()/2)
	}
	return 0
}
