package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Reason says why a request gets an answer of this host.
type Reason string

// Reasons of answers of this host.
const (
	NoConfig    Reason = "no_configuration"
	StaleConfig Reason = "stale_configuration"
	NoRoute     Reason = "no_route"
	BadKey      Reason = "unknown_key"
	OverLimit   Reason = "over_limit"
	Stopping    Reason = "stopping"
	NoBackend   Reason = "no_backend"
	Overloaded  Reason = "overloaded"
	TooLarge    Reason = "too_large"
	BackendLost Reason = "backend_lost"
	OutOfTime   Reason = "out_of_time"
)

// Effect is something the driver has to do.
type Effect interface{ effect() }

// Refuse answers a request with a status of this host.
type Refuse struct {
	ID         ID
	Status     int
	RetryAfter time.Duration // with 429 and 503
	Reason     Reason
}

// Deliver answers a request with the held answer of the backend server.
type Deliver struct{ ID ID }

// BreakOff ends an answer that has begun without completing it.
type BreakOff struct {
	ID     ID
	Reason Reason
}

// Attempt is what all calls for a request have in common.
type Attempt struct {
	ID       ID
	Attempt  int
	To       backends.Target
	Deadline time.Time // of the caller or the route, whichever is earlier
}

// Call sends a request to a plain backend server.
type Call struct {
	Attempt
	Organisation ident.Organisation
}

// Reserve asks a decode engine for room.
type Reserve struct {
	Attempt
	Tokens int64
	TTL    time.Duration
}

// Prefill has the prompt read.
type Prefill struct {
	Attempt
	Organisation ident.Organisation
}

// Decode runs a request at a decode engine.
type Decode struct {
	Attempt
	Organisation ident.Organisation
	Hold         string
	Source       *backends.Target // prefill engine; nil if the engine reads the prompt itself
	Handle       string
	Resume       bool          // go on after the last event relayed
	Silence      time.Duration // longest wait for the next bytes
}

// Unreserve gives room back.
type Unreserve struct {
	To   backends.Target
	Hold string
}

// FreePrefill lets a prefill engine drop a KV cache that will not be used.
type FreePrefill struct {
	To     backends.Target
	Handle string
}

// Send sends a message to other hosts.
type Send struct {
	To      []string
	Message Message
}

// Order tells an engine to change its stage.
type Order struct {
	To    backends.Target
	Stage backends.Stage
	Fence uint64
}

// ReadAgain asks for a read of the platform now instead of after the pause that follows
// failed reads.
type ReadAgain struct{}

// Exit says that nothing is left to do after Drain.
type Exit struct{}

func (Refuse) effect()      {}
func (Deliver) effect()     {}
func (BreakOff) effect()    {}
func (Call) effect()        {}
func (Reserve) effect()     {}
func (Prefill) effect()     {}
func (Decode) effect()      {}
func (Unreserve) effect()   {}
func (FreePrefill) effect() {}
func (Send) effect()        {}
func (Order) effect()       {}
func (ReadAgain) effect()   {}
func (Exit) effect()        {}
