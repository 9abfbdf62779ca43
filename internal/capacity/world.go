package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Latencies of the simulated network, engines, services and platform. A stream of 304
// tokens at 30 ms takes 9 s.
const (
	networkLatency = 500 * time.Microsecond
	prefillTime    = 40 * time.Millisecond
	transferTime   = 10 * time.Millisecond
	streamTime     = outputTokens * 30 * time.Millisecond
	reportTime     = 2 * time.Millisecond
	callTime       = 5 * time.Millisecond
	maxWatchTime   = 10 * time.Second
)

func (c *Cluster) arrive(h *host) {
	c.after(c.gap(), func() { c.arrive(h) })
	if c.quiet {
		return
	}
	h.next++
	id := ident.NewRequestID(ident.Process{Host: h.id, Incarnation: 1}, h.next)
	o := c.rng.IntN(c.Shape.Organisations)
	key := ident.KeyID(fmt.Sprintf("key-%03d", o))
	// The ratio of one call of a plain service to ten completions is an assumption.
	if c.rng.IntN(11) == 0 {
		c.step(h, node.ServiceArrived{
			ID: id, Key: key, Organisation: organisationName(o), Path: "/desk/book",
			IdempotencyKey: uuid7(c.now, h.next), BodyDigest: h.next, WallTime: c.now,
		})
		return
	}
	c.step(h, node.CompletionArrived{
		ID: id, Key: key, Organisation: organisationName(o),
		Model:        modelName(c.rng.IntN(c.Shape.Models)),
		PromptTokens: promptTokens, MaxTokens: outputTokens,
		Prefix: []uint64{c.rng.Uint64N(64), c.rng.Uint64()},
	})
	if c.rng.IntN(50) == 0 {
		c.after(3*time.Second, func() { c.step(h, node.CallerGone{ID: id}) })
	}
}

// uuid7 returns a version 7 UUID. Its timestamp shows the router that the call is not a
// repeat.
func uuid7(now time.Time, n uint64) string {
	ms := now.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8000-%012x", ms>>16, ms&0xffff, n&0xfff, n)
}

// applyEffect carries out an effect other than a message.
func (c *Cluster) applyEffect(h *host, effect node.Effect) {
	switch e := effect.(type) {
	case node.Prefill:
		r := engine.PrefillResult{Ref: e.Ref, Tokens: promptTokens, Checksum: 7, Bytes: 1 << 28, Lifetime: 800 * time.Millisecond}
		c.hold(e.Engine.ID, e.Ref)
		c.stepAfter(h, prefillTime, node.PrefillEnded{Ref: e.Ref, Result: r})
	case node.Import:
		c.hold(e.Decode.ID, e.Ref)
		c.release(e.Source.ID, e.Ref)
		c.stepAfter(h, transferTime, node.ImportEnded{Ref: e.Ref, Result: engine.ImportResult{Ref: e.Ref, Checksum: 7}})
	case node.Decode:
		c.stepAfter(h, 30*time.Millisecond, node.DecodeStarted{Ref: e.Ref})
		c.after(streamTime, func() {
			c.release(e.Engine.ID, e.Ref)
			c.step(h, node.DecodeEnded{Ref: e.Ref, Delivered: outputTokens})
		})
	case node.CancelBackend:
		c.release(e.Backend.ID, e.Ref)
	case node.CallService:
		end := node.ServiceEnded{Ref: e.Ref, Status: 200}
		if e.KeepBody {
			end.Body = make([]byte, 200)
		}
		c.stepAfter(h, callTime, end)
	case node.PollEngine:
		c.after(reportTime, func() { c.report(h, e.Engine) })
	case node.ReadConfig:
		c.watchConfig(h, e)
	case node.ReadHosts:
		c.watchHosts(h, e)
	case node.Refuse:
		if h.measured {
			c.Meter.refused[e.Code]++
		}
	case node.Complete:
		if h.measured {
			c.Meter.completed++
		}
	}
}

func (c *Cluster) stepAfter(h *host, d time.Duration, ev node.Event) {
	c.after(d, func() { c.step(h, ev) })
}

func (c *Cluster) hold(id ident.BackendID, ref ident.BackendRef) {
	if c.held[id] == nil {
		c.held[id] = map[ident.BackendRef]time.Time{}
	}
	c.held[id][ref] = c.now
}

func (c *Cluster) release(id ident.BackendID, ref ident.BackendRef) { delete(c.held[id], ref) }

// report sends a host the state of an engine and, for a prefill engine, two cache events.
func (c *Cluster) report(h *host, info engine.Info) {
	c.seq++
	r := engine.Report{
		ID: info.ID, Sequence: c.seq, Start: 1, Role: info.Role, Model: info.Model,
		Version: info.Version, Slots: info.Slots, Running: len(c.held[info.ID]),
	}
	for ref, at := range c.held[info.ID] {
		r.Held = append(r.Held, engine.HeldRequest{Ref: ref, Age: c.now.Sub(at)})
	}
	slices.SortFunc(r.Held, func(a, b engine.HeldRequest) int { return int(b.Age - a.Age) })
	c.step(h, node.EngineReported{Report: r})
	if info.Role == engine.Prefill {
		events := []engine.CacheEvent{
			{Sequence: 2*c.seq - 1, Block: c.rng.Uint64(), Stored: true},
			{Sequence: 2 * c.seq, Block: c.rng.Uint64(), Stored: false},
		}
		c.step(h, node.EngineCacheChanged{ID: info.ID, Events: events})
	}
}

// watchConfig answers a plain read, and a watch by a host without the newest revision,
// after a short delay. It answers any other watch when the revision changes or its wait
// time ends.
func (c *Cluster) watchConfig(h *host, e node.ReadConfig) {
	start := max(0, e.Read.NotBefore.Sub(c.now)) + time.Millisecond
	c.after(start, func() {
		if e.Read.Have != c.gen.Revision || e.Read.After == 0 {
			c.answerConfig(h, e.Read)
			return
		}
		h.config = &e
		c.after(e.Read.Wait, func() {
			if h.config == &e {
				h.config = nil
				c.answerConfig(h, e.Read)
			}
		})
	})
}

func (c *Cluster) answerConfig(h *host, r confsync.ReadEffect) {
	o := confsync.ReadOutcome{PlatformVersion: uint64(c.gen.Revision), NotChanged: r.Have == c.gen.Revision}
	if !o.NotChanged {
		o.Generation = c.gen
	}
	c.step(h, node.ConfigRead{Outcome: o})
}

func (c *Cluster) watchHosts(h *host, e node.ReadHosts) {
	if e.After != c.list.Version {
		c.stepAfter(h, time.Millisecond, node.HostsRead{List: c.list})
		return
	}
	h.hosts = &e
	c.after(min(e.Wait, maxWatchTime), func() {
		if h.hosts == &e {
			h.hosts = nil
			c.step(h, node.HostsRead{NotChanged: true})
		}
	})
}

// Publish publishes a generation with one changed line on the simulated platform.
func (c *Cluster) Publish() {
	revision := c.gen.Revision + 1
	c.gen = confsync.NewGeneration(revision, []byte(c.Shape.Rules(int(revision))))
	for _, h := range c.sortedHosts() {
		if e := h.config; e != nil {
			h.config = nil
			c.after(time.Millisecond, func() { c.answerConfig(h, e.Read) })
		}
	}
}

// ChangeHosts publishes a new version of the host list on the simulated platform, as
// happens when a host is replaced.
func (c *Cluster) ChangeHosts() {
	c.list = c.Shape.List(c.list.Version + 1)
	for _, h := range c.sortedHosts() {
		if h.hosts != nil {
			h.hosts = nil
			c.stepAfter(h, time.Millisecond, node.HostsRead{List: c.list})
		}
	}
}

// InForce counts the hosts of the measured domain that have the newest generation in
// force.
func (c *Cluster) InForce() int {
	n := 0
	for _, h := range c.measuredHosts {
		if h.node.Status(c.now).Revision == c.gen.Revision {
			n++
		}
	}
	return n
}

// sortedHosts returns the hosts in a fixed order, so that runs are reproducible.
func (c *Cluster) sortedHosts() []*host {
	out := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *host) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}
