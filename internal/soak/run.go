package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Times of a run.
const (
	warmUp        = 1500 * time.Millisecond // load before the first fault
	pairInterval  = 500 * time.Millisecond  // between the faults of a pair
	faultDuration = 4 * time.Second         // until the repair, above the 3 s of failure detection
	coolDown      = 1500 * time.Millisecond // load after the repair
	// propagationBound is the limit of docs/design.md for recalls, leaving servers,
	// withdrawn keys and configurations to take effect.
	propagationBound = 6 * time.Second
	// callerTimeout is far above the duration of any request; a caller that reaches it
	// got neither an answer nor a refusal.
	callerTimeout = 20 * time.Second
)

// unanswered is the pseudo-invariant of calls that got neither an answer nor a refusal.
// They break the first guarantee of docs/design.md but none of its invariants.
const unanswered = 0

// run is one seeded run.
type run struct {
	*cluster
	seed           uint64
	rng            *rand.Rand
	cfg            checker.Config
	callers        *record.Log
	load           load.Workload
	rules          string // rules as the faults of the run have published them
	midRunRevision ident.Revision

	targeted        map[string]bool // targets of the faults so far
	outages         []checker.Outage
	extraViolations []checker.Violation // found by the run itself, not by the checker
	repairs         []func() error
	lastingRepairs  []func() error // repairs that wait for the end of the load
}

// Outcome is the result of a run.
type Outcome struct {
	Seed       uint64
	Faults     []string
	Domains    int
	Violations []checker.Violation
	Requests   int
	Answered   int
	Duration   time.Duration
	Err        error // failure of the harness, or a fleet that did not recover
	records    []record.Record
}

// workload is the mixed load of a run, with short prompts so that many requests
// fit into its few seconds.
func workload(seed uint64, duration time.Duration) load.Workload {
	w := load.Bagmati()
	for i := range w.Organisations {
		w.Organisations[i].Prompt.Max = min(w.Organisations[i].Prompt.Max, 3000)
	}
	_ = w.SetFactor("kathmandu-clips", 4) // sends four times its rate limit
	w.Calls = []load.Call{
		{Path: "/counter/refunds", NonIdempotent: true, PerSec: 5},
		{Path: "/counter/returns", NonIdempotent: true, NoIdempotencyKey: true, PerSec: 5},
		{Path: "/counter/balances", PerSec: 5},
		{Path: "/counter/hours", Open: true, PerSec: 3},
	}
	w.Duration = duration
	w.CancelShare = 0.1
	w.UnstreamedShare = 0.3
	w.Seed = seed
	return w
}

func newRun(c *cluster, seed uint64) *run {
	w := workload(seed, 0)
	x := &run{
		cluster:  c,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		cfg:      w.CheckConfig(),
		callers:  &record.Log{},
		rules:    c.rules,
		targeted: map[string]bool{},
	}
	x.cfg.OpenRoutes = []string{"/counter/hours"}
	x.cfg.LeaveBound = propagationBound
	for _, h := range c.Hosts {
		x.cfg.Hosts = append(x.cfg.Hosts, h.ID)
	}
	return x
}

// execute performs one run with the given faults. The cluster can be reused if the
// outcome has no error.
func execute(c *cluster, seed uint64, faults []Fault) Outcome {
	out := Outcome{Seed: seed, Domains: len(c.Deployment.Plan.Domains)}
	duration := warmUp + faultDuration + coolDown
	for _, f := range faults {
		out.Faults = append(out.Faults, f.Name)
		if f.Lasting {
			duration = warmUp + propagationBound + 2*time.Second
		}
	}
	if len(faults) > 1 {
		duration += pairInterval
		if slices.ContainsFunc(faults, func(f Fault) bool { return f.Lasting }) {
			duration += faultDuration // the other fault may delay propagation
		}
	}
	begin := time.Now()
	x := newRun(c, seed)
	x.load = workload(seed, duration)
	from := uint64(len(c.Deployment.Log.All()))
	results, err := x.runUnderLoad(faults)
	out.Duration = time.Since(begin)
	out.Requests = len(results)
	for _, r := range results {
		if r.Outcome == record.Answered {
			out.Answered++
		}
	}
	x.checkUnanswered(results)
	records := append(c.Deployment.Log.After(from), x.callers.All()...)
	x.extendBounds()
	out.Violations = append(x.extraViolations, checker.Check(records, x.cfg)...)
	out.Err = err
	if out.Failed() {
		out.records = records
	}
	return out
}

// runUnderLoad sends the load, injects and repairs the faults and waits until the fleet
// is idle.
func (x *run) runUnderLoad(faults []Fault) ([]load.Result, error) {
	watch := load.NewWatch(x.callers)
	cfg := load.Config{Timeout: callerTimeout, Log: x.callers, Watch: watch}
	var admins []load.Host
	for _, h := range x.Hosts {
		cfg.Hosts = append(cfg.Hosts, load.Host{ID: h.ID, Addr: h.CallerAddr})
		admins = append(admins, load.Host{ID: h.ID, Addr: h.AdminAddr})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { watch.Run(ctx, admins, 100*time.Millisecond) })
	defer watching.Wait()
	defer cancel()

	var results []load.Result
	var loading sync.WaitGroup
	loading.Go(func() { results = load.Run(context.Background(), x.load, cfg) })
	time.Sleep(warmUp)
	for i, f := range faults {
		if i > 0 {
			time.Sleep(pairInterval)
		}
		f.inject(x)
	}
	x.midRunRevision = x.publish(x.rules + "# run " + fmt.Sprint(x.seed) + "\n")
	time.Sleep(faultDuration)
	err := x.repair(x.repairs)
	loading.Wait()
	if e := x.repair(x.lastingRepairs); err == nil {
		err = e
	}
	x.rules = x.cluster.rules
	last := x.publish(x.rules)
	if err == nil {
		err = x.waitIdle(last)
	}
	x.cfg.End = time.Now()
	return results, err
}

// repair undoes faults. The current outages end when all repairs are done.
func (x *run) repair(repairs []func() error) error {
	var first error
	for _, r := range repairs {
		if err := r(); err != nil && first == nil {
			first = err
		}
	}
	for _, p := range x.proxies() {
		p.CutFrom(nil)
	}
	now := time.Now()
	for _, o := range x.outages {
		if o.To.IsZero() {
			o.To = now
		}
		x.cfg.Outages = append(x.cfg.Outages, o)
	}
	x.outages = nil
	return first
}

// waitIdle waits until the engines hold no requests, all hosts have the last revision in
// force and the fleet is ready.
func (x *run) waitIdle(last ident.Revision) error {
	// Memory held longer than HoldBound is a violation that the checker finds in the
	// records, so this wait only has to be longer than the bound.
	limit := time.Now().Add(2 * x.cfg.HoldBound)
	for x.Deployment.Held() > 0 && time.Now().Before(limit) {
		time.Sleep(20 * time.Millisecond)
	}
	published := time.Now()
	for _, h := range x.Hosts {
		err := fleet.Await("revision at "+string(h.ID), func() bool {
			s, err := h.Status()
			return err == nil && s.Revision >= last
		})
		if err != nil {
			return fmt.Errorf("%w; its log: %s", err, tail(h.Log()))
		}
		if late := time.Since(published); late > propagationBound {
			x.addViolation(10, string(h.ID), fmt.Sprintf("revision %d in force only after %v", last, late))
		}
	}
	if err := x.WaitReady(); err != nil {
		return fmt.Errorf("fleet not ready after the repair: %s", tail(err.Error()))
	}
	return nil
}

// tail returns the last 4000 bytes of a log.
func tail(s string) string { return s[max(0, len(s)-4000):] }

func (x *run) addViolation(invariant int, subject, detail string) {
	x.extraViolations = append(x.extraViolations, checker.Violation{Invariant: invariant, Time: time.Now(), Subject: subject, Detail: detail})
}

// checkUnanswered reports the calls that ran into callerTimeout.
func (x *run) checkUnanswered(results []load.Result) {
	for _, r := range results {
		if r.Outcome == record.Abandoned && r.Arrival.CancelAfter == 0 {
			x.addViolation(unanswered, fmt.Sprint(r.Arrival.Index), fmt.Sprintf("no answer and no refusal in %v", callerTimeout))
		}
	}
}

// extendBounds adds the length of the longest outage, during which changes could not
// reach every host, to the bounds for leaving servers and withdrawn keys and, if a batch
// was recalled, for configurations.
func (x *run) extendBounds() {
	var longest time.Duration
	for _, o := range x.cfg.Outages {
		longest = max(longest, o.To.Sub(o.From))
	}
	x.cfg.LeaveBound += longest
	x.cfg.WithdrawBound += longest
	if len(x.cfg.Recalls) > 0 {
		x.cfg.ConfigBound += longest
	}
}

// Command returns the command that repeats a run.
func (o Outcome) Command() string {
	return fmt.Sprintf("make soak SEED=%d RUNS=1 FAULTS=%s DOMAINS=%d", o.Seed, strings.Join(o.Faults, "+"), o.Domains)
}
