package limits

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Total returns level + refundable, the quantity whose sum over all hosts must
// never exceed the burst.
func (l *Limiter) Total(now time.Time, org ident.Organisation) float64 {
	l.advance(now)
	b := l.orgs[org]
	if b == nil {
		return 0
	}
	l.refresh(b)
	return b.total()
}

// HeldRecords counts what the limiter keeps per request and per loan.
func (l *Limiter) HeldRecords() int {
	n := len(l.reservations) + len(l.waiters) + len(l.borrows) + len(l.lent.queue) + len(l.hub.requests) + len(l.active)
	for _, b := range l.orgs {
		n += len(b.open) + len(b.loans)
	}
	return n
}
