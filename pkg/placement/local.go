package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// chooseLocally places a request without an owner: for each role it draws two
// engines at random and takes the one with less of this host's own work in flight.
// Other hosts may pick the same engine, which refuses what it cannot hold.
func (p *Placer) chooseLocally(now time.Time, a *pending) {
	a.pool = a.triedPools[0]
	engines := p.fleet.pools[a.pool]
	for _, v := range candidateVersions(a.req.constraints(), engines) {
		prefill, okPrefill := p.pickLocal(now, a.req, engines, v, engine.Prefill)
		decode, okDecode := p.pickLocal(now, a.req, engines, v, engine.Decode)
		if okPrefill && okDecode && p.inTime(now, a) {
			p.bookLocally(now, a, prefill, decode)
			return
		}
	}
	if a.reason == "" {
		a.reason, a.retryAfter = ReasonDeadline, p.cfg.ClaimInterval
		if p.inTime(now, a) {
			a.reason = ReasonNoEngine
		}
	}
	p.rejectPending(a)
}

// inTime reports whether an idle engine could still meet the target.
func (p *Placer) inTime(now time.Time, a *pending) bool {
	tokens := float64(a.req.PromptTokens + a.req.Offset)
	work := time.Duration(tokens * float64(p.cfg.PrefillPerToken))
	return a.req.Wait || !now.Add(work+p.cfg.DecodePerToken).After(a.deadline)
}

func (p *Placer) pickLocal(now time.Time, r Request, engines []engine.Info, v ident.Version, role engine.Role) (engine.Info, bool) {
	var fit []engine.Info
	for _, e := range engines {
		full := e.Slots > 0 && p.inFlight[e.ID] >= e.Slots
		if e.Role == role && e.Version == v && !full && !p.fleet.isDown(now, e.ID) && p.filter.allows(e, r.constraints()) {
			fit = append(fit, e)
		}
	}
	return p.pickLessLoaded(fit)
}

// pickLessLoaded draws two of the candidates at random and returns the one with less
// of this host's work in flight per slot.
func (p *Placer) pickLessLoaded(fit []engine.Info) (engine.Info, bool) {
	if len(fit) == 0 {
		return engine.Info{}, false
	}
	at := p.picker.lessLoadedOfTwo(len(fit), func(i int) float64 {
		return float64(p.inFlight[fit[i].ID]) / float64(max(1, fit[i].Slots))
	})
	return fit[at], true
}

func (p *Placer) bookLocally(now time.Time, a *pending, prefill, decode engine.Info) {
	p.dropPending(a)
	p.addLease(&lease{
		booking:  Booking{Ref: a.req.Ref, Prefill: prefill, Decode: decode, Local: true},
		req:      a.req,
		pool:     a.pool,
		round:    a.round,
		bookedAt: now,
	})
}
