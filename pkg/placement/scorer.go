package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// scorer predicts when an engine pair would give the first token.
type scorer struct {
	cfg *Config
}

// prefillScore is the prediction for one prefill engine.
type prefillScore struct {
	engine  *engineState
	hit     int // tokens
	work    time.Duration
	backlog time.Duration
}

// done returns the time until the prefill would end.
func (s prefillScore) done() time.Duration { return s.backlog + s.work }

func (s scorer) prefill(now time.Time, e *engineState, b *Book) prefillScore {
	hit := min(e.cache.hit(b.Prefix)*BlockTokens, max(0, b.prompt()-1))
	return prefillScore{
		engine:  e,
		hit:     hit,
		work:    e.prefill.of(float64(b.prompt() - hit)),
		backlog: e.backlog(now),
	}
}

// transfer returns the time to move the KV cache of a request. A prefix hit does
// not shorten it: the decode engine needs the whole prompt.
func (s scorer) transfer(b *Book) time.Duration { return s.transferOf(b.prompt()) }

// transferOf returns the time that the KV cache of a prompt takes on an idle link.
func (s scorer) transferOf(tokens int) time.Duration {
	if s.cfg.LinkBytesPerSecond <= 0 {
		return 0
	}
	return seconds(float64(tokens) * s.cfg.KVBytesPerToken / s.cfg.LinkBytesPerSecond)
}

// decode returns the cost of a decode engine for a prefill that ends at the given
// time: the wait for its link, and up to one step for how full its batch is.
func (s scorer) decode(e *engineState, prefillEnd time.Time) time.Duration {
	wait := max(0, e.linkUntil.Sub(prefillEnd))
	used := float64(e.info.Slots-e.free()) / float64(max(1, e.info.Slots))
	return wait + time.Duration(used*float64(s.cfg.DecodePerToken))
}

// plan is a possible booking.
type plan struct {
	prefill  prefillScore
	decode   *engineState
	transfer time.Duration
	linkFrom time.Time
	first    time.Time // predicted first token
}

// plan completes the choice of two engines.
func (s scorer) plan(now time.Time, p prefillScore, d *engineState, b *Book) plan {
	end := now.Add(p.done())
	from := latest(end, p.engine.linkUntil, d.linkUntil)
	t := s.transfer(b)
	return plan{
		prefill:  p,
		decode:   d,
		transfer: t,
		linkFrom: from,
		first:    from.Add(t + s.cfg.DecodePerToken),
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

// choose returns the best plan for a ticket. ok is false when no engine pair can
// start it now.
func (pl *pool) choose(p *Placer, now time.Time, t *ticket) (best plan, ok bool) {
	w := t.wanted()
	for _, v := range tiers(w, pl.infos()) {
		score, someBusy, found := pl.bestPrefill(p, now, t, w, v)
		if !found || someBusy {
			continue
		}
		d := pl.bestDecode(p, now, w, v, now.Add(score.done()))
		if d == nil {
			continue
		}
		candidate := p.scorer.plan(now, score, d, &t.book)
		if !ok || candidate.first.Before(best.first) {
			best, ok = candidate, true
		}
		if len(w.versions) > 0 {
			return best, true
		}
	}
	return best, ok
}

// bestPrefill returns the engine that would end the prefill first. busy means that
// waiting for it beats every engine that could start now.
func (pl *pool) bestPrefill(p *Placer, now time.Time, t *ticket, w wanted, v ident.Version) (best prefillScore, busy, found bool) {
	pick := p.picker.begin()
	for _, e := range pl.order {
		if e.info.Role != engine.Prefill || e.info.Version != v || !p.usable(now, e, w) {
			continue
		}
		s := p.scorer.prefill(now, e, &t.book)
		if pick.offer(s.done()) {
			best, found = s, true
		}
	}
	busy = found && (best.backlog > p.cfg.PrefillAhead || !best.engine.takesPrefill(now))
	return best, busy, found
}

func (pl *pool) bestDecode(p *Placer, now time.Time, w wanted, v ident.Version, prefillEnd time.Time) *engineState {
	var best *engineState
	pick := p.picker.begin()
	for _, e := range pl.order {
		if e.info.Role != engine.Decode || e.info.Version != v || e.free() <= 0 || !p.usable(now, e, w) {
			continue
		}
		if pick.offer(p.scorer.decode(e, prefillEnd)) {
			best = e
		}
	}
	return best
}
