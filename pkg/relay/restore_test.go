package relay_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// restoreModel models a store that loses the configuration which revokes a key, because it
// is restored from an older copy, and a host that reads it. Another host has read that
// configuration and sends heartbeats.
type restoreModel struct {
	*host
	rng        *rand.Rand
	start      time.Time
	revokedAt  time.Duration // since start, as are the next two
	restoredAt time.Duration
	rewriteAt  time.Duration // the operator writes the configuration again
	heartbeats uint64
}

func newRestoreModel(seed uint64) *restoreModel {
	m := &restoreModel{host: newHost(), rng: rand.New(rand.NewPCG(seed, 11))}
	m.start = m.now
	upTo := func(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d) + 1)) }
	m.revokedAt = 2*time.Second + upTo(3*time.Second)
	m.restoredAt = m.revokedAt + 2500*time.Millisecond + upTo(3*time.Second)
	m.rewriteAt = m.restoredAt + upTo(8*time.Second)
	return m
}

// version returns the version and the era that the store has now.
func (m *restoreModel) version() (version, era uint64) {
	at := m.now.Sub(m.start)
	switch {
	case at < m.revokedAt:
		return 1, 0
	case at < m.restoredAt:
		return 2, 0
	case at < m.rewriteAt:
		return 1, 1
	}
	return 2, 1
}

// read is a successful read of the store by the host under test.
func (m *restoreModel) read(listed bool) {
	version, era := m.version()
	if listed {
		m.step(relay.EntriesListed{Era: era, Entries: []backends.Entry{{ID: "s1", Service: "app", Addr: "s1", Slots: 6, StartedAt: 1}}})
	}
	if version == 1 {
		m.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
	} else {
		m.step(relay.ConfigRead{Snapshot: snapshot(2)})
	}
	m.step(relay.PlatformReadSucceeded{Sent: m.now, Era: era, Revision: 10 - era})
}

// heartbeat is one of the other host, which has read every version.
func (m *restoreModel) heartbeat() {
	version := uint64(1)
	if m.now.Sub(m.start) >= m.revokedAt {
		version = 2
	}
	m.heartbeats++
	m.step(relay.MessageReceived{Message: relay.Message{
		Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: m.heartbeats},
		Version:   version,
	}})
}

var _ = Describe("a key whose revocation the store has lost", func() {
	It("is never accepted after its bound, at a host that missed it and at one that had applied it", func() {
		admitted, refused := 0, 0
		for seed := range uint64(300) {
			m := newRestoreModel(seed)
			// The host cannot read the store from before the revocation until the restore,
			// or has read it all the while.
			missed := m.rng.IntN(2) == 0
			era, applied := uint64(0), false
			for tick := 0; m.now.Sub(m.start) < 20*time.Second; tick++ {
				m.now = m.now.Add(50 * time.Millisecond)
				at := m.now.Sub(m.start)
				if tick%40 == 0 {
					m.heartbeat()
				}
				if tick%8 == 0 && !(missed && at >= m.revokedAt && at < m.restoredAt) {
					version, now := m.version()
					m.read(tick == 8 || now != era)
					era = now
					applied = applied || version == 2
				}
				m.submit("/read/1", relay.RequestSpec{})
				c, ok := find[relay.Call](m.host)
				if !ok {
					refused++
					continue
				}
				admitted++
				m.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded})
				Expect(applied).To(BeFalse(), "seed %d: the host had applied the revocation", seed)
				Expect(at-m.revokedAt).To(BeNumerically("<=", revocationBound), "seed %d", seed)
			}
		}
		Expect(admitted).To(BeNumerically(">", 3000))
		Expect(refused).To(BeNumerically(">", 3000))
	})
})

var _ = Describe("fencing tokens", func() {
	It("rise when the store is restored, although its revisions go back", func() {
		h := newHost()
		h.step(relay.PlatformReadSucceeded{Sent: h.now, Revision: 1 << 20})
		before := h.relay.FencingToken()
		h.step(relay.PlatformReadSucceeded{Sent: h.now, Era: 1, Revision: 3})
		Expect(h.relay.FencingToken()).To(BeNumerically(">", before))
	})
})
