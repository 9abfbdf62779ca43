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
	tokens       int // to prefill, without the prefix hit
	maxTokens    int
	hit          int
	prefill      *engineState // nil when only seen in reports
	decode       *engineState
	at           time.Time
	duration     time.Duration // predicted, of the prefill
	prefilled    time.Time     // zero until known
	seen         bool          // a report showed it on the decode engine
	moved        bool          // to another decode engine than the first one
}

// ticket is a queued request at the owner.
type ticket struct {
	book     Book
	deadline time.Time
}

func (t *ticket) wanted() wanted {
	return wanted{versions: t.book.Versions, adapter: t.book.Adapter, exclude: t.book.Exclude}
}

// prompt returns the tokens to prefill: the prompt, and on a resume the output
// that the caller already has.
func (b *Book) prompt() int { return b.PromptTokens + b.Offset }

// limit returns the longest acceptable prediction of the time to first token.
func (b *Book) limit() time.Duration {
	if b.Spills {
		return b.Budget / 2
	}
	return b.Budget
}

// cost returns the tokens charged to the organisation.
func (b *Book) cost() float64 { return float64(b.prompt() + b.MaxTokens) }

// held describes a booking to a new owner.
func (b *booking) held(now time.Time) Held {
	h := Held{
		Ref:          b.ref,
		Round:        b.round,
		Organisation: b.organisation,
		Tokens:       b.tokens,
		MaxTokens:    b.maxTokens,
		Prefilled:    !b.prefilled.IsZero(),
		Age:          now.Sub(b.at),
	}
	if b.prefill != nil {
		h.Prefill = b.prefill.info.ID
	}
	if b.decode != nil {
		h.Decode = b.decode.info.ID
	}
	return h
}
