package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Message is a membership message. Exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Summary   *Summary   `cbor:"2,keyasint,omitempty"`
}

// Heartbeat tells a peer of the same domain that the sender is alive.
type Heartbeat struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint"`
	Sequence    uint64            `cbor:"2,keyasint"` // grows with each interval
	// Domain, Slot and Addr do not change during the lifetime of a process. They
	// are omitted for a peer that has acknowledged a heartbeat of the sender and does
	// not count as dead.
	Domain ident.FailureDomain `cbor:"3,keyasint,omitempty"`
	Slot   ident.Slot          `cbor:"4,keyasint,omitempty"`
	Addr   string              `cbor:"5,keyasint,omitempty"`

	Flags    Flags          `cbor:"6,keyasint,omitempty"`
	Revision ident.Revision `cbor:"7,keyasint,omitempty"`
	// Digest is the configuration digest. It is omitted for a peer that has
	// reported the same revision and digest and does not count as dead.
	Digest []byte `cbor:"8,keyasint,omitempty"`
	// PlatformSilent is in milliseconds.
	PlatformSilent uint64       `cbor:"9,keyasint,omitempty"`
	Free           []PoolFree   `cbor:"10,keyasint,omitempty"`
	Ack            *Ack         `cbor:"11,keyasint,omitempty"`
	HeardDigest    []byte       `cbor:"12,keyasint,omitempty"` // sequence numbers of other hosts, see digestEntrySize
	Domains        []DomainNews `cbor:"13,keyasint,omitempty"` // relayed updates of other domains
}

// Flags is a set of boolean properties of a heartbeat and its sender.
type Flags uint8

// Flags of a heartbeat.
const (
	FlagLeaving  Flags = 1 << iota // accepts no new work
	FlagReady                      // serves requests
	FlagReleased                   // has released its slot and exits
	FlagAsk                        // the sender counts the receiver as dead, or never heard from it, and asks for an answer
)

// Ack reports what the sender knows about the receiver and its slot.
type Ack struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the newest that the sender knows for the receiver's host id.
	Incarnation ident.Incarnation
	// Sequence is the highest one received directly from that incarnation.
	Sequence uint64
	// Holder is a newer process in the receiver's slot.
	Holder *ident.Process
	// Previous is the newest earlier process in the receiver's slot. It is set
	// only while the receiver is new, see newProcessPeriod.
	Previous *ident.Process
	// Released reports whether Previous has released the slot.
	Released bool
}

// Summary carries the state of a domain from one of its delegates to another
// domain.
type Summary struct {
	News   DomainNews `cbor:"1,keyasint"`
	Digest []byte     `cbor:"2,keyasint,omitempty"`
	Hears  bool       `cbor:"3,keyasint,omitempty"` // the sender has a recent update of the receiver's domain
}

// DomainNews is an update of a domain's state as one of its delegates sees it.
type DomainNews struct {
	_        struct{} `cbor:",toarray"`
	Domain   ident.FailureDomain
	Origin   ident.Process // delegate that created the update
	Sequence uint64        // heartbeat sequence number of Origin
	OneWay   bool          // set by the domain that receives the update: Domain does not hear from it
	Revision ident.Revision
	Live     int // live hosts that are not leaving
	// PlatformSilent is the minimum over the domain's hosts, in milliseconds.
	PlatformSilent uint64
	Delegates      []Delegate
	Free           []PoolFree // a rotating subset of the pools
}

// Delegate is an entry host that exchanges summaries on behalf of its domain.
type Delegate struct {
	_    struct{} `cbor:",toarray"`
	Host ident.HostID
	Addr string
}

// millis converts a duration to its wire form. Negative durations become zero.
func millis(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Millisecond)
}

// fromMillis converts a duration from its wire form, capped at one week against
// overflow.
func fromMillis(ms uint64) time.Duration {
	const week = 7 * 24 * time.Hour
	return time.Duration(min(ms, uint64(week/time.Millisecond))) * time.Millisecond
}
