package placement

// DemandTotals counts the work requested from a pool, including refused work. The
// counters never decrease; demand is their growth over time.
type DemandTotals struct {
	PrefillTokens uint64
	DecodeTokens  uint64 // upper bound, since output can end early
}

func (a *DemandTotals) add(b *Book) {
	a.PrefillTokens += uint64(b.promptTokens())
	a.DecodeTokens += uint64(b.MaxTokens)
}

// PoolDemand is the demand on an owned pool.
type PoolDemand struct {
	Pool   Pool
	Totals DemandTotals
	Queued int // requests in the queue now
}

// Demand returns the demand of the pools that this host owns.
func (p *Placer) Demand() []PoolDemand {
	var out []PoolDemand
	for _, pl := range p.sortedPools() {
		if p.ownerOf(pl.key) == p.cfg.Self.Host {
			out = append(out, PoolDemand{Pool: pl.key, Totals: pl.demand, Queued: pl.queue.Len()})
		}
	}
	return out
}
