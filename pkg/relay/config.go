package relay

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/evacuation"
	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/quarantine"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Config holds the settings of a Relay.
type Config struct {
	Roster   roster.Config
	Quota    quota.Config
	Backends backends.Config
	Parts    quarantine.Config
	Limits   serverlimit.Config
	Origins  origin.Config
	Notes    notes.Config
	Fleet    fleetview.Config // New sets Self and Seeds to those of Roster and StopWindow to RetryWindow
	// Evacuation is for the failure domains that operators evacuate.
	Evacuation evacuation.Config

	// Regions maps each failure domain to its region; a domain that is missing has none.
	Regions map[ident.FailureDomain]ident.Region

	// StaleAfter is the age of the configuration beyond which requests that need a
	// key are refused, because the key may have been revoked since. It is the
	// platform's bound for revoked keys minus the time for which its watches may
	// miss changes.
	StaleAfter time.Duration

	// ApplyWithin is the time within which a configuration change must take effect.
	ApplyWithin time.Duration

	// RetryRatio and RetrySlack set the retry budget of the whole fleet for each
	// service: ratio x requests + slack retries per RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// QueueShare is the fraction of a route's target latency that a request may spend
	// in the queue for decode memory. A larger value serves more requests but leaves
	// less time for prefill.
	QueueShare float64

	// RoleOrders lets this fleet switch engines between prefill and decode. A switch
	// takes an engine out of service for seconds.
	RoleOrders bool

	// DrainAccept is how long a draining host still accepts new requests, to give the
	// load balancer time to notice.
	DrainAccept time.Duration
	// DrainTime is the time from the start of a drain until the driver aborts all calls; 0
	// means that it does not. Requests that would be aborted are refused instead.
	DrainTime time.Duration
	// MinDrainTime is the minimum time between the start of a drain and the exit.
	MinDrainTime time.Duration
}

// DefaultConfig returns the default settings for the host self, which finds its peers
// through seeds.
func DefaultConfig(self roster.Host, seeds []string) Config {
	servers := backends.DefaultConfig(self.Domain)
	servers.Seed = hostSeed(self)
	return Config{
		Roster:       roster.DefaultConfig(self, seeds),
		Quota:        quota.DefaultConfig(),
		Backends:     servers,
		Parts:        quarantine.DefaultConfig(),
		Origins:      origin.DefaultConfig(self.ID, self.Domain),
		Notes:        notes.DefaultConfig(),
		Fleet:        fleetview.DefaultConfig(),
		Evacuation:   evacuation.DefaultConfig(),
		Limits:       serverlimit.DefaultConfig(self.ID, servers.Seed),
		StaleAfter:   4 * time.Second,
		ApplyWithin:  2 * time.Second,
		RetryRatio:   0.2,
		RetrySlack:   50,
		RetryWindow:  10 * time.Second,
		QueueShare:   0.6,
		DrainAccept:  2500 * time.Millisecond,
		MinDrainTime: 3 * time.Second,
	}
}

// hostSeed returns a seed that differs between hosts and between successive processes
// of one host.
func hostSeed(h roster.Host) uint64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, h.ID, h.Incarnation) // a hash accepts all bytes
	return sum.Sum64()
}

const (
	// retryMargin is the fraction of the fleet's retry budget that hosts use. The rest
	// allows for hosts' windows not being aligned.
	retryMargin = 0.8
	// retryBurstShare and retryFloorShare divide the slack of the retry budget into
	// the part available as a burst and the part refilled over a window.
	retryBurstShare = 0.5
	retryFloorShare = 0.5
	// resumeQueueTimeout bounds the time that a started stream waits for memory at
	// another engine. Callers abandon a silent stream after two seconds at the earliest.
	resumeQueueTimeout = 1500 * time.Millisecond
	// maxPrefillWait is the expected queueing time at prefill engines beyond which a
	// request stays in this host's queue, where it holds no decode memory.
	maxPrefillWait = 250 * time.Millisecond
	// prefillTimeoutSlack is added to three times the expected prefill time to get the
	// timeout of a prefill call, after which the engine counts as unreachable.
	prefillTimeoutSlack = 400 * time.Millisecond
	// reserveTimeout bounds a reservation call, which involves no engine work.
	reserveTimeout = 300 * time.Millisecond
	// firstEventTimeout bounds the wait for the first event of a stream that may be
	// rerun at another engine. It includes the transfer of the KV cache.
	firstEventTimeout = 1500 * time.Millisecond
	// outputMemoryShare is the fraction of the expected output that is counted as
	// memory from the start. Averaged over its run a request holds half of its output;
	// the rest is margin.
	outputMemoryShare = 0.8
	// retryAfterSoon is the Retry-After of refusals that another host or backend
	// server would probably not repeat.
	retryAfterSoon = 50 * time.Millisecond
	// retryAfterStartup is the Retry-After of a host that has just started or cannot
	// reach the platform.
	retryAfterStartup = 500 * time.Millisecond
	// minRetryTime is the remaining time before the deadline below which nothing is
	// retried.
	minRetryTime = 30 * time.Millisecond
)
