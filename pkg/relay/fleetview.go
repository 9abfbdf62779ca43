package relay

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// applyView passes a heartbeat of another host to the view of the fleet.
func (r *Relay) applyView(m Message) {
	r.view.Heard(r.now, fleetview.Heartbeat{
		From: m.Heartbeat.From, Leaving: m.Heartbeat.Leaving, Known: m.Heartbeat.Known, KeepsNotes: m.KeepsNotes, Report: m.Fleet,
	})
	r.updateView()
}

// updateView renews the view of the fleet and logs a change of its state.
func (r *Relay) updateView() {
	before := r.view.State()
	r.view.Update(r.now, fleetview.Timing{Interval: r.roster.Interval(), SilentAfter: r.roster.SilentAfter()})
	if s := r.view.State(); s != before {
		r.log(Decision{Step: "fleet_view", Outcome: s.String(), Detail: fmt.Sprintf("hears %d of %d hosts", r.view.Live(), r.view.Size())})
	}
}

// assumedHosts returns the number of hosts among which limits that are not this host's own
// are divided. A host that is alone assumes as many hosts as there are backend servers.
func (r *Relay) assumedHosts() int {
	return max(r.cfg.Quota.MinHosts, r.view.Assumed(r.backends.Size()))
}

// probeTurn returns the position of this host in the order in which hosts probe a part. The
// hosts that are not heard keep their turns unless this one is a Member, as they may probe
// too, and a host that is alone takes one of as many turns as it assumes hosts.
func (r *Relay) probeTurn(p ident.Trait) int {
	self := r.cfg.Roster.Self.ID
	var ids []ident.HostID
	switch r.view.State() {
	case fleetview.Alone:
		return aloneTurn(p, self, r.assumedHosts())
	case fleetview.Separated:
		ids = r.view.Hosts()
	case fleetview.Member:
		ids = append(ids, self)
		for _, h := range r.roster.Alive(r.now) {
			ids = append(ids, h.ID)
		}
	}
	return slices.Index(ident.Rank(string(p), ids), self)
}

// aloneTurn returns a turn that differs between hosts that are alone, as far as it can.
func aloneTurn(p ident.Trait, self ident.HostID, hosts int) int {
	return int(xxhash.Sum64String(string(p)+"\x00"+string(self)) % uint64(max(1, hosts)))
}
