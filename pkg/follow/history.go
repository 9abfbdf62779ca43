package follow

import (
	"context"
	"errors"
	"fmt"
)

// ErrHistoryBounds means that a history needs more calls or bytes than allowed.
var ErrHistoryBounds = errors.New("history exceeds the bounds of a read")

// HistoryBounds limits a read of the history, whose calls are paid for and whose answers
// are as large as the changes that the store keeps.
type HistoryBounds struct {
	Calls int
	Bytes int // of the keys and values in all answers
}

// DefaultHistoryBounds returns bounds for the changes of some tens of seconds. Calls is more
// than the halvings of any revision.
func DefaultHistoryBounds() HistoryBounds { return HistoryBounds{Calls: 40, Bytes: 4 << 20} }

// History is what a store still keeps of the changes under a prefix.
type History struct {
	Items []Item // in the order of their revisions
	After uint64 // Items are all changes after this revision
	// Whole is set if the store has kept every change since it was created.
	Whole bool
	Calls int // that the read needed
}

// ReadHistory reads all changes under a prefix that the store still keeps. A copy of the
// store at a position must not miss changes: it fails with ErrCompacted if changes after it
// are no longer kept, and with ErrRestored if the store was ever restored from an older
// copy, since nothing tells then which changes were lost, and when.
func ReadHistory(ctx context.Context, src Source, prefix string, at Position, bounds HistoryBounds) (History, error) {
	r := historyReader{source: src, prefix: prefix, era: at.Era, left: bounds}
	h, err := r.read(ctx, at.Revision)
	h.Calls = bounds.Calls - r.left.Calls
	if err != nil {
		return h, fmt.Errorf("follow: history of %q: %w", prefix, err)
	}
	return h, nil
}

type historyReader struct {
	source Source
	prefix string
	era    uint64
	left   HistoryBounds
}

// historyGrowth is the factor by which the read goes further back with each call.
const historyGrowth = 8

// read finds the earliest revision whose later changes are all kept. It goes back from a
// revision in growing steps and then halves the rest, so that the number of calls depends
// on the length of the history rather than on the age of the store.
func (r *historyReader) read(ctx context.Context, at uint64) (History, error) {
	if r.era > 0 {
		return History{}, ErrRestored
	}
	whole, kept, err := r.changesAfter(ctx, 0)
	if err != nil || kept {
		whole.Whole = kept
		return whole, err
	}
	best, kept, err := r.changesAfter(ctx, at)
	if err != nil {
		return History{}, err
	}
	if !kept {
		return History{}, fmt.Errorf("after revision %d: %w", at, ErrCompacted)
	}
	gone, growing := uint64(0), true
	for step := uint64(historyGrowth); gone+1 < best.After; step *= historyGrowth {
		after := gone + (best.After-gone)/2
		if growing = growing && step < at; growing {
			after = at - step
		}
		h, kept, err := r.changesAfter(ctx, after)
		switch {
		case err != nil:
			return History{}, err
		case kept:
			best = h
		default:
			gone, growing = after, false
		}
	}
	return best, nil
}

// changesAfter returns the changes after a revision, if all of them are kept.
func (r *historyReader) changesAfter(ctx context.Context, after uint64) (h History, kept bool, err error) {
	if r.left.Calls == 0 {
		return h, false, ErrHistoryBounds
	}
	r.left.Calls--
	p, err := r.source.Wait(ctx, r.prefix, Position{Era: r.era, Revision: after}, 0)
	switch {
	case errors.Is(err, ErrCompacted):
		return h, false, nil
	case err != nil:
		return h, false, err
	case p.Era != r.era:
		return h, false, ErrRestored
	}
	r.left.Bytes -= int(p.Bytes())
	if r.left.Bytes < 0 {
		return h, false, ErrHistoryBounds
	}
	return History{Items: p.Items, After: after}, true, nil
}
