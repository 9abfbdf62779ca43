package baseline

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

func newPolicy(s *sim) policy {
	switch s.options.Policy {
	case "round-robin":
		return &roundRobin{sim: s, next: make([]int, s.options.Hosts)}
	case "least-load":
		return newLeastLoad(s)
	case "ideal":
		return newIdeal(s)
	default:
		return newPlacementPolicy(s)
	}
}

// roundRobin chooses engines in rotation at each host and ignores load reports.
type roundRobin struct {
	sim  *sim
	next []int
}

func (r *roundRobin) place(h int, j *job) {
	r.next[h]++
	r.sim.placed(j, r.pick(h, j, engine.Prefill), r.pick(h, j, engine.Decode))
}

func (r *roundRobin) pick(h int, j *job, role engine.Role) ident.BackendID {
	fit := candidates(r.sim, j, role)
	return fit[(r.next[h]+h)%len(fit)].info.ID
}

func (*roundRobin) prefillDone(int, *job)            {}
func (*roundRobin) release(int, *job, int)           {}
func (*roundRobin) unreachable(int, ident.BackendID) {}
func (*roundRobin) hostFailed(int)                   {}

// candidates returns the engines of a role that the job has not excluded.
func candidates(s *sim, j *job, role engine.Role) []*fakeEngine {
	var fit []*fakeEngine
	for _, e := range s.engineList {
		if e.info.Role == role && !slices.Contains(j.exclude, e.info.ID) {
			fit = append(fit, e)
		}
	}
	return fit
}

// leastLoad chooses the engine with the fewest requests in its last report. A host
// avoids an engine that it failed to reach until the engine's next report.
type leastLoad struct {
	sim  *sim
	load []map[ident.BackendID]int
	down []map[ident.BackendID]bool
}

func newLeastLoad(s *sim) *leastLoad {
	l := &leastLoad{sim: s}
	for h := range s.options.Hosts {
		l.load = append(l.load, map[ident.BackendID]int{})
		l.down = append(l.down, map[ident.BackendID]bool{})
		s.every(pollPeriod, s.running, func() { l.poll(h) })
	}
	return l
}

func (l *leastLoad) poll(h int) {
	for _, e := range l.sim.engineList {
		if e.dead {
			l.down[h][e.info.ID] = true
			continue
		}
		r := e.report()
		l.sim.after(reportLag, func() {
			l.load[h][r.ID] = r.Running + r.Queued
			delete(l.down[h], r.ID)
		})
	}
}

func (l *leastLoad) place(h int, j *job) {
	l.sim.placed(j, l.pick(h, j, engine.Prefill), l.pick(h, j, engine.Decode))
}

func (l *leastLoad) pick(h int, j *job, role engine.Role) ident.BackendID {
	var best []ident.BackendID
	for _, e := range candidates(l.sim, j, role) {
		id := e.info.ID
		switch {
		case l.down[h][id]:
		case len(best) == 0 || l.load[h][id] < l.load[h][best[0]]:
			best = []ident.BackendID{id}
		case l.load[h][id] == l.load[h][best[0]]:
			best = append(best, id)
		}
	}
	if len(best) == 0 {
		return candidates(l.sim, j, role)[0].info.ID
	}
	return best[l.sim.rng.IntN(len(best))]
}

func (*leastLoad) prefillDone(int, *job)                   {}
func (*leastLoad) release(int, *job, int)                  {}
func (*leastLoad) hostFailed(int)                          {}
func (l *leastLoad) unreachable(h int, id ident.BackendID) { l.down[h][id] = true }

// placementPolicy runs one placement.Placer per host.
type placementPolicy struct {
	sim     *sim
	placers []*placement.Placer
	views   []placement.HostView
}

func newPlacementPolicy(s *sim) *placementPolicy {
	p := &placementPolicy{sim: s}
	var infos []engine.Info
	for _, h := range s.hosts {
		p.views = append(p.views, placement.HostView{Process: h.process, Domain: domain, Live: true})
	}
	for _, e := range s.engineList {
		infos = append(infos, e.info)
	}
	for n, h := range s.hosts {
		cfg := placement.DefaultConfig(h.process, domain)
		cfg.Seed = s.options.Seed + uint64(n)
		p.placers = append(p.placers, placement.New(cfg, wallStart))
		p.apply(n, p.placers[n].SetHosts(wallStart, p.views))
		p.apply(n, p.placers[n].SetEngines(wallStart, infos))
		s.every(tickPeriod, s.running, func() { p.tick(n) })
		s.every(pollPeriod, s.running, func() { p.poll(n) })
	}
	return p
}

func (p *placementPolicy) hostFailed(dead int) {
	p.views[dead].Live = false
	for n, h := range p.sim.hosts {
		if !h.dead {
			p.apply(n, p.placers[n].SetHosts(p.sim.clock(), p.views))
		}
	}
}

func (p *placementPolicy) tick(n int) {
	if !p.sim.hosts[n].dead {
		p.apply(n, p.placers[n].Tick(p.sim.clock()))
	}
}

func (p *placementPolicy) poll(n int) {
	if p.sim.hosts[n].dead {
		return
	}
	for _, info := range p.placers[n].PolledEngines() {
		e := p.sim.engines[info.ID]
		if e.dead {
			p.sim.afterNetDelay(func() { p.apply(n, p.placers[n].Unreachable(p.sim.clock(), info.ID)) })
			continue
		}
		r, evs := e.report(), e.takeEvents()
		p.sim.after(reportLag, func() {
			p.placers[n].ApplyCacheEvents(p.sim.clock(), info.ID, evs)
			p.apply(n, p.placers[n].Report(p.sim.clock(), r))
		})
	}
}

// apply executes the decisions of a Placer.
func (p *placementPolicy) apply(n int, r placement.Result) {
	from := p.sim.hosts[n].process.Host
	for _, env := range r.Envelopes {
		if p.sim.options.MessageLoss > 0 && p.sim.rng.Float64() < p.sim.options.MessageLoss {
			continue
		}
		to := slices.IndexFunc(p.sim.hosts, func(h *simHost) bool { return h.process.Host == env.To })
		p.sim.afterNetDelay(func() {
			if !p.sim.hosts[to].dead {
				p.apply(to, p.placers[to].Receive(p.sim.clock(), from, env.Message))
			}
		})
	}
	for _, b := range r.Booked {
		if j := p.sim.hosts[n].jobs[b.Ref]; j != nil {
			p.sim.placed(j, b.Prefill.ID, b.Decode.ID)
		}
	}
	for _, f := range r.Refused {
		if j := p.sim.hosts[n].jobs[f.Ref]; j != nil && !f.Booked {
			p.sim.refused(j)
		}
	}
	for _, c := range r.Cancels {
		if e := p.sim.engines[c.Backend.ID]; !e.dead {
			e.cancel(c.Ref)
		}
	}
}

func (p *placementPolicy) place(h int, j *job) {
	s := p.sim
	p.apply(h, p.placers[h].Book(s.clock(), placement.Request{
		Ref:          j.ref(s.hosts[h].process),
		Organisation: j.organisation.name,
		Weight:       j.organisation.weight,
		Model:        model,
		PromptTokens: j.prompt,
		MaxTokens:    maxOutput,
		Prefix:       j.prefix(j.index),
		Offset:       j.offset,
		Budget:       p.budget(j),
		Wait:         j.first > 0,
		Exclude:      j.exclude,
	}))
}

// budget returns the time left until the first token is due. A resumed stream has
// already sent its first token, so it gets the full target for its next one.
func (p *placementPolicy) budget(j *job) time.Duration {
	if j.first > 0 {
		return firstTokenTarget
	}
	return max(time.Millisecond, firstTokenTarget-(p.sim.now-j.at))
}

func (p *placementPolicy) prefillDone(h int, j *job) {
	p.apply(h, p.placers[h].PrefillDone(p.sim.clock(), j.ref(p.sim.hosts[h].process)))
}

func (p *placementPolicy) release(h int, j *job, output int) {
	p.apply(h, p.placers[h].Release(p.sim.clock(), j.ref(p.sim.hosts[h].process), output))
}

func (p *placementPolicy) unreachable(h int, id ident.BackendID) {
	p.apply(h, p.placers[h].Unreachable(p.sim.clock(), id))
}
