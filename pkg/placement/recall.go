package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// SetRecall puts a recall into force. Queued requests go to engines that are not
// recalled, or are refused when none is allowed. A booking on a recalled engine ends
// with a Refusal that has Booked set, and is cancelled at both engines.
func (p *Placer) SetRecall(now time.Time, r Recall) Result {
	p.begin(now)
	p.filter = filter{recall: r}
	for _, pl := range p.sortedPools() {
		p.recheckQueue(now, pl)
		p.revokeBookings(now, pl)
		p.dispatch(now, pl)
	}
	p.recallLeases(now)
	p.recallPending()
	return p.finish(now)
}

// recheckQueue refuses queued requests that no engine may take any longer.
func (p *Placer) recheckQueue(now time.Time, pl *pool) {
	var ended []ident.BackendRef
	infos := pl.infos()
	pl.queue.Each(func(it fairqueue.Item[ident.BackendRef, *queuedRequest]) {
		if p.filter.rejectReason(infos, it.Value.constraints()) != "" {
			ended = append(ended, it.Key)
		}
	})
	for _, ref := range ended {
		it, _ := pl.queue.Remove(ref)
		p.refuse(&it.Value.book, p.filter.rejectReason(infos, it.Value.constraints()), p.cfg.DownTime)
	}
}

// revokeBookings ends the bookings on recalled engines.
func (p *Placer) revokeBookings(now time.Time, pl *pool) {
	for _, ref := range sortedKeys(pl.bookings, compareRefs) {
		b := pl.bookings[ref]
		if !p.usesRecalled(b.prefill) && !p.usesRecalled(b.decode) {
			continue
		}
		pl.remove(now, ref)
		p.released.add(now, ref, b.round)
		p.tracker.Release(now, ref)
		p.send(origin(b.ref), Message{Refused: &Refused{
			Ref:    ref,
			Round:  b.round,
			Reason: ReasonRecalled,
			Booked: true,
		}})
	}
}

func (p *Placer) usesRecalled(e *engineState) bool {
	return e != nil && p.filter.recalled(e.info)
}

// recallLeases ends this host's own bookings on recalled engines. It does not rely
// on the owner, which a partition may keep from the new configuration.
func (p *Placer) recallLeases(now time.Time) {
	for _, ref := range sortedKeys(p.leases, compareRefs) {
		l := p.leases[ref]
		recalled := func(e engine.Info) bool { return p.filter.recalled(e) }
		if p.filter.adapterRecalled(l.req.Adapter) || recalled(l.booking.Prefill) || recalled(l.booking.Decode) {
			p.voidLease(l, ReasonRecalled, minRetryAfter)
		}
	}
}

// recallPending refuses this host's undecided requests that no pool may take any
// longer.
func (p *Placer) recallPending() {
	for _, ref := range sortedKeys(p.pending, compareRefs) {
		a := p.pending[ref]
		if _, ok := p.homePool(a.req); !ok {
			a.reason, a.retryAfter = p.unservableReason(a.req), p.cfg.DownTime
			p.rejectPending(a)
		}
	}
}
