package confsync_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tickEvery = 100 * time.Millisecond

// message is what the network carries, from membership or from confsync.
type message struct {
	Member *membership.Message `cbor:"1,keyasint,omitempty"`
	Config *confsync.Message   `cbor:"2,keyasint,omitempty"`
}

// network simulates a platform and hosts that run membership and confsync, in
// simulated time. The same seed gives the same run.
type network struct {
	rng   *rand.Rand
	now   time.Time
	queue queue
	count int
	hosts []*host
	byID  map[ident.HostID]*host
	loss  float64
	cut   func(from, to *host) bool

	// The platform.
	published confsync.Generation
	version   uint64
	down      func(h *host) bool
	calls     int
	watching  map[*host]func()
}

type host struct {
	net        *network
	id         ident.HostID
	domain     ident.FailureDomain
	group      *membership.Group
	sync       *confsync.Sync
	stopped    bool
	paused     bool
	accepted   map[ident.Revision]time.Time
	alarms     []confsync.Alarm
	fetches    int // requests sent for parts
	parts      int // parts served
	sent       int // bytes sent by confsync
	largest    int // bytes of the largest confsync message
	totalBytes int // bytes sent by membership and confsync
	messages   int // messages sent by membership and confsync
	reads      int // reads of the platform
}

type item struct {
	at time.Time
	n  int
	f  func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newNetwork(seed uint64) *network {
	return &network{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      epoch,
		byID:     map[ident.HostID]*host{},
		cut:      func(_, _ *host) bool { return false },
		down:     func(*host) bool { return false },
		watching: map[*host]func(){},
	}
}

func (n *network) after(d time.Duration, f func()) {
	n.count++
	heap.Push(&n.queue, item{at: n.now.Add(d), n: n.count, f: f})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		i := heap.Pop(&n.queue).(item)
		n.now = i.at
		i.f()
	}
	n.now = end
}

// validate rejects texts that contain "invalid", with an error as the rules parser
// gives it.
func validate(text []byte) error {
	if strings.Contains(string(text), "invalid") {
		return errors.New(`line 1, column 1: unknown rule "invalid"; remove it`)
	}
	return nil
}

func (n *network) start(id ident.HostID, domain ident.FailureDomain, slot int) *host {
	p := ident.Process{Host: id, Incarnation: ident.Incarnation(n.now.UnixMilli())}
	cfg := confsync.DefaultConfig(p, domain, n.rng.Uint64())
	cfg.Validate = validate
	h := &host{
		net: n, id: id, domain: domain,
		group:    membership.New(membership.DefaultConfig(p, string(id)+":7000", domain, ident.Slot(slot)), n.now),
		sync:     confsync.New(cfg, n.now),
		accepted: map[ident.Revision]time.Time{},
	}
	n.hosts = append(n.hosts, h)
	n.byID[id] = h
	n.after(time.Duration(n.rng.Int64N(int64(500*time.Millisecond))), h.tick)
	return h
}

func (n *network) domain(name ident.FailureDomain, hosts int) []*host {
	var out []*host
	for i := range hosts {
		out = append(out, n.start(ident.HostID(fmt.Sprintf("%s-%02d", name, i)), name, i))
	}
	return out
}

// sendHostList gives every host the platform's host list.
func (n *network) sendHostList() {
	var infos []membership.HostInfo
	slots := map[ident.FailureDomain]ident.Slot{}
	for _, h := range n.hosts {
		infos = append(infos, membership.HostInfo{ID: h.id, Addr: string(h.id) + ":7000", Domain: h.domain, Slot: slots[h.domain]})
		slots[h.domain]++
	}
	for _, h := range n.hosts {
		h.group.SetHosts(n.now, infos)
	}
}

func (h *host) tick() {
	n := h.net
	if h.stopped {
		return
	}
	n.after(tickEvery, h.tick)
	if h.paused {
		return
	}
	g, _ := h.sync.Current()
	h.group.SetLocal(n.now, membership.Local{Revision: g.Revision, Digest: g.Digest,
		PlatformSilent: h.sync.PlatformSilent(n.now), Ready: h.sync.Ready()})
	h.applyMembership(h.group.Tick(n.now))
	h.apply(h.sync.SetPeers(n.now, h.peers()))
	h.apply(h.sync.Tick(n.now))
}

// peers returns confsync's view of the membership, as pkg/node builds it.
func (h *host) peers() []confsync.Peer {
	var out []confsync.Peer
	v := h.group.View(h.net.now)
	for _, m := range v.Hosts {
		if m.State != membership.Dead {
			out = append(out, confsync.Peer{Host: m.Process.Host, Revision: m.Revision, Digest: m.Digest, PlatformSilent: m.PlatformSilent})
		}
	}
	for _, d := range v.Domains {
		for _, id := range d.Delegates {
			if d.Reachable {
				out = append(out, confsync.Peer{Host: id, Remote: true, Revision: d.Revision, PlatformSilent: d.PlatformSilent})
			}
		}
	}
	return out
}

func (h *host) applyMembership(r membership.Result) {
	for _, e := range r.Envelopes {
		h.send(e.To, message{Member: &e.Message})
	}
	for _, e := range r.Events {
		if rh, ok := e.(membership.RevisionHeard); ok {
			h.apply(h.sync.PeerReported(h.net.now, rh.From, rh.Revision, rh.Digest))
		}
	}
}

func (h *host) apply(r confsync.Result) {
	for _, e := range r.Envelopes {
		if e.Message.Fetch != nil {
			h.fetches++
		} else {
			h.parts++
		}
		h.send(e.To, message{Config: &e.Message})
	}
	h.alarms = append(h.alarms, r.Alarms...)
	if r.Accepted != nil {
		h.accepted[r.Accepted.Revision] = h.net.now
	}
	if r.Read != nil {
		h.read(*r.Read)
	}
}

func (h *host) send(id ident.HostID, m message) {
	n := h.net
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	h.totalBytes, h.messages = h.totalBytes+len(data), h.messages+1
	if m.Config != nil {
		h.sent, h.largest = h.sent+len(data), max(h.largest, len(data))
	}
	to := n.byID[id]
	delay := 500*time.Microsecond + time.Duration(n.rng.Int64N(int64(time.Millisecond)))
	if to == nil || n.rng.Float64() < n.loss || n.cut(h, to) {
		return
	}
	n.after(delay, func() { to.receive(h.id, data) })
}

func (h *host) receive(from ident.HostID, data []byte) {
	if h.stopped || h.paused {
		return
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	if m.Member != nil {
		h.applyMembership(h.group.Receive(h.net.now, from, *m.Member))
		return
	}
	h.apply(h.sync.Receive(h.net.now, from, *m.Config))
}

// read simulates the driver: one read or watch of the platform.
func (h *host) read(e confsync.ReadEffect) {
	n := h.net
	h.reads++
	done := func(o confsync.ReadOutcome) {
		delete(n.watching, h)
		if !h.stopped && !h.paused {
			h.apply(h.sync.ReadDone(n.now, o))
		}
	}
	n.after(e.NotBefore.Sub(n.now), func() {
		n.calls++
		switch {
		case n.down(h):
			n.after(5*time.Millisecond, func() { done(confsync.ReadOutcome{Err: errors.New("connection refused")}) })
		case e.After != 0 && e.After == n.version:
			n.watch(h, e, done)
		default:
			n.after(3*time.Millisecond, func() { done(n.outcome(e)) })
		}
	})
}

// watch keeps a read pending until a publication or the end of its Wait.
func (n *network) watch(h *host, e confsync.ReadEffect, done func(confsync.ReadOutcome)) {
	ended := false
	finish := func() {
		if !ended {
			ended = true
			done(n.outcome(e))
		}
	}
	n.watching[h] = finish
	n.after(e.Wait, finish)
}

func (n *network) outcome(e confsync.ReadEffect) confsync.ReadOutcome {
	return confsync.ReadOutcome{
		Generation:      n.published,
		PlatformVersion: n.version,
		NotChanged:      n.published.Revision == e.Have,
	}
}

// publish makes a text the platform's current generation.
func (n *network) publish(r ident.Revision, text string) {
	n.published = confsync.NewGeneration(r, []byte(text))
	n.version++
	for _, h := range n.hosts {
		if f := n.watching[h]; f != nil {
			n.after(3*time.Millisecond, f)
		}
	}
}

// inForce returns the number of hosts that have a revision in force.
func inForce(hosts []*host, r ident.Revision) int {
	count := 0
	for _, h := range hosts {
		if g, ok := h.sync.Current(); ok && g.Revision == r {
			count++
		}
	}
	return count
}

// rules returns a text of realistic size for a number of organisations, with a rate,
// models and keys for each. salt changes one line.
func rules(organisations int, salt int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# revision %d, requested by ops\n", salt)
	for o := range organisations {
		fmt.Fprintf(&b, "organisation org-%03d rate 120000 burst 400000 prefer wait # requested by operator-%02d, ticket %d\n", o, o%17, 1000+o)
		for m := range 5 {
			fmt.Fprintf(&b, "allow org-%03d model mulberry-%02d version v%d # requested by operator-%02d, ticket %d\n", o, (o+m)%37, m, o%17, 2000+o)
		}
		for k := range 3 {
			fmt.Fprintf(&b, "key org-%03d k%d salt %032x hash %064x # requested by operator-%02d\n", o, k, o*7+k, o*13+k, o%17)
		}
	}
	return b.String()
}
