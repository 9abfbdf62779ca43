package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// Costs of the fake engines. They differ from the defaults of the router, which
// has to learn them.
const (
	slots         = 20
	prefillFixed  = 3 * time.Millisecond
	prefillToken  = 32 * time.Microsecond
	linkPerToken  = 12 * time.Microsecond
	cachedBlocks  = 300
	stepBase      = 18 * time.Millisecond
	stepPerStream = 500 * time.Microsecond
)

func prefillTime(tokens int) time.Duration {
	return prefillFixed + time.Duration(tokens)*prefillToken
}

// stepTime is the time between tokens in a batch of n streams.
func stepTime(n int) time.Duration {
	return stepBase + time.Duration(n)*stepPerStream
}

// outcome says how a call to an engine ended.
type outcome int

const (
	done outcome = iota
	full
	broken
)

// fakeEngine serves prefills one after another, or decode streams in one batch.
type fakeEngine struct {
	loop     *loop
	info     engine.Info
	dead     bool
	sequence uint64

	queue    []*prefillCall
	busy     bool
	spent    time.Duration // on prefills
	cache    []uint64      // least recently used first
	events   []engine.CacheEvent
	linkFree time.Duration

	streams  []*stream
	importer map[ident.BackendRef]*stream // transfers in progress
	moved    time.Duration                // when the streams were last advanced
	version  int                          // of the batch, drops old timers
}

type prefillCall struct {
	ref    ident.BackendRef
	tokens int
	prefix []uint64
	end    func(outcome, time.Duration)
}

type stream struct {
	ref   ident.BackendRef
	total float64
	left  float64 // tokens
	begun bool
	first func()
	end   func(o outcome, sent int)
}

// prefill queues a prompt; end gets the time spent on it.
func (e *fakeEngine) prefill(c *prefillCall) {
	switch {
	case e.dead:
		c.end(broken, 0)
	case len(e.queue) >= e.info.Slots:
		c.end(full, 0)
	default:
		e.queue = append(e.queue, c)
		e.next()
	}
}

func (e *fakeEngine) next() {
	if e.busy || len(e.queue) == 0 {
		return
	}
	e.busy = true
	c := e.queue[0]
	hit := min(e.lookup(c.prefix)*placement.BlockTokens, c.tokens-1)
	d := prefillTime(c.tokens - hit)
	e.loop.after(d, func() {
		e.busy = false
		if e.dead {
			return
		}
		e.queue = e.queue[1:]
		e.spent += d
		e.store(c.prefix)
		c.end(done, d)
		e.next()
	})
}

func (e *fakeEngine) lookup(prefix []uint64) int {
	for i, b := range prefix {
		if !slices.Contains(e.cache, b) {
			return i
		}
	}
	return len(prefix)
}

func (e *fakeEngine) store(prefix []uint64) {
	for _, b := range prefix {
		if at := slices.Index(e.cache, b); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
		} else {
			e.event(b, true)
		}
		e.cache = append(e.cache, b)
	}
	for len(e.cache) > cachedBlocks {
		e.event(e.cache[0], false)
		e.cache = e.cache[1:]
	}
}

func (e *fakeEngine) event(block uint64, stored bool) {
	e.sequence++
	e.events = append(e.events, engine.CacheEvent{Sequence: e.sequence, Block: block, Stored: stored})
}

// decode imports a KV cache over the engine's link and starts a stream.
func (e *fakeEngine) decode(tokens int, s *stream) {
	if e.dead {
		s.end(broken, 0)
		return
	}
	if len(e.streams)+len(e.importer) >= e.info.Slots {
		s.end(full, 0)
		return
	}
	e.importer[s.ref] = s
	e.linkFree = max(e.linkFree, e.loop.now) + time.Duration(tokens)*linkPerToken
	e.loop.at(e.linkFree, func() {
		if e.dead || e.importer[s.ref] != s {
			return
		}
		delete(e.importer, s.ref)
		e.advance()
		e.streams = append(e.streams, s)
		e.schedule()
	})
}

// advance moves all streams to the present.
func (e *fakeEngine) advance() {
	steps := float64(e.loop.now-e.moved) / float64(stepTime(len(e.streams)))
	e.moved = e.loop.now
	for _, s := range e.streams {
		s.left -= steps
	}
}

// tick reports first tokens and ends that have been reached.
func (e *fakeEngine) tick() {
	const rounding = 1e-6
	e.advance()
	var ended []*stream
	kept := e.streams[:0]
	for _, s := range e.streams {
		if !s.begun && s.left <= s.total-1+rounding {
			s.begun = true
			s.first()
		}
		if s.left <= rounding {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	e.schedule()
	for _, s := range ended {
		s.end(done, int(s.total))
	}
}

// schedule sets the timer of the next first token or end.
func (e *fakeEngine) schedule() {
	e.version++
	if len(e.streams) == 0 {
		return
	}
	version := e.version
	next := e.streams[0].left
	for _, s := range e.streams {
		next = min(next, s.left)
		if !s.begun {
			next = min(next, s.left-s.total+1)
		}
	}
	wait := time.Duration(max(0, next) * float64(stepTime(len(e.streams))))
	e.loop.after(wait+time.Microsecond, func() {
		if version == e.version && !e.dead {
			e.tick()
		}
	})
}

// cancel frees what the engine holds for an attempt and breaks its stream.
func (e *fakeEngine) cancel(ref ident.BackendRef) {
	delete(e.importer, ref)
	e.advance()
	at := slices.IndexFunc(e.streams, func(s *stream) bool { return s.ref == ref })
	if at < 0 {
		return
	}
	s := e.streams[at]
	e.streams = slices.Delete(e.streams, at, at+1)
	e.schedule()
	s.end(broken, max(0, int(s.total-s.left)))
}

// kill breaks every call on the engine.
func (e *fakeEngine) kill() {
	e.advance()
	e.dead = true
	var lost []*stream
	for _, s := range e.importer {
		lost = append(lost, s)
	}
	lost = append(lost, e.streams...)
	slices.SortFunc(lost, func(a, b *stream) int { return cmp.Compare(a.ref.Request, b.ref.Request) })
	for _, s := range lost {
		s.end(broken, max(0, int(s.total-s.left)))
	}
	for _, c := range e.queue {
		c.end(broken, 0)
	}
	e.queue, e.streams, e.importer = nil, nil, nil
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
		Running:  len(e.streams) + len(e.importer),
		Queued:   len(e.queue),
	}
	for _, s := range e.streams {
		r.Held = append(r.Held, engine.HeldRequest{Ref: s.ref})
	}
	for ref := range e.importer {
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
