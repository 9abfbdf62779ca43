package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Each pair is one request through the router and one directly to the engines, with
// prompts of the same length. The first warmPairs open connections and do not count.
const (
	pairs       = 300
	pairPrompt  = 500
	pairOutput  = 2
	warmPairs   = 20
	pairSpacing = 20 * time.Millisecond
)

// compareDirect compares the time to the first token through the router with that of
// a client that calls the engines directly. Requests alternate one at a time, so that
// both ways see the same machine load. Callers connect to the router without the
// simulated network delay.
func (b *testbed) compareDirect() (Round, error) {
	r := newRound(b.name, "router's addition, idle fleet")
	var p, d *fake.Engine
	for _, e := range b.fleet.Deployment.Engines {
		switch {
		case e.Info().Role == engine.Prefill && p == nil:
			p = e
		case e.Info().Role == engine.Decode && d == nil:
			d = e
		}
	}
	prefill, decode := enginehttp.New(p.Info().Addr, enginehttp.Options{}), enginehttp.New(d.Info().Addr, enginehttp.Options{})
	defer prefill.Close()
	defer decode.Close()
	callers := make([]*load.Client, 0, len(b.fleet.Hosts))
	for _, h := range b.fleet.Hosts {
		c := load.NewClient(h.CallerAddr, 10*time.Second)
		defer c.Close()
		callers = append(callers, c)
	}
	var routed, direct, added []float64
	for i := range pairs {
		one, err := b.viaRouter(i, callers[i%len(callers)])
		if err != nil {
			return r, err
		}
		two, err := b.viaEngines(i, prefill, decode, p, d)
		if err != nil {
			return r, err
		}
		if i < warmPairs {
			continue // warm-up, opens connections
		}
		routed, direct, added = append(routed, one), append(direct, two), append(added, one-two)
	}
	for _, q := range []int{50, 95, 99} {
		r.set(fmt.Sprintf("routed p%d ms", q), quantile(routed, q))
		r.set(fmt.Sprintf("direct p%d ms", q), quantile(direct, q))
		r.set(fmt.Sprintf("added p%d ms", q), quantile(routed, q)-quantile(direct, q))
	}
	r.set("pairwise p50 ms", quantile(added, 50))
	return r, nil
}

func quantile(v []float64, q int) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, len(s)*q/100)]
}

func (b *testbed) pairWorkload(i int) load.Workload {
	w := b.work
	w.Seed = b.settings.Seed*100_000 + uint64(i)
	return w
}

func (b *testbed) viaRouter(i int, c *load.Client) (float64, error) {
	results := c.SendCompletion(context.Background(), b.pairWorkload(i), load.Arrival{Prompt: pairPrompt, MaxTokens: pairOutput, Prefix: -1})
	time.Sleep(pairSpacing)
	if results.Tokens == 0 {
		return 0, fmt.Errorf("routed request %d got no token: status %d, code %s", i, results.Status, results.Code)
	}
	return float64(results.First.Microseconds()) / 1000, nil
}

func (b *testbed) viaEngines(i int, prefill, decode *enginehttp.Client, p, d *fake.Engine) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w := b.pairWorkload(i)
	prompt := w.Prompt(load.Arrival{Index: 1, Prompt: pairPrompt, Prefix: -1})
	ref := ident.BackendRef{Request: ident.NewRequestID(ident.Process{Host: "direct", Incarnation: 1}, uint64(i)), Attempt: 1}
	begin := time.Now()
	pi, di := p.Info(), d.Info()
	pr, err := prefill.Prefill(ctx, engine.PrefillRequest{Ref: ref, Model: pi.Model, Version: pi.Version, Prompt: prompt})
	if err != nil {
		return 0, err
	}
	if _, err := decode.Import(ctx, engine.ImportRequest{Ref: ref, Model: di.Model, Version: di.Version, Source: pi.Addr, Checksum: pr.Checksum, Bytes: pr.Bytes}); err != nil {
		return 0, err
	}
	first := 0.0
	err = decode.Decode(ctx, engine.DecodeRequest{Ref: ref, Model: di.Model, Version: di.Version, MaxTokens: pairOutput}, func(c engine.Chunk) error {
		if first == 0 && len(c.Tokens) > 0 {
			first = float64(time.Since(begin).Microseconds()) / 1000
		}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("decode without the router: %w", err)
	}
	_ = prefill.Cancel(ctx, ref)
	_ = decode.Cancel(ctx, ref)
	time.Sleep(pairSpacing)
	return first, nil
}
