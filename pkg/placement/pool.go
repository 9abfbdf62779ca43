package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// pool is the owner's state of one pool.
type pool struct {
	key     Pool
	engines map[ident.BackendID]*engineState
	order   []*engineState // by id
	// infoCache caches infos; nil after a change.
	infoCache []engine.Info
	queue     *fairqueue.Queue[ident.BackendRef, *ticket]
	bookings  map[ident.BackendRef]*booking

	asked Asked // since this host became the owner

	slotTime rate // seconds that a decode slot is held, per request
	perCost  rate // seconds of prefill per token charged

	// actingUntil is set while this host books in place of an owner that did
	// not answer.
	actingUntil time.Time
}

func newPool(cfg *Config, key Pool) *pool {
	hold := time.Duration(cfg.OutputTokens) * cfg.DecodePerToken
	return &pool{
		key:      key,
		engines:  map[ident.BackendID]*engineState{},
		queue:    fairqueue.New[ident.BackendRef, *ticket](cfg.FairBurst),
		bookings: map[ident.BackendRef]*booking{},
		slotTime: newRate(hold, priorRequests, keepHold),
		perCost:  rate{keep: keepHold},
	}
}

// sync takes the pool's engines from the platform's list and returns the ids of
// those that are gone.
func (pl *pool) sync(cfg *Config, list []engine.Info) []ident.BackendID {
	listed := make(map[ident.BackendID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		if e, ok := pl.engines[info.ID]; ok {
			e.list(info)
		} else {
			pl.engines[info.ID] = newEngineState(cfg, info)
		}
	}
	pl.infoCache = nil
	var gone []ident.BackendID
	for _, e := range pl.order {
		if id := e.listed.ID; !listed[id] {
			delete(pl.engines, id)
			gone = append(gone, id)
		}
	}
	pl.order = pl.order[:0]
	for _, e := range pl.engines {
		pl.order = append(pl.order, e)
	}
	slices.SortFunc(pl.order, func(a, b *engineState) int { return cmp.Compare(a.listed.ID, b.listed.ID) })
	return gone
}

// infos returns the effective descriptions of the engines.
func (pl *pool) infos() []engine.Info {
	if pl.infoCache == nil {
		for _, e := range pl.order {
			pl.infoCache = append(pl.infoCache, e.info)
		}
	}
	return pl.infoCache
}

// insert enters a booking into the books of both engines, in place of an earlier
// one of the same attempt.
func (pl *pool) insert(now time.Time, b *booking) {
	pl.remove(now, b.ref)
	pl.bookings[b.ref] = b
	if b.prefill != nil && b.prefilled.IsZero() {
		b.prefill.addJob(now, b)
	}
	if b.decode != nil {
		b.decode.slots[b.ref] = b
	}
}

// remove frees what a booking holds and returns it.
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

// capacity is the sum over the engines that take work.
type capacity struct {
	prefill int // engines
	slots   int
	free    int // slots
	backlog time.Duration
	least   time.Duration // smallest backlog
}

func (pl *pool) capacity(p *Placer, now time.Time) capacity {
	var c capacity
	for _, e := range pl.order {
		if !p.usable(now, e, wanted{}) {
			continue
		}
		switch e.info.Role {
		case engine.Prefill:
			backlog := e.backlog(now)
			if c.prefill == 0 || backlog < c.least {
				c.least = backlog
			}
			c.prefill++
			c.backlog += backlog
		case engine.Decode:
			c.slots += e.info.Slots
			c.free += max(0, e.free())
		}
	}
	return c
}

// predict returns the expected time to the first token of a request that would be
// queued now.
func (pl *pool) predict(p *Placer, now time.Time, b *Book) time.Duration {
	c := pl.capacity(p, now)
	if c.prefill == 0 || c.slots == 0 {
		return p.cfg.DownTime
	}
	work := pl.leastWork(p, now, b)
	ahead := pl.queue.Ahead(b.Organisation, b.Weight, b.cost())
	queued := pl.perCost.of(ahead.Cost)
	wait := max(c.least, (c.backlog+queued)/time.Duration(c.prefill))
	if short := ahead.Items + 1 - float64(c.free); short > 0 {
		wait = max(wait, pl.slotTime.of(short/float64(c.slots)))
	}
	return wait + work + p.scorer.transfer(b) + p.cfg.DecodePerToken
}

// leastWork returns the shortest prefill of a request on any engine.
func (pl *pool) leastWork(p *Placer, now time.Time, b *Book) time.Duration {
	var least time.Duration
	found := false
	for _, e := range pl.order {
		if e.info.Role != engine.Prefill || !p.usable(now, e, wanted{}) {
			continue
		}
		if work := p.scorer.prefill(now, e, b).work; !found || work < least {
			least, found = work, true
		}
	}
	return least
}

// slowestPrefill returns the highest time per token of the engines, in seconds.
func (pl *pool) slowestPrefill() float64 {
	slowest := 0.0
	for _, e := range pl.order {
		if e.info.Role == engine.Prefill {
			slowest = max(slowest, e.prefill.perUnit())
		}
	}
	return slowest
}
