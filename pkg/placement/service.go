package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// PickService chooses a replica of a plain service: of two drawn at random, the one
// with fewer calls in flight from this host. Release ends the call. exclude lists
// replicas that failed in earlier attempts.
func (p *Placer) PickService(now time.Time, name ident.Model, ref ident.BackendRef, exclude []ident.BackendID) (engine.Info, bool) {
	p.now = now
	var fit []engine.Info
	for _, e := range p.fleet.services[name] {
		if !e.Leaving && !p.filter.recalled(e) && !p.fleet.isDown(now, e.ID) && !slices.Contains(exclude, e.ID) {
			fit = append(fit, e)
		}
	}
	e, ok := p.pickLessLoaded(fit)
	if !ok {
		return engine.Info{}, false
	}
	p.releaseService(ref)
	p.serviceCalls[ref] = e.ID
	p.inFlight[e.ID]++
	return e, true
}

func (p *Placer) releaseService(ref ident.BackendRef) {
	if id, ok := p.serviceCalls[ref]; ok {
		delete(p.serviceCalls, ref)
		p.decrementInFlight(id)
	}
}

// decrementInFlight records the end of one request of this host at a backend server.
func (p *Placer) decrementInFlight(id ident.BackendID) {
	if p.inFlight[id]--; p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}
