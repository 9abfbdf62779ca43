package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// bucketFillTime is how long to wait for rate limit buckets to fill after the slot
// quarantine.
const bucketFillTime = 15 * time.Second

// unlimitedRates is a multiple of the capacity. It puts the rates of the organisations
// above every load in use, so that only placement limits requests.
const unlimitedRates = 2.0

// testbed is a running fleet and its workload.
type testbed struct {
	settings settings
	name     string
	plan     fake.Plan
	fleet    *fleet.Fleet
	proxies  []*faultproxy.Proxy
	work     load.Workload // at load 1, with scaled rates
	capacity float64       // in requests per second
	seed     uint64
}

// callerDelay is the one-way delay between callers and entry hosts.
func callerDelay(name string) time.Duration {
	if name == "adwenpa" {
		return 3 * time.Millisecond
	}
	return time.Millisecond
}

// startTestbed starts a fleet. rates is the sum of the organisations' rates as a share
// of the fleet's capacity.
func startTestbed(s settings, name string, rates float64) (*testbed, error) {
	plan, err := fake.PlanOf(name)
	if err != nil {
		return nil, err
	}
	w, err := load.Preset(name)
	if err != nil {
		return nil, err
	}
	perSecond, prompt, output := w.CompletionRate()
	b := &testbed{settings: s, name: name, plan: plan, capacity: plan.Capacity(fake.DefaultTiming(), prompt, output), seed: s.Seed * 1000}
	scale := rates * b.capacity / perSecond
	w.ScaleRates(scale)
	w.Load = 1
	b.work = w
	text, err := os.ReadFile(filepath.Join("examples", name+".rules"))
	if err != nil {
		return nil, err
	}
	rules, err := load.ScaleRates(string(text), scale)
	if err != nil {
		return nil, err
	}
	hosts := map[string]int{"bagmati": 8, "adwenpa": 7}[name]
	b.fleet, err = fleet.Start(fleet.Options{
		Plan: plan, Hosts: hosts,
		Fake: fake.Options{Seed: s.Seed, HostListLag: time.Second, Rules: rules},
	})
	if err != nil {
		return nil, err
	}
	for _, h := range b.fleet.Hosts {
		p, err := faultproxy.New(h.CallerAddr, 1)
		if err != nil {
			b.close()
			return nil, err
		}
		p.Set(faultproxy.Faults{Delay: callerDelay(name)})
		b.proxies = append(b.proxies, p)
	}
	time.Sleep(bucketFillTime)
	return b, nil
}

func (b *testbed) close() {
	for _, p := range b.proxies {
		p.Close()
	}
	b.fleet.Close()
}

func (b *testbed) hosts() []load.Host {
	var out []load.Host
	for i, h := range b.fleet.Hosts {
		out = append(out, load.Host{ID: h.ID, Addr: b.proxies[i].Addr()})
	}
	return out
}

// adminAddrs returns the operator addresses, from which the simulated load balancer
// learns which hosts are ready.
func (b *testbed) adminAddrs() []load.Host {
	var out []load.Host
	for _, h := range b.fleet.Hosts {
		out = append(out, load.Host{ID: h.ID, Addr: h.AdminAddr})
	}
	return out
}

// run sends a load and returns its results. halfway is called in the middle of the
// run.
func (b *testbed) run(w load.Workload, halfway func()) runResult {
	b.seed++
	w.Seed = b.seed
	log := &record.Log{}
	cfg := load.Config{Hosts: b.hosts(), Timeout: 20 * time.Second, Log: log, Watch: load.NewWatch(log)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go cfg.Watch.Run(ctx, b.adminAddrs(), 250*time.Millisecond)
	before := len(b.fleet.Deployment.Records())
	timer := time.AfterFunc(w.Duration/2, halfway)
	defer timer.Stop()
	results := load.Run(ctx, w, cfg)
	engines := b.fleet.Deployment.Records()[before:]
	return runResult{
		work:    w,
		summary: load.Summarise(w, cfg, "default", results, engines, load.DefaultTargets()),
		results: results,
		engines: engines,
	}
}

// runResult has the results of one load.
type runResult struct {
	work    load.Workload
	summary load.Summary
	results []load.Result
	engines []record.Record
}

// writeResults writes the result files of a run.
func (b *testbed) writeResults(name string, o runResult) error {
	dir := filepath.Join(b.settings.Out, b.name+"-"+strings.ReplaceAll(name, " ", "-"))
	return load.WriteFiles(dir, o.work, o.summary, o.results, o.engines, load.DefaultTargets())
}

// workloadAt returns the workload scaled to a share of the capacity.
func (b *testbed) workloadAt(share float64) load.Workload {
	w := b.work
	perSecond, _, _ := w.CompletionRate()
	w.Load = share * b.capacity / perSecond
	w.Duration = time.Duration(b.settings.Seconds) * time.Second
	return w
}

// cpuSeconds returns the total CPU time of all hosts in seconds.
func (b *testbed) cpuSeconds() (float64, error) {
	sum := 0.0
	for _, h := range b.fleet.Hosts {
		v, err := metric(h.AdminAddr, "process_cpu_seconds_total")
		if err != nil {
			return 0, fmt.Errorf("host %s: %w", h.ID, err)
		}
		sum += v
	}
	return sum, nil
}

func metric(addr, name string) (float64, error) {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fmt.Errorf("metric %s is missing", name)
}

// injectFailure crashes an engine, a host or a whole failure domain.
func (b *testbed) injectFailure(what string) {
	domain := b.plan.Domains[0]
	switch what {
	case "engine":
		for _, e := range b.fleet.Deployment.Engines {
			if e.Info().Domain == domain && e.Info().Role == "decode" {
				e.Crash()
				return
			}
		}
	case "host":
		b.fleet.Hosts[0].Kill()
	case "domain":
		b.crashDomain(domain)
	}
}

func (b *testbed) crashDomain(domain ident.FailureDomain) {
	for _, e := range b.fleet.Deployment.Engines {
		if e.Info().Domain == domain {
			e.Crash()
		}
	}
	for _, s := range b.fleet.Deployment.Services {
		if s.Info().Domain == domain {
			s.Crash()
		}
	}
	for _, h := range b.fleet.Hosts {
		if h.Domain == domain {
			h.Kill()
		}
	}
}
