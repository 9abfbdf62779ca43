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
	// smallOnly is for heads and small bodies, so that they never wait behind large ones.
	smallOnly, largeOnly *semaphore.Weighted
	used                 atomic.Int64
	// reclaim asks slow callers to give back at least n bytes of large or of small bodies.
	reclaim func(n int64, large bool)
}

func newBudget(p plan) *budget {
	return &budget{
		capacity: p.body, large: p.largeBody,
		smallOnly: semaphore.NewWeighted(p.body - p.largeBody), largeOnly: semaphore.NewWeighted(p.largeBody),
		reclaim: func(int64, bool) {},
	}
}

// acquire reserves n bytes for a body of size bytes in total, at most the capacity, and returns
// a function that releases them. If they are not available it closes slow callers, and waits
// until ctx ends or for BudgetWait.
func (b *budget) acquire(ctx context.Context, n, size int64) (release func(), err error) {
	if b.capacity == 0 {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, BudgetWait)
	defer cancel()
	isLarge := size > SmallBody
	pool, most := b.smallOnly, b.capacity-b.large
	if isLarge {
		pool, most = b.largeOnly, b.large
	}
	want := n
	n = min(n, most)
	if !pool.TryAcquire(n) {
		b.reclaim(n, isLarge)
		if err := pool.Acquire(ctx, n); err != nil {
			return nil, fmt.Errorf("%w: need %d of %d bytes", ErrBudget, want, most)
		}
	}
	b.used.Add(n)
	return func() {
		b.used.Add(-n)
		pool.Release(n)
	}, nil
}

// try reserves n bytes if they are available.
func (b *budget) try(n int64) bool {
	if b.capacity == 0 {
		return true
	}
	if !b.smallOnly.TryAcquire(n) {
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
	b.smallOnly.Release(n)
}
