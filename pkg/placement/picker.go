package placement

import (
	"math/rand/v2"
	"time"
)

// picker chooses among scored candidates. Ties are broken at random, so that
// owners without load information do not all pick the same engine.
type picker struct {
	rng *rand.Rand
}

func newPicker(seed uint64) picker {
	return picker{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// minChoice selects the candidate with the lowest score in one pass. Among equal
// scores it samples uniformly (reservoir sampling).
type minChoice struct {
	rng   *rand.Rand
	best  time.Duration
	equal int
}

func (p picker) newChoice() minChoice { return minChoice{rng: p.rng} }

// consider reports whether the candidate with this score becomes the choice.
func (c *minChoice) consider(score time.Duration) bool {
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

// lessLoadedOfTwo draws two of n indexes at random and returns the one with the
// lower load.
func (p picker) lessLoadedOfTwo(n int, load func(i int) float64) int {
	a := p.rng.IntN(n)
	b := p.rng.IntN(n)
	if load(b) < load(a) {
		return b
	}
	return a
}
