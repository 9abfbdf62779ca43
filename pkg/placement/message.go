package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is a message between hosts. Exactly one field is set.
type Message struct {
	Book     *Book       `cbor:"1,keyasint,omitempty"`
	Queued   *Queued     `cbor:"2,keyasint,omitempty"`
	Booked   *Booked     `cbor:"3,keyasint,omitempty"`
	Refused  *Refused    `cbor:"4,keyasint,omitempty"`
	Prefill  *Prefilled  `cbor:"5,keyasint,omitempty"`
	Release  *Release    `cbor:"6,keyasint,omitempty"`
	Query    *ClaimQuery `cbor:"7,keyasint,omitempty"`
	Reply    *ClaimReply `cbor:"8,keyasint,omitempty"`
	Handover *Handover   `cbor:"9,keyasint,omitempty"`
	Move     *Move       `cbor:"10,keyasint,omitempty"`
}

// Pool identifies the engines of one model in one failure domain.
type Pool struct {
	Model  ident.Model         `cbor:"1,keyasint"`
	Domain ident.FailureDomain `cbor:"2,keyasint"`
}

// Book asks a host to book engines of a pool. It may be repeated. The answer goes
// to the host that Ref names.
type Book struct {
	Pool         Pool               `cbor:"1,keyasint"`
	Round        uint32             `cbor:"3,keyasint"` // increases each time the origin asks a host anew for Ref
	Ref          ident.BackendRef   `cbor:"4,keyasint"`
	Organisation ident.Organisation `cbor:"5,keyasint"`
	Weight       float64            `cbor:"6,keyasint,omitempty"`
	Versions     []ident.Version    `cbor:"7,keyasint,omitempty"`
	Adapter      ident.Version      `cbor:"8,keyasint,omitempty"`
	PromptTokens int                `cbor:"9,keyasint"`
	MaxTokens    int                `cbor:"10,keyasint"`
	Prefix       []uint64           `cbor:"11,keyasint,omitempty"`
	Offset       int                `cbor:"12,keyasint,omitempty"`
	Priority     int                `cbor:"13,keyasint,omitempty"`
	Budget       time.Duration      `cbor:"14,keyasint"` // remaining when sent
	Wait         bool               `cbor:"15,keyasint,omitempty"`
	Exclude      []ident.BackendID  `cbor:"16,keyasint,omitempty"`
	// Fallback asks a host to book although it is not the owner, because the owner
	// did not answer or has handed the request over.
	Fallback bool `cbor:"17,keyasint,omitempty"`
	// CanSpill says that another domain has free capacity, so the owner refuses a
	// request whose first token would take more than half of its budget.
	CanSpill bool `cbor:"19,keyasint,omitempty"`
	// Forwarded is set when a host that is not the owner has forwarded the message,
	// so that it is forwarded once at most.
	Forwarded bool `cbor:"18,keyasint,omitempty"`
}

// origin returns the host where an attempt entered, or "" when its id names none.
func origin(ref ident.BackendRef) ident.HostID {
	p, err := ref.Request.Owner()
	if err != nil {
		return ""
	}
	return p.Host
}

// Queued tells the origin that its request is in the owner's queue.
type Queued struct {
	Ref   ident.BackendRef `cbor:"1,keyasint"`
	Round uint32           `cbor:"2,keyasint"`
}

// Booked grants a request. It identifies engines by id only, to stay small; every
// host has their addresses from the platform.
type Booked struct {
	Ref       ident.BackendRef `cbor:"1,keyasint"`
	Round     uint32           `cbor:"2,keyasint"`
	Prefill   ident.BackendID  `cbor:"3,keyasint"`
	Decode    ident.BackendID  `cbor:"4,keyasint"`
	Version   ident.Version    `cbor:"5,keyasint,omitempty"` // served by the engines now
	PrefixHit int              `cbor:"6,keyasint,omitempty"`
}

// Refused refuses a request or ends its booking.
type Refused struct {
	Ref        ident.BackendRef `cbor:"1,keyasint"`
	Round      uint32           `cbor:"2,keyasint"`
	Reason     Reason           `cbor:"3,keyasint"`
	RetryAfter time.Duration    `cbor:"4,keyasint"`
	Booked     bool             `cbor:"5,keyasint,omitempty"` // the request had been booked
}

// Prefilled tells the owner that the prefill of a request has ended.
type Prefilled struct {
	Ref ident.BackendRef `cbor:"1,keyasint"`
}

// Release ends a request at the owner, in any state.
type Release struct {
	Ref    ident.BackendRef `cbor:"1,keyasint"`
	Round  uint32           `cbor:"2,keyasint"`
	Output int              `cbor:"3,keyasint"` // output tokens, or -1 if the booking was not used
}

// Move asks for another decode engine for a booking.
type Move struct {
	Ref   ident.BackendRef `cbor:"1,keyasint"`
	Round uint32           `cbor:"2,keyasint"`
}

// Held describes a booking for a new owner of its pool.
type Held struct {
	Ref          ident.BackendRef   `cbor:"1,keyasint"`
	Round        uint32             `cbor:"2,keyasint"`
	Organisation ident.Organisation `cbor:"4,keyasint"`
	Prefill      ident.BackendID    `cbor:"5,keyasint"`
	Decode       ident.BackendID    `cbor:"6,keyasint"`
	Tokens       int                `cbor:"7,keyasint"` // to prefill
	MaxTokens    int                `cbor:"8,keyasint"`
	Prefilled    bool               `cbor:"9,keyasint"`
	Age          time.Duration      `cbor:"10,keyasint"` // time since the booking
}

// Handover gives a pool's queue and bookings to its new owner. It is sent by the
// previous owner, and by a client with its own bookings when the new owner cannot
// know them, for example after the previous owner died.
type Handover struct {
	Pool     Pool   `cbor:"1,keyasint"`
	Queue    []Book `cbor:"2,keyasint,omitempty"`
	Bookings []Held `cbor:"3,keyasint,omitempty"`
}
