package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// benchPool is a host that owns a pool and books its own requests there.
type benchPool struct {
	p       *placement.Placer
	self    ident.Process
	now     time.Time
	engines []engine.Info
	held    []ident.BackendRef // by the last engine
	orgs    int
	next    uint64
}

const benchQueue = 200

// newBenchPool creates a pool in which a quarter of the engines are prefill engines.
// With full set, all slots are taken and benchQueue requests are queued.
func newBenchPool(engines, orgs int, full bool) *benchPool {
	l := &benchPool{self: host(teku, 0), now: epoch, orgs: orgs}
	l.p = placement.New(placement.DefaultConfig(l.self, teku), l.now)
	for n := range engines {
		role := engine.Decode
		if n%4 == 0 {
			role = engine.Prefill
		}
		l.engines = append(l.engines, backend(teku, role, n, "v1"))
	}
	l.p.SetEngines(l.now, l.engines)
	if !full {
		return l
	}
	slots := engines * 3 / 4 * 20
	for range slots + benchQueue {
		r := l.request()
		out := l.p.Book(l.now, r)
		for _, b := range out.Booked {
			l.p.PrefillDone(l.now, b.Ref)
			if b.Decode.ID == l.engines[engines-1].ID {
				l.held = append(l.held, b.Ref)
			}
		}
	}
	return l
}

func (l *benchPool) request() placement.Request {
	l.next++
	r := request(l.self, l.next)
	r.Organisation = ident.Organisation(fmt.Sprint("org-", l.next%uint64(l.orgs)))
	r.Wait = true
	r.Prefix = []uint64{l.next % 50, l.next, l.next + 1, l.next + 2}
	return r
}

// forEachSize runs a benchmark for several numbers of engines and of organisations.
func forEachSize(b *testing.B, run func(b *testing.B, engines, orgs int)) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("engines=%d/orgs=5", n), func(b *testing.B) { run(b, n, 5) })
	}
	for _, n := range []int{50, 410} {
		b.Run(fmt.Sprintf("engines=16/orgs=%d", n), func(b *testing.B) { run(b, 16, n) })
	}
}

// BenchmarkBook measures a request on an idle pool from Book to Release.
func BenchmarkBook(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, orgs int) {
		l := newBenchPool(engines, orgs, false)
		b.ReportAllocs()
		for b.Loop() {
			r := l.request()
			l.p.Book(l.now, r)
			l.p.PrefillDone(l.now, r.Ref)
			l.p.Release(l.now, r.Ref, 100)
		}
	})
}

// BenchmarkBookQueued measures a request that is queued at a full pool and released
// from the queue.
func BenchmarkBookQueued(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, orgs int) {
		l := newBenchPool(engines, orgs, true)
		b.ReportAllocs()
		for b.Loop() {
			r := l.request()
			l.p.Book(l.now, r)
			l.p.Release(l.now, r.Ref, 0)
		}
	})
}

// BenchmarkReport measures how the owner processes a report of a full decode engine.
func BenchmarkReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, orgs int) {
		l := newBenchPool(engines, orgs, true)
		last := l.engines[engines-1]
		sequence := uint64(0)
		b.ReportAllocs()
		for b.Loop() {
			sequence++
			l.p.Report(l.now, reportOf(last, sequence, l.held...))
		}
	})
}

// BenchmarkReceive measures how the owner handles Book and Release of another host.
func BenchmarkReceive(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, orgs int) {
		l := newBenchPool(engines, orgs, true)
		other := host(teku, 1)
		n := uint64(0)
		b.ReportAllocs()
		for b.Loop() {
			n++
			ref := request(other, n).Ref
			l.p.Receive(l.now, other.Host, placement.Message{Book: &placement.Book{
				Pool:         placement.Pool{Model: model, Domain: teku},
				Round:        1,
				Ref:          ref,
				Organisation: ident.Organisation(fmt.Sprint("org-", n%uint64(orgs))),
				Weight:       1,
				PromptTokens: 4000,
				MaxTokens:    300,
				Budget:       time.Second,
				Wait:         true,
			}})
			l.p.Receive(l.now, other.Host, placement.Message{Release: &placement.Release{Ref: ref, Round: 1}})
		}
	})
}

// BenchmarkTick measures a tick of an owner whose pool has a queue.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, orgs int) {
		l := newBenchPool(engines, orgs, true)
		b.ReportAllocs()
		for b.Loop() {
			l.now = l.now.Add(20 * time.Microsecond)
			l.p.Tick(l.now)
		}
	})
}

// BenchmarkSetEngines measures SetEngines with a list of the target scale.
func BenchmarkSetEngines(b *testing.B) {
	var list []engine.Info
	for n := range 12_000 {
		e := backend(ident.FailureDomain(fmt.Sprint("domain-", n%19)), engine.Decode, n, "v1")
		e.Model = ident.Model(fmt.Sprint("model-", n%37))
		list = append(list, e)
	}
	p := placement.New(placement.DefaultConfig(host(teku, 0), "domain-0"), epoch)
	b.ReportAllocs()
	for b.Loop() {
		p.SetEngines(epoch, list)
	}
}
