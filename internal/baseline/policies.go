package baseline

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

func newPolicy(s *sim) policy {
	switch s.o.Policy {
	case "round-robin":
		return &roundRobin{sim: s, next: make([]int, s.o.Hosts)}
	case "least-load":
		return newLeastLoad(s)
	case "ideal":
		return newIdeal(s)
	default:
		return newPlacers(s)
	}
}

// roundRobin takes the engines in turn at each host, without reports.
type roundRobin struct {
	sim  *sim
	next []int
}

func (r *roundRobin) book(h int, j *job) {
	r.next[h]++
	r.sim.booked(j, r.pick(h, j, engine.Prefill), r.pick(h, j, engine.Decode))
}

func (r *roundRobin) pick(h int, j *job, role engine.Role) ident.BackendID {
	fit := candidates(r.sim, j, role)
	return fit[(r.next[h]+h)%len(fit)].info.ID
}

func (*roundRobin) prefillDone(int, *job)            {}
func (*roundRobin) release(int, *job, int)           {}
func (*roundRobin) unreachable(int, ident.BackendID) {}
func (*roundRobin) hostDead(int)                     {}

// candidates returns the engines of a role that the job has not excluded.
func candidates(s *sim, j *job, role engine.Role) []*fakeEngine {
	var fit []*fakeEngine
	for _, e := range s.order {
		if e.info.Role == role && !slices.Contains(j.exclude, e.info.ID) {
			fit = append(fit, e)
		}
	}
	return fit
}

// leastLoad takes the engine with the fewest requests in its last report. A host
// avoids an engine that it could not reach until a report arrives.
type leastLoad struct {
	sim  *sim
	load []map[ident.BackendID]int
	down []map[ident.BackendID]bool
}

func newLeastLoad(s *sim) *leastLoad {
	l := &leastLoad{sim: s}
	for h := range s.o.Hosts {
		l.load = append(l.load, map[ident.BackendID]int{})
		l.down = append(l.down, map[ident.BackendID]bool{})
		s.every(pollPeriod, s.running, func() { l.poll(h) })
	}
	return l
}

func (l *leastLoad) poll(h int) {
	for _, e := range l.sim.order {
		if e.dead {
			l.down[h][e.info.ID] = true
			continue
		}
		r := e.report()
		l.sim.after(reportLag, func() { l.load[h][r.ID] = r.Running + r.Queued })
	}
}

func (l *leastLoad) book(h int, j *job) {
	l.sim.booked(j, l.pick(h, j, engine.Prefill), l.pick(h, j, engine.Decode))
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
func (*leastLoad) hostDead(int)                            {}
func (l *leastLoad) unreachable(h int, id ident.BackendID) { l.down[h][id] = true }

// placers drives one Placer per host.
type placers struct {
	sim   *sim
	each  []*placement.Placer
	views []placement.HostView
}

func newPlacers(s *sim) *placers {
	p := &placers{sim: s}
	var infos []engine.Info
	for _, h := range s.hosts {
		p.views = append(p.views, placement.HostView{Process: h.process, Domain: domain, Live: true})
	}
	for _, e := range s.order {
		infos = append(infos, e.info)
	}
	for n, h := range s.hosts {
		cfg := placement.DefaultConfig(h.process, domain)
		cfg.Seed = s.o.Seed + uint64(n)
		p.each = append(p.each, placement.New(cfg, wallStart))
		p.apply(n, p.each[n].SetHosts(wallStart, p.views))
		p.apply(n, p.each[n].SetEngines(wallStart, infos))
		s.every(tickPeriod, s.running, func() { p.tick(n) })
		s.every(pollPeriod, s.running, func() { p.poll(n) })
	}
	return p
}

func (p *placers) hostDead(dead int) {
	p.views[dead].Live = false
	for n, h := range p.sim.hosts {
		if !h.dead {
			p.apply(n, p.each[n].SetHosts(p.sim.clock(), p.views))
		}
	}
}

func (p *placers) tick(n int) {
	if !p.sim.hosts[n].dead {
		p.apply(n, p.each[n].Tick(p.sim.clock()))
	}
}

func (p *placers) poll(n int) {
	if p.sim.hosts[n].dead {
		return
	}
	for _, info := range p.each[n].Polls() {
		e := p.sim.engines[info.ID]
		if e.dead {
			p.sim.net(func() { p.apply(n, p.each[n].Unreachable(p.sim.clock(), info.ID)) })
			continue
		}
		r, evs := e.report(), e.takeEvents()
		p.sim.after(reportLag, func() {
			p.each[n].Events(p.sim.clock(), info.ID, evs)
			p.apply(n, p.each[n].Report(p.sim.clock(), r))
		})
	}
}

// apply executes what a Placer has decided.
func (p *placers) apply(n int, r placement.Result) {
	from := p.sim.hosts[n].process.Host
	for _, env := range r.Envelopes {
		if p.sim.o.Loss > 0 && p.sim.rng.Float64() < p.sim.o.Loss {
			continue
		}
		to := slices.IndexFunc(p.sim.hosts, func(h *simHost) bool { return h.process.Host == env.To })
		p.sim.net(func() {
			if !p.sim.hosts[to].dead {
				p.apply(to, p.each[to].Receive(p.sim.clock(), from, env.Message))
			}
		})
	}
	for _, b := range r.Booked {
		if j := p.sim.hosts[n].jobs[b.Ref]; j != nil {
			p.sim.booked(j, b.Prefill.ID, b.Decode.ID)
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

func (p *placers) book(h int, j *job) {
	s := p.sim
	p.apply(h, p.each[h].Book(s.clock(), placement.Request{
		Ref:          j.ref(s.hosts[h].process),
		Organisation: j.tenant.name,
		Weight:       j.tenant.weight,
		Model:        model,
		PromptTokens: j.prompt,
		MaxTokens:    maxOutput,
		Prefix:       j.prefix(j.n),
		Offset:       j.offset,
		Budget:       p.budget(j),
		Wait:         j.first > 0,
		Exclude:      j.exclude,
	}))
}

// budget is the time until the first token is due. A resumed stream has had its
// first token; the next one is due soon.
func (p *placers) budget(j *job) time.Duration {
	if j.first > 0 {
		return firstTokenTarget
	}
	return max(time.Millisecond, firstTokenTarget-(p.sim.now-j.at))
}

func (p *placers) prefillDone(h int, j *job) {
	p.apply(h, p.each[h].PrefillDone(p.sim.clock(), j.ref(p.sim.hosts[h].process)))
}

func (p *placers) release(h int, j *job, output int) {
	p.apply(h, p.each[h].Release(p.sim.clock(), j.ref(p.sim.hosts[h].process), output))
}

func (p *placers) unreachable(h int, id ident.BackendID) {
	p.apply(h, p.each[h].Unreachable(p.sim.clock(), id))
}
