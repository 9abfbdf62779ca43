package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

// SetOwned sets a function that reports attempts which the node owns in addition to
// the undecided and booked ones of this Placer. f must be pure.
func (p *Placer) SetOwned(f func(ident.BackendRef) bool) { p.ownedByNode = f }

// onQuery answers a query of a pool owner.
func (p *Placer) onQuery(from ident.HostID, q ClaimQuery) {
	if from != p.cfg.Self.Host {
		p.result.Claims = append(p.result.Claims, q)
	}
	r := q.Answer(p.owns)
	p.send(from, Message{Reply: &r})
}

// owns reports whether this process still needs an attempt. The request id names
// the process, so an attempt of an earlier incarnation is never found.
func (p *Placer) owns(ref ident.BackendRef) bool {
	return p.pending[ref] != nil || p.leases[ref] != nil || p.ownedByNode != nil && p.ownedByNode(ref)
}

// onOrphans frees the booking of each orphan and cancels it at the engines that
// hold memory for it.
func (p *Placer) onOrphans(now time.Time, orphans []reclaim.Orphan) {
	for _, o := range orphans {
		p.dropOrphan(now, o)
		for _, id := range o.Engines {
			if e, ok := p.fleet.engines[id]; ok {
				p.result.Cancels = append(p.result.Cancels, Cancel{Backend: e, Ref: o.Ref})
			}
		}
	}
}

// dropOrphan removes an orphan's booking or its entry in the queue. A host that was
// only silent may ask for the attempt again in a later round.
func (p *Placer) dropOrphan(now time.Time, o reclaim.Orphan) {
	for _, pl := range p.sortedPools() {
		if it, ok := pl.queue.Remove(o.Ref); ok {
			p.released.add(now, o.Ref, it.Value.book.Round)
		}
		if b := pl.remove(now, o.Ref); b != nil {
			p.released.add(now, o.Ref, b.round)
			p.dispatch(now, pl)
		}
	}
}
