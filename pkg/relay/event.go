package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/quarantine"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// ID identifies a request within one process.
type ID uint64

// RequestSpec holds what routing and admission need to know of a caller's request.
type RequestSpec struct {
	RequestID       string // set by the caller for this attempt
	Host            string
	Path            string
	Key             string
	Deadline        time.Duration // how long the caller waits; 0 if not stated
	Model           ident.Model
	PromptTokens    int64
	MaxOutputTokens int64
	TokensKnown     bool  // the caller stated the prompt and output tokens
	OutputHint      int64 // the caller's estimate of the output tokens; 0 if not stated
	// SharedParts are the parts of the prompt that other requests may have too.
	SharedParts []ident.PromptPart
	Resumes     bool // continues a stream after the last event that the caller received
	// ResumesRequest is the RequestID of the request that received the first event of the
	// stream; empty if the caller does not name it.
	ResumesRequest string
	Content        ident.ContentHash // see ident.HashContent
}

// Outcome classifies the end of a call to a backend server.
type Outcome uint8

// Outcomes of calls. They decide whether a call may be retried.
const (
	Succeeded   Outcome = iota // complete answer, success
	Failure                    // complete answer, error: the request has run
	NotRun                     // refused by the backend server before running
	Misdirected                // another process listens at the address: not run
	Unsent                     // no byte was sent
	Lost                       // sent, but no complete answer: it may have run
	Aborted                    // aborted by this host: caller disconnected or deadline exceeded
)

// outcomeNames are the names of the outcomes in log lines. Operators' tools may match them,
// so they stay even where the constants have other names.
var outcomeNames = [...]string{"whole", "failure", "not_run", "misdirected", "unsent", "lost", "cut"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// ran reports whether the request may have run.
func (o Outcome) ran() bool {
	return o == Succeeded || o == Failure || o == Lost || o == Aborted
}

// Event is an input of Relay.Step.
type Event interface{ event() }

// Arrived reports that a request has been received completely.
type Arrived struct {
	ID   ID
	Spec RequestSpec
}

// CallerLeft reports that the caller of a request has disconnected.
type CallerLeft struct{ ID ID }

// Reserved reports the result of Reserve.
type Reserved struct {
	ID      ID
	Attempt int
	Outcome Outcome // Hold is valid if Succeeded
	Hold    string
}

// Prefilled reports the result of Prefill.
type Prefilled struct {
	ID      ID
	Attempt int
	Outcome Outcome
	Handle  string
	Tokens  int64 // of the prompt that was prefilled; 0 if not stated
	Took    time.Duration
}

// StreamStarted reports the first event of a stream.
type StreamStarted struct {
	ID      ID
	Attempt int
}

// CallEnded reports the end of Call or Decode.
type CallEnded struct {
	ID      ID
	Attempt int
	Outcome Outcome
	Status  int  // of the backend server; 0 without an answer
	Started bool // part of the answer has been sent to the caller
	Events  int  // stream events relayed by this call
	Crashed bool // the process of the backend server ended when it began the answer
	// HandleInvalid is set if the call was not sent because its KV cache handle had become
	// invalid.
	HandleInvalid bool
	Framing       string // what delimits the body of a stream, for the log
	Took          time.Duration
}

// CrashNoticed reports that the process of a backend server has ended some time after it had
// broken off its answer to a request.
type CrashNoticed struct {
	From         backends.Target
	Organisation ident.Organisation
	Spec         RequestSpec
}

// ConfigRead delivers a version of the configuration.
type ConfigRead struct{ Snapshot *catalog.Snapshot }

// EntriesListed delivers the complete list of backend servers.
type EntriesListed struct {
	Entries []backends.Entry
	Era     uint64 // of the platform's store; a new one means that an older copy was restored
}

// EntryChanged delivers a new or changed entry of the list.
type EntryChanged struct{ Entry backends.Entry }

// EntryRemoved reports that an entry is no longer listed or is unusable.
type EntryRemoved struct{ ID ident.BackendID }

// EvacuationsListed delivers all failure domains that are evacuated. In a list of the store it
// comes before EntriesListed.
type EvacuationsListed struct {
	Domains []ident.FailureDomain
	Era     uint64 // see EntriesListed
}

// EvacuationChanged reports that operators have evacuated a failure domain, or withdrawn that.
type EvacuationChanged struct {
	Domain    ident.FailureDomain
	Evacuated bool
}

// ServerNoticed reports what a backend server says of itself in an answer.
type ServerNoticed struct {
	From      backends.Target
	SentAt    time.Time // of the request or call that was answered
	RequestID string    // of the caller's request; empty for calls that no request waits for
	Notice    backends.Notice
}

// PlatformReadSucceeded reports a successful read of the platform.
type PlatformReadSucceeded struct {
	Sent     time.Time
	Era      uint64 // of Revision
	Revision uint64
}

// PlatformReadFailed reports a failed read of the platform.
type PlatformReadFailed struct{}

// MessageReceived delivers a message from another host.
type MessageReceived struct{ Message Message }

// SeedsChanged delivers new seed addresses for the discovery of other hosts.
type SeedsChanged struct{ Seeds []string }

// Drain requests a graceful shutdown.
type Drain struct{}

// RoleOrderAnswered reports the result of RoleOrder.
type RoleOrderAnswered struct {
	Backend ident.BackendID
	OK      bool // the engine is switching or already has the role
	Status  int  // 0 without an answer
}

// Tick advances the time; see Relay.Next.
type Tick struct{}

func (Arrived) event()               {}
func (CallerLeft) event()            {}
func (Reserved) event()              {}
func (Prefilled) event()             {}
func (StreamStarted) event()         {}
func (CallEnded) event()             {}
func (CrashNoticed) event()          {}
func (ConfigRead) event()            {}
func (EntriesListed) event()         {}
func (EntryChanged) event()          {}
func (EntryRemoved) event()          {}
func (EvacuationsListed) event()     {}
func (EvacuationChanged) event()     {}
func (ServerNoticed) event()         {}
func (PlatformReadSucceeded) event() {}
func (PlatformReadFailed) event()    {}
func (MessageReceived) event()       {}
func (SeedsChanged) event()          {}
func (Drain) event()                 {}
func (RoleOrderAnswered) event()     {}
func (Tick) event()                  {}

// Message is the state that hosts send each other with their heartbeats.
type Message struct {
	Heartbeat roster.Heartbeat             `cbor:"1,keyasint"`
	Used      map[ident.Organisation]int64 `cbor:"2,keyasint,omitempty"` // tokens admitted since the process started
	Load      []BackendLoad                `cbor:"3,keyasint,omitempty"` // the sender's requests in flight
	// Orders are the sender's recent role orders with their ages.
	Orders []OrderNote `cbor:"4,keyasint,omitempty"`
	Work   []WorkNote  `cbor:"5,keyasint,omitempty"` // totals since the process started
	AgeMS  int64       `cbor:"6,keyasint,omitempty"` // age of the sender's configuration
	UpMS   int64       `cbor:"7,keyasint,omitempty"` // uptime of the sender's process
	// Unreachable are the backend servers that the sender recently failed to reach. Like
	// Leaving, it is sent while a host is known that does not read notes.
	Unreachable []UnreachableNote `cbor:"8,keyasint,omitempty"`
	Version     uint64            `cbor:"9,keyasint,omitempty"` // of the sender's configuration
	// Relayed are admitted tokens that other hosts reported to the sender, see aggregators.
	Relayed []quota.RelayedUse `cbor:"10,keyasint,omitempty"`
	// Parts is what the sender knows of parts of prompts that crash backend servers.
	Parts *quarantine.Notes `cbor:"11,keyasint,omitempty"`
	// Leaving are the backend servers that recently told the sender that they leave.
	Leaving []LeavingNote `cbor:"12,keyasint,omitempty"`
	// KeepsLimits says that the sender's program keeps the limits that servers name.
	KeepsLimits bool                 `cbor:"13,keyasint,omitempty"`
	Limits      []serverlimit.Note   `cbor:"14,keyasint,omitempty"`
	Asks        []serverlimit.Ask    `cbor:"15,keyasint,omitempty"` // for permits, to a coordinator
	Answers     []serverlimit.Answer `cbor:"16,keyasint,omitempty"` // of a coordinator
	Origins     *origin.Message      `cbor:"17,keyasint,omitempty"`
	// KeepsOrigins says that the sender's program keeps the origins of streams.
	KeepsOrigins bool         `cbor:"18,keyasint,omitempty"`
	Notes        []notes.Note `cbor:"19,keyasint,omitempty"`
	// KeepsNotes says that the sender's program reads Unreachable and Leaving from notes.
	KeepsNotes bool `cbor:"20,keyasint,omitempty"`
	// Fleet is what the sender sees of the fleet; nil from older programs.
	Fleet *fleetview.Report `cbor:"21,keyasint,omitempty"`
	// KeepsCold says that the sender's program limits cold servers, and that its configuration
	// has some.
	KeepsCold bool `cbor:"22,keyasint,omitempty" json:",omitempty"`
	// Offers are memory that the sender knows to be free and has no use for.
	Offers []Offer `cbor:"30,keyasint,omitempty"`
}

// Offer is memory of a decode engine that only the sender knows to be free.
type Offer struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Route
	Backend ident.BackendID
	Memory  int64 // tokens of KV cache
	Hops    int   // hosts to which it may still be offered
}

// UnreachableNote names a backend server that the sender failed to reach.
type UnreachableNote struct {
	_       struct{} `cbor:",toarray"`
	Backend ident.BackendID
	AgeMS   int64 // since the last failure
}

// LeavingNote names a process of a backend server that has announced that it leaves.
type LeavingNote struct {
	_         struct{} `cbor:",toarray"`
	Backend   ident.BackendID
	StartedAt int64 // see backends.Entry
}

// WorkNote is the total engine time needed by the sender's requests for a model service.
type WorkNote struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Route
	Prefill float64 // engine seconds
	Decode  float64
}

// BackendLoad is the load that the sender has placed at a backend server.
type BackendLoad struct {
	_        struct{} `cbor:",toarray"`
	Backend  ident.BackendID
	Requests int
	Memory   int64 // tokens of KV cache
	Prompt   int64 // prompt tokens not yet prefilled
}

// OrderNote reports a role order that the sender gave to a backend server.
type OrderNote struct {
	_       struct{} `cbor:",toarray"`
	Backend ident.BackendID
	Stage   backends.Stage
	AgeMS   int64
}
