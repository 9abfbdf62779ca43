package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// booking is the owner's record of a granted request.
type booking struct {
	ref          ident.BackendRef
	round        uint32
	organisation ident.Organisation
	tokens       int // to prefill, excluding the prefix hit
	maxTokens    int
	prefixHit    int
	prefill      *engineState // nil when known from reports only
	decode       *engineState
	bookedAt     time.Time
	prefillTime  time.Duration // predicted
	prefilledAt  time.Time     // zero until the prefill is known to have ended
	reported     bool          // a report listed it at the decode engine
	moved        bool          // moved away from its first decode engine
}

// queuedRequest is a request in the owner's queue.
type queuedRequest struct {
	book     Book
	deadline time.Time
}

func (t *queuedRequest) constraints() constraints {
	return constraints{versions: t.book.Versions, adapter: t.book.Adapter, exclude: t.book.Exclude}
}

// promptTokens returns the tokens to prefill: the prompt and, on a resume, the
// output that the caller already has.
func (b *Book) promptTokens() int { return b.PromptTokens + b.Offset }

// firstTokenLimit returns the longest acceptable predicted time to first token. It is
// half the budget when another domain could serve the request.
func (b *Book) firstTokenLimit() time.Duration {
	if b.CanSpill {
		return b.Budget / 2
	}
	return b.Budget
}

// cost returns the tokens charged to the organisation.
func (b *Book) cost() float64 { return float64(b.promptTokens() + b.MaxTokens) }

// toHeld returns the description of a booking for a new owner.
func (b *booking) toHeld(now time.Time) Held {
	h := Held{
		Ref:          b.ref,
		Round:        b.round,
		Organisation: b.organisation,
		Tokens:       b.tokens,
		MaxTokens:    b.maxTokens,
		Prefilled:    !b.prefilledAt.IsZero(),
		Age:          now.Sub(b.bookedAt),
	}
	if b.prefill != nil {
		h.Prefill = b.prefill.info.ID
	}
	if b.decode != nil {
		h.Decode = b.decode.info.ID
	}
	return h
}
