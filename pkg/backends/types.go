package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Stage is the pool of an engine.
type Stage uint8

// Stages of a backend server.
const (
	Plain Stage = iota // a service without a model
	Prefill
	Decode
)

// String returns the stage's name.
func (s Stage) String() string { return [...]string{"plain", "prefill", "decode"}[s] }

// Entry is what a backend server says of itself in the platform's list.
type Entry struct {
	ID       ident.BackendID
	Service  ident.Route
	Addr     string
	Domain   ident.FailureDomain
	Slots    int
	Draining bool
	Stage    Stage
	Models   []ident.Model
	Born     int64 // Unix milliseconds of its start; tells two processes under one id apart
}

// Target names a backend server to a caller of this package.
type Target struct {
	ID     ident.BackendID
	Addr   string
	Domain ident.FailureDomain
}

// Load is work at a backend server.
type Load struct {
	Requests int   // running, waiting or reserved
	Memory   int64 // tokens of KV cache
	Prompt   int64 // prompt tokens that are still to be read
}

func (l *Load) add(o Load) {
	l.Requests += o.Requests
	l.Memory += o.Memory
	l.Prompt += o.Prompt
}

func (l *Load) sub(o Load) {
	l.Requests -= o.Requests
	l.Memory -= o.Memory
	l.Prompt -= o.Prompt
}

// Fault is a kind of failure that a request met at a backend server.
type Fault uint8

// Faults of backend servers.
const (
	Unreachable Fault = iota // no connection, reset, or silence
	Failing                  // an answer that is a failure or is broken
	Gone                     // the address belongs to another process
	Full                     // refused for want of room
	Busy                     // refuses all requests of a kind for a while
)

// Config holds the settings of a Directory.
type Config struct {
	Domain ident.FailureDomain // of this host
	// Seed decides between servers that are equally good. Hosts of a fleet need
	// different ones, or they choose the same server at the same time.
	Seed uint64
	// SuspendFirst is the pause after the first unreachable attempt; it doubles up
	// to SuspendMax. Longer ones spare requests and use a returned server later.
	SuspendFirst time.Duration
	SuspendMax   time.Duration
	// ProbeTime is how long the one request that tries a suspended server keeps others
	// away; an answer ends it sooner.
	ProbeTime time.Duration
	// FailureWeight is the part of the failure rate that one result changes.
	// Higher ones find grey servers sooner and punish single failures longer.
	FailureWeight float64
	// FailureForget is the time in which the failure rate of a server that gets
	// no requests halves, so that it is tried again.
	FailureForget time.Duration
	// AwayGrace is how long an entry that vanished while the store was away is
	// kept after the store's return: the platform gives living servers that time
	// to register again.
	AwayGrace time.Duration
}

// DefaultConfig returns the settings for heartbeats of about a second.
func DefaultConfig(domain ident.FailureDomain) Config {
	return Config{
		Domain:        domain,
		SuspendFirst:  300 * time.Millisecond,
		SuspendMax:    2 * time.Second,
		ProbeTime:     time.Second,
		FailureWeight: 0.15,
		FailureForget: 4 * time.Second,
		AwayGrace:     1700 * time.Millisecond,
	}
}
