package idempotency

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is what memories exchange. Exactly one field is set.
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
	// NewSince is the history of the owner for which the entry host has checked
	// that the key was made later than its start. Zero claims nothing.
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
	// History and HistoryAge are set when the key may be a repeat of a call that
	// the owner has no record of. A key made within HistoryAge is none.
	History    History       `cbor:"7,keyasint,omitempty"`
	HistoryAge time.Duration `cbor:"8,keyasint,omitempty"`
}

// End reports how a call has ended. It carries the key, so that an owner without
// a record of the begin can store the outcome.
type End struct {
	Call    ident.RequestID `cbor:"1,keyasint"`
	Key     Key             `cbor:"2,keyasint"`
	Outcome Outcome         `cbor:"3,keyasint"`
	// Owner is the process that an End with NotRun is for: only there can the call
	// have been recorded. It is zero for other outcomes, which any owner stores.
	Owner    ident.Process `cbor:"4,keyasint"`
	Status   int           `cbor:"5,keyasint,omitempty"`
	Body     []byte        `cbor:"6,keyasint,omitempty"`
	TooLarge bool          `cbor:"7,keyasint,omitempty"` // the body was not kept
}

// EndAck ends the repetition of an End.
type EndAck struct {
	Call ident.RequestID `cbor:"1,keyasint"`
}

// Handover carries records of a slot from a process that shuts down to a keeper,
// and from there to the next process in the slot.
type Handover struct {
	Slot    SlotRef       `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"` // the one that shut down
	Part    int           `cbor:"3,keyasint"`
	Parts   int           `cbor:"4,keyasint"`
	// HistoryAge is how far the records reach back.
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
	Lifetime time.Duration   `cbor:"8,keyasint"` // what is left of it
}

// HandoverAck ends the repetition of one part by the keeper.
type HandoverAck struct {
	Slot    SlotRef       `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"`
	Part    int           `cbor:"3,keyasint"`
}
