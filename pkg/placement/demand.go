package placement

// Asked counts the work that has been asked of a pool, refused work included. The
// counters only grow; demand is their growth over time.
type Asked struct {
	PrefillTokens uint64
	DecodeTokens  uint64 // at most, since output can end early
}

func (a *Asked) add(b *Book) {
	a.PrefillTokens += uint64(b.prompt())
	a.DecodeTokens += uint64(b.MaxTokens)
}

// PoolDemand is what is asked of an owned pool.
type PoolDemand struct {
	Pool   Pool
	Asked  Asked
	Queued int // requests that wait now
}

// Demand returns the demand of the pools that this host owns.
func (p *Placer) Demand() []PoolDemand {
	var out []PoolDemand
	for _, pl := range p.sortedPools() {
		if p.ownerOf(pl.key) == p.cfg.Self.Host {
			out = append(out, PoolDemand{Pool: pl.key, Asked: pl.asked, Queued: pl.queue.Len()})
		}
	}
	return out
}
