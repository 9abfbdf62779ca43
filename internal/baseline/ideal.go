package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ideal is a scheduler with exact and immediate knowledge of every engine. It keeps
// one queue in order of arrival, which is also the order of deadlines except for
// retried requests, starts a prefill when an engine is idle and a decode slot is free,
// and refuses requests that cannot meet their target.
type ideal struct {
	sim      *sim
	queue    []*job
	pending  map[ident.BackendID]int // slots reserved and not yet in use
	reserved map[*job]ident.BackendID
}

func newIdeal(s *sim) *ideal {
	i := &ideal{sim: s, pending: map[ident.BackendID]int{}, reserved: map[*job]ident.BackendID{}}
	s.every(time.Millisecond, s.running, i.dispatch)
	return i
}

func (i *ideal) place(_ int, j *job) {
	i.queue = append(i.queue, j)
	i.dispatch()
}

func (i *ideal) dispatch() {
	for len(i.queue) > 0 {
		j := i.queue[0]
		due := j.at + firstTokenTarget
		need := prefillTime(j.prompt) + time.Duration(j.prompt)*linkPerToken + 2*netDelay + stepTime(engineSlots)
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
		i.reserved[j] = d.info.ID
		i.sim.after(2*(netDelay+netJitter), func() { i.pending[p.info.ID]-- })
		i.sim.placed(j, p.info.ID, d.info.ID)
	}
}

// idlePrefill returns the idle prefill engine with the longest prefix hit, or nil.
func (i *ideal) idlePrefill(j *job) *fakeEngine {
	fit := slices.DeleteFunc(candidates(i.sim, j, engine.Prefill), func(e *fakeEngine) bool {
		return e.dead || len(e.queue)+i.pending[e.info.ID] > 0
	})
	if len(fit) == 0 {
		return nil
	}
	prefix := j.prefix(j.index)
	return slices.MaxFunc(fit, func(a, b *fakeEngine) int {
		return cmp.Compare(a.prefixHit(prefix), b.prefixHit(prefix))
	})
}

func (i *ideal) freeDecode(j *job) *fakeEngine {
	used := func(e *fakeEngine) int { return len(e.streams) + len(e.imports) + i.pending[e.info.ID] }
	fit := slices.DeleteFunc(candidates(i.sim, j, engine.Decode), func(e *fakeEngine) bool {
		return e.dead || used(e) >= e.info.Slots
	})
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(a, b *fakeEngine) int { return cmp.Compare(used(a), used(b)) })
}

func (i *ideal) prefillDone(_ int, j *job) {
	// The import occupies the reserved slot one network delay later.
	i.sim.after(netDelay+netJitter, func() { i.releaseReservation(j) })
}

func (i *ideal) releaseReservation(j *job) {
	if id, ok := i.reserved[j]; ok {
		delete(i.reserved, j)
		i.pending[id]--
	}
}

func (i *ideal) release(_ int, j *job, _ int) {
	i.releaseReservation(j)
	i.dispatch()
}

func (*ideal) unreachable(int, ident.BackendID) {}

func (*ideal) hostFailed(int) {}
