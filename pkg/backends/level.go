package backends

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// candidate is a server that may get a request, and how full it is known to be.
type candidate struct {
	*server
	cost float64
}

// spread picks one of the candidates although other hosts have placed requests that this
// host has not heard of. If all hosts took the server that looks emptiest, they would take
// the same one until the next news of its load. Assuming that the unseen requests fill
// the emptiest servers to one level, each server is picked with the probability that
// brings all of them there (M. Dahlin, "Interpreting Stale Load Information", IEEE
// TPDS 11(10), 2000: Basic LI). unseen is their sum in the unit of the costs. Without
// unseen requests it is the emptiest server, and one at random among equals.
func spread(rng *rand.Rand, all []candidate, unseen float64) (candidate, bool) {
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

// waterLevel returns the cost that sorted candidates have in common once an amount has
// been shared out to the emptiest ones, and the number of those.
func waterLevel(sorted []candidate, amount float64) (level float64, filled int) {
	sum := 0.0
	for filled < len(sorted) && (filled == 0 || level > sorted[filled].cost) {
		sum += sorted[filled].cost
		filled++
		level = (amount + sum) / float64(filled)
	}
	return level, filled
}
