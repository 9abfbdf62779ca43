package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

func (n *Node) peerMessage(e PeerMessage) {
	m := e.Message
	switch {
	case m.Membership != nil:
		n.applyMembership(n.members.Receive(n.now, e.From, *m.Membership))
	case m.Config != nil:
		n.applyConf(n.conf.Receive(n.now, e.From, *m.Config))
	case m.HostList != nil:
		n.applyHosts(n.hosts.Receive(e.From, *m.HostList))
	case m.Limits != nil:
		n.applyLimits(n.limits.Receive(n.now, e.From, *m.Limits))
	case m.Placement != nil:
		n.applyPlacement(n.place.Receive(n.now, e.From, *m.Placement))
	case m.Idempotency != nil:
		n.applyOnce(n.once.Receive(n.now, e.From, *m.Idempotency))
	default:
		n.alarm("node", fmt.Sprintf("empty message from %s dropped", e.From))
	}
}

func (n *Node) applyMembership(r membership.Result) {
	for _, e := range r.Envelopes {
		if e.Addr != "" {
			n.emit(Send{To: e.To, Addr: e.Addr, Message: Message{Membership: &e.Message}})
			continue
		}
		n.send(e.To, Message{Membership: &e.Message})
	}
	for _, e := range r.Events {
		n.memberEvent(e)
	}
}

func (n *Node) memberEvent(ev membership.Event) {
	switch e := ev.(type) {
	case membership.Contact:
		n.limits.Contact(e.Sent)
		n.once.Contact(e.Sent)
		n.contactOrders(e.Sent)
	case membership.Superseded:
		n.supersede()
	case membership.SlotReleased:
		if e.Slot == n.cfg.Slot {
			n.limits.SlotReleased(n.now)
		}
	case membership.RevisionHeard:
		n.applyConf(n.conf.Heard(n.now, e.From, e.Revision, e.Digest))
	case membership.HostDead:
		n.applyOnce(n.once.OwnerDead(n.now, e.Process))
		n.refreshView()
	case membership.HostUp, membership.HostRestarted, membership.HostLeaving:
		n.refreshView()
	}
}

// supersede stops everything that belongs to the slot. A newer process holds it.
func (n *Node) supersede() {
	if n.superseded {
		return
	}
	n.superseded = true
	n.applyLimits(n.limits.Superseded(n.now))
	n.alarm("membership", "a newer process holds this host's slot; this one takes no new work")
	n.beginDrain()
}

func (n *Node) refreshViewIfDue() {
	if n.now.Before(n.viewAt) {
		return
	}
	n.refreshView()
}

// refreshView passes the membership view on to the parts that act on it.
func (n *Node) refreshView() {
	n.viewAt = n.now.Add(n.cfg.ViewInterval)
	v := n.members.View(n.now)
	n.hosts.SetPeers(liveOf(v.Hosts))
	n.applyLimits(n.limits.SetPeers(n.now, n.limitPeers(v)))
	n.setPlacementHosts(v)
	n.place.SetFree(n.now, poolsFree(v))
	n.applyConf(n.conf.SetPeers(n.now, confPeers(v)))
	n.setSlots(v)
	n.heard = allAcked(v.Hosts)
}

// allAcked reports whether every host of the domain that is not dead hears this
// one. A host that does not may have taken over its pools.
func allAcked(hosts []membership.Host) bool {
	for _, h := range hosts {
		if h.State != membership.Dead && !h.Acked {
			return false
		}
	}
	return true
}

// placeInterval is the time between two passes of an unchanged list of hosts to
// the placement. Each ranks the hosts for every pool anew, which in a domain of 90
// hosts is the largest part of a tick. Pools that a host keeps for an absent owner
// are handed over at the next pass.
const placeInterval = time.Second

// setPlacementHosts passes the hosts to the placement when they have changed.
func (n *Node) setPlacementHosts(v membership.View) {
	hosts := n.placementHosts(v)
	if slices.Equal(hosts, n.placeHosts) && n.now.Before(n.placeAt) {
		return
	}
	n.placeHosts = hosts
	n.placeAt = n.now.Add(placeInterval)
	n.applyPlacement(n.place.SetHosts(n.now, hosts))
}

func usable(h membership.Host) bool {
	return h.State != membership.Dead && !h.Leaving
}

func liveOf(hosts []membership.Host) []ident.HostID {
	var out []ident.HostID
	for _, h := range hosts {
		if usable(h) {
			out = append(out, h.Process.Host)
		}
	}
	return out
}

// limitPeers names the hosts that can lend tokens: the own domain's, and the
// delegates of the domains that can be reached.
func (n *Node) limitPeers(v membership.View) []limits.Peer {
	var out []limits.Peer
	for _, h := range liveOf(v.Hosts) {
		out = append(out, limits.Peer{Host: h, Domain: n.cfg.Domain})
	}
	for _, d := range v.Domains {
		if !d.Reachable {
			continue
		}
		for _, h := range d.Delegates {
			out = append(out, limits.Peer{Host: h, Domain: d.Domain})
		}
	}
	return out
}

// placementHosts names this host, its domain, and the delegates through which
// the pools of other domains are reached. A delegate's incarnation is not known.
func (n *Node) placementHosts(v membership.View) []placement.HostView {
	out := make([]placement.HostView, 0, len(v.Hosts)+1)
	self := placement.HostView{Process: n.cfg.Self, Domain: n.cfg.Domain, Live: true, Leaving: n.drain.active}
	out = append(out, self)
	for _, h := range v.Hosts {
		out = append(out, placement.HostView{
			Process: h.Process,
			Domain:  h.Domain,
			Live:    h.State != membership.Dead,
			Leaving: h.Leaving,
		})
	}
	for _, d := range v.Domains {
		for _, h := range d.Delegates {
			p := ident.Process{Host: h}
			out = append(out, placement.HostView{Process: p, Domain: d.Domain, Live: d.Reachable})
		}
	}
	slices.SortFunc(out, func(a, b placement.HostView) int {
		return compareProcess(a.Process, b.Process)
	})
	return out
}

func poolsFree(v membership.View) []placement.PoolFree {
	var out []placement.PoolFree
	for _, d := range v.Domains {
		for _, f := range d.Free {
			out = append(out, placement.PoolFree{Domain: d.Domain, Model: f.Model, Free: f.Free})
		}
	}
	return out
}

func confPeers(v membership.View) []confsync.Peer {
	var out []confsync.Peer
	for _, h := range v.Hosts {
		if h.State == membership.Dead {
			continue
		}
		out = append(out, confsync.Peer{
			Host:           h.Process.Host,
			Revision:       h.Revision,
			Digest:         h.Digest,
			PlatformSilent: h.PlatformSilent,
		})
	}
	for _, d := range v.Domains {
		if !d.Reachable {
			continue
		}
		for _, h := range d.Delegates {
			// The digest comes with the delegate's own messages; see RevisionHeard.
			out = append(out, confsync.Peer{Host: h, Remote: true, Revision: d.Revision, PlatformSilent: d.PlatformSilent})
		}
	}
	return out
}

// setSlots tells the at-most-once memory who holds each slot: membership knows
// the own domain, the host list the others.
func (n *Node) setSlots(v membership.View) {
	if n.rules == nil {
		return
	}
	var all []idempotency.SlotRef
	for _, d := range n.rules.Domains() {
		for s := range d.Slots {
			all = append(all, idempotency.SlotRef{Domain: d.Name, Slot: ident.Slot(s)})
		}
	}
	holders := map[idempotency.SlotRef]ident.Process{}
	for _, h := range n.hosts.EntryHosts() {
		if h.Domain != n.cfg.Domain && !h.Leaving {
			holders[idempotency.SlotRef{Domain: h.Domain, Slot: h.Slot}] = ident.Process{Host: h.ID}
		}
	}
	for _, h := range v.Hosts {
		if h.State != membership.Dead {
			holders[idempotency.SlotRef{Domain: h.Domain, Slot: h.Slot}] = h.Process
		}
	}
	holders[idempotency.SlotRef{Domain: n.cfg.Domain, Slot: n.cfg.Slot}] = n.cfg.Self
	n.once.SetSlots(all, holders)
}

// tellLocal gives membership what the next heartbeats carry.
func (n *Node) tellLocal() {
	gen, _ := n.conf.Current()
	var free []membership.PoolFree
	for _, f := range n.place.Free() {
		if f.Domain != n.cfg.Domain {
			continue // of a domain without live hosts; others learn of it by asking
		}
		free = append(free, membership.PoolFree{Model: f.Model, Free: f.Free})
	}
	n.members.SetLocal(n.now, membership.Local{
		Revision:       gen.Revision,
		Digest:         gen.Digest,
		PlatformSilent: n.conf.PlatformSilent(n.now),
		Leaving:        n.drain.active,
		Ready:          n.ready,
		Free:           free,
	})
}

func (n *Node) applyHosts(r hostlist.Result) {
	for _, e := range r.Envelopes {
		n.send(e.To, Message{HostList: &e.Message})
	}
	if r.WentBack > 0 {
		n.alarm("hostlist", fmt.Sprintf("platform gave version %d, older than the one in force; ignored", r.WentBack))
	}
	if r.Accepted == nil {
		return
	}
	n.applyMembership(n.members.SetHosts(n.now, r.Accepted.EntryHosts))
	n.applyPlacement(n.place.SetEngines(n.now, r.Accepted.Backends))
	n.refreshView()
}

func (n *Node) hostsRead(e HostsRead) {
	n.hostsBusy = false
	if e.Err != "" {
		n.hostsAt = n.now.Add(hostsRetry)
		return
	}
	n.hostsAt = n.now
	n.contact()
	if e.NotChanged {
		return
	}
	n.applyHosts(n.hosts.Read(e.List))
}

// contact notes an answer of the platform, which keeps the slot's leases.
func (n *Node) contact() {
	n.limits.Contact(n.now)
	n.once.Contact(n.now)
	n.contactOrders(n.now)
}

// watchHostsIfDue watches the host list on configuration readers, and on a host
// that has no list yet, since it may have no peer to ask.
func (n *Node) watchHostsIfDue() {
	reader := !n.readAt.IsZero() && n.now.Sub(n.readAt) < readerTime
	wanted := reader || n.hosts.Version() == 0
	if n.hostsBusy || !wanted || n.now.Before(n.hostsAt) {
		return
	}
	n.hostsBusy = true
	n.emit(ReadHosts{After: n.hosts.Version(), Wait: n.cfg.HostsWait})
}
