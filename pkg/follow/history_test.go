package follow_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

// logSource is a store with changes at the revisions first to last, of which those after
// the revision gone are kept.
type logSource struct {
	era         uint64
	first, last uint64
	gone        uint64
	err         error
	drop        func(call int, s *logSource) // before each call
	calls       int
}

func (s *logSource) List(context.Context, string, string) (follow.Page, error) {
	return follow.Page{}, errors.New("the history needs no list")
}

func (s *logSource) Wait(_ context.Context, _ string, after follow.Position, wait time.Duration) (follow.Page, error) {
	s.calls++
	if s.drop != nil {
		s.drop(s.calls, s)
	}
	switch {
	case s.err != nil:
		return follow.Page{}, s.err
	case wait != 0:
		return follow.Page{}, errors.New("the history does not wait for changes")
	case after.Revision < s.gone:
		return follow.Page{}, fmt.Errorf("watch: %w", follow.ErrCompacted)
	}
	p := follow.Page{At: s.last, Era: s.era}
	for n := max(s.first, after.Revision+1); n <= s.last; n++ {
		p.Items = append(p.Items, follow.Item{Key: fmt.Sprint("k", n), Value: []byte("0123456789"), Revision: n})
	}
	return p, nil
}

var _ = Describe("a history", func() {
	ctx := context.Background()
	bounds := follow.DefaultHistoryBounds()
	at := func(revision uint64) follow.Position { return follow.Position{Revision: revision} }

	It("is whole, and needs one call, if the store has kept all changes", func() {
		h, err := follow.ReadHistory(ctx, &logSource{first: 2, last: 40}, "", at(40), bounds)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Whole).To(BeTrue())
		Expect(h.Calls).To(Equal(1))
		Expect(h.Items).To(HaveLen(39))
	})

	// Guards against a history that lacks changes that the store still keeps, or that takes
	// changes for kept that are not.
	It("holds all changes that the store still keeps, in few calls", func() {
		rng := rand.New(rand.NewPCG(1, 31))
		for range 2000 {
			last := 1 + rng.Uint64N(5_000_000)
			gone := 1 + rng.Uint64N(last)
			if rng.IntN(2) == 0 {
				gone = last - min(last-1, rng.Uint64N(300))
			}
			if last-gone > 2000 {
				continue // the bounds are checked below
			}
			src := &logSource{first: 2, last: last, gone: gone}
			// A copy may be older than the store.
			h, err := follow.ReadHistory(ctx, src, "", at(last-rng.Uint64N(last-gone+1)), bounds)
			Expect(err).NotTo(HaveOccurred(), "last %d, gone %d", last, gone)
			Expect(h.After).To(Equal(gone))
			Expect(h.Whole).To(BeFalse())
			Expect(h.Items).To(HaveLen(int(last - max(gone, 1))))
			Expect(src.calls).To(Equal(h.Calls))
			Expect(h.Calls).To(BeNumerically("<=", 20))
		}
	})

	It("fails if changes since the copy are no longer kept", func() {
		_, err := follow.ReadHistory(ctx, &logSource{first: 2, last: 90, gone: 80}, "", at(70), bounds)
		Expect(err).To(MatchError(follow.ErrCompacted))
	})

	It("holds what is kept at its end, if the store drops changes meanwhile", func() {
		src := &logSource{first: 2, last: 900, gone: 600, drop: func(call int, s *logSource) { s.gone = 600 + uint64(call) }}
		h, err := follow.ReadHistory(ctx, src, "", at(900), bounds)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.After).To(BeNumerically("<=", src.gone))
		Expect(h.Items).To(HaveLen(int(900 - h.After)))
	})

	// Guards against changes of an era that was lost, which no later era tells.
	It("fails if the store was ever restored from an older copy", func() {
		_, err := follow.ReadHistory(ctx, &logSource{era: 1, first: 2, last: 40}, "", follow.Position{Era: 1, Revision: 40}, bounds)
		Expect(err).To(MatchError(follow.ErrRestored))
		_, err = follow.ReadHistory(ctx, &logSource{era: 1, first: 2, last: 40}, "", at(40), bounds)
		Expect(err).To(MatchError(follow.ErrRestored))
	})

	It("fails beyond its bounds of calls and bytes", func() {
		_, err := follow.ReadHistory(ctx, &logSource{first: 2, last: 40}, "", at(40), follow.HistoryBounds{Calls: 1, Bytes: 100})
		Expect(err).To(MatchError(follow.ErrHistoryBounds))
		_, err = follow.ReadHistory(ctx, &logSource{first: 2, last: 40, gone: 30}, "", at(40), follow.HistoryBounds{Calls: 3, Bytes: 1000})
		Expect(err).To(MatchError(follow.ErrHistoryBounds))
	})

	It("fails with the store", func() {
		down := errors.New("store unavailable")
		_, err := follow.ReadHistory(ctx, &logSource{err: down}, "", at(40), bounds)
		Expect(err).To(MatchError(down))
	})
})
