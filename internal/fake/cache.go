package fake

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

// keptEvents bounds the cache events that an engine remembers.
const keptEvents = 4096

// prefixCache holds blocks of prompt prefixes in limited memory, last used first.
// Its events become visible late, and some are lost. Callers hold the engine's
// lock.
type prefixCache struct {
	timing   Timing
	rng      *rand.Rand
	blocks   []uint64
	sequence uint64
	events   []lateEvent
}

type lateEvent struct {
	event   engine.CacheEvent
	visible time.Time
}

// use returns how many blocks of a prompt are cached as a prefix, and stores all.
func (c *prefixCache) use(now time.Time, blocks []uint64) int {
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

// emit queues an event or loses it, which leaves a gap in the sequence.
func (c *prefixCache) emit(now time.Time, block uint64, stored bool) {
	c.sequence++
	if c.rng.Float64() < c.timing.EventLoss {
		return
	}
	c.events = append(c.events, lateEvent{
		event:   engine.CacheEvent{Sequence: c.sequence, Block: block, Stored: stored},
		visible: now.Add(c.timing.scaled(c.timing.EventDelay)),
	})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// after returns the visible events with a higher sequence.
func (c *prefixCache) after(now time.Time, sequence uint64) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && !e.visible.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
