package relay

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// Config holds the settings of a Relay.
type Config struct {
	Roster   roster.Config
	Quota    quota.Config
	Backends backends.Config

	// StaleAfter is the age of the configuration beyond which no request with a key
	// is accepted: a key that was withdrawn meanwhile must not work. It is the
	// platform's bound for withdrawn keys less the time in which its watches may
	// miss changes.
	StaleAfter time.Duration

	// ApplyWithin is the time in which a change of the configuration must be in force.
	ApplyWithin time.Duration

	// RetryRatio and RetrySlack bound the repeated calls of all hosts together:
	// ratio x requests + slack in RetryWindow, for each service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// QueueShare is the part of a route's target latency for which a request may
	// wait for room. A larger one serves more requests and leaves less time for the
	// prompt.
	QueueShare float64

	// RoleOrders lets this fleet change engines between prefill and decode. A change
	// takes an engine out of service for seconds.
	RoleOrders bool

	// DrainAccept is how long a stopping host takes new requests, until the load
	// balancer has noticed.
	DrainAccept time.Duration
	// DrainStay is the shortest time between the order to stop and the exit.
	DrainStay time.Duration
}

// DefaultConfig returns the settings for a fleet with these bounds.
func DefaultConfig(self roster.Host, seeds []string) Config {
	servers := backends.DefaultConfig(self.Domain)
	servers.Seed = seedOf(self)
	return Config{
		Roster:      roster.DefaultConfig(self, seeds),
		Quota:       quota.DefaultConfig(),
		Backends:    servers,
		StaleAfter:  4 * time.Second,
		ApplyWithin: 2 * time.Second,
		RetryRatio:  0.2,
		RetrySlack:  50,
		RetryWindow: 10 * time.Second,
		QueueShare:  0.6,
		DrainAccept: 2500 * time.Millisecond,
		DrainStay:   3 * time.Second,
	}
}

// seedOf returns a number that differs between hosts and between their processes.
func seedOf(h roster.Host) uint64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, h.ID, h.Incarnation) // a hash accepts all bytes
	return sum.Sum64()
}

const (
	// retryMargin is the part of the fleet's retry budget that hosts use. The rest
	// covers that hosts see different windows.
	retryMargin = 0.8
	// savedShare and floorShare divide the slack of the retry budget: what may be
	// used at once and what is added over a window.
	savedShare = 0.5
	floorShare = 0.5
	// resumeWait is how long a stream that has begun waits for room at another engine.
	// Callers give a silent stream up after two seconds at the earliest.
	resumeWait = 1500 * time.Millisecond
	// prefillWaitMost is the queue at prefill engines, in time, beyond which a
	// request waits here instead, without holding decode memory.
	prefillWaitMost = 250 * time.Millisecond
	// prefillSlack is added to three times the expected time of a prefill before
	// the engine counts as dead.
	prefillSlack = 400 * time.Millisecond
	// reserveTimeout bounds the call for a reservation, which needs no work.
	reserveTimeout = 300 * time.Millisecond
	// firstSilence is the silence before the first event after which a stream that
	// may run elsewhere is taken from its engine. The transfer of the KV cache
	// precedes that event.
	firstSilence = 1500 * time.Millisecond
	// outputShare is the part of the expected output that is counted as memory from
	// the start. An answer holds half of its output on average; the rest is margin.
	outputShare = 0.8
	// comeBackSoon is the time to return after a refusal that another host or
	// backend server would not have given.
	comeBackSoon = 50 * time.Millisecond
	// comeBackStart is the time to return to a host that has just started or has
	// lost the platform.
	comeBackStart = 500 * time.Millisecond
	// minRetryTime is the time before the deadline in which nothing is repeated.
	minRetryTime = 30 * time.Millisecond
)
