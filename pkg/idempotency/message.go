package idempotency

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is exchanged between the stores of two hosts. Exactly one field is set.
type Message struct {
	Begin       *Begin       `cbor:"1,keyasint,omitempty"`
	BeginReply  *BeginReply  `cbor:"2,keyasint,omitempty"`
	End         *End         `cbor:"3,keyasint,omitempty"`
	EndAck      *EndAck      `cbor:"4,keyasint,omitempty"`
	Handover    *Handover    `cbor:"5,keyasint,omitempty"`
	HandoverAck *HandoverAck `cbor:"6,keyasint,omitempty"`
}

// Begin asks the owner of a key whether a call may run.
type Begin struct {
	Call  ident.RequestID `cbor:"1,keyasint"`
	Key   Key             `cbor:"2,keyasint"`
	Owner ident.Process   `cbor:"3,keyasint"`
	// NewSince is the owner's history for which the entry host has verified that the
	// key was created after its start. Zero means that nothing was verified.
	NewSince History `cbor:"4,keyasint,omitempty"`
}

// BeginReply answers a Begin.
type BeginReply struct {
	Call    ident.RequestID `cbor:"1,keyasint"`
	Owner   ident.Process   `cbor:"2,keyasint"`
	Verdict Verdict         `cbor:"3,keyasint"`
	Reason  Reason          `cbor:"4,keyasint,omitempty"`
	Status  int             `cbor:"5,keyasint,omitempty"`
	Body    []byte          `cbor:"6,keyasint,omitempty"`
	// History and HistoryAge are set when the key may repeat a call of which the
	// owner has no record. A key created within HistoryAge cannot be a repeat.
	History    History       `cbor:"7,keyasint,omitempty"`
	HistoryAge time.Duration `cbor:"8,keyasint,omitempty"`
}

// End reports the outcome of a call. It carries the key, so that an owner without
// a record of the Begin can store the outcome.
type End struct {
	Call    ident.RequestID `cbor:"1,keyasint"`
	Key     Key             `cbor:"2,keyasint"`
	Outcome Outcome         `cbor:"3,keyasint"`
	// Owner is the destination of an End with NotRun: only that process can have
	// recorded the call. It is zero for other outcomes, which any owner stores.
	Owner    ident.Process `cbor:"4,keyasint"`
	Status   int           `cbor:"5,keyasint,omitempty"`
	Body     []byte        `cbor:"6,keyasint,omitempty"`
	TooLarge bool          `cbor:"7,keyasint,omitempty"` // the body exceeded MaxBody and is omitted
}

// EndAck acknowledges an End, which is then no longer resent.
type EndAck struct {
	Call ident.RequestID `cbor:"1,keyasint"`
}

// Handover carries records of a slot from a process that shuts down to a peer of
// its domain, and from that peer to the next process in the slot.
type Handover struct {
	Slot    SlotRef       `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"` // the one that shut down
	Part    int           `cbor:"3,keyasint"`
	Parts   int           `cbor:"4,keyasint"`
	// HistoryAge is the time for which the records are complete.
	HistoryAge time.Duration `cbor:"5,keyasint"`
	Slots      uint64        `cbor:"6,keyasint"` // digest of the slots in the rules
	Records    []Record      `cbor:"7,keyasint"`
}

// Record is one record in a Handover.
type Record struct {
	Key      Key             `cbor:"1,keyasint"`
	Call     ident.RequestID `cbor:"2,keyasint"`
	State    state           `cbor:"3,keyasint"`
	Status   int             `cbor:"4,keyasint,omitempty"`
	Body     []byte          `cbor:"5,keyasint,omitempty"`
	TooLarge bool            `cbor:"6,keyasint,omitempty"`
	Accepted bool            `cbor:"7,keyasint,omitempty"`
	Lifetime time.Duration   `cbor:"8,keyasint"` // remaining until expiry
}

// HandoverAck acknowledges one part, which the storing peer then no longer resends.
type HandoverAck struct {
	Slot    SlotRef       `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"`
	Part    int           `cbor:"3,keyasint"`
}
