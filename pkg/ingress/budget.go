package ingress

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// ErrBudget is returned when the memory for what callers send is in use.
var ErrBudget = errors.New("memory for requests exhausted")

// BudgetWait is how long a request waits for memory. A longer wait leaves less of its deadline
// for the answer.
const BudgetWait = 500 * time.Millisecond

// budget bounds the bytes of request heads and bodies of a process.
type budget struct {
	capacity, large int64 // bytes; 0 is unlimited
	all, largeOnly  *semaphore.Weighted
	used            atomic.Int64
	// reclaim asks slow callers to give back at least n bytes.
	reclaim func(n int64)
}

func newBudget(p plan) *budget {
	return &budget{
		capacity: p.body, large: p.largeBody,
		all: semaphore.NewWeighted(p.body), largeOnly: semaphore.NewWeighted(p.largeBody),
		reclaim: func(int64) {},
	}
}

// acquire reserves n bytes for a body of size bytes in total, at most the capacity, and returns
// a function that releases them. If they are not available it closes slow callers, and waits
// until ctx ends or for BudgetWait.
func (b *budget) acquire(ctx context.Context, n, size int64) (release func(), err error) {
	if b.capacity == 0 {
		return func() {}, nil
	}
	want := n
	ctx, cancel := context.WithTimeout(ctx, BudgetWait)
	defer cancel()
	failed := func() error { return fmt.Errorf("%w: need %d of %d bytes", ErrBudget, want, b.capacity) }
	wait := func(s *semaphore.Weighted, n int64) error {
		if s.TryAcquire(n) {
			return nil
		}
		b.reclaim(n)
		return s.Acquire(ctx, n)
	}
	isLarge := size > SmallBody
	if isLarge {
		n = min(n, b.large)
		if err := wait(b.largeOnly, n); err != nil {
			return nil, failed()
		}
	}
	n = min(n, b.capacity)
	if err := wait(b.all, n); err != nil {
		if isLarge {
			b.largeOnly.Release(n)
		}
		return nil, failed()
	}
	b.used.Add(n)
	return func() {
		b.used.Add(-n)
		b.all.Release(n)
		if isLarge {
			b.largeOnly.Release(n)
		}
	}, nil
}

// try reserves n bytes if they are available.
func (b *budget) try(n int64) bool {
	if b.capacity == 0 {
		return true
	}
	if !b.all.TryAcquire(n) {
		return false
	}
	b.used.Add(n)
	return true
}

// free releases n bytes that try has reserved.
func (b *budget) free(n int64) {
	if b.capacity == 0 || n == 0 {
		return
	}
	b.used.Add(-n)
	b.all.Release(n)
}
