package node_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// domain runs several nodes of one failure domain. Messages are delivered at once and
// without loss, and watches of the platform end without a change.
type domain struct {
	now      time.Time
	ids      []ident.HostID
	nodes    map[ident.HostID]*node.Node
	hosts    []membership.HostInfo
	watchers map[ident.HostID]bool // hosts that watched the host list
}

func newDomain(n int) *domain {
	d := &domain{now: time.Unix(1_700_000_000, 0), nodes: map[ident.HostID]*node.Node{}, watchers: map[ident.HostID]bool{}}
	for i := range n {
		id := ident.HostID(fmt.Sprint("h", i))
		p := ident.Process{Host: id, Incarnation: 1}
		d.ids = append(d.ids, id)
		d.hosts = append(d.hosts, membership.HostInfo{ID: id, Addr: string(id), Domain: "d1", Slot: ident.Slot(i)})
		d.nodes[id] = node.New(node.DefaultConfig(p, string(id), "d1", ident.Slot(i)), d.now)
	}
	return d
}

// run ticks all nodes for the given time and carries out their effects at once.
func (d *domain) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(50 * time.Millisecond) {
		for _, id := range d.ids {
			d.step(id, node.Tick{})
		}
	}
}

func (d *domain) step(id ident.HostID, ev node.Event) {
	for _, e := range d.nodes[id].Step(d.now, ev) {
		switch e := e.(type) {
		case node.Send:
			d.step(e.To, node.PeerMessage{From: id, Message: e.Message})
		case node.ReadConfig:
			g := confsync.NewGeneration(1, []byte(rules))
			d.step(id, node.ConfigRead{Outcome: confsync.ReadOutcome{
				Generation: g, PlatformVersion: 1, NotChanged: e.Read.After == 1,
			}})
		case node.ReadHosts:
			d.watchers[id] = true
			l := hostlist.List{Version: 1, EntryHosts: d.hosts}
			d.step(id, node.HostsRead{List: l, NotChanged: e.After == 1})
		}
	}
}

var _ = Describe("The host list", func() {
	It("is watched by the two configuration readers only, because the platform counts each watch", func() {
		d := newDomain(6)
		d.run(10 * time.Second)
		clear(d.watchers)
		d.run(5 * time.Second)
		Expect(d.watchers).To(HaveLen(2))
	})
})
