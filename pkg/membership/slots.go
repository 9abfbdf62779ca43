package membership

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// holder is a process that holds or has held a slot of the local domain.
type holder struct {
	process  ident.Process
	released bool
	heardAt  time.Time
}

// recordHolder records a process in a slot. Holders are sorted newest first.
func (g *Group) recordHolder(now time.Time, slot ident.Slot, p ident.Process, released bool) {
	if slot < 0 {
		return
	}
	hs := g.holders[slot]
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
	g.holders[slot] = hs[:min(len(hs), maxHolders)]
}

// previousHolderOf returns the newest process that held a peer's slot before the peer,
// and whether it has released the slot.
func (g *Group) previousHolderOf(p *peer) (*ident.Process, bool) {
	for _, h := range g.holders[p.slot] {
		if newer(p.process(), h.process) {
			return &h.process, h.released
		}
	}
	return nil, false
}

// removeExpiredHolders drops holders not heard from for retentionPeriod.
func (g *Group) removeExpiredHolders(now time.Time) {
	for slot, hs := range g.holders {
		hs = slices.DeleteFunc(hs, func(h holder) bool { return now.Sub(h.heardAt) > retentionPeriod })
		g.holders[slot] = hs
		if len(hs) == 0 {
			delete(g.holders, slot)
		}
	}
}

// applyPreviousHolder applies what a peer reports about the previous holder of this
// process's slot. The newest holder that any peer reports counts.
func (g *Group) applyPreviousHolder(now time.Time, a *Ack) {
	if g.releaseDecided {
		return
	}
	if g.firstAckAt.IsZero() {
		g.firstAckAt = now
	}
	if a.Previous == nil {
		return
	}
	h := holder{process: *a.Previous, released: a.Released, heardAt: now}
	switch {
	case g.previousHolder == nil || newer(h.process, g.previousHolder.process):
		g.previousHolder = &h
	case h.process == g.previousHolder.process:
		g.previousHolder.released = g.previousHolder.released || h.released
	}
}

// reportPreviousRelease decides once, after the peers had time to answer, whether the
// previous holder has released this process's slot, and reports it if so.
func (g *Group) reportPreviousRelease(now time.Time, res *Result) {
	if g.releaseDecided || g.firstAckAt.IsZero() || now.Sub(g.firstAckAt) < releaseWait {
		return
	}
	g.releaseDecided = true
	if g.previousHolder == nil || !g.previousHolder.released || g.superseded != nil {
		return
	}
	res.Events = append(res.Events, SlotReleased{Process: g.previousHolder.process, Slot: g.cfg.Slot})
}
