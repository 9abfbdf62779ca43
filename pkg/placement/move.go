package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// MoveDecode asks for another decode engine for a booking whose prefill has ended,
// because the transfer to the present one stalls. The prefill engine keeps the KV
// cache only for a short time, so the answer is a new Booking of the same attempt
// or a Refusal that ends the booking. A call without an answer may be repeated.
func (p *Placer) MoveDecode(now time.Time, ref ident.BackendRef) Result {
	p.begin(now)
	h := p.leases[ref]
	switch {
	case h == nil:
	case h.owner.Host == "":
		p.moveLocally(now, h)
	default:
		if !h.moving {
			h.moving = true
			h.round++
		}
		p.send(h.owner.Host, Message{Move: &Move{Ref: ref, Round: h.round}})
	}
	return p.finish(now)
}

// moveLocally chooses the other engine without an owner.
func (p *Placer) moveLocally(now time.Time, h *lease) {
	r := h.req
	r.Exclude = append([]ident.BackendID{h.booking.Decode.ID}, r.Exclude...)
	d, ok := p.pickLocal(now, r, p.fleet.pools[h.pool], h.booking.Prefill.Version, engine.Decode)
	if !ok {
		p.voidLease(h, ReasonNoEngine, minRetryAfter)
		return
	}
	p.moveLease(h, d)
}

// moveLease gives the node the booking with its new decode engine.
func (p *Placer) moveLease(h *lease, d engine.Info) {
	p.endCall(h.booking.Decode.ID)
	p.inFlight[d.ID]++
	h.booking.Decode = d
	h.moving = false
	p.out.Booked = append(p.out.Booked, h.booking)
}

// onMoved takes the owner's answer to a Move.
func (p *Placer) onMoved(h *lease, m *Booked) {
	if !h.moving || m.Round != h.round {
		return
	}
	d, ok := p.resolve(m.Decode, m.Version, h.req)
	if !ok {
		p.voidLease(h, ReasonRecalled, minRetryAfter)
		return
	}
	p.moveLease(h, d)
}

// onMove books another decode engine of the same version, as owner.
func (p *Placer) onMove(now time.Time, from ident.HostID, m *Move) {
	pl, b := p.booked(m.Ref)
	if b == nil || b.prefill == nil || b.decode == nil {
		p.refuseMove(from, m, p.cfg.DownTime)
		return
	}
	if b.round >= m.Round {
		p.sendBooked(b)
		return
	}
	v := b.prefill.info.Version
	w := wanted{versions: []ident.Version{v}, exclude: []ident.BackendID{b.decode.info.ID}}
	d := pl.bestDecode(p, now, w, v, now)
	if d == nil {
		p.refuseMove(from, m, pl.slotTime.of(1/float64(max(1, pl.capacity(p, now).slots))))
		return
	}
	delete(b.decode.slots, b.ref)
	b.decode = d
	b.seen = false
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
