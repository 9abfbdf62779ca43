package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// cluster connects the Placers of a few hosts by a simulated network in which a test
// can inject faults. Time advances in steps of 5 ms; a message takes one step.
type cluster struct {
	now     time.Time
	views   []placement.HostView
	engines []engine.Info
	placers map[ident.HostID]*placement.Placer
	stopped map[ident.HostID]bool
	sent    []packet
	cut     func(from, to ident.HostID, m placement.Message) bool
	rng     *rand.Rand // if set, messages are lost, repeated and delayed at random
	booked  map[ident.BackendRef][]placement.Booking
	refused map[ident.BackendRef][]placement.Refusal
	cancels []placement.Cancel
}

type packet struct {
	from, to ident.HostID
	message  placement.Message
	at       time.Time
}

const step = 5 * time.Millisecond

// newCluster starts n hosts in each domain.
func newCluster(n int, engines []engine.Info, domains ...ident.FailureDomain) *cluster {
	c := &cluster{
		now:     epoch,
		engines: engines,
		placers: map[ident.HostID]*placement.Placer{},
		stopped: map[ident.HostID]bool{},
		booked:  map[ident.BackendRef][]placement.Booking{},
		refused: map[ident.BackendRef][]placement.Refusal{},
	}
	for _, d := range domains {
		for i := range n {
			c.views = append(c.views, placement.HostView{Process: host(d, i), Domain: d, Live: true})
		}
	}
	for i, v := range c.views {
		cfg := placement.DefaultConfig(v.Process, v.Domain)
		cfg.Seed = uint64(i)
		c.placers[v.Process.Host] = placement.New(cfg, epoch)
	}
	c.setHosts()
	for _, v := range c.views {
		c.apply(v.Process.Host, c.at(v.Process).SetEngines(c.now, engines))
	}
	return c
}

func (c *cluster) at(p ident.Process) *placement.Placer { return c.placers[p.Host] }

// setHosts gives the membership view to every running host.
func (c *cluster) setHosts() {
	for _, v := range c.views {
		if !c.stopped[v.Process.Host] {
			c.apply(v.Process.Host, c.at(v.Process).SetHosts(c.now, c.views))
		}
	}
}

// kill stops a host. Membership does not change before declareDead.
func (c *cluster) kill(p ident.Process) { c.stopped[p.Host] = true }

func (c *cluster) declareDead(p ident.Process) {
	for i := range c.views {
		if c.views[i].Process == p {
			c.views[i].Live = false
		}
	}
	c.setHosts()
}

// owner returns the host that owns the test model's pool, and the others of the
// domain in rendezvous order.
func (c *cluster) owner(d ident.FailureDomain) (ident.Process, []ident.Process) {
	var ids []ident.HostID
	byID := map[ident.HostID]ident.Process{}
	for _, v := range c.views {
		if v.Domain == d && v.Live {
			ids = append(ids, v.Process.Host)
			byID[v.Process.Host] = v.Process
		}
	}
	var out []ident.Process
	for _, id := range ident.Rank("pool/"+string(model)+"/"+string(d), ids) {
		out = append(out, byID[id])
	}
	return out[0], out[1:]
}

func (c *cluster) book(p ident.Process, r placement.Request) {
	c.apply(p.Host, c.at(p).Book(c.now, r))
}

func (c *cluster) release(p ident.Process, ref ident.BackendRef) {
	c.apply(p.Host, c.at(p).Release(c.now, ref, 100))
}

func (c *cluster) prefilled(p ident.Process, ref ident.BackendRef) {
	c.apply(p.Host, c.at(p).PrefillDone(c.now, ref))
}

func (c *cluster) report(p ident.Process, r engine.Report) {
	c.apply(p.Host, c.at(p).Report(c.now, r))
}

func (c *cluster) recall(p ident.Process, r placement.Recall) {
	c.apply(p.Host, c.at(p).SetRecall(c.now, r))
}

// apply records decisions and sends messages over the network.
func (c *cluster) apply(from ident.HostID, r placement.Result) {
	for _, b := range r.Booked {
		c.booked[b.Ref] = append(c.booked[b.Ref], b)
	}
	for _, f := range r.Refused {
		c.refused[f.Ref] = append(c.refused[f.Ref], f)
	}
	c.cancels = append(c.cancels, r.Cancels...)
	for _, e := range r.Envelopes {
		if c.cut != nil && c.cut(from, e.To, e.Message) {
			continue
		}
		for range c.copies() {
			c.sent = append(c.sent, packet{from, e.To, e.Message, c.now.Add(c.delay())})
		}
	}
}

// copies returns how often a message is delivered: 0 if lost, 2 if repeated.
func (c *cluster) copies() int {
	if c.rng == nil {
		return 1
	}
	switch c.rng.IntN(10) {
	case 0:
		return 0
	case 1:
		return 2
	}
	return 1
}

func (c *cluster) delay() time.Duration {
	if c.rng == nil {
		return step
	}
	return time.Duration(c.rng.IntN(30)) * step
}

// run advances the time, delivers messages and ticks the running hosts.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		c.deliver()
		for _, v := range c.views {
			if id := v.Process.Host; !c.stopped[id] {
				c.apply(id, c.placers[id].Tick(c.now))
			}
		}
	}
}

func (c *cluster) deliver() {
	due := slices.Clone(c.sent)
	c.sent = slices.DeleteFunc(c.sent, func(m packet) bool { return !m.at.After(c.now) })
	for _, m := range due {
		if !m.at.After(c.now) && !c.stopped[m.to] && c.placers[m.to] != nil {
			c.apply(m.to, c.placers[m.to].Receive(c.now, m.from, m.message))
		}
	}
}

// free returns the free slots that a host publishes for the test model, or -1 if it
// publishes none.
func (c *cluster) free(p ident.Process) int {
	for _, f := range c.at(p).Free() {
		if f.Model == model {
			return f.Free
		}
	}
	return -1
}

// enginesOf returns one prefill engine and n decode engines of one version.
func enginesOf(d ident.FailureDomain, n int, v ident.Version) []engine.Info {
	out := []engine.Info{backend(d, engine.Prefill, 0, v)}
	for i := range n {
		out = append(out, backend(d, engine.Decode, i, v))
	}
	return out
}

// reportOf returns a report of an engine that holds the given attempts.
func reportOf(e engine.Info, sequence uint64, held ...ident.BackendRef) engine.Report {
	r := engine.Report{ID: e.ID, Sequence: sequence, Start: 1, Role: e.Role, Model: e.Model,
		Version: e.Version, Slots: e.Slots, Running: len(held)}
	for _, ref := range held {
		r.Held = append(r.Held, engine.HeldRequest{Ref: ref})
	}
	return r
}
