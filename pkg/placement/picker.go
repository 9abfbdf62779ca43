package placement

import (
	"math/rand/v2"
	"time"
)

// picker chooses among scored candidates. Equal scores are drawn at random, so
// that owners which know equally little do not all pick the same engine.
type picker struct {
	rng *rand.Rand
}

func newPicker(seed uint64) picker {
	return picker{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// choice is one running choice of the lowest score.
type choice struct {
	rng   *rand.Rand
	best  time.Duration
	equal int
}

func (p picker) begin() choice { return choice{rng: p.rng} }

// offer tells whether the candidate with this score is the choice so far.
func (c *choice) offer(score time.Duration) bool {
	switch {
	case c.equal == 0 || score < c.best:
		c.best = score
		c.equal = 1
		return true
	case score == c.best:
		c.equal++
		return c.rng.IntN(c.equal) == 0
	}
	return false
}

// two returns the index with the lower load of two that are drawn at random out
// of n.
func (p picker) two(n int, load func(i int) float64) int {
	a := p.rng.IntN(n)
	b := p.rng.IntN(n)
	if load(b) < load(a) {
		return b
	}
	return a
}
