package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pool is the owner's state of one pool: its engines, queue and bookings.
type pool struct {
	key           Pool
	engines       map[ident.BackendID]*engineState
	sortedEngines []*engineState // sorted by id
	// infoCache caches the result of infos; nil after a change.
	infoCache []engine.Info
	queue     *fairqueue.Queue[ident.BackendRef, *queuedRequest]
	bookings  map[ident.BackendRef]*booking

	demand DemandTotals // counted since this host became the owner

	slotHoldTime   rate // seconds that a decode slot is held, per request
	prefillPerCost rate // seconds of prefill per token charged

	// fallbackUntil is set while this host books as fallback owner, in place of
	// an owner that did not answer.
	fallbackUntil time.Time
}

func newPool(cfg *Config, key Pool) *pool {
	hold := time.Duration(cfg.OutputTokens) * cfg.DecodePerToken
	return &pool{
		key:            key,
		engines:        map[ident.BackendID]*engineState{},
		queue:          fairqueue.New[ident.BackendRef, *queuedRequest](cfg.FairBurst),
		bookings:       map[ident.BackendRef]*booking{},
		slotHoldTime:   newRate(hold, priorRequests, slotHoldDecay),
		prefillPerCost: rate{decay: slotHoldDecay},
	}
}

// syncEngines updates the pool's engines from the platform's list and returns the
// ids of the engines that were removed.
func (pl *pool) syncEngines(cfg *Config, list []engine.Info) []ident.BackendID {
	listed := make(map[ident.BackendID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		if e, ok := pl.engines[info.ID]; ok {
			e.setListed(info)
		} else {
			pl.engines[info.ID] = newEngineState(cfg, info)
		}
	}
	pl.infoCache = nil
	var gone []ident.BackendID
	for _, e := range pl.sortedEngines {
		if id := e.listed.ID; !listed[id] {
			delete(pl.engines, id)
			gone = append(gone, id)
		}
	}
	pl.sortedEngines = pl.sortedEngines[:0]
	for _, e := range pl.engines {
		pl.sortedEngines = append(pl.sortedEngines, e)
	}
	slices.SortFunc(pl.sortedEngines, func(a, b *engineState) int { return cmp.Compare(a.listed.ID, b.listed.ID) })
	return gone
}

// infos returns the descriptions of the engines, corrected by their reports.
func (pl *pool) infos() []engine.Info {
	if pl.infoCache == nil {
		for _, e := range pl.sortedEngines {
			pl.infoCache = append(pl.infoCache, e.info)
		}
	}
	return pl.infoCache
}

// insert records a booking at both engines and replaces an earlier one of the same
// attempt.
func (pl *pool) insert(now time.Time, b *booking) {
	pl.remove(now, b.ref)
	pl.bookings[b.ref] = b
	if b.prefill != nil && b.prefilledAt.IsZero() {
		b.prefill.addJob(now, b)
	}
	if b.decode != nil {
		b.decode.slots[b.ref] = b
	}
}

// remove deletes a booking, frees what it holds and returns it.
func (pl *pool) remove(now time.Time, ref ident.BackendRef) *booking {
	b, ok := pl.bookings[ref]
	if !ok {
		return nil
	}
	delete(pl.bookings, ref)
	if b.prefill != nil {
		b.prefill.finishJob(now, b, false)
	}
	if b.decode != nil {
		delete(b.decode.slots, ref)
	}
	return b
}

// capacity sums up the engines that accept work.
type capacity struct {
	prefillEngines int
	slots          int
	freeSlots      int // free slots, at least 0 per engine
	totalBacklog   time.Duration
	minBacklog     time.Duration // of one engine
}

func (pl *pool) capacity(p *Placer, now time.Time) capacity {
	var c capacity
	for _, e := range pl.sortedEngines {
		if !p.usable(now, e, constraints{}) {
			continue
		}
		switch e.info.Role {
		case engine.Prefill:
			backlog := e.backlog(now)
			if c.prefillEngines == 0 || backlog < c.minBacklog {
				c.minBacklog = backlog
			}
			c.prefillEngines++
			c.totalBacklog += backlog
		case engine.Decode:
			c.slots += e.info.Slots
			c.freeSlots += max(0, e.freeSlots())
		}
	}
	return c
}

// predictFirstToken returns the expected time to first token of a request that is
// queued now.
func (pl *pool) predictFirstToken(p *Placer, now time.Time, b *Book) time.Duration {
	c := pl.capacity(p, now)
	if c.prefillEngines == 0 || c.slots == 0 {
		return p.cfg.DownTime
	}
	work := pl.shortestPrefill(p, now, b)
	ahead := pl.queue.Ahead(b.Organisation, b.Weight, b.cost())
	queued := pl.prefillPerCost.estimate(ahead.Cost)
	wait := max(c.minBacklog, (c.totalBacklog+queued)/time.Duration(c.prefillEngines))
	if short := ahead.Items + 1 - float64(c.freeSlots); short > 0 {
		wait = max(wait, pl.slotHoldTime.estimate(short/float64(c.slots)))
	}
	return wait + work + p.scorer.transferTime(b) + p.cfg.DecodePerToken
}

// shortestPrefill returns the shortest predicted prefill of a request on any engine,
// without queueing.
func (pl *pool) shortestPrefill(p *Placer, now time.Time, b *Book) time.Duration {
	var least time.Duration
	found := false
	for _, e := range pl.sortedEngines {
		if e.info.Role != engine.Prefill || !p.usable(now, e, constraints{}) {
			continue
		}
		if work := p.scorer.scorePrefill(now, e, b).work; !found || work < least {
			least, found = work, true
		}
	}
	return least
}

// slowestPrefillRate returns the highest prefill time per token of all engines, in
// seconds.
func (pl *pool) slowestPrefillRate() float64 {
	slowest := 0.0
	for _, e := range pl.sortedEngines {
		if e.info.Role == engine.Prefill {
			slowest = max(slowest, e.prefillRate.perUnit())
		}
	}
	return slowest
}
