package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Placer.
type Config struct {
	Self   ident.Process
	Domain ident.FailureDomain
	Seed   uint64 // of the random choices; equal seeds give equal choices

	// FirstTokenTarget is the time to first token of a request without a budget
	// of its own. A longer one refuses fewer requests and meets the target less often.
	FirstTokenTarget time.Duration
	// Margin is reserved for network delay and prediction errors. A longer one
	// refuses more requests that would have met their target.
	Margin time.Duration
	// OwnerTimeout is how long a client waits for a pool owner's answer. A
	// shorter one asks the next host even when the owner is only slow.
	OwnerTimeout time.Duration
	// OrphanGrace is how long a host that does not answer keeps its claims on
	// engine memory.
	OrphanGrace time.Duration
	// ClaimInterval is how often the owner asks hosts for their claims. A shorter
	// one frees lost slots earlier and costs more messages.
	ClaimInterval time.Duration
	// PrefillAhead is how much work is booked on a prefill engine in advance. More
	// keeps the engine busy when messages are slow; less keeps requests in the
	// fair queue, and decode slots free, for longer.
	PrefillAhead time.Duration
	// ReleasedTTL is how long the owner remembers a released request, so that a
	// delayed Book does not book it again. It must exceed the longest delay of a
	// message.
	ReleasedTTL time.Duration
	// DownTime is how long an engine is avoided after a failed connection, unless
	// a report arrives earlier.
	DownTime time.Duration
	// QueueLimit limits the queue of a pool, in requests.
	QueueLimit int
	// FairBurst is the credit, in tokens, that the organisations of a pool together
	// may accumulate while they send less than their share. A larger one refuses
	// less work of organisations near their share; with a smaller one a burst of
	// one organisation delays the others less.
	FairBurst float64
	// PrefixBlocks limits the prompt blocks remembered per prefill engine.
	PrefixBlocks int
	// MaxSpillDomains is how many other domains a client asks when the local pool
	// is full.
	MaxSpillDomains int

	// Initial costs for predictions; observed costs replace them gradually.

	PrefillPerToken    time.Duration
	DecodePerToken     time.Duration // of one stream in a full batch
	LinkBytesPerSecond float64       // of one engine
	KVBytesPerToken    float64
	OutputTokens       int // expected length of an answer until some were observed
}

// BlockTokens is the number of prompt tokens in one block of a prefix.
const BlockTokens = 1000

// DefaultConfig returns the default settings, for the current scale.
func DefaultConfig(self ident.Process, domain ident.FailureDomain) Config {
	return Config{
		Self:               self,
		Domain:             domain,
		Seed:               1,
		FirstTokenTarget:   950 * time.Millisecond,
		Margin:             20 * time.Millisecond,
		OwnerTimeout:       50 * time.Millisecond,
		OrphanGrace:        3 * time.Second,
		ClaimInterval:      time.Second,
		PrefillAhead:       30 * time.Millisecond,
		ReleasedTTL:        10 * time.Second,
		DownTime:           2 * time.Second,
		QueueLimit:         1024,
		FairBurst:          400_000,
		PrefixBlocks:       4096,
		MaxSpillDomains:    2,
		PrefillPerToken:    25 * time.Microsecond,
		DecodePerToken:     30 * time.Millisecond,
		LinkBytesPerSecond: 10e9,
		KVBytesPerToken:    100e3,
		OutputTokens:       300,
	}
}
