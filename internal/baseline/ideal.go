package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ideal knows the true state of every engine at once. It keeps one queue, starts a
// prefill when an engine is idle and a slot is free, serves the request with the
// earliest due time first, and drops those that cannot meet their target.
type ideal struct {
	sim     *sim
	queue   []*job
	pending map[ident.BackendID]int // slots promised and not yet taken
	promise map[*job]ident.BackendID
}

func newIdeal(s *sim) *ideal {
	i := &ideal{sim: s, pending: map[ident.BackendID]int{}, promise: map[*job]ident.BackendID{}}
	s.every(time.Millisecond, s.o.Duration+time.Minute, i.dispatch)
	return i
}

func (i *ideal) book(_ int, j *job) {
	i.queue = append(i.queue, j)
	i.dispatch()
}

func (i *ideal) dispatch() {
	for len(i.queue) > 0 {
		j := i.queue[0]
		due := j.at + firstTokenTarget
		need := prefillTime(j.prompt) + time.Duration(j.prompt)*linkPerToken + 2*netDelay + stepTime(slots)
		if j.first == 0 && i.sim.now+need > due {
			i.queue = i.queue[1:]
			i.sim.refused(j)
			continue
		}
		p, d := i.idlePrefill(j), i.freeDecode(j)
		if p == nil || d == nil {
			return
		}
		i.queue = i.queue[1:]
		i.pending[p.info.ID]++
		i.pending[d.info.ID]++
		i.promise[j] = d.info.ID
		i.sim.after(2*(netDelay+netJitter), func() { i.pending[p.info.ID]-- })
		i.sim.booked(j, p.info.ID, d.info.ID)
	}
}

// idlePrefill returns an idle engine, the one with the longest prefix hit.
func (i *ideal) idlePrefill(j *job) *fakeEngine {
	fit := slices.DeleteFunc(candidates(i.sim, j, engine.Prefill), func(e *fakeEngine) bool {
		return e.dead || len(e.queue)+i.pending[e.info.ID] > 0
	})
	if len(fit) == 0 {
		return nil
	}
	prefix := j.prefix(j.n)
	return slices.MaxFunc(fit, func(a, b *fakeEngine) int {
		return cmp.Compare(a.lookup(prefix), b.lookup(prefix))
	})
}

func (i *ideal) freeDecode(j *job) *fakeEngine {
	used := func(e *fakeEngine) int { return len(e.streams) + len(e.importer) + i.pending[e.info.ID] }
	fit := slices.DeleteFunc(candidates(i.sim, j, engine.Decode), func(e *fakeEngine) bool {
		return e.dead || used(e) >= e.info.Slots
	})
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(a, b *fakeEngine) int { return cmp.Compare(used(a), used(b)) })
}

func (i *ideal) prefillDone(_ int, j *job) {
	// The import takes the promised slot one network delay later.
	i.sim.after(netDelay+netJitter, func() { i.settle(j) })
}

func (i *ideal) settle(j *job) {
	if id, ok := i.promise[j]; ok {
		delete(i.promise, j)
		i.pending[id]--
	}
}

func (i *ideal) release(_ int, j *job, _ int) {
	i.settle(j)
	i.dispatch()
}

func (*ideal) unreachable(int, ident.BackendID) {}
