package fake

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// maxEvents limits the number of cache events that an engine keeps.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt prefix blocks, most recently used first. Its
// events become visible after a delay, and some are lost. The engine's lock guards
// it.
type prefixCache struct {
	timing   Timing
	rng      *rand.Rand
	blocks   []uint64
	sequence uint64
	events   []delayedEvent
}

type delayedEvent struct {
	event   engine.CacheEvent
	visible time.Time
}

// lookupAndStore returns the number of leading blocks of a prompt that are cached,
// and then stores all of its blocks.
func (c *prefixCache) lookupAndStore(now time.Time, blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.has(blocks[hits]) {
		hits++
	}
	for _, b := range blocks {
		c.store(now, b)
	}
	return hits
}

func (c *prefixCache) has(block uint64) bool {
	for _, b := range c.blocks {
		if b == block {
			return true
		}
	}
	return false
}

func (c *prefixCache) store(now time.Time, block uint64) {
	known := false
	for i, b := range c.blocks {
		if b == block {
			c.blocks = append(c.blocks[:i], c.blocks[i+1:]...)
			known = true
			break
		}
	}
	c.blocks = append([]uint64{block}, c.blocks...)
	if !known {
		c.emit(now, block, true)
	}
	for len(c.blocks) > c.timing.CacheBlocks {
		last := c.blocks[len(c.blocks)-1]
		c.blocks = c.blocks[:len(c.blocks)-1]
		c.emit(now, last, false)
	}
}

// emit queues an event, or drops it by chance, which leaves a gap in the sequence.
func (c *prefixCache) emit(now time.Time, block uint64, stored bool) {
	c.sequence++
	if c.rng.Float64() < c.timing.EventLoss {
		return
	}
	c.events = append(c.events, delayedEvent{
		event:   engine.CacheEvent{Sequence: c.sequence, Block: block, Stored: stored},
		visible: now.Add(c.timing.scaled(c.timing.EventDelay)),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the visible events with a sequence greater than the given one.
func (c *prefixCache) after(now time.Time, sequence uint64) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && !e.visible.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
