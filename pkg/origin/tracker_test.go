package origin_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

var start = time.Unix(1_000_000, 0)

const service = ident.Route("lm")

// at returns the time s seconds after the start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func process(id string, startedAt int64) serverlimit.Process {
	return serverlimit.Process{ID: ident.BackendID(id), StartedAt: startedAt}
}

func serving(id string, startedAt int64, v ident.Version) origin.Serving {
	return origin.Serving{Service: service, Process: process(id, startedAt), Version: v}
}

func stream(id string) origin.Stream { return origin.Stream{RequestID: id, Service: service} }

// peers returns n hosts h0, h1, and so on, in turn in the domains.
func peers(n int, domains ...ident.FailureDomain) []origin.Peer {
	var out []origin.Peer
	for i := range n {
		out = append(out, origin.Peer{ID: ident.HostID(fmt.Sprint("h", i)), Domain: domains[i%len(domains)]})
	}
	return out
}

// settled returns the tracker of host h0 whose view of the versions is complete at the start.
func settled(servers ...origin.Serving) *origin.Tracker {
	t := origin.New(origin.DefaultConfig("h0", "a"), at(-30))
	t.Listed(at(-30), servers)
	return t
}

var _ = Describe("Tracker", func() {
	v1, v2 := serving("s1", 1, "v1"), serving("s2", 1, "v2")

	It("sends nothing while one version serves", func() {
		t := settled(v1)
		t.SetPeers(start, peers(4, "a", "b"))
		Expect(t.Begin(start, stream("r"), v1.Process, "v1")).To(BeTrue())
		o, pending := t.Resolve(at(1), stream("r"))
		Expect(pending).To(BeFalse())
		Expect(o).To(Equal(origin.Origin{Version: "v1", Process: v1.Process, Basis: origin.Relayed, Age: time.Second}))
		Expect(t.Take()).To(BeZero())
		Expect(t.Next()).To(BeZero())
	})

	It("delays the first event until a holder has acknowledged the origin", func() {
		t := settled(v1, v2)
		t.SetPeers(start, peers(4, "a", "b"))
		Expect(t.Begin(start, stream("r"), v2.Process, "v2")).To(BeFalse())
		out := t.Take()
		Expect(out.Messages).To(HaveLen(3))
		Expect(out.Recorded).To(BeEmpty())
		n := out.Messages[0].Message.Notes[0]
		t.Receive(at(0.001), out.Messages[0].To, origin.Message{Acks: []uint64{n.ID}})
		Expect(t.Take().Recorded).To(Equal([]origin.Stream{stream("r")}))
	})
})
