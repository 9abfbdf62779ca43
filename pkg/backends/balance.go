package backends

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// candidate is an eligible server with its cost: its known load plus penalties.
type candidate struct {
	*server
	cost float64
}

// pickBalanced picks one of the candidates from load reports that are stale: other hosts
// have placed requests that they have not reported yet. If every host picked the least
// loaded server, all would pick the same one until the next report of its load. Assuming
// that the unseen requests fill the least loaded servers to one level, each server is
// picked with the probability that brings all of them to it (M. Dahlin, "Interpreting
// Stale Load Information", IEEE TPDS 11(10), 2000: Basic LI). unseen is the sum of these
// requests in the unit of the costs. If it is zero, the server with the lowest cost is
// picked, at random among equals.
func pickBalanced(rng *rand.Rand, all []candidate, unseen float64) (candidate, bool) {
	if len(all) == 0 {
		return candidate{}, false
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	if unseen <= 0 {
		equal := 1
		for equal < len(all) && all[equal].cost == all[0].cost {
			equal++
		}
		return all[rng.IntN(equal)], true
	}
	level, filled := waterLevel(all, unseen)
	at := rng.Float64() * unseen
	for _, c := range all[:filled] {
		if at -= level - c.cost; at < 0 {
			return c, true
		}
	}
	return all[filled-1], true
}

// waterLevel distributes amount over the candidates with the lowest costs so that they
// end at the same cost (water filling). It returns that cost and their number. The
// candidates must be sorted by cost.
func waterLevel(sorted []candidate, amount float64) (level float64, filled int) {
	sum := 0.0
	for filled < len(sorted) && (filled == 0 || level > sorted[filled].cost) {
		sum += sorted[filled].cost
		filled++
		level = (amount + sum) / float64(filled)
	}
	return level, filled
}
