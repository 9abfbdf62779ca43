package fake

import "time"

// Timing models the speed and the memory of an engine. Scale multiplies every
// duration; a smaller one makes a test faster.
type Timing struct {
	Scale           float64
	PrefillPerToken time.Duration
	DecodeBase      time.Duration // one decode step with an empty batch
	DecodePerSlot   time.Duration // added to a step by each request of the batch
	KVLifetime      time.Duration // how long a prefill engine keeps a KV cache
	KVBytesPerToken int64
	LinkRate        int64 // bytes per second into one decode engine
	BlockTokens     int   // tokens of a block of the prefix cache
	CacheBlocks     int   // memory of the prefix cache
	EventDelay      time.Duration
	EventLoss       float64 // share of cache events that are lost
	ReportLag       time.Duration
	KeepAlive       time.Duration // interval of empty lines in a silent stream
	LoadTime        time.Duration // time to load a version from the weight store
}

// DefaultTiming lets the longest prompts in use, 30,000 tokens, meet the target of
// 0.95 s to the first token on an idle fleet: 0.6 s of prefill and 0.12 s of
// transfer. A full decode batch of 20 produces a token of each request every 25 ms,
// so a token costs 1.25 ms of an engine, and a prefill of 4,000 tokens as much as
// 64 output tokens.
func DefaultTiming() Timing {
	return Timing{
		Scale:           1,
		PrefillPerToken: 20 * time.Microsecond,
		DecodeBase:      15 * time.Millisecond,
		DecodePerSlot:   500 * time.Microsecond,
		KVLifetime:      800 * time.Millisecond,
		KVBytesPerToken: 100_000,
		LinkRate:        25_000_000_000,
		BlockTokens:     1000,
		CacheBlocks:     64,
		EventDelay:      200 * time.Millisecond,
		EventLoss:       0.02,
		ReportLag:       200 * time.Millisecond,
		KeepAlive:       200 * time.Millisecond,
		LoadTime:        2 * time.Second,
	}
}

// scaled returns a modelled duration as a real one.
func (t Timing) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.Scale)
}

// transfer returns the time that a KV cache takes on an idle link.
func (t Timing) transfer(bytes int64) time.Duration {
	return t.scaled(time.Duration(float64(bytes) / float64(t.LinkRate) * float64(time.Second)))
}

// step returns the time of one decode step.
func (t Timing) step(batch int, slow float64) time.Duration {
	d := t.DecodeBase + time.Duration(batch)*t.DecodePerSlot
	return time.Duration(float64(t.scaled(d)) * slow)
}

// Capacity returns how many requests a second the engines of a plan can complete
// at most, with mean prompt and output tokens and without any prefix hit.
func (p Plan) Capacity(t Timing, prompt, output float64) float64 {
	domains := float64(len(p.Domains))
	prefill := domains * float64(p.Prefills) / (prompt * t.PrefillPerToken.Seconds() * t.Scale)
	batch := defaultSlots
	decode := domains * float64(p.Decodes*batch) / (output * t.step(batch, 1).Seconds())
	return min(prefill, decode)
}
