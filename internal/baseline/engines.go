package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// Costs and sizes of the fake engines. They differ from the router's defaults on
// purpose, so that the router has to learn them.
const (
	engineSlots     = 20
	prefillFixed    = 3 * time.Millisecond
	prefillPerToken = 32 * time.Microsecond
	linkPerToken    = 12 * time.Microsecond
	cachedBlocks    = 300
	stepBase        = 18 * time.Millisecond
	stepPerStream   = 500 * time.Microsecond
)

func prefillTime(tokens int) time.Duration {
	return prefillFixed + time.Duration(tokens)*prefillPerToken
}

// stepTime is the time between tokens in a batch of n streams.
func stepTime(n int) time.Duration {
	return stepBase + time.Duration(n)*stepPerStream
}

// outcome is how a call to an engine ended.
type outcome int

const (
	done outcome = iota
	full
	broken
)

// fakeEngine processes prefills one at a time, or decode streams in one batch.
type fakeEngine struct {
	loop     *loop
	info     engine.Info
	dead     bool
	sequence uint64

	queue       []*prefillCall
	busy        bool
	prefillBusy time.Duration // total time spent on prefills
	cache       []uint64      // least recently used first
	events      []engine.CacheEvent
	linkFree    time.Duration

	streams      []*stream
	imports      map[ident.BackendRef]*stream // transfers in progress
	advancedAt   time.Duration                // time of the last advance
	timerVersion int                          // incremented when the batch changes; invalidates older timers
}

type prefillCall struct {
	ref    ident.BackendRef
	tokens int
	prefix []uint64
	onEnd  func(outcome, time.Duration)
}

type stream struct {
	ref          ident.BackendRef
	total        float64
	remaining    float64 // tokens
	started      bool
	onFirstToken func()
	onEnd        func(o outcome, sent int)
}

// prefill queues a prompt; c.onEnd receives the outcome and the time spent on it.
func (e *fakeEngine) prefill(c *prefillCall) {
	switch {
	case e.dead:
		c.onEnd(broken, 0)
	case len(e.queue) >= e.info.Slots:
		c.onEnd(full, 0)
	default:
		e.queue = append(e.queue, c)
		e.startNext()
	}
}

func (e *fakeEngine) startNext() {
	if e.busy || len(e.queue) == 0 {
		return
	}
	e.busy = true
	c := e.queue[0]
	hit := min(e.prefixHit(c.prefix)*placement.BlockTokens, c.tokens-1)
	d := prefillTime(c.tokens - hit)
	e.loop.after(d, func() {
		e.busy = false
		if e.dead {
			return
		}
		e.queue = e.queue[1:]
		e.prefillBusy += d
		e.cachePrefix(c.prefix)
		c.onEnd(done, d)
		e.startNext()
	})
}

// prefixHit returns the number of leading blocks that are cached.
func (e *fakeEngine) prefixHit(prefix []uint64) int {
	for i, b := range prefix {
		if !slices.Contains(e.cache, b) {
			return i
		}
	}
	return len(prefix)
}

// cachePrefix stores blocks in the cache and evicts the least recently used ones.
func (e *fakeEngine) cachePrefix(prefix []uint64) {
	for _, b := range prefix {
		if at := slices.Index(e.cache, b); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
		} else {
			e.addCacheEvent(b, true)
		}
		e.cache = append(e.cache, b)
	}
	for len(e.cache) > cachedBlocks {
		e.addCacheEvent(e.cache[0], false)
		e.cache = e.cache[1:]
	}
}

func (e *fakeEngine) addCacheEvent(block uint64, stored bool) {
	e.sequence++
	e.events = append(e.events, engine.CacheEvent{Sequence: e.sequence, Block: block, Stored: stored})
}

// decode transfers a KV cache over the engine's link, then starts a stream.
func (e *fakeEngine) decode(tokens int, s *stream) {
	if e.dead {
		s.onEnd(broken, 0)
		return
	}
	if len(e.streams)+len(e.imports) >= e.info.Slots {
		s.onEnd(full, 0)
		return
	}
	e.imports[s.ref] = s
	e.linkFree = max(e.linkFree, e.loop.now) + time.Duration(tokens)*linkPerToken
	e.loop.at(e.linkFree, func() {
		if e.dead || e.imports[s.ref] != s {
			return
		}
		delete(e.imports, s.ref)
		e.advance()
		e.streams = append(e.streams, s)
		e.schedule()
	})
}

// advance updates the progress of all streams to the current time.
func (e *fakeEngine) advance() {
	steps := float64(e.loop.now-e.advancedAt) / float64(stepTime(len(e.streams)))
	e.advancedAt = e.loop.now
	for _, s := range e.streams {
		s.remaining -= steps
	}
}

// deliverDue reports the first tokens and stream ends that are due.
func (e *fakeEngine) deliverDue() {
	const rounding = 1e-6
	e.advance()
	var ended []*stream
	kept := e.streams[:0]
	for _, s := range e.streams {
		if !s.started && s.remaining <= s.total-1+rounding {
			s.started = true
			s.onFirstToken()
		}
		if s.remaining <= rounding {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	e.schedule()
	for _, s := range ended {
		s.onEnd(done, int(s.total))
	}
}

// schedule sets the timer for the next first token or stream end.
func (e *fakeEngine) schedule() {
	e.timerVersion++
	if len(e.streams) == 0 {
		return
	}
	version := e.timerVersion
	next := e.streams[0].remaining
	for _, s := range e.streams {
		next = min(next, s.remaining)
		if !s.started {
			next = min(next, s.remaining-s.total+1)
		}
	}
	wait := time.Duration(max(0, next) * float64(stepTime(len(e.streams))))
	e.loop.after(wait+time.Microsecond, func() {
		if version == e.timerVersion && !e.dead {
			e.deliverDue()
		}
	})
}

// cancel releases the import or stream of an attempt; a stream ends as broken.
func (e *fakeEngine) cancel(ref ident.BackendRef) {
	delete(e.imports, ref)
	e.advance()
	at := slices.IndexFunc(e.streams, func(s *stream) bool { return s.ref == ref })
	if at < 0 {
		return
	}
	s := e.streams[at]
	e.streams = slices.Delete(e.streams, at, at+1)
	e.schedule()
	s.onEnd(broken, max(0, int(s.total-s.remaining)))
}

// crash stops the engine and ends all its calls as broken.
func (e *fakeEngine) crash() {
	e.advance()
	e.dead = true
	var lost []*stream
	for _, s := range e.imports {
		lost = append(lost, s)
	}
	lost = append(lost, e.streams...)
	slices.SortFunc(lost, func(a, b *stream) int { return cmp.Compare(a.ref.Request, b.ref.Request) })
	for _, s := range lost {
		s.onEnd(broken, max(0, int(s.total-s.remaining)))
	}
	for _, c := range e.queue {
		c.onEnd(broken, 0)
	}
	e.queue, e.streams, e.imports = nil, nil, nil
}

func (e *fakeEngine) report() engine.Report {
	e.sequence++
	r := engine.Report{
		ID:       e.info.ID,
		Sequence: e.sequence,
		Start:    1,
		Role:     e.info.Role,
		Model:    e.info.Model,
		Version:  e.info.Version,
		Slots:    e.info.Slots,
		Running:  len(e.streams) + len(e.imports),
		Queued:   len(e.queue),
	}
	for _, s := range e.streams {
		r.Held = append(r.Held, engine.HeldRequest{Ref: s.ref})
	}
	for ref := range e.imports {
		r.Held = append(r.Held, engine.HeldRequest{Ref: ref})
	}
	for _, c := range e.queue {
		r.Held = append(r.Held, engine.HeldRequest{Ref: c.ref})
	}
	slices.SortFunc(r.Held, func(a, b engine.HeldRequest) int { return cmp.Compare(a.Ref.Request, b.Ref.Request) })
	return r
}

// takeEvents returns the cache events since the last call.
func (e *fakeEngine) takeEvents() []engine.CacheEvent {
	evs := e.events
	e.events = nil
	return evs
}
