package main

import (
	"github.com/mulberrystream/mulberrystream/internal/capacity"
)

// sweeps measures simulated domains with varying numbers of hosts, engines and
// organisations, and with varying bursts of the organisations, on which the token loans
// between hosts depend.
func (r *report) sweeps() {
	target := capacity.TargetDomain()
	small := target.WithHosts(8)
	hosts := r.sweep("hosts of the domain", []float64{8, 30, 90}, func(x float64) capacity.Shape {
		return target.WithHosts(int(x))
	})
	r.target = hosts[len(hosts)-1]
	r.sweep("engines of a domain of 8 hosts", []float64{56, 168, 504}, func(x float64) capacity.Shape {
		s := small
		s.Engines = int(x)
		return s
	})
	r.sweep("organisations, 8 hosts", []float64{10, 100, 410}, func(x float64) capacity.Shape {
		s := small
		s.Organisations = int(x)
		return s
	})
	r.sweep("burst in seconds of the rate, 8 hosts", []float64{15, 60, 240}, func(x float64) capacity.Shape {
		s := small
		s.Burst = x
		return s
	})
}

func (r *report) sweep(what string, x []float64, shape func(float64) capacity.Shape) []capacity.Sample {
	samples := make([]capacity.Sample, 0, len(x))
	for _, v := range x {
		s := shape(v)
		if _, ok := r.measured[s]; !ok {
			r.measured[s] = capacity.Measure(s)
		}
		samples = append(samples, r.measured[s])
	}
	r.header(what, x)
	for _, k := range kinds(samples) {
		r.row(k+", µs a step", x, values(samples, func(s capacity.Sample) float64 { return s.Kinds[k].PerStep() }), "%.1f")
		if sampled(samples, k) {
			r.row(k+", allocations", x, values(samples, func(s capacity.Sample) float64 { return s.Kinds[k].AllocsPerStep() }), "%.0f")
		}
	}
	for _, p := range parts(samples) {
		r.row(p+" messages/s", x, values(samples, func(s capacity.Sample) float64 { return s.Parts[p].Messages }), "%.1f")
		r.row(p+" B/s", x, values(samples, func(s capacity.Sample) float64 { return s.Parts[p].Bytes }), "%.0f")
	}
	r.row("all messages/s", x, values(samples, func(s capacity.Sample) float64 { return s.Usage.Messages }), "%.0f")
	r.row("all B/s, encoded", x, values(samples, func(s capacity.Sample) float64 { return s.Usage.Bytes }), "%.0f")
	r.row("deliveries/s", x, values(samples, func(s capacity.Sample) float64 { return s.Usage.Deliveries }), "%.0f")
	r.row("reducer, % of a core", x, values(samples, func(s capacity.Sample) float64 { return 100 * s.Usage.Core }), "%.2f")
	r.row("heap of a host, kB", x, values(samples, func(s capacity.Sample) float64 { return s.Heap / 1000 }), "%.0f")
	r.row("configuration change, B sent per host", x, values(samples, func(s capacity.Sample) float64 { return s.Change.Bytes }), "%.0f")
	r.row("configuration change, µs per host", x, values(samples, func(s capacity.Sample) float64 { return s.Change.Micros }), "%.0f")
	r.row("configuration change, s to all hosts", x, values(samples, func(s capacity.Sample) float64 { return s.Change.Within.Seconds() }), "%.2f")
	r.row("host list change, B sent per host", x, values(samples, func(s capacity.Sample) float64 { return s.List.Bytes }), "%.0f")
	r.row("host list change, s to all hosts", x, values(samples, func(s capacity.Sample) float64 { return s.List.Within.Seconds() }), "%.2f")
	r.row("refused, % of requests", x, values(samples, func(s capacity.Sample) float64 {
		return 100 * float64(s.Usage.Refused) / float64(max(1, s.Usage.Completed+s.Usage.Refused))
	}), "%.1f")
	return samples
}

func values(samples []capacity.Sample, f func(capacity.Sample) float64) []float64 {
	out := make([]float64, 0, len(samples))
	for _, s := range samples {
		out = append(out, f(s))
	}
	return out
}

// kinds returns the kinds of events that occur in all samples.
func kinds(samples []capacity.Sample) []string {
	return commonNames(samples, func(s capacity.Sample) []string { return capacity.SortedKeys(s.Kinds) })
}

// parts returns the parts of the protocol between hosts that occur in all samples.
func parts(samples []capacity.Sample) []string {
	return commonNames(samples, func(s capacity.Sample) []string { return capacity.SortedKeys(s.Parts) })
}

func commonNames(samples []capacity.Sample, names func(capacity.Sample) []string) []string {
	seen := map[string]int{}
	var out []string
	for _, s := range samples {
		for _, n := range names(s) {
			seen[n]++
			if seen[n] == len(samples) {
				out = append(out, n)
			}
		}
	}
	return out
}

// sampled reports whether the allocations of a kind were sampled in all samples.
func sampled(samples []capacity.Sample, kind string) bool {
	for _, s := range samples {
		if s.Kinds[kind].Sample == 0 {
			return false
		}
	}
	return true
}

// wire measures deliveries between hosts and polls of engines over loopback.
func (r *report) wire() error {
	r.header("messages in a delivery", []float64{1, 8, 64})
	if err := r.measureRow("delivery, µs of processor time, both ends", []float64{1, 8, 64}, func(x float64) (float64, error) {
		v, err := capacity.DeliveryCost(int(x), 3000)
		if x == 1 {
			r.deliverMicros = v
		}
		return v, err
	}); err != nil {
		return err
	}
	r.header("requests held by the engine", []float64{5, 20, 80})
	return r.measureRow("poll of an engine, µs of processor time, both ends", []float64{5, 20, 80}, func(x float64) (float64, error) {
		v, err := capacity.PollCost(int(x), 1000)
		if x == 20 {
			r.pollMicros = v
		}
		return v, err
	})
}

func (r *report) measureRow(name string, x []float64, f func(float64) (float64, error)) error {
	var y []float64
	for _, v := range x {
		m, err := f(v)
		if err != nil {
			return err
		}
		y = append(y, m)
	}
	r.row(name, x, y, "%.0f")
	return nil
}

// lists measures the host list of whole fleets.
func (r *report) lists() error {
	x := []float64{1200, 4000, 12_000}
	var wire, heap, micros, tick []float64
	for _, v := range x {
		c, err := capacity.MeasureList(int(v)*1700/12_000, int(v))
		if err != nil {
			return err
		}
		r.list = c
		wire, heap = append(wire, float64(c.Wire)), append(heap, c.Heap/1e6)
		micros, tick = append(micros, c.Micros), append(tick, c.Tick)
	}
	r.header("replicas of the fleet, with hosts in proportion", x)
	r.row("host list, B in CBOR", x, wire, "%.0f")
	r.row("heap of the list, MB", x, heap, "%.1f")
	r.row("step that takes a list, µs", x, micros, "%.0f")
	r.row("tick of one of 8 hosts while holding it, µs", x, tick, "%.1f")
	return nil
}

func (r *report) rules() error {
	x := []float64{10, 100, 410}
	var size, heap, micros []float64
	for _, v := range x {
		s, h, m, err := capacity.RulesCost(int(v))
		if err != nil {
			return err
		}
		size, heap, micros = append(size, float64(s)/1000), append(heap, h/1e6), append(micros, m)
		r.ruleBytes, r.ruleHeap, r.ruleMicros = float64(s), h, m
	}
	r.header("organisations, each allowed all 37 models", x)
	r.row("rules, kB", x, size, "%.0f")
	r.row("parsed rules, MB of heap", x, heap, "%.2f")
	r.row("parse, µs", x, micros, "%.0f")
	return nil
}

func (r *report) nodes() {
	x := []float64{100, 300, 1000}
	var y []float64
	for _, v := range x {
		y = append(y, capacity.IdleNodeHeap(int(v))/1000)
	}
	r.header("nodes in one process", x)
	r.row("kB of each, before its first tick", x, y, "%.1f")
}
