package main

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/load"
)

// ideal returns the share of completions that an ideal scheduler answers in time. It
// knows the state of every engine, has no network delay, serves in order of arrival,
// caches every shared prefix and skips requests that cannot meet the target. Requests
// cancelled by their caller use capacity but do not count.
func ideal(w load.Workload, plan fake.Plan, target time.Duration) float64 {
	t := fake.DefaultTiming()
	prefills := make([]time.Duration, len(plan.Domains)*plan.Prefills)
	decodes := make([]time.Duration, len(plan.Domains)*plan.Decodes*decodeSlots)
	good, all := 0, 0
	for _, a := range w.Arrivals() {
		if a.Call != nil {
			continue
		}
		if a.CancelAfter == 0 {
			all++
		}
		p, d := earliest(prefills), earliest(decodes)
		tokens := a.Prompt
		if a.Prefix >= 0 {
			tokens -= w.PrefixTokens
		}
		transfer := time.Duration(float64(int64(a.Prompt)*t.KVBytesPerToken) / float64(t.LinkRate) * float64(time.Second))
		done := max(a.At, prefills[p]) + time.Duration(tokens)*t.PrefillPerToken
		begin := max(done+transfer, decodes[d])
		step := t.DecodeBase + time.Duration(busy(decodes, begin)*decodeSlots/len(decodes))*t.DecodePerSlot
		if begin+step-a.At > target {
			continue
		}
		prefills[p] = done
		output := a.MaxTokens
		if a.Stop > 0 {
			output = min(output, a.Stop)
		}
		if a.CancelAfter > 0 {
			output = min(output, a.CancelAfter)
		}
		decodes[d] = begin + time.Duration(output)*step
		if a.CancelAfter == 0 {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// decodeSlots is the batch size of the fake decode engines.
const decodeSlots = 20

func earliest(ends []time.Duration) int { return slices.Index(ends, slices.Min(ends)) }

func busy(ends []time.Duration, at time.Duration) int {
	n := 0
	for _, e := range ends {
		if e > at {
			n++
		}
	}
	return n
}
