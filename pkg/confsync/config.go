package confsync

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config sets which hosts read the platform and the limits of transfers.
type Config struct {
	Self   ident.Process
	Domain ident.FailureDomain

	Readers       int           // hosts of a domain that watch the platform; each costs one pending call
	ReaderTimeout time.Duration // time without a platform answer after which the next host reads too
	StartupWait   time.Duration // longest wait of a started or resumed host for both peers and platform
	RetryMin      time.Duration // first delay after a failed read
	RetryMax      time.Duration // longest delay after a failed read; larger for extra readers
	Seed          uint64        // seeds the jitter and the choice among sources

	// Validate returns nil if a text may come into force. It must be deterministic and
	// free of side effects. Its error names line, column, cause and fix.
	Validate func(text []byte) error

	PartSize     int           // bytes of a transfer per message; larger messages delay heartbeats
	FetchTimeout time.Duration // wait for a part before another source is asked
	HistoryBytes int           // total size of the earlier texts kept to serve deltas
	MaxBytes     int           // largest text accepted from a peer
}

// DefaultConfig returns the default settings. Validate must be set by the caller.
func DefaultConfig(self ident.Process, domain ident.FailureDomain, seed uint64) Config {
	return Config{
		Self:          self,
		Domain:        domain,
		Readers:       2,
		ReaderTimeout: 3 * time.Second,
		StartupWait:   2 * time.Second,
		RetryMin:      200 * time.Millisecond,
		RetryMax:      3 * time.Second,
		Seed:          seed,
		PartSize:      64 << 10,
		FetchTimeout:  500 * time.Millisecond,
		HistoryBytes:  8 << 20,
		MaxBytes:      32 << 20,
	}
}

const (
	// neverAnswered is the silence reported until the platform first answers.
	neverAnswered = 24 * time.Hour
	// readMargin is the time a read may take in addition to its Wait, and the time
	// after its Deadline at which it counts as lost.
	readMargin = time.Second
	// maxBackoffFactor limits the multiple of RetryMax for extra readers. While the
	// platform is down every host reads, and the retries must stay within its rate
	// limit: with 8, 1,700 hosts make fewer than 200 calls a second.
	maxBackoffFactor = 8
	// maxGenerationSet limits each set of rejected or reported generations.
	maxGenerationSet = 64
	// maxSources limits the peers whose generation in force is recorded.
	maxSources = 1024
	// sourceExpiry is how long after its last report a source is kept that is not among
	// the peers.
	sourceExpiry = 10 * time.Second
	// maxHistory is the number of earlier generations kept for deltas.
	maxHistory = 8
	// maxDeltas is the number of computed deltas kept.
	maxDeltas = 4
)

// watchDuration is how long a watch stays pending. It is half of ReaderTimeout, so
// that one answer may be late before the next host takes over.
func (c Config) watchDuration() time.Duration { return c.ReaderTimeout / 2 }
