package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// MoveDecode asks for another decode engine for a booking whose prefill has ended,
// because the transfer to the current one is stalled. The prefill engine keeps the KV
// cache only for a short time, so the answer is a new Booking of the same attempt
// or a Refusal that ends the booking. A call that got no answer may be repeated.
func (p *Placer) MoveDecode(now time.Time, ref ident.BackendRef) Result {
	p.begin(now)
	l := p.leases[ref]
	switch {
	case l == nil:
	case l.owner.Host == "":
		p.moveLocally(now, l)
	default:
		if !l.moving {
			l.moving = true
			l.round++
		}
		p.send(l.owner.Host, Message{Move: &Move{Ref: ref, Round: l.round}})
	}
	return p.finish(now)
}

// moveLocally chooses another decode engine without an owner.
func (p *Placer) moveLocally(now time.Time, l *lease) {
	r := l.req
	r.Exclude = append([]ident.BackendID{l.booking.Decode.ID}, r.Exclude...)
	d, ok := p.pickLocal(now, r, p.fleet.pools[l.pool], l.booking.Prefill.Version, engine.Decode)
	if !ok {
		p.voidLease(l, ReasonNoEngine, minRetryAfter)
		return
	}
	p.moveLease(l, d)
}

// moveLease returns the booking with its new decode engine to the node.
func (p *Placer) moveLease(l *lease, d engine.Info) {
	p.decrementInFlight(l.booking.Decode.ID)
	p.inFlight[d.ID]++
	l.booking.Decode = d
	l.moving = false
	p.result.Booked = append(p.result.Booked, l.booking)
}

// onMoved handles the owner's grant of a Move.
func (p *Placer) onMoved(l *lease, m *Booked) {
	if !l.moving || m.Round != l.round {
		return
	}
	d, ok := p.resolve(m.Decode, m.Version, l.req)
	if !ok {
		p.voidLease(l, ReasonRecalled, minRetryAfter)
		return
	}
	p.moveLease(l, d)
}

// onMove books another decode engine of the same version as pool owner.
func (p *Placer) onMove(now time.Time, from ident.HostID, m *Move) {
	pl, b := p.findBooking(m.Ref)
	if b == nil || b.prefill == nil || b.decode == nil {
		p.refuseMove(from, m, p.cfg.DownTime)
		return
	}
	if b.round >= m.Round {
		p.sendBooked(b)
		return
	}
	v := b.prefill.info.Version
	w := constraints{versions: []ident.Version{v}, exclude: []ident.BackendID{b.decode.info.ID}}
	d := pl.bestDecode(p, now, w, v, now)
	if d == nil {
		p.refuseMove(from, m, pl.slotHoldTime.estimate(1/float64(max(1, pl.capacity(p, now).slots))))
		return
	}
	delete(b.decode.slots, b.ref)
	b.decode = d
	b.reported = false
	b.moved = true
	b.round = m.Round
	d.slots[b.ref] = b
	p.tracker.Renew(now, b.ref)
	p.sendBooked(b)
}

func (p *Placer) refuseMove(to ident.HostID, m *Move, after time.Duration) {
	p.send(to, Message{Refused: &Refused{
		Ref:        m.Ref,
		Round:      m.Round,
		Reason:     ReasonNoEngine,
		RetryAfter: after,
		Booked:     true,
	}})
}
