package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// scorer predicts when a pair of engines would produce the first token.
type scorer struct {
	cfg *Config
}

// prefillScore is the prediction for one prefill engine.
type prefillScore struct {
	engine    *engineState
	prefixHit int // cached prompt tokens
	work      time.Duration
	backlog   time.Duration
}

// timeToEnd returns the time until the prefill would end.
func (s prefillScore) timeToEnd() time.Duration { return s.backlog + s.work }

func (s scorer) scorePrefill(now time.Time, e *engineState, b *Book) prefillScore {
	hit := min(e.cache.cachedLength(b.Prefix)*BlockTokens, max(0, b.promptTokens()-1))
	return prefillScore{
		engine:    e,
		prefixHit: hit,
		work:      e.prefillRate.estimate(float64(b.promptTokens() - hit)),
		backlog:   e.backlog(now),
	}
}

// transferTime returns the time to transfer the KV cache of a request. A prefix hit
// does not shorten it: the decode engine needs the cache of the whole prompt.
func (s scorer) transferTime(b *Book) time.Duration { return s.transferTimeOf(b.promptTokens()) }

// transferTimeOf returns the time to transfer the KV cache of a prompt over an idle
// link.
func (s scorer) transferTimeOf(tokens int) time.Duration {
	if s.cfg.LinkBytesPerSecond <= 0 {
		return 0
	}
	return seconds(float64(tokens) * s.cfg.KVBytesPerToken / s.cfg.LinkBytesPerSecond)
}

// decodeCost returns the cost of a decode engine for a prefill that ends at the given
// time: the wait for its link, plus up to one decode step in proportion to the slots
// in use.
func (s scorer) decodeCost(e *engineState, prefillEnd time.Time) time.Duration {
	wait := max(0, e.linkBusyUntil.Sub(prefillEnd))
	used := float64(e.info.Slots-e.freeSlots()) / float64(max(1, e.info.Slots))
	return wait + time.Duration(used*float64(s.cfg.DecodePerToken))
}

// plan is a possible booking.
type plan struct {
	prefill       prefillScore
	decode        *engineState
	transferTime  time.Duration
	transferStart time.Time
	firstToken    time.Time // predicted first token
}

// newPlan predicts the transfer and the first token for a pair of engines.
func (s scorer) newPlan(now time.Time, p prefillScore, d *engineState, b *Book) plan {
	end := now.Add(p.timeToEnd())
	from := latest(end, p.engine.linkBusyUntil, d.linkBusyUntil)
	t := s.transferTime(b)
	return plan{
		prefill:       p,
		decode:        d,
		transferTime:  t,
		transferStart: from,
		firstToken:    from.Add(t + s.cfg.DecodePerToken),
	}
}

func latest(ts ...time.Time) time.Time {
	var out time.Time
	for _, t := range ts {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// bestPlan returns the plan with the earliest first token. If the request lists versions,
// it tries them in order and returns the plan of the first version that has one. ok is
// false when no pair of engines can start the request now.
func (pl *pool) bestPlan(p *Placer, now time.Time, t *queuedRequest) (best plan, ok bool) {
	w := t.constraints()
	for _, v := range candidateVersions(w, pl.infos()) {
		score, busy, found := pl.bestPrefill(p, now, t, w, v)
		if !found || busy {
			continue
		}
		d := pl.bestDecode(p, now, w, v, now.Add(score.timeToEnd()))
		if d == nil {
			continue
		}
		candidate := p.scorer.newPlan(now, score, d, &t.book)
		if !ok || candidate.firstToken.Before(best.firstToken) {
			best, ok = candidate, true
		}
		if len(w.versions) > 0 {
			return best, true
		}
	}
	return best, ok
}

// bestPrefill returns the engine that would end the prefill first. busy means that it
// cannot start the prefill now and that waiting for it is still faster than any
// other engine.
func (pl *pool) bestPrefill(p *Placer, now time.Time, t *queuedRequest, w constraints, v ident.Version) (best prefillScore, busy, found bool) {
	pick := p.picker.newChoice()
	for _, e := range pl.sortedEngines {
		if e.info.Role != engine.Prefill || e.info.Version != v || !p.usable(now, e, w) {
			continue
		}
		s := p.scorer.scorePrefill(now, e, &t.book)
		if pick.consider(s.timeToEnd()) {
			best, found = s, true
		}
	}
	busy = found && (best.backlog > p.cfg.PrefillAhead || !best.engine.hasPrefillRoom(now))
	return best, busy, found
}

func (pl *pool) bestDecode(p *Placer, now time.Time, w constraints, v ident.Version, prefillEnd time.Time) *engineState {
	var best *engineState
	pick := p.picker.newChoice()
	for _, e := range pl.sortedEngines {
		if e.info.Role != engine.Decode || e.info.Version != v || e.freeSlots() <= 0 || !p.usable(now, e, w) {
			continue
		}
		if pick.consider(p.scorer.decodeCost(e, prefillEnd)) {
			best = e
		}
	}
	return best
}
