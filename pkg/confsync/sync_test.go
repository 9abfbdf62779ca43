package confsync_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestConfsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confsync")
}

// inForceWithin is the required limit from publication until all hosts have a
// generation in force.
const inForceWithin = 6 * time.Second

var _ = Describe("a published generation", func() {
	DescribeTable("is in force on every host in time",
		func(loss float64, killReader bool) {
			n := newNetwork(3)
			n.loss = loss
			hosts := append(n.domain("a", 12), n.domain("b", 4)...)
			n.sendHostList()
			n.publish(1, rules(10, 1))
			n.run(8 * time.Second)
			Expect(inForce(hosts, 1)).To(Equal(len(hosts)))
			if killReader {
				stopReader(n, "a")
			}
			n.publish(2, rules(10, 2))
			n.run(inForceWithin)
			for _, h := range hosts {
				g, _ := h.sync.Current()
				Expect(h.stopped || string(g.Text) == rules(10, 2)).To(BeTrue(), "%s", h.id)
			}
		},
		Entry("without loss", 0.0, false),
		Entry("with loss", 0.1, false),
		Entry("with loss and a reader killed", 0.1, true),
	)

	It("reaches a domain that is cut off from the platform, and a paused host", func() {
		n := newNetwork(4)
		a, b := n.domain("a", 4), n.domain("b", 4)
		n.sendHostList()
		n.publish(1, "one")
		n.run(4 * time.Second)
		n.down = func(h *host) bool { return h.domain == "b" }
		b[2].paused = true
		n.publish(2, "two")
		n.run(inForceWithin)
		Expect(inForce(append(a, b...), 2)).To(Equal(7))
		Expect(b[0].sync.Age(n.now)).To(BeNumerically("<", 5*time.Second), "learned through the other domain")
		Expect(b[0].sync.PlatformSilent(n.now)).To(BeNumerically(">", 5*time.Second))
		b[2].paused = false
		b[2].sync.Resumed(n.now)
		Expect(b[2].sync.Ready()).To(BeFalse())
		n.run(4 * time.Second)
		Expect(b[2].sync.Ready()).To(BeTrue())
		Expect(inForce(b, 2)).To(Equal(4))
	})

	It("is sent in small parts, whatever the size of the text", func() {
		n := newNetwork(5)
		hosts := n.domain("a", 4)
		n.sendHostList()
		n.down = func(h *host) bool { return h != hosts[0] }
		text := rules(410, 1)
		n.publish(1, text)
		n.run(8 * time.Second)
		Expect(inForce(hosts, 1)).To(Equal(4))
		before := 0
		for _, h := range hosts {
			Expect(h.largest).To(BeNumerically("<", 65<<10))
			before += h.sent
		}
		n.publish(2, rules(410, 2))
		n.run(4 * time.Second)
		Expect(inForce(hosts, 2)).To(Equal(4))
		after := 0
		for _, h := range hosts {
			after += h.sent
		}
		Expect(after-before).To(BeNumerically("<", len(text)/100), "a change of one line goes out as a delta")
	})

	It("gives the same run for the same seed", func() {
		trace := func() string {
			n := newNetwork(11)
			n.loss = 0.2
			hosts := n.domain("a", 6)
			n.sendHostList()
			n.publish(1, rules(10, 1))
			n.run(5 * time.Second)
			out := ""
			for _, h := range hosts {
				out += fmt.Sprint(h.accepted, h.totalBytes, h.messages, h.reads, "\n")
			}
			return out
		}
		Expect(trace()).To(Equal(trace()))
	})
})

// stopReader stops one host of a domain that is watching the platform.
func stopReader(n *network, domain ident.FailureDomain) {
	for _, h := range n.hosts {
		if n.watching[h] != nil && h.domain == domain {
			h.stopped = true
			delete(n.watching, h)
			return
		}
	}
}

// countReaders runs the network for d and returns the number of hosts that read the
// platform in that time.
func countReaders(n *network, d time.Duration) int {
	for _, h := range n.hosts {
		h.reads = 0
	}
	n.run(d)
	count := 0
	for _, h := range n.hosts {
		if h.reads > 0 {
			count++
		}
	}
	return count
}

var _ = Describe("readers", func() {
	It("are two per domain, are replaced when cut off, and are two again afterwards", func() {
		n := newNetwork(6)
		hosts := n.domain("a", 8)
		n.sendHostList()
		n.publish(1, "one")
		n.run(6 * time.Second)
		Expect(countReaders(n, 4*time.Second)).To(Equal(2))
		cut := map[*host]bool{}
		for _, h := range hosts {
			cut[h] = n.watching[h] != nil
		}
		n.down = func(h *host) bool { return cut[h] }
		n.run(7 * time.Second)
		n.publish(2, "two")
		n.run(2 * time.Second)
		Expect(inForce(hosts, 2)).To(Equal(8))
		n.down = func(*host) bool { return false }
		n.run(20 * time.Second)
		Expect(countReaders(n, 4*time.Second)).To(Equal(2))
	})

	It("retry within the platform's rate while it is down", func() {
		const hosts = 30
		var peers []confsync.Peer
		var syncs []*confsync.Sync
		for i := range hosts {
			id := ident.HostID(fmt.Sprintf("a-%02d", i))
			peers = append(peers, confsync.Peer{Host: id, PlatformSilent: time.Hour})
			syncs = append(syncs, confsync.New(confsync.DefaultConfig(ident.Process{Host: id, Incarnation: 1}, "a", uint64(i)), epoch))
		}
		calls := 0
		for at := time.Duration(0); at < 3*time.Minute; at += tickEvery {
			for _, s := range syncs {
				s.SetPeers(epoch.Add(at), peers)
				if s.Tick(epoch.Add(at)).Read == nil {
					continue
				}
				s.ReadDone(epoch.Add(at), confsync.ReadOutcome{Err: errors.New("refused")})
				if at >= 2*time.Minute {
					calls++
				}
			}
		}
		// The platform allows 2,000 calls a second for 1,700 hosts; the retries must stay
		// within a tenth of that, to leave a margin.
		Expect(float64(calls) / 60 / hosts).To(BeNumerically("<", 0.1*2000/1700))
		Expect(calls).To(BeNumerically(">", 60), "they do retry")
	})
})

var _ = Describe("a generation that must not come into force", func() {
	var n *network
	var hosts []*host

	BeforeEach(func() {
		n = newNetwork(8)
		hosts = n.domain("a", 5)
		n.sendHostList()
		n.publish(5, "five")
		n.run(5 * time.Second)
	})

	It("is reported with its cause and fetched once, when it is invalid", func() {
		n.publish(6, "invalid")
		n.run(3 * time.Second)
		fetches := hosts[0].fetches
		n.run(10 * time.Second)
		for _, h := range hosts {
			Expect(inForce([]*host{h}, 5)).To(Equal(1))
			Expect(len(h.alarms)).To(BeNumerically("<=", 1))
		}
		Expect(hosts[0].fetches).To(Equal(fetches))
		alarms := reported(hosts)
		Expect(alarms).NotTo(BeEmpty())
		Expect(alarms[0].Kind).To(Equal(confsync.AlarmInvalid))
		Expect(alarms[0].Text).To(ContainSubstring("line 1, column 1"))
		n.publish(7, "seven")
		n.run(4 * time.Second)
		Expect(inForce(hosts, 7)).To(Equal(5))
	})

	It("is ignored and reported once, when the platform has a lower revision", func() {
		n.publish(4, "four")
		n.run(10 * time.Second)
		Expect(inForce(hosts, 5)).To(Equal(5))
		for _, h := range hosts {
			Expect(len(h.alarms)).To(BeNumerically("<=", 1))
			Expect(h.sync.Age(n.now)).To(BeNumerically(">", 8*time.Second), "an answer with a lower revision does not count as up to date")
		}
		Expect(reported(hosts)[0].Kind).To(Equal(confsync.AlarmLower))
	})

	It("is reported once and does not replace the first, when the revision has another text", func() {
		n.publish(5, "other five")
		other := confsync.NewGeneration(5, []byte("other five"))
		for range 3 {
			hosts[0].apply(hosts[0].sync.PeerReported(n.now, "a-03", 5, other.Digest))
		}
		n.run(3 * time.Second)
		Expect(hosts[0].alarms).To(HaveLen(1))
		Expect(hosts[0].alarms[0].Kind).To(Equal(confsync.AlarmConflict))
		g, _ := hosts[0].sync.Current()
		Expect(string(g.Text)).To(Equal("five"))
	})

	It("is not fetched again from peers, when it is invalid", func() {
		s := hosts[0].sync
		bad := confsync.NewGeneration(9, []byte("invalid"))
		s.PeerReported(n.now, "a-01", 9, bad.Digest)
		part := &confsync.GenerationPart{Revision: 9, Digest: bad.Digest[:], Total: len(bad.Text), Data: bad.Text}
		r := s.Receive(n.now, "a-01", confsync.Message{Part: part})
		Expect(r.Alarms[0].Kind).To(Equal(confsync.AlarmInvalid))
		for _, from := range []ident.HostID{"a-01", "a-02"} {
			Expect(s.PeerReported(n.now, from, 9, bad.Digest).Envelopes).To(BeEmpty())
		}
	})

	It("is rejected, when a peer's text does not match the digest", func() {
		s := hosts[0].sync
		good := confsync.NewGeneration(9, []byte("nine"))
		s.PeerReported(n.now, "a-01", 9, good.Digest)
		bad := &confsync.GenerationPart{Revision: 9, Digest: good.Digest[:], Total: 4, Data: []byte("evil")}
		r := s.Receive(n.now, "a-01", confsync.Message{Part: bad})
		Expect(r.Accepted).To(BeNil())
		Expect(r.Alarms[0].Kind).To(Equal(confsync.AlarmCorrupt))
		Expect(inForce(hosts[:1], 5)).To(Equal(1))
	})
})

func reported(hosts []*host) []confsync.Alarm {
	var out []confsync.Alarm
	for _, h := range hosts {
		out = append(out, h.alarms...)
	}
	return out
}

// deliverRead makes a host read a generation from the platform.
func deliverRead(s *confsync.Sync, g confsync.Generation) {
	s.Tick(epoch)
	s.ReadDone(epoch, confsync.ReadOutcome{Generation: g, PlatformVersion: uint64(g.Revision)})
}

var _ = Describe("a transfer", func() {
	cfg := func(id ident.HostID) confsync.Config {
		c := confsync.DefaultConfig(ident.Process{Host: id, Incarnation: 1}, "a", 1)
		c.Validate, c.PartSize = validate, 10
		return c
	}
	text := bytes.Repeat([]byte("0123456789\n"), 10)

	It("continues at another source when the first one dies, without repeating parts", func() {
		g := confsync.NewGeneration(1, text)
		servers := map[ident.HostID]*confsync.Sync{}
		s := confsync.New(cfg("x"), epoch)
		var res confsync.Result
		for _, id := range []ident.HostID{"p", "q"} {
			servers[id] = confsync.New(cfg(id), epoch)
			deliverRead(servers[id], g)
			r := s.PeerReported(epoch, id, 1, g.Digest)
			res.Envelopes = append(res.Envelopes, r.Envelopes...)
		}
		var fetched []int
		now, parts, dead := epoch, 0, ident.HostID("")
		for i := 0; i < 100 && res.Accepted == nil; i++ {
			if len(res.Envelopes) == 0 {
				now = now.Add(time.Second)
				res = s.Tick(now)
				continue
			}
			e := res.Envelopes[0]
			res.Envelopes = res.Envelopes[1:]
			if parts == 5 {
				dead = e.To
				parts++
			}
			if e.To == dead {
				continue
			}
			fetched = append(fetched, e.Message.Fetch.Offset)
			parts++
			part := servers[e.To].Receive(now, "x", e.Message).Envelopes[0].Message
			res = s.Receive(now, e.To, part)
			s.Receive(now, e.To, part) // a duplicate
		}
		Expect(res.Accepted).NotTo(BeNil())
		Expect(res.Accepted.Text).To(Equal(text))
		Expect(fetched).To(Equal([]int{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 100}))
	})
})

var _ = Describe("a started or resumed host", func() {
	It("discards the outcome of a read that began before a pause", func() {
		c := confsync.DefaultConfig(ident.Process{Host: "x", Incarnation: 1}, "a", 1)
		c.Validate = validate
		s := confsync.New(c, epoch)
		deliverRead(s, confsync.NewGeneration(1, []byte("one")))
		s.Tick(epoch.Add(time.Second))
		wake := epoch.Add(time.Minute)
		s.Resumed(wake)
		Expect(s.Tick(wake).Read).To(BeNil(), "one read at a time")
		s.ReadDone(wake, confsync.ReadOutcome{PlatformVersion: 1, NotChanged: true})
		Expect(s.PlatformSilent(wake)).To(Equal(time.Minute))
		Expect(s.Ready()).To(BeFalse())
		Expect(s.Tick(wake.Add(100 * time.Millisecond)).Read).NotTo(BeNil())
		s.ReadDone(wake.Add(time.Second), confsync.ReadOutcome{PlatformVersion: 1, NotChanged: true})
		Expect(s.PlatformSilent(wake.Add(time.Second))).To(BeZero())
	})

	It("is not ready without a generation, and becomes ready with its peers' while the platform is down", func() {
		n := newNetwork(9)
		hosts := n.domain("a", 3)
		n.sendHostList()
		n.run(5 * time.Second)
		Expect(hosts[0].sync.Ready()).To(BeFalse())
		n.publish(1, "one")
		n.run(5 * time.Second)
		Expect(hosts[0].sync.Ready()).To(BeTrue())
		n.down = func(*host) bool { return true }
		started := n.start("a-03", "a", 3)
		n.sendHostList()
		n.run(time.Second)
		Expect(started.sync.Ready()).To(BeFalse(), "only its peers have answered")
		n.run(3 * time.Second)
		Expect(started.sync.Ready()).To(BeTrue())
		alone := n.start("c-00", "c", 0)
		n.run(10 * time.Second)
		Expect(alone.sync.Ready()).To(BeFalse())
	})
})
