package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
)

// runDeployment runs the selected experiments on one deployment.
func runDeployment(s settings, name string) ([]Round, error) {
	var all []Round
	addRound := func(r Round, err error) error {
		if err == nil {
			r.print()
			all = append(all, r)
		}
		return err
	}
	if s.selected("direct") || s.selected("loads") {
		if err := steadyLoads(s, name, addRound); err != nil {
			return all, err
		}
	}
	if s.selected("losses") {
		for _, what := range []string{"engine", "host", "domain"} {
			if err := addRound(measureLoss(s, name, what)); err != nil {
				return all, err
			}
		}
	}
	if s.selected("limited") {
		if err := measureLimited(s, name, addRound); err != nil {
			return all, err
		}
	}
	return all, nil
}

// steadyLoads measures the latency added by the router and the loads that are not
// rate-limited.
func steadyLoads(s settings, name string, addRound func(Round, error) error) error {
	b, err := startTestbed(s, name, unlimitedRates)
	if err != nil {
		return err
	}
	defer b.close()
	if s.selected("direct") {
		if err := addRound(b.compareDirect()); err != nil {
			return err
		}
	}
	if !s.selected("loads") {
		return nil
	}
	idle, err := b.idleCPU()
	if err != nil {
		return err
	}
	for _, share := range []float64{0.7, 0.9, 1.0, 1.3} {
		r, err := b.measure(fmt.Sprintf("load %.1f", share), b.workloadAt(share), idle)
		if err := addRound(r, err); err != nil {
			return err
		}
	}
	return nil
}

// idleCPU returns the CPU seconds that all hosts use per second without requests.
func (b *testbed) idleCPU() (float64, error) {
	const wait = 3 * time.Second
	before, err := b.cpuSeconds()
	if err != nil {
		return 0, err
	}
	time.Sleep(wait)
	after, err := b.cpuSeconds()
	return (after - before) / wait.Seconds(), err
}

// measure runs a load and reports its metrics, compared with an ideal scheduler.
func (b *testbed) measure(name string, w load.Workload, idle float64) (Round, error) {
	r := newRound(b.name, name)
	before, err := b.cpuSeconds()
	if err != nil {
		return r, err
	}
	begin := time.Now()
	o := b.run(w, func() {})
	sum, results := o.summary, o.results
	seconds := time.Since(begin).Seconds()
	after, err := b.cpuSeconds()
	if err != nil {
		return r, err
	}
	tokens := 0
	for _, x := range results {
		tokens += x.Tokens
	}
	best := ideal(o.work, b.plan, load.DefaultTargets().FirstToken)
	r.set("good %", 100*sum.GoodShare)
	r.set("ideal %", 100*best)
	r.set("good/ideal", sum.GoodShare/best)
	r.set("goodput/s", sum.Goodput)
	r.set("wasted prefill %", 100*sum.Wasted.Share)
	r.set("worst/mean", sum.WorstServed)
	r.set("wrongly refused %", 100*sum.WronglyRefused)
	r.set("first token p95 ms", millis(sum.FirstToken.P95))
	r.set("first token p99 ms", millis(sum.FirstToken.P99))
	r.set("inter-token p95 ms", millis(sum.InterToken.P95))
	r.set("broken", float64(sum.Completions.Broken))
	r.set("wrong", float64(sum.Completions.Wrong))
	r.set("router µs per token", 1e6*(after-before)/float64(max(1, tokens)))
	r.set("idle % of a core per host", 100*idle/float64(len(b.fleet.Hosts)))
	r.set("router cores", (after-before)/seconds)
	for code, n := range sum.Codes {
		r.set("code "+code, float64(n))
	}
	return r, b.writeResults(name, o)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// lossDuration is the length of a run with a failure halfway. It leaves the 6 s after
// the failure in which recovery is measured.
const lossDuration = 16 * time.Second

// recoverWindow is the window over which goodput is averaged to detect recovery.
const recoverWindow = time.Second

// measureLoss runs a load of 0.7 of the capacity and crashes a part halfway. Recovery
// is the time until the goodput of the arrivals in each second stays at 0.9 or more of
// what the remaining capacity allows.
func measureLoss(s settings, name, what string) (Round, error) {
	r := newRound(name, "loss of one "+what)
	b, err := startTestbed(s, name, unlimitedRates)
	if err != nil {
		return r, err
	}
	defer b.close()
	w := b.workloadAt(0.7)
	var lostAt time.Time
	w.Duration = lossDuration
	o := b.run(w, func() {
		lostAt = time.Now()
		b.injectFailure(what)
	})
	sum, results := o.summary, o.results
	remaining := 1.0
	if what == "domain" {
		n := float64(len(b.plan.Domains))
		remaining = min(1, (n-1)/n/0.7)
	}
	r.set("recovery s", recovery(results, lostAt, 0.9*remaining))
	before, during, after := window(results, lostAt, -3, 0), window(results, lostAt, 0, 3), window(results, lostAt, 3, 6)
	r.set("good % before", 100*before)
	r.set("good % 0-3 s after", 100*during)
	r.set("good % 3-6 s after", 100*after)
	r.set("broken", float64(sum.Completions.Broken))
	r.set("denied", float64(sum.Completions.Denied))
	r.set("requests", float64(sum.Completions.Requests))
	r.set("wasted prefill %", 100*sum.Wasted.Share)
	for code, n := range sum.Codes {
		r.set("code "+code, float64(n))
	}
	return r, b.writeResults("loss-"+what, o)
}

// recovery returns the shortest time after the failure, in seconds, from which every
// window of arrivals has at least the wanted share of good answers, or -1 if there is
// none.
func recovery(results []load.Result, lost time.Time, want float64) float64 {
	const step = 0.1
	best := -1.0
	for t := 5.0; t >= 0; t -= step {
		if window(results, lost, t, t+recoverWindow.Seconds()) < want {
			break
		}
		best = t
	}
	return best
}

// window returns the share of good answers among the completions sent between from
// and to, in seconds after the failure.
func window(results []load.Result, lost time.Time, from, to float64) float64 {
	good, all := 0, 0
	for _, x := range results {
		at := x.Sent.Sub(lost).Seconds()
		if x.Arrival.Call != nil || x.Outcome == record.Abandoned || at < from || at >= to {
			continue
		}
		all++
		if isGood(x) {
			good++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(good) / float64(all)
}

func isGood(x load.Result) bool {
	t := load.DefaultTargets()
	inter := time.Duration(0)
	if x.Tokens > 1 {
		inter = (x.Last - x.First) / time.Duration(x.Tokens-1)
	}
	return x.Outcome == record.Answered && !x.Mismatch() && x.First <= t.FirstToken && inter <= t.InterToken
}

// measureLimited runs rate-limited loads on a fleet where the organisations' rates add
// up to 0.7 of the capacity: all organisations just below their rates, then one of them
// at four times that, then a peak of all.
func measureLimited(s settings, name string, addRound func(Round, error) error) error {
	b, err := startTestbed(s, name, 0.7)
	if err != nil {
		return err
	}
	defer b.close()
	w := b.work
	w.Duration = time.Duration(s.Seconds) * time.Second
	w.Load = 0.9
	r, err := b.measure("all at 0.9 of their rates", w, 0)
	if err := addRound(r, err); err != nil {
		return err
	}
	time.Sleep(bucketFillTime)
	greedy := w
	greedy.Organisations = slices.Clone(w.Organisations)
	if err := greedy.SetFactor(greedy.Organisations[2].Name, 4); err != nil {
		return err
	}
	r, err = b.measure("one organisation at 3.6 of its rate", greedy, 0)
	if err := addRound(r, err); err != nil {
		return err
	}
	time.Sleep(bucketFillTime)
	w.Load = 0.6
	w.Peak = load.Peak{From: w.Duration / 3, To: 2 * w.Duration / 3, Factor: 2.5}
	r, err = b.measure("peak of 1.5 of the rates for a third of the time", w, 0)
	return addRound(r, err)
}
