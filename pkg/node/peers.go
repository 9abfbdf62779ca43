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
		n.applyConfigSync(n.configSync.Receive(n.now, e.From, *m.Config))
	case m.HostList != nil:
		n.applyHosts(n.hosts.Receive(e.From, *m.HostList))
	case m.Limits != nil:
		n.applyLimits(n.limits.Receive(n.now, e.From, *m.Limits))
	case m.Placement != nil:
		n.applyPlacement(n.placer.Receive(n.now, e.From, *m.Placement))
	case m.Idempotency != nil:
		n.applyIdempotency(n.idempotency.Receive(n.now, e.From, *m.Idempotency))
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
		n.membershipEvent(e)
	}
}

func (n *Node) membershipEvent(ev membership.Event) {
	switch e := ev.(type) {
	case membership.Contact:
		n.limits.Contact(e.Sent)
		n.idempotency.Contact(e.Sent)
		n.renewOrderLeases(e.Sent)
	case membership.Superseded:
		n.supersede()
	case membership.SlotReleased:
		if e.Slot == n.cfg.Slot {
			n.limits.SlotReleased(n.now)
		}
	case membership.RevisionHeard:
		n.applyConfigSync(n.configSync.PeerReported(n.now, e.From, e.Revision, e.Digest))
	case membership.HostDead:
		n.applyIdempotency(n.idempotency.ProcessDead(n.now, e.Process))
		n.refreshView()
	case membership.HostUp, membership.HostRestarted, membership.HostLeaving:
		n.refreshView()
	}
}

// supersede gives up the slot, which a newer process holds, and starts to drain.
func (n *Node) supersede() {
	if n.superseded {
		return
	}
	n.superseded = true
	n.applyLimits(n.limits.Superseded(n.now))
	n.alarm("membership", "a newer process holds this host's slot; this process accepts no new requests")
	n.beginDrain()
}

func (n *Node) refreshViewIfDue() {
	if n.now.Before(n.nextViewRefresh) {
		return
	}
	n.refreshView()
}

// refreshView passes the membership view to the components that depend on it.
func (n *Node) refreshView() {
	n.nextViewRefresh = n.now.Add(n.cfg.ViewInterval)
	v := n.members.View(n.now)
	n.hosts.SetPeers(usableHosts(v.Hosts))
	n.applyLimits(n.limits.SetPeers(n.now, n.limitPeers(v)))
	n.setPlacementHosts(v)
	n.placer.SetFree(n.now, freePools(v))
	n.applyConfigSync(n.configSync.SetPeers(n.now, configPeers(v)))
	n.updateSlotHolders(v)
	n.allPeersAck = allAcked(v.Hosts)
}

// allAcked reports whether every host of the domain that is not dead has acknowledged
// a recent heartbeat of this one. A host that has not may have taken over the pools of
// this host.
func allAcked(hosts []membership.Host) bool {
	for _, h := range hosts {
		if h.State != membership.Dead && !h.Acked {
			return false
		}
	}
	return true
}

// placementInterval is the time after which an unchanged list of hosts is passed to
// the placer again. Each pass ranks the hosts for every pool, which is the most
// expensive part of a tick in a domain of 90 hosts. A pass also hands over the pools
// that a host has kept for an absent owner.
const placementInterval = time.Second

// setPlacementHosts passes the hosts to the placer when they have changed or
// placementInterval has passed.
func (n *Node) setPlacementHosts(v membership.View) {
	hosts := n.placementHosts(v)
	if slices.Equal(hosts, n.lastPlacementHosts) && n.now.Before(n.nextPlacementUpdate) {
		return
	}
	n.lastPlacementHosts = hosts
	n.nextPlacementUpdate = n.now.Add(placementInterval)
	n.applyPlacement(n.placer.SetHosts(n.now, hosts))
}

func usable(h membership.Host) bool {
	return h.State != membership.Dead && !h.Leaving
}

func usableHosts(hosts []membership.Host) []ident.HostID {
	var out []ident.HostID
	for _, h := range hosts {
		if usable(h) {
			out = append(out, h.Process.Host)
		}
	}
	return out
}

// limitPeers returns the hosts that can lend tokens: those of the local domain, and
// the delegates of the other domains that are reachable.
func (n *Node) limitPeers(v membership.View) []limits.Peer {
	var out []limits.Peer
	for _, h := range usableHosts(v.Hosts) {
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

// placementHosts returns this host, the other hosts of its domain, and the delegates
// through which the pools of other domains are reached. The incarnation of a delegate
// is not known.
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

func freePools(v membership.View) []placement.PoolFree {
	var out []placement.PoolFree
	for _, d := range v.Domains {
		for _, f := range d.Free {
			out = append(out, placement.PoolFree{Domain: d.Domain, Model: f.Model, Free: f.Free})
		}
	}
	return out
}

func configPeers(v membership.View) []confsync.Peer {
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
			// A delegate's digest comes with its own messages; see membership.RevisionHeard.
			out = append(out, confsync.Peer{Host: h, Remote: true, Revision: d.Revision, PlatformSilent: d.PlatformSilent})
		}
	}
	return out
}

// updateSlotHolders passes the holder of each slot to the idempotency package. Holders
// in the local domain come from membership, those in other domains from the host list.
func (n *Node) updateSlotHolders(v membership.View) {
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
	n.idempotency.SetSlots(all, holders)
}

// updateLocalState passes membership the state that the next heartbeats carry.
func (n *Node) updateLocalState() {
	gen, _ := n.configSync.Current()
	var free []membership.PoolFree
	for _, f := range n.placer.Free() {
		if f.Domain != n.cfg.Domain {
			continue // in a domain without live hosts; other hosts learn of it when they ask
		}
		free = append(free, membership.PoolFree{Model: f.Model, Free: f.Free})
	}
	n.members.SetLocal(n.now, membership.Local{
		Revision:       gen.Revision,
		Digest:         gen.Digest,
		PlatformSilent: n.configSync.PlatformSilent(n.now),
		Leaving:        n.drain.active,
		Ready:          n.ready,
		Free:           free,
	})
}

func (n *Node) applyHosts(r hostlist.Result) {
	for _, e := range r.Envelopes {
		n.send(e.To, Message{HostList: &e.Message})
	}
	if r.LowerVersion > 0 {
		n.alarm("hostlist", fmt.Sprintf("platform gave version %d, older than the one in force; ignored", r.LowerVersion))
	}
	if r.Accepted == nil {
		return
	}
	n.applyMembership(n.members.SetHosts(n.now, r.Accepted.EntryHosts))
	n.applyPlacement(n.placer.SetEngines(n.now, r.Accepted.Backends))
	n.refreshView()
}

func (n *Node) hostsRead(e HostsRead) {
	n.hostsReadPending = false
	if e.Err != "" {
		n.nextHostsRead = n.now.Add(hostsRetryDelay)
		return
	}
	n.nextHostsRead = n.now
	n.recordPlatformContact()
	if e.NotChanged {
		return
	}
	n.applyHosts(n.hosts.Read(e.List))
}

// recordPlatformContact renews the leases of the slot after an answer of the platform.
func (n *Node) recordPlatformContact() {
	n.limits.Contact(n.now)
	n.idempotency.Contact(n.now)
	n.renewOrderLeases(n.now)
}

// watchHostsIfDue watches the host list if this host is a configuration reader, or
// has no list yet and thus may have no peer to get it from.
func (n *Node) watchHostsIfDue() {
	reader := !n.lastConfigRead.IsZero() && n.now.Sub(n.lastConfigRead) < readerTimeout
	wanted := reader || n.hosts.Version() == 0
	if n.hostsReadPending || !wanted || n.now.Before(n.nextHostsRead) {
		return
	}
	n.hostsReadPending = true
	n.emit(ReadHosts{After: n.hosts.Version(), Wait: n.cfg.HostsWatchTimeout})
}
