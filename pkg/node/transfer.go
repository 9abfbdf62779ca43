package node

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// moveShare is the part of a KV cache's lifetime, as a divisor, that must be left
// for another transfer to be worth trying.
const moveShare = 4

// startImport makes the booked decode engine fetch the KV cache. The first
// transfer gets half of the cache's lifetime, so that a stalled one leaves time for
// another decode engine.
func (n *Node) startImport(r *request) {
	left := r.kvUntil.Sub(n.now)
	if !r.moved {
		left /= 2
	}
	r.phase = importing
	n.emit(Import{
		Ref:      r.ref(),
		Decode:   r.booking.Decode,
		Source:   r.booking.Prefill,
		Adapter:  r.adapter,
		Checksum: r.kv.Checksum,
		Bytes:    r.kv.Bytes,
		Deadline: n.now.Add(left),
	})
}

// kvLifetime is how long the prefill engine keeps the KV cache.
func (n *Node) kvLifetime(told time.Duration) time.Duration {
	if told > 0 && told < n.cfg.ImportTimeout {
		return told
	}
	return n.cfg.ImportTimeout
}

// moveTransfer asks for another decode engine after a stalled transfer. It returns
// false when the KV cache will not last, so that a new prefill is needed.
func (n *Node) moveTransfer(r *request, cause *CallError) bool {
	enough := n.kvLifetime(r.kv.Lifetime) / moveShare
	if !cause.Stalled || r.moved || r.kvUntil.Sub(n.now) < enough {
		return false
	}
	r.moved = true
	r.phase = moving
	n.moving = append(n.moving, r.id)
	n.emit(CancelAt{Backend: r.booking.Decode, Ref: r.ref()})
	n.applyPlacement(n.place.Unreachable(n.now, r.booking.Decode.ID))
	n.applyPlacement(n.place.MoveDecode(n.now, r.ref()))
	return true
}

var errNoMove = &CallError{Step: "import", Reason: "the transfer stalled and no other decode engine took it"}

// expireMoves prefills again when no decode engine was found while the KV cache
// lasted.
func (n *Node) expireMoves() {
	if len(n.moving) == 0 {
		return
	}
	n.moving = slices.DeleteFunc(n.moving, func(id ident.RequestID) bool {
		r := n.requests[id]
		return r == nil || r.phase != moving
	})
	for _, id := range slices.Clone(n.moving) {
		if r := n.requests[id]; !n.now.Before(r.kvUntil) {
			n.attemptFailed(r, errNoMove, r.booking.Decode)
		}
	}
}
