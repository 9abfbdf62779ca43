package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is a message of this part. Exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Summary   *Summary   `cbor:"2,keyasint,omitempty"`
}

// Heartbeat tells a peer of the own domain that the sender lives.
type Heartbeat struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint"`
	Sequence    uint64            `cbor:"2,keyasint"` // grows with each interval
	// Domain, Slot and Addr do not change in the life of a process. They are left
	// out for a peer that has acknowledged a heartbeat of this one.
	Domain ident.FailureDomain `cbor:"3,keyasint,omitempty"`
	Slot   ident.Slot          `cbor:"4,keyasint,omitempty"`
	Addr   string              `cbor:"5,keyasint,omitempty"`

	Flags    Flags          `cbor:"6,keyasint,omitempty"`
	Revision ident.Revision `cbor:"7,keyasint,omitempty"`
	// Digest is left out for a peer that has said the same revision and digest.
	Digest []byte `cbor:"8,keyasint,omitempty"`
	// PlatformSilent is in milliseconds.
	PlatformSilent uint64       `cbor:"9,keyasint,omitempty"`
	Free           []PoolFree   `cbor:"10,keyasint,omitempty"`
	Ack            *Ack         `cbor:"11,keyasint,omitempty"`
	Heard          []byte       `cbor:"12,keyasint,omitempty"` // see digest.go
	Domains        []DomainNews `cbor:"13,keyasint,omitempty"`
}

// Flags are the states of a host that need one bit each.
type Flags uint8

// Flags of a heartbeat.
const (
	FlagLeaving  Flags = 1 << iota // takes no new work
	FlagReady                      // serves
	FlagReleased                   // has given up its slot and exits
	FlagAsk                        // the sender does not hear the receiver and asks for an answer
)

// Ack says what the sender knows of the receiver and of its slot.
type Ack struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the newest that the sender knows for the receiver's host id.
	Incarnation ident.Incarnation
	// Sequence is the highest that came directly from that incarnation.
	Sequence uint64
	// Holder is a newer process in the receiver's slot.
	Holder *ident.Process
	// Before is the newest earlier process in the receiver's slot. It is set
	// while the receiver is young.
	Before *ident.Process
	// Released says that Before has given up the slot.
	Released bool
}

// Summary carries the state of a domain from one of its delegates to another
// domain.
type Summary struct {
	News   DomainNews `cbor:"1,keyasint"`
	Digest []byte     `cbor:"2,keyasint,omitempty"`
	Hears  bool       `cbor:"3,keyasint,omitempty"` // the sender's domain has news of the receiver's
}

// DomainNews is the state of a domain as one of its delegates sees it.
type DomainNews struct {
	_        struct{} `cbor:",toarray"`
	Domain   ident.FailureDomain
	Origin   ident.Process // delegate that made it
	Sequence uint64        // of the origin
	OneWay   bool          // set by the relaying domain: the other does not hear it
	Revision ident.Revision
	Live     int
	// PlatformSilent is the least of the domain's hosts in milliseconds.
	PlatformSilent uint64
	Delegates      []Delegate
	Free           []PoolFree // a rotating part of the pools
}

// Delegate is an entry host that speaks for its domain.
type Delegate struct {
	_    struct{} `cbor:",toarray"`
	Host ident.HostID
	Addr string
}

// millis converts a duration for the wire. Negative durations count as zero.
func millis(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Millisecond)
}

// fromMillis converts a duration from the wire, bounded against overflow.
func fromMillis(ms uint64) time.Duration {
	const week = 7 * 24 * time.Hour
	return time.Duration(min(ms, uint64(week/time.Millisecond))) * time.Millisecond
}
