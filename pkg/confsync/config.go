package confsync

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config sets who reads the platform and how transfers are cut.
type Config struct {
	Self   ident.Process
	Domain ident.FailureDomain

	Readers      int           // hosts of a domain that watch the platform; each costs one pending call
	ReaderSilent time.Duration // platform silence after which the next host reads too
	FreshWait    time.Duration // longest wait of a fresh host for its second answer
	RetryMin     time.Duration // first delay after a failed read
	RetryMax     time.Duration // bound of the delay of a reader in its turn
	Seed         uint64        // of jitter and of the choice among sources

	// Validate returns why a text cannot come into force, or nil. It is pure. Its
	// error names line, column, cause and fix.
	Validate func(text []byte) error

	PartSize     int           // bytes of a transfer in one message; larger ones delay heartbeats
	FetchTimeout time.Duration // wait for a part before it is asked for elsewhere
	HistoryBytes int           // texts of earlier generations kept to serve deltas
	MaxBytes     int           // largest text that is taken from a peer
}

// DefaultConfig returns the settings of the design page.
func DefaultConfig(self ident.Process, domain ident.FailureDomain, seed uint64) Config {
	return Config{
		Self:         self,
		Domain:       domain,
		Readers:      2,
		ReaderSilent: 3 * time.Second,
		FreshWait:    2 * time.Second,
		RetryMin:     200 * time.Millisecond,
		RetryMax:     3 * time.Second,
		Seed:         seed,
		PartSize:     64 << 10,
		FetchTimeout: 500 * time.Millisecond,
		HistoryBytes: 8 << 20,
		MaxBytes:     32 << 20,
	}
}

const (
	// neverSilent is the platform silence of a process that has had no answer yet.
	neverSilent = 24 * time.Hour
	// readMargin is the time a read may take beyond its wait.
	readMargin = time.Second
	// maxSlow bounds the multiple of RetryMax for readers out of turn. While the
	// platform is down every host is one, and their retries must stay within its
	// rate: with 8, 1,700 hosts make fewer than 200 calls a second.
	maxSlow = 8
	// maxRemembered bounds the lists of refused and reported generations.
	maxRemembered = 64
	// maxSources bounds the peers remembered by what they have in force.
	maxSources = 1024
	// sourceExpiry drops a source that is not among the peers any more.
	sourceExpiry = 10 * time.Second
	// maxHistory is the number of earlier generations kept for deltas.
	maxHistory = 8
	// maxDeltas is the number of computed deltas kept.
	maxDeltas = 4
)

// wait is how long a watch stays pending. It is half of ReaderSilent, so that
// one answer may be late before the next host takes over.
func (c Config) wait() time.Duration { return c.ReaderSilent / 2 }
