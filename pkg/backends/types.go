package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/evacuation"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

// Stage is the pool that a backend server belongs to.
type Stage uint8

// Stages of a backend server.
const (
	Plain Stage = iota // a service without a model
	Prefill
	Decode
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"plain", "prefill", "decode"}[s] }

// Entry is the registration of a backend server in the platform's list.
type Entry struct {
	ID        ident.BackendID
	Service   ident.Route
	Addr      string
	Domain    ident.FailureDomain
	Slots     int
	Draining  bool
	Stage     Stage
	Models    []ident.Model
	StartedAt int64         // Unix milliseconds; distinguishes two processes with the same id
	Version   ident.Version // of the server's software; empty if it states none
	// Cold is for how long the server was to stay cold when it wrote the entry, if ColdStated.
	Cold       time.Duration `json:",omitzero"`
	ColdStated bool          `json:",omitzero"`
	Sequence   uint64        `json:",omitzero"` // grows with each write of the entry by one process; 0 if not stated
}

// Process returns the process that has written the entry.
func (e Entry) Process() serverlimit.Process {
	return serverlimit.Process{ID: e.ID, StartedAt: e.StartedAt}
}

// Target is the backend server picked for a request.
type Target struct {
	ID        ident.BackendID
	Addr      string
	Domain    ident.FailureDomain
	StartedAt int64 // see Entry
	Version   ident.Version

	pickedAt uint64 // number of the last change of an address when it was picked
}

// Process returns the process that was picked.
func (t Target) Process() serverlimit.Process {
	return serverlimit.Process{ID: t.ID, StartedAt: t.StartedAt}
}

// Notice is what a backend server says of itself in an answer.
type Notice struct {
	Leaving bool          // it is shutting down
	Wait    time.Duration // it wants nothing from this host for so long; 0 for no such wish
	Limit   serverlimit.Statement
	// Cold is for how long it stays cold, if ColdStated.
	Cold       time.Duration `json:",omitzero"`
	ColdStated bool          `json:",omitzero"`
}

// Load is the work that a backend server has running or queued.
type Load struct {
	Requests int   // running, waiting or reserved
	Memory   int64 // tokens of KV cache
	Prompt   int64 // prompt tokens not yet prefilled
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

// Fault classifies a failed request to a backend server.
type Fault uint8

// Faults of backend servers.
const (
	Unreachable   Fault = iota // no connection, connection reset or no answer in time
	ErrorResponse              // an error response or a malformed one
	WrongProcess               // the address belongs to another process
	Full                       // rejected for lack of capacity
	Busy                       // temporarily rejects all requests of one kind
)

// Config holds the settings of a Directory.
type Config struct {
	Domain ident.FailureDomain // of this host
	// Seed seeds the random choice between equally good servers. It must differ
	// between the hosts of a fleet, or they pick the same server at the same time.
	Seed uint64
	// SuspendInitial is the back-off after the first unreachable attempt; it doubles
	// up to SuspendMax. A longer back-off loses fewer requests to a server that is
	// down and delays the use of one that has recovered.
	SuspendInitial time.Duration
	SuspendMax     time.Duration
	// ProbeTimeout is how long other requests are withheld from a suspended server
	// while one request probes it; an answer ends the probe sooner.
	ProbeTimeout time.Duration
	// FailureWeight is the weight of one result in the moving average of the failure
	// rate. A higher weight detects partially failing servers sooner and penalises
	// single failures more.
	FailureWeight float64
	// FailureHalfLife is the time in which the failure rate of a server without
	// requests halves, so that it eventually gets requests again.
	FailureHalfLife time.Duration
	// MissingGrace is how long an entry that disappeared during a store outage is
	// kept after the store is back: the platform gives running servers that time to
	// register again.
	MissingGrace time.Duration
	// Limits are the limits that servers name; nil means none.
	Limits *serverlimit.Limiter
	// Speeds are the learned speeds of servers; nil means none are known.
	Speeds *serverspeed.Tracker
	// Evacuations are the evacuated failure domains; nil means none.
	Evacuations *evacuation.Tracker
}

// DefaultConfig returns settings for a heartbeat interval of about one second.
func DefaultConfig(domain ident.FailureDomain) Config {
	return Config{
		Domain:          domain,
		SuspendInitial:  300 * time.Millisecond,
		SuspendMax:      2 * time.Second,
		ProbeTimeout:    time.Second,
		FailureWeight:   0.15,
		FailureHalfLife: 4 * time.Second,
		MissingGrace:    1700 * time.Millisecond,
	}
}
