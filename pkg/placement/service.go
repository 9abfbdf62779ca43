package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// PickService chooses a replica of a plain service: the one with less of this
// host's work out of two drawn at random. Release ends the call. exclude names
// replicas that failed in earlier attempts.
func (p *Placer) PickService(now time.Time, name ident.Model, ref ident.BackendRef, exclude []ident.BackendID) (engine.Info, bool) {
	p.now = now
	var fit []engine.Info
	for _, e := range p.fleet.services[name] {
		if !e.Leaving && !p.filter.recalled(e) && !p.fleet.isDown(now, e.ID) && !slices.Contains(exclude, e.ID) {
			fit = append(fit, e)
		}
	}
	e, ok := p.pickTwo(fit)
	if !ok {
		return engine.Info{}, false
	}
	p.releaseService(ref)
	p.calls[ref] = e.ID
	p.inFlight[e.ID]++
	return e, true
}

func (p *Placer) releaseService(ref ident.BackendRef) {
	if id, ok := p.calls[ref]; ok {
		delete(p.calls, ref)
		p.endCall(id)
	}
}

// endCall notes the end of one piece of this host's work at a backend server.
func (p *Placer) endCall(id ident.BackendID) {
	if p.inFlight[id]--; p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}
