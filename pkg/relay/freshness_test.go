package relay_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

const (
	// revocationBound is the time within which a revoked key must stop working, and
	// watchLag how long the platform's watches may miss changes. StaleAfter is the
	// difference.
	revocationBound = 5 * time.Second
	watchLag        = time.Second
)

// revocationModel models a host that is paused now and then and reads a store that is
// slow, unavailable or misses changes, while an operator revokes the key.
type revocationModel struct {
	*host
	rng        *rand.Rand
	start      time.Time
	revoked    time.Time
	reads      []read
	nextReadAt time.Time
}

// read is a pending call to the store.
type read struct {
	sentAt, answeredAt, stateAt time.Time
}

func newRevocationModel(seed uint64) *revocationModel {
	r := &revocationModel{host: newHost(), rng: rand.New(rand.NewPCG(seed, 4))}
	r.start = r.now
	r.step(relay.EntriesListed{Entries: []backends.Entry{{ID: "s1", Service: "app", Addr: "s1", Slots: 6}}})
	r.revoked = r.now.Add(r.randomUpTo(8 * time.Second))
	return r
}

func (r *revocationModel) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

// send sends a read if none is pending. Some reads get no answer.
func (r *revocationModel) send(outage bool) {
	if len(r.reads) > 0 || r.now.Before(r.nextReadAt) {
		return
	}
	r.nextReadAt = r.now.Add(r.randomUpTo(1500 * time.Millisecond))
	if outage || r.rng.IntN(5) == 0 {
		return
	}
	answeredAt := r.now.Add(r.randomUpTo(1500 * time.Millisecond))
	stateAt := r.now.Add(-r.randomUpTo(watchLag))
	r.reads = append(r.reads, read{sentAt: r.now, answeredAt: answeredAt, stateAt: stateAt})
}

func (r *revocationModel) receive() {
	for len(r.reads) > 0 && !r.now.Before(r.reads[0].answeredAt) {
		got := r.reads[0]
		r.reads = r.reads[1:]
		r.step(relay.ConfigRead{Snapshot: r.configAt(got.stateAt)})
		r.step(relay.PlatformReadSucceeded{Sent: got.sentAt, Revision: 1})
	}
}

func (r *revocationModel) configAt(t time.Time) *catalog.Snapshot {
	if t.Before(r.revoked) {
		return snapshot(1, goodKey)
	}
	return snapshot(2)
}

var _ = Describe("a revoked key", func() {
	It("is never accepted after its bound, whatever the delays of the store and the pauses of the host", func() {
		admitted := 0
		for seed := range uint64(3000) {
			r := newRevocationModel(seed)
			for r.now.Sub(r.start) < 20*time.Second {
				outage := r.rng.IntN(3) == 0
				for end := r.now.Add(r.randomUpTo(6 * time.Second)); r.now.Before(end); {
					r.now = r.now.Add(50 * time.Millisecond)
					if r.rng.IntN(200) == 0 {
						r.now = r.now.Add(r.randomUpTo(8 * time.Second)) // a pause of the process
					}
					// A request sent before a pause may be received after it. The bound counts
					// from when it was sent, so checking at the time of receipt is stricter.
					r.submit("/read/1", relay.RequestSpec{})
					if c, ok := find[relay.Call](r.host); ok {
						admitted++
						r.step(relay.CallEnded{ID: c.ID, Attempt: c.Attempt.Attempt, Outcome: relay.Succeeded})
						Expect(r.now.Sub(r.revoked)).To(BeNumerically("<=", revocationBound), "seed %d", seed)
					}
					r.send(outage)
					r.receive()
				}
			}
		}
		Expect(admitted).To(BeNumerically(">", 10_000), "the test needs enough accepted requests")
	})
})
