package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// Spec specifies one run.
type Spec struct {
	Seed    uint64
	Faults  []Fault
	Domains int // 0 lets the runner choose 2 to 4, by worker
}

// SpecForSeed derives a run from its seed: even seeds cycle through the single faults,
// odd seeds draw a random pair.
func SpecForSeed(seed uint64) Spec {
	all := Faults()
	if seed%2 == 0 {
		return Spec{Seed: seed, Faults: []Fault{all[seed/2%uint64(len(all))]}}
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	pair := rng.Perm(len(all))[:2]
	return Spec{Seed: seed, Faults: []Fault{all[pair[0]], all[pair[1]]}}
}

// ParseFaults parses fault names joined by plus signs.
func ParseFaults(names string) ([]Fault, error) {
	var out []Fault
	for name := range strings.SplitSeq(names, "+") {
		f, err := FaultByName(name)
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// Runner runs specs on several fleets in parallel.
type Runner struct {
	Rules   string
	Fleets  int             // fleets that run in parallel
	Until   time.Time       // no run starts after this time; zero means no limit
	OutDir  string          // directory for records and logs of failed runs; none are written if empty
	Observe func(o Outcome) // called after each run, never concurrently
	mu      sync.Mutex
}

// Run runs the specs and returns their outcomes in the order in which they finish.
func (r *Runner) Run(specs []Spec) []Outcome {
	queue := make(chan Spec)
	var wg sync.WaitGroup
	var out []Outcome
	for worker := range r.Fleets {
		wg.Go(func() {
			r.runWorker(worker, queue, func(o Outcome) {
				r.mu.Lock()
				defer r.mu.Unlock()
				out = append(out, o)
				if r.Observe != nil {
					r.Observe(o)
				}
			})
		})
	}
	for _, s := range specs {
		if !r.Until.IsZero() && time.Now().After(r.Until) {
			break
		}
		queue <- s
	}
	close(queue)
	wg.Wait()
	return out
}

// runWorker runs specs on one fleet, which is replaced when it does not recover or when
// a spec requires another number of domains.
func (r *Runner) runWorker(worker int, queue <-chan Spec, done func(Outcome)) {
	var c *cluster
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for s := range queue {
		domains := s.Domains
		if domains == 0 {
			domains = 2 + worker%3
		}
		if c != nil && len(c.Deployment.Plan.Domains) != domains {
			c.close()
			c = nil
		}
		if c == nil {
			var err error
			if c, err = startCluster(r.Rules, domains, s.Seed); err != nil {
				done(Outcome{Seed: s.Seed, Domains: domains, Faults: s.faultNames(), Err: err})
				c = nil
				continue
			}
		}
		o := execute(c, s.Seed, s.Faults)
		if o.Failed() {
			r.saveFailure(c, o)
		}
		if o.Err != nil {
			c.close()
			c = nil
		}
		done(o)
	}
}

func (s Spec) faultNames() []string {
	var out []string
	for _, f := range s.Faults {
		out = append(out, f.Name)
	}
	return out
}

// saveFailure writes the records of a failed run and the logs of the hosts.
func (r *Runner) saveFailure(c *cluster, o Outcome) {
	if r.OutDir == "" {
		return
	}
	dir := filepath.Join(r.OutDir, fmt.Sprintf("%d-%s", o.Seed, strings.Join(o.Faults, "+")))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return
	}
	writeRecords(filepath.Join(dir, "records.jsonl"), o.records)
	for _, h := range c.Hosts {
		_ = os.WriteFile(filepath.Join(dir, string(h.ID)+".log"), []byte(h.Log()), 0o644)
	}
}

func writeRecords(path string, records []record.Record) {
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	enc := json.NewEncoder(f)
	for _, x := range records {
		_ = enc.Encode(x)
	}
}
