package limits

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is what limiters exchange. Exactly one field is set.
type Message struct {
	Borrow       *Borrow       `cbor:"1,keyasint,omitempty"`
	Loan         *Loan         `cbor:"2,keyasint,omitempty"`
	Report       *Report       `cbor:"3,keyasint,omitempty"`
	Return       *Return       `cbor:"4,keyasint,omitempty"`
	SlotQuery    *SlotQuery    `cbor:"5,keyasint,omitempty"`
	SlotReleased *SlotReleased `cbor:"6,keyasint,omitempty"`
}

// ID names a loan of a lender or a borrow request of a borrower. Numbers are
// never reused within a process.
type ID struct {
	Process ident.Process `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
}

// Borrow asks for tokens. A borrower sends it to its hub, the hub to lenders of
// its failure domain and to hubs of other domains. Each lender sends its loan
// directly to the borrower and a Report to the hub that asked.
type Borrow struct {
	ID           ID                 `cbor:"1,keyasint"`
	Organisation ident.Organisation `cbor:"2,keyasint"`
	Policy       Policy             `cbor:"3,keyasint"`
	// Need is what waiting requests lack. Want adds what the borrower expects
	// to admit soon, so that it does not ask once per request.
	Need int64 `cbor:"4,keyasint"`
	Want int64 `cbor:"5,keyasint"`
	// TTL is the time after which the borrower drops the loan, counted from when it
	// sent the request.
	TTL  time.Duration `cbor:"6,keyasint"`
	Step Step          `cbor:"7,keyasint,omitempty"`
	// Round is the hub's count of requests for the same ID. A lender answers
	// each round once.
	Round uint8 `cbor:"8,keyasint,omitempty"`
}

// requestKey identifies one round of a Borrow.
type requestKey struct {
	id    ID
	round uint8
}

func (b Borrow) key() requestKey { return requestKey{id: b.ID, round: b.Round} }

// Step says which part of the path from borrower to lender a Borrow is on.
type Step uint8

// The steps of a Borrow.
const (
	ToHub       Step = iota // from the borrower to the hub of its domain
	ToRemoteHub             // from that hub to the hub of another domain
	ToLender                // from a hub to a lender of its domain
)

// Loan moves tokens and the capacity for them to the borrower.
type Loan struct {
	ID           ID                 `cbor:"1,keyasint"`
	Borrow       ID                 `cbor:"2,keyasint"`
	Organisation ident.Organisation `cbor:"3,keyasint"`
	// Policy is the lender's. A borrower with another one does not use the loan.
	Policy Policy `cbor:"4,keyasint"`
	Tokens int64  `cbor:"5,keyasint"`
}

// Report tells the sender of a Borrow how much was lent and what is left.
type Report struct {
	Borrow       ID                 `cbor:"1,keyasint"`
	Organisation ident.Organisation `cbor:"2,keyasint"`
	Granted      int64              `cbor:"3,keyasint"`
	Spare        int64              `cbor:"4,keyasint"`
	Round        uint8              `cbor:"5,keyasint,omitempty"`
}

// Return gives loans back to their lender.
type Return struct {
	Loans []Returned `cbor:"1,keyasint"`
}

// Returned says how much of a loan has been given back so far. The amounts are
// cumulative, so that a repeated or reordered Return has no further effect.
type Returned struct {
	Number   uint64            `cbor:"1,keyasint"`
	Process  ident.Incarnation `cbor:"2,keyasint"`
	Capacity float64           `cbor:"3,keyasint"`
	Tokens   float64           `cbor:"4,keyasint,omitempty"`
}

// SlotQuery asks a peer whether an earlier process of the sender's host has
// released its slot.
type SlotQuery struct {
	Process ident.Process `cbor:"1,keyasint"`
}

// SlotReleased says that a process has released its slot and mints no more, and passes
// its tokens on to the next process of the same host.
type SlotReleased struct {
	Process  ident.Process `cbor:"1,keyasint"`
	Leftover []Leftover    `cbor:"2,keyasint,omitempty"`
	// LoansEnd is the time until the last loan of the process ends, counted from
	// when it released the slot.
	LoansEnd time.Duration `cbor:"3,keyasint,omitempty"`
}

// Leftover is the state of one organisation's bucket at release.
type Leftover struct {
	Organisation ident.Organisation `cbor:"1,keyasint"`
	Policy       Policy             `cbor:"2,keyasint"`
	Level        float64            `cbor:"3,keyasint"`
	Lent         float64            `cbor:"4,keyasint,omitempty"`
}
