package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// holder is a process that has held a slot of the own domain.
type holder struct {
	process  ident.Process
	released bool
	heardAt  time.Time
}

// noteHolder remembers a process in a slot, newest first.
func (g *Group) noteHolder(now time.Time, slot ident.Slot, p ident.Process, released bool) {
	if slot < 0 {
		return
	}
	hs := g.slots[slot]
	at := slices.IndexFunc(hs, func(h holder) bool { return h.process == p })
	if at >= 0 {
		hs[at].heardAt = now
		hs[at].released = hs[at].released || released
		return
	}
	at = slices.IndexFunc(hs, func(h holder) bool { return newer(p, h.process) })
	if at < 0 {
		at = len(hs)
	}
	hs = slices.Insert(hs, at, holder{process: p, released: released, heardAt: now})
	g.slots[slot] = hs[:min(len(hs), maxHolders)]
}

// holderBefore returns the newest process in a peer's slot before the peer's own,
// and whether it has given up the slot.
func (g *Group) holderBefore(p *peer) (*ident.Process, bool) {
	for _, h := range g.slots[p.slot] {
		if newer(p.process(), h.process) {
			return &h.process, h.released
		}
	}
	return nil, false
}

// forgetHolders drops holders not heard for long.
func (g *Group) forgetHolders(now time.Time) {
	for slot, hs := range g.slots {
		hs = slices.DeleteFunc(hs, func(h holder) bool { return now.Sub(h.heardAt) > forgetAfter })
		g.slots[slot] = hs
		if len(hs) == 0 {
			delete(g.slots, slot)
		}
	}
}

// hearBefore takes what a peer knows of the slot's last holder. The newest holder
// that any peer names counts.
func (g *Group) hearBefore(now time.Time, a *Ack) {
	if g.beforeDone {
		return
	}
	if g.beforeAt.IsZero() {
		g.beforeAt = now
	}
	if a.Before == nil {
		return
	}
	h := holder{process: *a.Before, released: a.Released, heardAt: now}
	switch {
	case g.before == nil || newer(h.process, g.before.process):
		g.before = &h
	case h.process == g.before.process:
		g.before.released = g.before.released || h.released
	}
}

// decideReleased reports once, after peers had time to answer, that the newest
// earlier holder has given up the own slot.
func (g *Group) decideReleased(now time.Time, res *Result) {
	if g.beforeDone || g.beforeAt.IsZero() || now.Sub(g.beforeAt) < releaseWait {
		return
	}
	g.beforeDone = true
	if g.before == nil || !g.before.released || g.by != nil {
		return
	}
	res.Events = append(res.Events, SlotReleased{Process: g.before.process, Slot: g.cfg.Slot})
}
