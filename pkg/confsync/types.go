package confsync

import (
	"crypto/sha256"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Generation is one revision of the complete configuration.
type Generation struct {
	Revision ident.Revision
	Digest   [32]byte // SHA-256 of Text
	Text     []byte
}

// NewGeneration returns a generation with the computed digest of its text.
func NewGeneration(r ident.Revision, text []byte) Generation {
	return Generation{Revision: r, Digest: sha256.Sum256(text), Text: text}
}

func (g Generation) id() generationID {
	return generationID{revision: g.Revision, digest: g.Digest}
}

// generationID identifies a generation without its text.
type generationID struct {
	revision ident.Revision
	digest   [32]byte
}

// Peer is a host that may have a generation: a live host of this host's domain, or a
// delegate of another domain.
type Peer struct {
	Host           ident.HostID
	Remote         bool // delegate of another domain, which never reads for this one
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration // as that host reported it; the time since then is not added
}

// Result holds the effects of a call: messages to send, a read to start, the newly
// accepted generation and alarms.
type Result struct {
	Envelopes []Envelope
	Read      *ReadEffect // to start; at most one is outstanding
	Accepted  *Generation // newly in force, or nil
	Alarms    []Alarm
}

// Envelope is a message with its destination.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// ReadEffect asks the driver for one read or watch of the manifest and, if its
// revision is not Have, of the chunks that the driver does not already hold under
// their digests. The driver answers each with one ReadDone, by Deadline at the latest.
type ReadEffect struct {
	After     uint64         // platform version to watch from; zero for a plain read
	Have      ident.Revision // revision in force; its chunks need no read
	Wait      time.Duration  // longest time for the watch to stay pending
	NotBefore time.Time      // start of the read; jittered when many hosts may read at once
	Deadline  time.Time      // the driver then gives up and reports an error
}

// ReadOutcome is the end of a ReadEffect.
type ReadOutcome struct {
	Generation      Generation // from the manifest and chunks; valid only if Err is nil and NotChanged is false
	PlatformVersion uint64     // of the manifest
	NotChanged      bool       // the watch ended without a change, or the revision is Have
	Err             error
}

// AlarmKind classifies faults that an operator should look into.
type AlarmKind string

// Kinds of alarms.
const (
	AlarmInvalid  AlarmKind = "invalid"  // the text does not validate; the last good one stays
	AlarmConflict AlarmKind = "conflict" // one revision with two texts; the first stays
	AlarmLower    AlarmKind = "lower"    // the platform has a lower revision; the higher one stays
	AlarmCorrupt  AlarmKind = "corrupt"  // the text does not match its digest
)

// Alarm reports a fault of a generation, once per kind and generation.
type Alarm struct {
	Kind     AlarmKind
	Revision ident.Revision
	Digest   [32]byte
	From     ident.HostID // empty for the platform
	Text     string
}

// Message is exchanged between two hosts. Exactly one field is set.
type Message struct {
	Fetch *Fetch          `cbor:"1,keyasint,omitempty"`
	Part  *GenerationPart `cbor:"2,keyasint,omitempty"`
}

// Fetch asks for a part of a generation.
type Fetch struct {
	Revision ident.Revision `cbor:"1,keyasint"`
	Digest   []byte         `cbor:"2,keyasint"`
	Base     []byte         `cbor:"3,keyasint,omitempty"` // digest of the requester's text
	Offset   int            `cbor:"4,keyasint,omitempty"` // of the part within the transfer
}

// GenerationPart is a part of the text of a generation, or of a delta to it.
type GenerationPart struct {
	Revision ident.Revision `cbor:"1,keyasint"`
	Digest   []byte         `cbor:"2,keyasint"`
	Base     []byte         `cbor:"3,keyasint,omitempty"` // digest of the delta's base text; empty for a full transfer
	Offset   int            `cbor:"4,keyasint,omitempty"`
	Total    int            `cbor:"5,keyasint"`
	Data     []byte         `cbor:"6,keyasint"`
}
