package node

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// minLifetimeDivisor sets how much of a KV cache's lifetime must be left to try
// another transfer: the whole lifetime divided by this number.
const minLifetimeDivisor = 4

// startImport starts the transfer of the KV cache to the booked decode engine. The
// first transfer gets half of the cache's lifetime, so that time for another decode
// engine is left if it stalls.
func (n *Node) startImport(r *request) {
	left := r.kvExpiresAt.Sub(n.now)
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

// kvLifetime returns how long to rely on the prefill engine keeping the KV cache:
// the lifetime that it reported, at most ImportTimeout. Without a reported lifetime
// it is ImportTimeout.
func (n *Node) kvLifetime(reported time.Duration) time.Duration {
	if reported > 0 && reported < n.cfg.ImportTimeout {
		return reported
	}
	return n.cfg.ImportTimeout
}

// moveTransfer books another decode engine after a stalled transfer. It returns
// false if the attempt must be given up instead: the transfer failed without a
// stall, was moved before, or the KV cache expires too soon.
func (n *Node) moveTransfer(r *request, cause *CallError) bool {
	enough := n.kvLifetime(r.kv.Lifetime) / minLifetimeDivisor
	if !cause.Stalled || r.moved || r.kvExpiresAt.Sub(n.now) < enough {
		return false
	}
	r.moved = true
	r.phase = moving
	n.moving = append(n.moving, r.id)
	n.emit(CancelBackend{Backend: r.booking.Decode, Ref: r.ref()})
	n.applyPlacement(n.placer.Unreachable(n.now, r.booking.Decode.ID))
	n.applyPlacement(n.placer.MoveDecode(n.now, r.ref()))
	return true
}

var errNoOtherDecodeEngine = &CallError{Step: "import", Reason: "the transfer stalled and no other decode engine took it"}

// expireMoves fails the attempts whose KV cache expired before another decode engine
// was booked. Their requests start again with a prefill.
func (n *Node) expireMoves() {
	if len(n.moving) == 0 {
		return
	}
	n.moving = slices.DeleteFunc(n.moving, func(id ident.RequestID) bool {
		r := n.requests[id]
		return r == nil || r.phase != moving
	})
	for _, id := range slices.Clone(n.moving) {
		if r := n.requests[id]; !n.now.Before(r.kvExpiresAt) {
			n.attemptFailed(r, errNoOtherDecodeEngine, r.booking.Decode)
		}
	}
}
