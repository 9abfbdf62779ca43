package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
)

// newFleetLimiter returns a limiter that can mint, with organisations and peers.
func newFleetLimiter(orgs, hosts int) (*limits.Limiter, []ident.Organisation, time.Time) {
	l := limits.New(limits.DefaultConfig(self, "d0"), epoch)
	ps := map[ident.Organisation]limits.Policy{}
	names := make([]ident.Organisation, orgs)
	for i := range names {
		names[i] = ident.Organisation(fmt.Sprint("org-", i))
		ps[names[i]] = limits.Policy{Rate: 1e9, Burst: 1e9}
	}
	var peers []limits.Peer
	for i := range hosts {
		peers = append(peers, limits.Peer{Host: ident.HostID(fmt.Sprint("p", i)), Domain: "d0"})
	}
	for i := range 36 {
		peers = append(peers, limits.Peer{Host: ident.HostID(fmt.Sprint("r", i)), Domain: ident.FailureDomain(fmt.Sprint("d", 1+i/2))})
	}
	l.SetPolicies(epoch, 1/float64(hosts), ps)
	now := epoch
	for range 10 {
		now = now.Add(time.Second)
		l.Contact(now)
	}
	l.SetPeers(now, peers)
	return l, names, now
}

func runSizes(b *testing.B, run func(b *testing.B, l *limits.Limiter, names []ident.Organisation, now time.Time)) {
	for _, hosts := range []int{8, 90} {
		for _, orgs := range []int{10, 100, 410} {
			b.Run(fmt.Sprintf("hosts=%d/orgs=%d", hosts, orgs), func(b *testing.B) {
				l, names, now := newFleetLimiter(orgs, hosts)
				b.ReportAllocs()
				run(b, l, names, now)
			})
		}
	}
}

// requestIDs returns enough request ids that one is settled before its next use.
func requestIDs() []ident.RequestID {
	ids := make([]ident.RequestID, 1024)
	for i := range ids {
		ids[i] = ident.NewRequestID(self, uint64(i))
	}
	return ids
}

// BenchmarkReserveSettle measures Reserve and Settle with 512 requests open.
func BenchmarkReserveSettle(b *testing.B) {
	runSizes(b, func(b *testing.B, l *limits.Limiter, names []ident.Organisation, now time.Time) {
		ids := requestIDs()
		i := 0
		for b.Loop() {
			now = now.Add(time.Microsecond)
			l.Reserve(now, names[i%len(names)], ids[i%1024], 1000)
			l.Settle(now, ids[(i+512)%1024], 500)
			if i++; i%1000 == 0 {
				l.Contact(now)
			}
		}
	})
}

// borrowMessage returns the n-th Borrow of host p1, for one organisation after another.
func borrowMessage(n uint64, names []ident.Organisation, tokens int64, step limits.Step) limits.Message {
	return limits.Message{Borrow: &limits.Borrow{
		ID:           limits.ID{Process: ident.Process{Host: "p1", Incarnation: 1}, Number: n},
		Organisation: names[n%uint64(len(names))], Policy: limits.Policy{Rate: 1e9, Burst: 1e9},
		Need: tokens, Want: tokens, TTL: time.Second, Step: step,
	}}
}

// BenchmarkReceive measures a Borrow at a lender and the Return of the loan.
func BenchmarkReceive(b *testing.B) {
	runSizes(b, func(b *testing.B, l *limits.Limiter, names []ident.Organisation, now time.Time) {
		number := uint64(0)
		for b.Loop() {
			now = now.Add(100 * time.Microsecond)
			number++
			res := l.Receive(now, "p0", borrowMessage(number, names, 100, limits.ToLender))
			loan := res.Envelopes[0].Message.Loan
			l.Receive(now, "p1", limits.Message{Return: &limits.Return{Loans: []limits.Returned{{Number: loan.ID.Number, Process: self.Incarnation, Capacity: 100}}}})
			if number%1000 == 0 {
				l.Contact(now)
			}
		}
	})
}

// BenchmarkHub measures a Borrow at a hub that gets no answers from lenders.
func BenchmarkHub(b *testing.B) {
	runSizes(b, func(b *testing.B, l *limits.Limiter, names []ident.Organisation, now time.Time) {
		number := uint64(0)
		for b.Loop() {
			now = now.Add(500 * time.Microsecond)
			number++
			l.Receive(now, "p1", borrowMessage(number, names, 2e8, limits.ToHub))
			if number%100 == 0 {
				l.Contact(now)
				l.Tick(now)
			}
		}
	})
}

// BenchmarkTick measures a Tick while a loan of every organisation is outstanding.
func BenchmarkTick(b *testing.B) {
	runSizes(b, func(b *testing.B, l *limits.Limiter, names []ident.Organisation, now time.Time) {
		number := uint64(0)
		for i := 0; b.Loop(); i++ {
			if i%10 == 0 {
				b.StopTimer()
				l.Contact(now)
				for range names {
					number++
					l.Receive(now, "p0", borrowMessage(number, names, 100, limits.ToLender))
				}
				b.StartTimer()
			}
			now = now.Add(50 * time.Millisecond)
			l.Tick(now)
		}
	})
}
