package placement

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is one message between hosts. Exactly one field is set.
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
	Round        uint32             `cbor:"3,keyasint"` // grows with each host that the origin asks for Ref
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
	Budget       time.Duration      `cbor:"14,keyasint"` // left when sent
	Wait         bool               `cbor:"15,keyasint,omitempty"`
	Exclude      []ident.BackendID  `cbor:"16,keyasint,omitempty"`
	// Acting asks a host to book although it is not the owner, because the owner
	// did not answer.
	Acting bool `cbor:"17,keyasint,omitempty"`
	// Spills says that another domain has room: the owner refuses a request that
	// would use up most of its budget in the queue.
	Spills bool `cbor:"19,keyasint,omitempty"`
	// Forwarded is set when a host that was not the owner passed the message on.
	Forwarded bool `cbor:"18,keyasint,omitempty"`
}

// origin returns the host that owns an attempt, or "" when its id names none.
func origin(ref ident.BackendRef) ident.HostID {
	p, err := ref.Request.Owner()
	if err != nil {
		return ""
	}
	return p.Host
}

// Queued says that a request waits in the owner's queue.
type Queued struct {
	Ref   ident.BackendRef `cbor:"1,keyasint"`
	Round uint32           `cbor:"2,keyasint"`
}

// Booked grants a request. It names engines by id only, to stay small; every host
// has their addresses from the platform.
type Booked struct {
	Ref       ident.BackendRef `cbor:"1,keyasint"`
	Round     uint32           `cbor:"2,keyasint"`
	Prefill   ident.BackendID  `cbor:"3,keyasint"`
	Decode    ident.BackendID  `cbor:"4,keyasint"`
	Version   ident.Version    `cbor:"5,keyasint,omitempty"` // that the engines serve now
	PrefixHit int              `cbor:"6,keyasint,omitempty"`
}

// Refused refuses a request.
type Refused struct {
	Ref        ident.BackendRef `cbor:"1,keyasint"`
	Round      uint32           `cbor:"2,keyasint"`
	Reason     Reason           `cbor:"3,keyasint"`
	RetryAfter time.Duration    `cbor:"4,keyasint"`
	Booked     bool             `cbor:"5,keyasint,omitempty"` // the request had been booked
}

// Prefilled says that the prefill of a request has ended.
type Prefilled struct {
	Ref ident.BackendRef `cbor:"1,keyasint"`
}

// Release ends a request at the owner, in any state.
type Release struct {
	Ref    ident.BackendRef `cbor:"1,keyasint"`
	Round  uint32           `cbor:"2,keyasint"`
	Output int              `cbor:"3,keyasint"` // output tokens; -1: the booking was not used
}

// Move asks for another decode engine for a booking.
type Move struct {
	Ref   ident.BackendRef `cbor:"1,keyasint"`
	Round uint32           `cbor:"2,keyasint"`
}

// Held describes a booking to a new owner.
type Held struct {
	Ref          ident.BackendRef   `cbor:"1,keyasint"`
	Round        uint32             `cbor:"2,keyasint"`
	Organisation ident.Organisation `cbor:"4,keyasint"`
	Prefill      ident.BackendID    `cbor:"5,keyasint"`
	Decode       ident.BackendID    `cbor:"6,keyasint"`
	Tokens       int                `cbor:"7,keyasint"` // to prefill
	MaxTokens    int                `cbor:"8,keyasint"`
	Prefilled    bool               `cbor:"9,keyasint"`
	Age          time.Duration      `cbor:"10,keyasint"` // since the booking
}

// Handover gives a pool's queue and bookings to its new owner. The old owner
// sends it, and so does a client with its own bookings when the owner has died.
type Handover struct {
	Pool     Pool   `cbor:"1,keyasint"`
	Queue    []Book `cbor:"2,keyasint,omitempty"`
	Bookings []Held `cbor:"3,keyasint,omitempty"`
}
