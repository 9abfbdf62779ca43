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

// fillTime lets the buckets fill after the quarantine.
const fillTime = 15 * time.Second

// roomyRates makes the rates of the organisations exceed the capacity at every
// load in use, so that only placement decides.
const roomyRates = 2.0

// bench is a running fleet with its workload.
type bench struct {
	s       settings
	name    string
	plan    fake.Plan
	fleet   *fleet.Fleet
	proxies []*faultproxy.Proxy
	work    load.Workload // at load 1 with scaled rates
	top     float64       // capacity in requests a second
	seed    uint64
}

// callerDelay is the one-way delay between callers and entry hosts.
func callerDelay(name string) time.Duration {
	if name == "adwenpa" {
		return 3 * time.Millisecond
	}
	return time.Millisecond
}

// open starts a fleet whose organisations together have a rate of the given share
// of its capacity.
func open(s settings, name string, rates float64) (*bench, error) {
	plan, err := fake.PlanOf(name)
	if err != nil {
		return nil, err
	}
	w, err := load.Preset(name)
	if err != nil {
		return nil, err
	}
	perSecond, prompt, output := w.Requests()
	b := &bench{s: s, name: name, plan: plan, top: plan.Capacity(fake.DefaultTiming(), prompt, output), seed: s.Seed * 1000}
	scale := rates * b.top / perSecond
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
		p, err := faultproxy.New(h.Caller, 1)
		if err != nil {
			b.close()
			return nil, err
		}
		p.Set(faultproxy.Faults{Delay: callerDelay(name)})
		b.proxies = append(b.proxies, p)
	}
	time.Sleep(fillTime)
	return b, nil
}

func (b *bench) close() {
	for _, p := range b.proxies {
		p.Close()
	}
	b.fleet.Close()
}

func (b *bench) hosts() []load.Host {
	var out []load.Host
	for i, h := range b.fleet.Hosts {
		out = append(out, load.Host{ID: h.ID, Addr: b.proxies[i].Addr()})
	}
	return out
}

// admins returns the operator addresses, by which the load balancer knows which
// hosts are ready.
func (b *bench) admins() []load.Host {
	var out []load.Host
	for _, h := range b.fleet.Hosts {
		out = append(out, load.Host{ID: h.ID, Addr: h.Admin})
	}
	return out
}

// run sends a load and returns what the callers saw. mid is called in the middle.
func (b *bench) run(w load.Workload, mid func()) outcome {
	b.seed++
	w.Seed = b.seed
	log := &record.Log{}
	cfg := load.Config{Hosts: b.hosts(), Timeout: 20 * time.Second, Log: log, Watch: load.NewWatch(log)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go cfg.Watch.Run(ctx, b.admins(), 250*time.Millisecond)
	before := len(b.fleet.Deployment.Records())
	timer := time.AfterFunc(w.Duration/2, mid)
	defer timer.Stop()
	results := load.Run(ctx, w, cfg)
	engines := b.fleet.Deployment.Records()[before:]
	return outcome{
		work:    w,
		summary: load.Summarise(w, cfg, "default", results, engines, load.DefaultTargets()),
		results: results,
		engines: engines,
	}
}

// outcome is what a load gave.
type outcome struct {
	work    load.Workload
	summary load.Summary
	results []load.Result
	engines []record.Record
}

// keep writes the files of a run.
func (b *bench) keep(name string, o outcome) error {
	dir := filepath.Join(b.s.Out, b.name+"-"+strings.ReplaceAll(name, " ", "-"))
	return load.WriteFiles(dir, o.work, o.summary, o.results, o.engines, load.DefaultTargets())
}

// at returns the workload at a share of the capacity.
func (b *bench) at(share float64) load.Workload {
	w := b.work
	perSecond, _, _ := w.Requests()
	w.Load = share * b.top / perSecond
	w.Duration = time.Duration(b.s.Seconds) * time.Second
	return w
}

// cpu returns the processor seconds that all hosts have used.
func (b *bench) cpu() (float64, error) {
	sum := 0.0
	for _, h := range b.fleet.Hosts {
		v, err := metric(h.Admin, "process_cpu_seconds_total")
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

// lose crashes an engine, a host or a whole domain.
func (b *bench) lose(what string) {
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
		b.loseDomain(domain)
	}
}

func (b *bench) loseDomain(domain ident.FailureDomain) {
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
