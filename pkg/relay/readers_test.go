package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

var _ = Describe("reading the platform", func() {
	var (
		h        *host
		sequence uint64
	)

	peerHeartbeat := func(id ident.HostID, domain ident.FailureDomain, ageMS int64) {
		sequence++
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: id, Incarnation: 1, Addr: "addr-" + string(id), Domain: domain}, Sequence: sequence},
			AgeMS:     ageMS,
		}})
	}

	// domainHeartbeats delivers heartbeats of n hosts of the same domain with higher ids.
	domainHeartbeats := func(n int) {
		for i := range n {
			peerHeartbeat(ident.HostID(fmt.Sprint("z", i)), "a", 100)
		}
	}

	BeforeEach(func() {
		h = newHostWith(func(c *relay.Config) { c.ApplyWithin = 3 * time.Second }).ready()
		sequence = 0
	})

	It("is not shared in a small domain, nor if changes must take effect too soon", func() {
		peerHeartbeat("a1", "a", 100)
		peerHeartbeat("a2", "a", 100)
		domainHeartbeats(2)
		_, shared := h.relay.Reader(h.now)
		Expect(shared).To(BeFalse())
		h = newHostWith(func(c *relay.Config) { c.ApplyWithin = time.Second }).ready()
		sequence = 0
		peerHeartbeat("a1", "a", 100)
		peerHeartbeat("a2", "a", 100)
		domainHeartbeats(6)
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeFalse())
	})

	It("blocks at a reader no longer than the maximum age of its copy", func() {
		Expect(h.relay.ReadWait(h.now, 10*time.Second)).To(Equal(10 * time.Second))
		domainHeartbeats(6)
		Expect(h.relay.ReadWait(h.now, 10*time.Second)).To(Equal(1600 * time.Millisecond))
	})

	It("is done by the two hosts of a domain with the lowest ids", func() {
		domainHeartbeats(4)
		peerHeartbeat("a1", "a", 100)
		peerHeartbeat("b1", "b", 100)
		_, shared := h.relay.Reader(h.now)
		Expect(shared).To(BeFalse(), "this host is the second of its domain")
		peerHeartbeat("a2", "a", 100)
		r, shared := h.relay.Reader(h.now)
		Expect(shared).To(BeTrue())
		Expect(r.Addr).To(Equal("addr-a1"))
	})

	It("bypasses a reader that fails, is silent or has an old copy", func() {
		peerHeartbeat("a1", "a", 100)
		peerHeartbeat("a2", "a", 100)
		domainHeartbeats(4)
		h.relay.ReaderFailed(h.now, "a1")
		other, shared := h.relay.Reader(h.now)
		Expect(shared).To(BeTrue())
		Expect(other.Addr).To(Equal("addr-a2"))
		h.relay.ReaderFailed(h.now, "a2")
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeFalse())
		h.wait(6 * time.Second)
		peerHeartbeat("a1", "a", 100)
		peerHeartbeat("a2", "a", 100)
		domainHeartbeats(4)
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeTrue())
		peerHeartbeat("a1", "a", 3000)
		h.relay.ReaderFailed(h.now, "a2")
		h.wait(200 * time.Millisecond)
		peerHeartbeat("a1", "a", 3000)
		h.relay.ReaderAnswered(h.now, "a1", 2*time.Second)
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeFalse(), "the reader's copy is old")
		h.relay.ReaderAnswered(h.now, "a1", time.Second)
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeTrue(), "its answer had a recent copy")
		peerHeartbeat("a1", "a", 100)
		h.wait(time.Second)
		_, shared = h.relay.Reader(h.now)
		Expect(shared).To(BeFalse(), "the readers are silent")
	})

	// Guards against a fleet whose hosts all retry an unreachable platform on their own.
	It("polls the readers between rare direct reads while the platform is unreachable, and goes on with a reader that is back", func() {
		direct, polled := 0, 0
		h.step(relay.PlatformReadFailed{})
		for range 60 {
			peerHeartbeat("a1", "a", 4000)
			peerHeartbeat("a2", "a", 4000)
			domainHeartbeats(4)
			r, shared := h.relay.Reader(h.now)
			if shared {
				polled++
				h.relay.ReaderFailed(h.now, r.Host)
			} else {
				direct++
				h.relay.DirectReadFailed(h.now)
			}
			h.wait(100 * time.Millisecond)
		}
		Expect(direct).To(BeNumerically("<=", 5))
		Expect(direct).To(BeNumerically(">=", 2))
		Expect(polled).To(BeNumerically(">", 50))
		h.relay.ReaderAnswered(h.now, "a2", 0)
		r, shared := h.relay.Reader(h.now)
		Expect(shared).To(BeTrue())
		Expect(r.Addr).To(Equal("addr-a2"))
	})
})
