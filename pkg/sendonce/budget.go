package sendonce

import (
	"errors"
	"sync/atomic"
)

// ErrOverBudget is returned for a large response when others already use the memory for
// large responses.
var ErrOverBudget = errors.New("no memory for a large response")

// smallResponse is the number of bytes of each response that needs no memory from a Budget.
const smallResponse = 16 << 10

// Budget is memory for large responses that several clients share. It is safe for
// concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// account counts the bytes of one response, of a streamed one those since its last progress. A
// nil account counts nothing.
type account struct {
	budget *Budget
	read   int64
	taken  int64
}

func (b *Budget) newAccount() *account {
	if b == nil {
		return nil
	}
	return &account{budget: b}
}

// take counts bytes that were read and reports whether there is memory for them.
func (a *account) take(n int) bool {
	if a == nil {
		return true
	}
	a.read += int64(n)
	more := a.read - smallResponse - a.taken
	if more <= 0 {
		return true
	}
	if a.budget.left.Add(-more) < 0 {
		a.budget.left.Add(more)
		return false
	}
	a.taken += more
	return true
}

// close returns the memory to the budget. The account counts anew from then on.
func (a *account) close() {
	if a != nil {
		a.budget.left.Add(a.taken)
		a.read, a.taken = 0, 0
	}
}
