package origin

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Stream names a stream by the request of the caller that received its first event.
type Stream struct {
	RequestID string
	Service   ident.Route
	// Unnamed tells the streams of this host apart whose request is not known; otherwise 0.
	Unnamed uint64
}

// Basis says how the version of a stream is known.
type Basis uint8

// Bases, in the order in which they are preferred.
const (
	Unknown     Basis = iota
	Relayed           // this host relayed the first event
	Told              // another host told this one
	OnlyVersion       // no other version can have begun the stream
)

// Bases of answers of hosts that do not know the origin. Programs that do not know them take
// them for Unknown.
const (
	OneSeen     Basis = iota + OnlyVersion + 1 // the host sees one version now
	SeveralSeen                                // the host sees several versions that can have begun it
)

// Origin is what is known of the beginning of a stream.
type Origin struct {
	Version ident.Version
	Process serverlimit.Process // that sent the first event; zero if Basis is OnlyVersion
	Basis   Basis
	From    ident.HostID  // that told or answered; empty if this host knows it itself
	Age     time.Duration // since the first event, or since a complete view of the versions for OnlyVersion
}

// Known reports whether the version is known.
func (o Origin) Known() bool { return o.Basis != Unknown }

// Serving is a process of a backend server and the version of its software.
type Serving struct {
	Service ident.Route
	Process serverlimit.Process
	Version ident.Version
}

// Peer is another host whose program keeps origins.
type Peer struct {
	ID     ident.HostID
	Domain ident.FailureDomain
}

// Message is what hosts send each other of origins.
type Message struct {
	Notes   []Note   `cbor:"1,keyasint,omitempty"` // origins to keep
	Acks    []uint64 `cbor:"2,keyasint,omitempty"` // IDs of notes that are kept
	Asks    []Ask    `cbor:"3,keyasint,omitempty"`
	Answers []Answer `cbor:"4,keyasint,omitempty"`
}

// Note tells the origin of a stream.
type Note struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64   // chosen by the sender; 0 if it needs no acknowledgement
	RequestID string
	Service   ident.Route
	Backend   ident.BackendID
	StartedAt int64
	Version   ident.Version
	AgeMS     int64 // since the first event
}

// Ask asks for the origin of a stream.
type Ask struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	RequestID string
	Service   ident.Route
}

// Answer answers an Ask. Basis is Unknown, OneSeen or SeveralSeen if the host does not know the
// origin. If Backend is set then, the host has a record of the stream that cannot be relied on.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Basis   Basis
	Backend ident.BackendID
	// StartedAt is the start of the process, see backends.Entry.
	StartedAt int64
	Version   ident.Version
	AgeMS     int64
}

// Outgoing is a message to another host.
type Outgoing struct {
	To      ident.HostID
	Message Message
}

// Resolved is the outcome of a Resolve that was pending.
type Resolved struct {
	Stream Stream
	Origin Origin // Basis is Unknown if no host knows it
}

// Outputs are the results of the calls since the last Take.
type Outputs struct {
	Messages []Outgoing
	// Recorded are the streams whose first event may now be sent.
	Recorded []Stream
	Resolved []Resolved
}
