package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

// startFleet starts the domain "own" with the given number of hosts, and further
// domains of two hosts each.
func startFleet(hosts, domains int, loss float64) (*network, []*process) {
	n := newNetwork(1)
	n.loss, n.dup = loss, loss
	own := n.startDomain("own", hosts)
	for d := 1; d < domains; d++ {
		n.startDomain(ident.FailureDomain(fmt.Sprintf("domain%02d", d)), 2)
	}
	n.listAll()
	return n, own
}

// setLoad gives each host new local state, with up to 37 pools per domain.
func (n *network) setLoad(round int) {
	counts := map[ident.FailureDomain]int{}
	pools := map[ident.FailureDomain]int{}
	for _, p := range n.procs {
		counts[p.domain]++
	}
	for _, p := range n.procs {
		per := max(1, 37/counts[p.domain])
		l := membership.Local{Revision: 100000, Digest: [32]byte{1}, Ready: true}
		for range per {
			if pools[p.domain] < 37 {
				m := ident.Model(fmt.Sprintf("mulberry-%02d", pools[p.domain]))
				l.Free = append(l.Free, membership.PoolFree{Model: m, Free: 100 + round%7})
				pools[p.domain]++
			}
		}
		p.SetLocal(n.now, l)
	}
}

// BenchmarkExchange reports messages and bytes per host of one domain and second of
// simulated time, and how long hosts do not hear from a live host.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []struct {
		hosts, domains int
		loss           float64
	}{{8, 1, 0}, {8, 4, 0}, {8, 19, 0}, {90, 1, 0}, {90, 9, 0}, {90, 19, 0}, {90, 19, 0.1}} {
		b.Run(fmt.Sprintf("hosts=%d/domains=%d/loss=%v", c.hosts, c.domains, c.loss), func(b *testing.B) {
			for b.Loop() {
				measureExchange(b, c.hosts, c.domains, c.loss)
			}
		})
	}
}

func measureExchange(b *testing.B, hosts, domains int, loss float64) {
	// A round is not a multiple of the heartbeat interval, so that all phases are
	// sampled.
	const rounds, round = 21, 970 * time.Millisecond
	n, own := startFleet(hosts, domains, loss)
	n.run(20 * time.Second)
	for _, p := range own {
		p.sent, p.received, p.messages, p.largest, p.events = 0, 0, 0, 0, nil
	}
	var silences []time.Duration
	unreachable, contactAge := 0, time.Duration(0)
	begin := time.Now()
	for r := range rounds {
		n.setLoad(r)
		n.run(round)
		for _, p := range own {
			v := p.View(n.now)
			contactAge = max(contactAge, n.now.Sub(p.lastContact))
			for _, h := range v.Hosts {
				silences = append(silences, h.Silent)
			}
			for _, d := range v.Domains {
				if !d.Reachable {
					unreachable++
				}
			}
		}
	}
	sent, received, messages, most, largest, dead := 0, 0, 0, 0, 0, 0
	for _, p := range own {
		sent, received, messages = sent+p.sent, received+p.received, messages+p.messages
		most, largest = max(most, p.sent), max(largest, p.largest)
		d, _ := eventsOf[membership.HostDead](p)
		dead += len(d)
	}
	seconds := rounds * round.Seconds()
	per := float64(hosts) * seconds
	slices.Sort(silences)
	b.ReportMetric(float64(sent)/per, "sent-B/s")
	b.ReportMetric(float64(most)/seconds, "delegate-sent-B/s")
	b.ReportMetric(float64(received)/per, "received-B/s")
	b.ReportMetric(float64(messages)/per, "messages/s")
	b.ReportMetric(float64(largest), "largest-B")
	b.ReportMetric(silences[len(silences)*999/1000].Seconds(), "silence-p99.9-s")
	b.ReportMetric(silences[len(silences)-1].Seconds(), "silence-max-s")
	b.ReportMetric(float64(dead), "false-dead")
	b.ReportMetric(float64(unreachable), "false-unreachable")
	b.ReportMetric(contactAge.Seconds(), "contact-age-max-s")
	b.ReportMetric(float64(time.Since(begin).Microseconds())/seconds/float64(len(n.procs)), "cpu-us/host-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDetection reports the time from a crash until each host reports it.
func BenchmarkDetection(b *testing.B) {
	for _, c := range []struct {
		hosts int
		loss  float64
	}{{8, 0}, {8, 0.1}, {90, 0}, {90, 0.1}} {
		b.Run(fmt.Sprintf("hosts=%d/loss=%v", c.hosts, c.loss), func(b *testing.B) {
			for b.Loop() {
				measureDetection(b, c.hosts, c.loss)
			}
		})
	}
}

func measureDetection(b *testing.B, hosts int, loss float64) {
	var times []time.Duration
	missed := 0
	for crash := range min(hosts-1, 10) {
		n, own := startFleet(hosts, 1, loss)
		n.rng = rand.New(rand.NewPCG(uint64(crash), 2))
		n.run(8 * time.Second)
		at := n.now
		own[crash].stopped = true
		n.run(9 * time.Second)
		for i, p := range own {
			dead, when := eventsOf[membership.HostDead](p)
			for j, d := range dead {
				if d.Process == own[crash].self {
					times = append(times, when[j].Sub(at))
				}
			}
			if i != crash && len(dead) == 0 {
				missed++
			}
		}
	}
	slices.Sort(times)
	b.ReportMetric(times[0].Seconds(), "min-s")
	b.ReportMetric(times[len(times)/2].Seconds(), "p50-s")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "p99-s")
	b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
	b.ReportMetric(float64(missed), "missed")
	b.ReportMetric(0, "ns/op")
}
