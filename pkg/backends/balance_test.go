package backends

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func costs(c ...float64) []candidate {
	var all []candidate
	for i, v := range c {
		all = append(all, candidate{&server{Entry: Entry{ID: ident.BackendID(fmt.Sprint(i))}}, v})
	}
	return all
}

// counts returns how often each candidate is picked.
func counts(all func() []candidate, unseen float64, tries int) map[ident.BackendID]int {
	n := map[ident.BackendID]int{}
	for seed := range tries {
		c, ok := pickBalanced(rand.New(rand.NewPCG(uint64(seed), 0)), all(), unseen)
		if ok {
			n[c.ID]++
		}
	}
	return n
}

// Guards against hosts that do not use the least loaded server although their load reports
// are fresh.
func TestPickBalancedTakesTheLeastLoadedOnFreshReports(t *testing.T) {
	g := gomega.NewWithT(t)
	n := counts(func() []candidate { return costs(0.5, 0.2, 0.9) }, 0, 50)
	g.Expect(n).To(gomega.Equal(map[ident.BackendID]int{"1": 50}))
	_, ok := pickBalanced(rand.New(rand.NewPCG(1, 0)), nil, 3)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against a fleet in which all hosts pick the same one of equally loaded servers.
func TestPickBalancedIsRandomAmongEquals(t *testing.T) {
	g := gomega.NewWithT(t)
	n := counts(func() []candidate { return costs(0.4, 0.4, 0.4, 0.9) }, 0, 300)
	g.Expect(n).To(gomega.HaveLen(3))
	for _, k := range n {
		g.Expect(k).To(gomega.BeNumerically(">", 60))
	}
}

// Guards against shares that do not bring the servers to one level: an amount of 0.6 raises
// 0.2 and 0.4 to 0.6, and 0.8 gets nothing.
func TestPickBalancedFillsToOneLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	n := counts(func() []candidate { return costs(0.2, 0.4, 0.8) }, 0.6, 3000)
	g.Expect(n["0"]).To(gomega.BeNumerically("~", 2000, 150))
	g.Expect(n["1"]).To(gomega.BeNumerically("~", 1000, 150))
	g.Expect(n).NotTo(gomega.HaveKey(ident.BackendID("2")))
	level, filled := waterLevel(costs(0.2, 0.4, 0.8), 0.6)
	g.Expect(level).To(gomega.BeNumerically("~", 0.6, 1e-9))
	g.Expect(filled).To(gomega.Equal(2))
}

// ends is a priority queue (container/heap) of request completions, the earliest first.
type ends []end

type end struct {
	at   time.Duration
	host int
	id   ident.BackendID
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// placeOnStaleReports simulates a steady load of 70 % of the decode memory on 40 engines,
// from 40 hosts that report their load to each other once per second. It returns the number
// of requests that were placed and how many of them went to a full engine.
func placeOnStaleReports(unseen float64) (placed, full int) {
	const (
		hosts, engines = 40, 40
		capacity       = 10 // requests at an engine
		hold           = 4 * time.Second
		interval       = time.Second
		perSecond      = 0.7 * engines * capacity / 4
	)
	need := Load{Requests: 1, Memory: 1000}
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(7, 7))
	var fleet []*Directory
	for h := range hosts {
		cfg := DefaultConfig("a")
		cfg.Seed = uint64(h)
		d := NewDirectory(cfg)
		for e := range engines {
			d.Put(Entry{ID: ident.BackendID(fmt.Sprintf("d%02d", e)), Service: "lm", Domain: "a", Stage: Decode, StartedAt: 1})
		}
		fleet = append(fleet, d)
	}
	q := Query{
		Service: "lm", Stage: Decode, PreferredDomain: "a", Need: need, MemoryPerServer: capacity * need.Memory, SlotsPerServer: capacity,
		UnseenRequests: unseen * perSecond * interval.Seconds() / 2,
	}
	held := map[ident.BackendID]int{}
	var running ends
	nextReport := make([]time.Duration, hosts) // next report of each host
	for h := range nextReport {
		nextReport[h] = time.Duration(h) * interval / hosts
	}
	for at := time.Duration(0); at < 30*time.Second; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		for len(running) > 0 && running[0].at <= at {
			e := heap.Pop(&running).(end)
			held[e.id]--
			fleet[e.host].End(e.id, need)
		}
		for h := range nextReport {
			for nextReport[h] <= at {
				nextReport[h] += interval
				for o, d := range fleet {
					if o != h {
						d.SetPeerLoads(ident.HostID(fmt.Sprint(h)), fleet[h].OwnLoads())
					}
				}
			}
		}
		h := rng.IntN(hosts)
		to, ok := fleet[h].PickDecode(now.Add(at), q)
		if !ok {
			continue
		}
		placed++
		if held[to.ID] >= capacity {
			full++
			continue
		}
		held[to.ID]++
		fleet[h].Begin(to.ID, need)
		heap.Push(&running, end{at: at + hold, host: h, id: to.ID})
	}
	return placed, full
}

// Guards against hosts that all pick the same engines from the same stale load reports.
// Accounting for the expected requests of other hosts must do better than both extremes: the least
// loaded engine by the stale reports, and a random engine regardless of the reports.
func TestHostsWithStaleReportsDoNotPickTheSameEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	share := func(name string, unseen float64) float64 {
		placed, full := placeOnStaleReports(unseen)
		t.Logf("%s: %d placed, %d at a full engine", name, placed, full)
		g.Expect(placed).To(gomega.BeNumerically(">", 1500))
		return float64(full) / float64(placed)
	}
	balanced := share("expected fill", 1)
	g.Expect(balanced).To(gomega.BeNumerically("<", share("least loaded", 0)/2))
	g.Expect(balanced).To(gomega.BeNumerically("<", share("any", 1e6)))
}
