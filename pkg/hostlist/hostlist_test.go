package hostlist_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestHostList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostlist")
}

var _ = Describe("Tracker", func() {
	now := time.Unix(1000, 0)
	newTracker := func(host ident.HostID) *hostlist.Tracker {
		return hostlist.New(hostlist.DefaultConfig(ident.Process{Host: host}), now)
	}
	list := func(version uint64) hostlist.List {
		return hostlist.List{Version: version, Backends: []engine.Info{{ID: "p0"}}}
	}

	It("gets the list from a peer if the platform is unreachable", func() {
		reader, fresh := newTracker("a"), newTracker("b")
		reader.Read(list(3))
		fresh.SetPeers([]ident.HostID{"a"})
		ask := fresh.Tick(now).Envelopes
		Expect(ask).To(HaveLen(1))
		answer := reader.Receive("b", ask[0].Message).Envelopes
		Expect(answer).To(HaveLen(1))
		Expect(fresh.Receive("a", answer[0].Message).Accepted).NotTo(BeNil())
		Expect(fresh.Version()).To(Equal(uint64(3)))
	})

	It("ignores a lower version from the platform and reports it once", func() {
		t := newTracker("a")
		t.Read(list(5))
		Expect(t.Read(list(4)).LowerVersion).To(Equal(uint64(4)))
		Expect(t.Read(list(4)).LowerVersion).To(BeZero())
		Expect(t.Version()).To(Equal(uint64(5)))
	})

	It("does not transfer a list that the peer already has", func() {
		t := newTracker("a")
		t.Read(list(5))
		Expect(t.Receive("b", hostlist.Message{Ask: &hostlist.Ask{Version: 5}}).Envelopes).To(BeEmpty())
	})

	It("asks its peers in rotation, so that one silent peer does not block it", func() {
		t := newTracker("a")
		t.SetPeers([]ident.HostID{"c", "b"})
		first := t.Tick(now).Envelopes[0].To
		second := t.Tick(now.Add(time.Second)).Envelopes[0].To
		Expect([]ident.HostID{first, second}).To(ConsistOf(ident.HostID("b"), ident.HostID("c")))
	})
})
