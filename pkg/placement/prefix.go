package placement

import "github.com/mulberrystream/mulberrystream/pkg/engine"

// prefixCache is the owner's estimate of the prompt blocks that a prefill engine
// has cached. A wrong estimate only makes a prediction less accurate, so a gap in
// the events does not clear it; the oldest blocks are evicted.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]uint64 // latest position of each block in order
	order     []prefixEntry
	sequence  uint64
	position  uint64
}

type prefixEntry struct {
	block    uint64
	position uint64
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{maxBlocks: limit, blocks: map[uint64]uint64{}}
}

// cachedLength returns the number of leading blocks that are cached.
func (c *prefixCache) cachedLength(prefix []uint64) int {
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
	for len(c.blocks) > c.maxBlocks || len(c.order) > 2*c.maxBlocks {
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

// apply processes cache events of the engine and ignores repeated and late ones.
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
	*c = newPrefixCache(c.maxBlocks)
}
