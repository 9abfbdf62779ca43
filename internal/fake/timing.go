package fake

import "time"

// Timing configures the simulated speed and memory of an engine. Scale multiplies
// every duration; a smaller scale makes tests faster.
type Timing struct {
	Scale           float64
	PrefillPerToken time.Duration
	DecodeBase      time.Duration // one decode step with an empty batch
	DecodePerSlot   time.Duration // added to a step by each request of the batch
	KVLifetime      time.Duration // how long a prefill engine keeps a KV cache
	KVBytesPerToken int64
	LinkRate        int64         // inbound bytes per second of a decode engine
	BlockTokens     int           // tokens per block of the prefix cache
	CacheBlocks     int           // capacity of the prefix cache, in blocks
	EventDelay      time.Duration // until a cache event becomes visible
	EventLoss       float64       // probability that a cache event is lost
	ReportLag       time.Duration // age of the reports that are served
	KeepAlive       time.Duration // interval of empty lines in a stream without tokens
	LoadTime        time.Duration // time to load a version from the weight store
}

// DefaultTiming returns a timing with which the longest prompts in use (30,000
// tokens) meet the target of 0.95 s to the first token on an idle fleet: 0.6 s for
// prefill and 0.12 s for the transfer. A full decode batch of 20 requests produces
// one token per request every 25 ms, so an output token costs 1.25 ms of engine time,
// and a prefill of 4,000 tokens costs as much as 64 output tokens.
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

// scaled converts a simulated duration to real time.
func (t Timing) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.Scale)
}

// transferTime returns the transfer time of a KV cache over an idle link.
func (t Timing) transferTime(bytes int64) time.Duration {
	return t.scaled(time.Duration(float64(bytes) / float64(t.LinkRate) * float64(time.Second)))
}

// stepTime returns the duration of one decode step. slow is the factor of the Slow
// fault.
func (t Timing) stepTime(batch int, slow float64) time.Duration {
	d := t.DecodeBase + time.Duration(batch)*t.DecodePerSlot
	return time.Duration(float64(t.scaled(d)) * slow)
}

// Capacity returns the maximum number of requests per second that the engines of a
// plan can complete, given the mean prompt and output tokens and no prefix cache
// hits.
func (p Plan) Capacity(t Timing, prompt, output float64) float64 {
	domains := float64(len(p.Domains))
	prefill := domains * float64(p.Prefills) / (prompt * t.PrefillPerToken.Seconds() * t.Scale)
	batch := defaultSlots
	decode := domains * float64(p.Decodes*batch) / (output * t.stepTime(batch, 1).Seconds())
	return min(prefill, decode)
}
