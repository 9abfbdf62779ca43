// Command mulberryload sends an open-loop load to entry hosts, verifies every
// answer and writes the metrics that docs/design.md defines; see package load.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

type runCommand struct {
	Hosts       []string      `arg:"--hosts,required" help:"entry hosts as ip:port or id=ip:port"`
	Workload    string        `arg:"--workload" default:"bagmati" help:"bagmati or adwenpa"`
	Policy      string        `arg:"--policy" default:"default" help:"label of the run; the arrivals do not depend on it"`
	Seed        uint64        `arg:"--seed" default:"1"`
	Load        float64       `arg:"--load" default:"1" help:"offered load; at 1 the requests use the rates exactly"`
	OfCapacity  float64       `arg:"--of-capacity" help:"sets the load to this share of what the fake engines of the workload can complete"`
	RateScale   float64       `arg:"--rate-scale" default:"1" help:"factor on the rates of the organisations, as of mulberryfake"`
	Duration    time.Duration `arg:"--duration" default:"30s"`
	PeakFrom    time.Duration `arg:"--peak-from"`
	PeakTo      time.Duration `arg:"--peak-to"`
	PeakFactor  float64       `arg:"--peak-factor" help:"factor on the load during the peak"`
	Overload    []string      `arg:"--overload,separate" help:"organisation=factor on its load"`
	CancelShare *float64      `arg:"--cancel-share" help:"share of callers that disconnect before the end of the answer"`
	TimeScale   float64       `arg:"--time-scale" default:"1" help:"factor on arrival times and targets; rates of the rules stay per second"`
	Timeout     time.Duration `arg:"--timeout" default:"60s" help:"callers disconnect after this time"`
	Events      string        `arg:"--events" help:"admin address of mulberryfake; adds wasted prefill to the metrics and the records of the fakes to --check"`
	Out         string        `arg:"--out" help:"directory for text, JSON, CSV and plots"`
	Status      []string      `arg:"--status" help:"operator addresses of entry hosts as id=ip:port; requests go only to ready hosts, and --check verifies their revisions"`
	Check       bool          `arg:"--check" help:"check the invariants over the records; exit with an error on a violation"`
}

type compareCommand struct {
	Files []string `arg:"positional,required" help:"summary.json of runs with the same arrivals"`
}

type settings struct {
	Run     *runCommand     `arg:"subcommand:run" help:"send a load"`
	Compare *compareCommand `arg:"subcommand:compare" help:"print the metrics of several runs side by side"`
}

func (settings) Description() string {
	return "mulberryload sends an open-loop load to entry hosts and verifies every answer."
}

func main() {
	var s settings
	p := arg.MustParse(&s)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case s.Run != nil:
		err = s.Run.run(ctx, os.Stdout)
	case s.Compare != nil:
		err = s.Compare.run(os.Stdout)
	default:
		p.Fail("use run or compare")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulberryload:", err)
		os.Exit(1)
	}
}

var errViolations = errors.New("invariants violated")

func (c *runCommand) run(ctx context.Context, out io.Writer) error {
	w, err := c.workload()
	if err != nil {
		return err
	}
	log := &record.Log{}
	cfg := load.Config{TimeScale: c.TimeScale, Timeout: c.Timeout, Log: log, Hosts: parseHosts(c.Hosts)}
	before, err := c.fetchEvents(ctx, 0)
	if err != nil {
		return err
	}
	results := c.runLoad(ctx, w, cfg)
	engines, err := c.fetchEvents(ctx, uint64(len(before)))
	if err != nil {
		return err
	}
	targets := load.DefaultTargets().Scaled(c.TimeScale)
	s := load.Summarise(w, cfg, c.Policy, results, engines, targets)
	if err := load.WriteText(out, s); err != nil {
		return err
	}
	records := append(log.All(), engines...)
	if c.Out != "" {
		if err := load.WriteFiles(c.Out, w, s, results, records, targets); err != nil {
			return err
		}
	}
	if c.Check {
		return c.checkInvariants(out, w, records)
	}
	return nil
}

// runLoad runs a load while it polls the hosts for readiness and revision.
func (c *runCommand) runLoad(ctx context.Context, w load.Workload, cfg load.Config) []load.Result {
	watchCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	cfg.Watch = load.NewWatch(cfg.Log)
	wg.Go(func() { cfg.Watch.Run(watchCtx, parseHosts(c.Status), statusPollInterval) })
	return load.Run(ctx, w, cfg)
}

// statusPollInterval is the time between two status requests to a host. The time
// until a configuration is in force, as the checker measures it, includes up to
// one interval.
const statusPollInterval = 250 * time.Millisecond

func (c *runCommand) workload() (load.Workload, error) {
	w, err := load.Preset(c.Workload)
	if err != nil {
		return w, err
	}
	w.Seed, w.Load, w.Duration = c.Seed, c.Load, c.Duration
	w.ScaleRates(c.RateScale)
	if c.OfCapacity > 0 {
		plan, err := fake.PlanOf(c.Workload)
		if err != nil {
			return w, err
		}
		timing := fake.DefaultTiming()
		timing.Scale = c.TimeScale
		perSecond, prompt, output := w.CompletionRate()
		w.Load = c.OfCapacity * plan.Capacity(timing, prompt, output) * c.TimeScale / perSecond
	}
	w.Peak = load.Peak{From: c.PeakFrom, To: c.PeakTo, Factor: c.PeakFactor}
	if c.CancelShare != nil {
		w.CancelShare = *c.CancelShare
	}
	for _, o := range c.Overload {
		name, factor, _ := strings.Cut(o, "=")
		f, err := strconv.ParseFloat(factor, 64)
		if err != nil {
			return w, fmt.Errorf("overload %q: want organisation=factor", o)
		}
		if err := w.SetFactor(ident.Organisation(name), f); err != nil {
			return w, err
		}
	}
	return w, nil
}

func parseHosts(list []string) []load.Host {
	var out []load.Host
	for _, h := range list {
		id, addr, ok := strings.Cut(h, "=")
		if !ok {
			addr = id
		}
		out = append(out, load.Host{ID: ident.HostID(id), Addr: addr})
	}
	return out
}

// fetchEvents reads the records of the fakes after a sequence number. It returns nil
// if no address is set.
func (c *runCommand) fetchEvents(ctx context.Context, after uint64) ([]record.Record, error) {
	if c.Events == "" {
		return nil, nil
	}
	url := fmt.Sprintf("http://%s/fake/events?after=%d", c.Events, after)
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out []record.Record
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	return out, nil
}

func (c *runCommand) checkInvariants(out io.Writer, w load.Workload, records []record.Record) error {
	cfg := w.CheckConfig()
	for _, h := range parseHosts(c.Status) {
		cfg.Hosts = append(cfg.Hosts, h.ID)
	}
	vs := checker.Check(records, cfg)
	for _, v := range vs {
		_, _ = fmt.Fprintln(out, v)
	}
	_, _ = fmt.Fprintf(out, "%d records checked, %d violations\n", len(records), len(vs))
	if len(vs) > 0 {
		return errViolations
	}
	return nil
}

func (c *compareCommand) run(out io.Writer) error {
	var runs []load.Summary
	for _, f := range slices.Compact(c.Files) {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		var s load.Summary
		if err := json.Unmarshal(b, &s); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		runs = append(runs, s)
	}
	return load.WriteComparison(out, runs)
}
