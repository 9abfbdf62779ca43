package relay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// restartFleet is a fleet of relays with immediate delivery of messages.
type restartFleet struct {
	now        time.Time
	start      time.Time
	rng        *rand.Rand
	hosts      []*relay.Relay
	startsAt   []time.Time // restart time of each host
	addrs      map[string]int
	conf       *catalog.Snapshot
	admittedAt []time.Time
	lastID     relay.ID
}

const (
	restartRate   = 185_000 // the organisation's limit in tokens per second, and its burst
	restartTokens = 5_000   // tokens per request
	restartTick   = 5 * time.Millisecond
)

func newRestartFleet(n int, seed uint64) *restartFleet {
	f := &restartFleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), addrs: map[string]int{},
		hosts: make([]*relay.Relay, n), startsAt: make([]time.Time, n),
	}
	f.start = f.now
	f.conf = catalog.New(1)
	f.conf.Services["app"] = &catalog.Service{Name: "app"}
	f.conf.AddRoute(&catalog.Route{
		Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.Once, MaxAttempts: 1,
		Timeout: time.Second, LatencyTarget: 150 * time.Millisecond,
		Split: []catalog.Share{{Service: "app", Weight: 1}},
	})
	f.conf.AddOrganisation(&catalog.Organisation{
		Name: "org", Rate: restartRate, Burst: restartRate, DefaultTokens: restartTokens,
	}, []string{goodKey})
	f.conf = f.conf.Build()
	for i := range n {
		f.addrs[fmt.Sprint("a", i)] = i
		f.startHost(i)
	}
	return f
}

// startHost starts the process of a host.
func (f *restartFleet) startHost(i int) {
	self := roster.Host{
		ID: ident.HostID(fmt.Sprintf("h%02d", i)), Incarnation: ident.Incarnation(f.now.UnixMilli()),
		Addr: fmt.Sprint("a", i), Domain: ident.FailureDomain(fmt.Sprint("z", i%4)),
	}
	cfg := relay.DefaultConfig(self, []string{"a0", "a1", "a2"})
	cfg.Quota.MinHosts = 4
	cfg.Quota.Tolerance = quota.Tolerance{Window: 8 * time.Second, Overage: 0.25, Slack: 190_000}
	f.hosts[i] = relay.New(cfg, f.now)
	f.step(i, relay.ConfigRead{Snapshot: f.conf})
	var entries []backends.Entry
	for n := range len(f.hosts) * 3 / 2 {
		id := ident.BackendID(fmt.Sprintf("s%03d", n))
		entries = append(entries, backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "z0", Slots: 1000, StartedAt: 1})
	}
	f.step(i, relay.EntriesListed{Entries: entries})
	f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 1})
}

func (f *restartFleet) step(i int, e relay.Event) {
	for _, effect := range f.hosts[i].Step(f.now, e) {
		switch x := effect.(type) {
		case relay.Call:
			f.admittedAt = append(f.admittedAt, f.now)
			f.step(i, relay.CallEnded{ID: x.ID, Attempt: x.Attempt.Attempt, Outcome: relay.Succeeded, Status: 200})
		case relay.Send:
			for _, to := range x.To {
				if j := f.addrs[to]; j != i && f.hosts[j] != nil {
					f.step(j, relay.MessageReceived{Message: x.Message})
				}
			}
		}
	}
}

// run sends requests for d at load times the organisation's rate.
func (f *restartFleet) run(d time.Duration, load float64) {
	perTick := load * restartRate * restartTick.Seconds() / restartTokens
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(restartTick) {
		for i, h := range f.hosts {
			if h == nil && !f.startsAt[i].IsZero() && !f.now.Before(f.startsAt[i]) {
				f.startHost(i)
			}
			if h = f.hosts[i]; h == nil {
				continue
			}
			if f.now.Sub(f.start)%(500*time.Millisecond) == 0 {
				f.step(i, relay.PlatformReadSucceeded{Sent: f.now, Revision: 1})
			}
			if !f.now.Before(h.Next()) {
				f.step(i, relay.Tick{})
			}
		}
		for n := perTick; n > 0; n-- {
			if n < 1 && f.rng.Float64() > n {
				break
			}
			i := f.rng.IntN(len(f.hosts))
			if f.hosts[i] == nil {
				continue
			}
			f.lastID++
			f.step(i, relay.Arrived{ID: f.lastID, Spec: relay.RequestSpec{Host: "h", Path: "/post/1", Key: goodKey, Deadline: time.Second}})
		}
	}
}

// maxAdmitted returns the maximum number of tokens admitted in any window of that length.
func (f *restartFleet) maxAdmitted(window time.Duration) float64 {
	most, first := 0, 0
	for i, at := range f.admittedAt {
		for f.admittedAt[first].Before(at.Add(-window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most * restartTokens)
}

var _ = Describe("a large fleet that restarts all at once, as after a power failure", func() {
	// Guards against over-admission by hosts that each use a large share of a limit until
	// they have found the others. The bound is the platform's tolerance for a limit.
	It("does not admit more tokens of an organisation than its limit tolerates", func() {
		f := newRestartFleet(85, 0)
		f.run(5*time.Second, 1)
		f.run(3*time.Second, 7.5)
		for i := range f.hosts {
			f.hosts[i] = nil
			f.startsAt[i] = f.now.Add(500*time.Millisecond + time.Duration(f.rng.IntN(300))*time.Millisecond)
		}
		f.run(4*time.Second, 7.5)
		limit := 1.25*(restartRate*8+restartRate) + 190_000
		GinkgoWriter.Printf("%.0f of %.0f\n", f.maxAdmitted(8*time.Second), limit)
		Expect(f.maxAdmitted(8 * time.Second)).To(BeNumerically("<", limit))
	})
})
