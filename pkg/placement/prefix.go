package placement

import "github.com/mulberrystream/mulberrystream/pkg/engine"

// prefixCache is the owner's guess of the prompt blocks that a prefill engine has
// cached. A wrong guess costs an error of the prediction only, so a gap in the
// events does not clear it; old blocks age out.
type prefixCache struct {
	limit    int
	blocks   map[uint64]uint64 // block to its latest position in order
	order    []prefixEntry
	sequence uint64
	position uint64
}

type prefixEntry struct {
	block    uint64
	position uint64
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, blocks: map[uint64]uint64{}}
}

// hit returns how many leading blocks are cached.
func (c *prefixCache) hit(prefix []uint64) int {
	for i, b := range prefix {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(prefix)
}

func (c *prefixCache) add(block uint64) {
	c.position++
	c.blocks[block] = c.position
	c.order = append(c.order, prefixEntry{block, c.position})
	for len(c.blocks) > c.limit || len(c.order) > 2*c.limit {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	e := c.order[0]
	c.order = c.order[1:]
	if c.blocks[e.block] == e.position {
		delete(c.blocks, e.block)
	}
}

// apply takes events of the engine. Repeated and late ones are ignored.
func (c *prefixCache) apply(evs []engine.CacheEvent) {
	for _, ev := range evs {
		if ev.Sequence <= c.sequence {
			continue
		}
		c.sequence = ev.Sequence
		if ev.Stored {
			c.add(ev.Block)
		} else {
			delete(c.blocks, ev.Block)
		}
	}
}

func (c *prefixCache) reset() {
	*c = newPrefixCache(c.limit)
}
