package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Reason says why this host itself answers a request instead of a backend server.
type Reason string

// Reasons for answers given by this host.
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
	AskedToWait Reason = "servers_asked_for_time"
	BadPart     Reason = "quarantined_part" // of the prompt
	NoPermit    Reason = "server_limits"
	NoTime      Reason = "no_server_in_time"
	NoRegion    Reason = "no_allowed_region" // with a server of the service
	// UnprovenRefusal replaces a refusal by a server that does not state that the request has
	// not run.
	UnprovenRefusal Reason = "refusal_without_statement"
	// OriginUnknown and VersionGone refuse streams that cannot be resumed.
	OriginUnknown Reason = "origin_unknown"
	VersionGone   Reason = "version_gone"
)

// Effect is an action for the driver to execute.
type Effect interface{ effect() }

// Refuse answers a request with an error status from this host.
type Refuse struct {
	ID         ID
	Status     int
	RetryAfter time.Duration // 0 for none
	Reason     Reason
}

// Deliver answers a request with the buffered answer of the backend server.
type Deliver struct{ ID ID }

// AbortAnswer terminates an answer that has been partly sent.
type AbortAnswer struct {
	ID     ID
	Reason Reason
}

// Attempt holds the fields common to all calls made for a request.
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

// Reserve reserves KV cache memory at a decode engine.
type Reserve struct {
	Attempt
	Tokens int64
	TTL    time.Duration
}

// Prefill runs the prompt at a prefill engine.
type Prefill struct {
	Attempt
	Organisation ident.Organisation
}

// Decode runs a request at a decode engine.
type Decode struct {
	Attempt
	Organisation ident.Organisation
	Hold         string
	Source       *backends.Target // prefill engine; nil if the decode engine does the prefill itself
	Handle       string
	HandleExpiry time.Time // see KVHandle
	Resume       bool      // continue after the last event relayed
	// FirstEvent and NextEvent are the longest waits for a complete event, the first one
	// and each later one; 0 for no bound.
	FirstEvent time.Duration
	NextEvent  time.Duration
}

// ReleaseReservation releases memory reserved at a decode engine.
type ReleaseReservation struct {
	To   backends.Target
	Hold string
}

// ReleasePrefill lets a prefill engine free a KV cache that will not be fetched.
type ReleasePrefill struct {
	To     backends.Target
	Handle string
	Expiry time.Time // see KVHandle
}

// Send sends a message to the hosts at the addresses in To.
type Send struct {
	To      []string
	Message Message
}

// RoleOrder tells an engine to switch to another stage.
type RoleOrder struct {
	To           backends.Target
	Stage        backends.Stage
	FencingToken uint64
}

// RetryRead asks for a read of the platform immediately instead of after the back-off
// that follows failed reads.
type RetryRead struct{}

// Exit ends the process after a completed drain.
type Exit struct{}

func (Refuse) effect()             {}
func (Deliver) effect()            {}
func (AbortAnswer) effect()        {}
func (Call) effect()               {}
func (Reserve) effect()            {}
func (Prefill) effect()            {}
func (Decode) effect()             {}
func (ReleaseReservation) effect() {}
func (ReleasePrefill) effect()     {}
func (Send) effect()               {}
func (RoleOrder) effect()          {}
func (RetryRead) effect()          {}
func (Exit) effect()               {}
