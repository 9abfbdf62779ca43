package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/reclaim"
)

// HostView is the membership view of one entry host.
type HostView struct {
	Process ident.Process
	Domain  ident.FailureDomain
	Live    bool // not declared dead; its requests keep their engines
	Leaving bool // draining: finishes its requests and owns no pool
}

// PoolFree is the free capacity of a pool, in decode slots.
type PoolFree struct {
	Domain ident.FailureDomain
	Model  ident.Model
	Free   int
}

// ModelVersion names one version of a model.
type ModelVersion struct {
	Model   ident.Model
	Version ident.Version
}

// Recall lists the versions, adapters and engine groups that get no work. All lists
// are sorted.
type Recall struct {
	Versions []ModelVersion
	Adapters []ident.Version
	Groups   []string
}

// Request asks for a prefill engine and a decode slot.
type Request struct {
	Ref          ident.BackendRef // its request id names this process
	Organisation ident.Organisation
	Weight       float64
	Model        ident.Model
	Versions     []ident.Version // allowed, preferred first; empty allows any
	Adapter      ident.Version
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64 // hashes of the prompt's blocks of BlockTokens
	Offset       int      // output tokens already sent, on a resume
	Priority     int
	Budget       time.Duration // left until the first token is due; zero: FirstTokenTarget
	Wait         bool          // stay queued even when the target is missed
	Exclude      []ident.BackendID
}

// Booking is a granted request. The node may start the prefill at once.
type Booking struct {
	Ref       ident.BackendRef
	Prefill   engine.Info
	Decode    engine.Info
	PrefixHit int  // prompt tokens expected in the prefix cache
	Local     bool // placed without an owner
}

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline means that the first token would miss its target.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that the queue of the pool is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoEngine means that no engine of the model may take the request.
	ReasonNoEngine Reason = "no_engine"
	// ReasonRecalled means that only recalled engines could take the request, or
	// that it was booked on one.
	ReasonRecalled Reason = "recalled"
	// ReasonLeaseVoid means that the booking ended while the host was paused.
	ReasonLeaseVoid Reason = "lease_void"
)

// Refusal refuses a request finally or ends its booking.
type Refusal struct {
	Ref        ident.BackendRef
	Reason     Reason
	RetryAfter time.Duration // predicted time until capacity is free
	// Booked is set when the request had been booked. Its engines may have started
	// it, so it must not be reported as not run.
	Booked bool
}

// Cancel tells the node to free what an engine holds for an attempt.
type Cancel struct {
	Backend engine.Info
	Ref     ident.BackendRef
}

// Envelope is a message to another host.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// ClaimQuery asks a host which attempts it still owns.
type ClaimQuery = reclaim.Query

// ClaimReply answers a ClaimQuery.
type ClaimReply = reclaim.Reply

// Result holds the messages to send and the decisions of one call.
type Result struct {
	Envelopes []Envelope
	Booked    []Booking
	Refused   []Refusal
	Cancels   []Cancel
	Claims    []ClaimQuery // queries of other hosts, already answered, for recording
}
