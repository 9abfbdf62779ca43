package confsync

import (
	"crypto/sha256"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Generation is one revision of the whole configuration.
type Generation struct {
	Revision ident.Revision
	Digest   [32]byte // SHA-256 of Text
	Text     []byte
}

// NewGeneration returns a generation with the digest of its text.
func NewGeneration(r ident.Revision, text []byte) Generation {
	return Generation{Revision: r, Digest: sha256.Sum256(text), Text: text}
}

func (g Generation) id() generationID {
	return generationID{revision: g.Revision, digest: g.Digest}
}

// generationID names a generation without its text.
type generationID struct {
	revision ident.Revision
	digest   [32]byte
}

// Peer is a host that may have a generation: a live host of the own domain, or a
// delegate of another.
type Peer struct {
	Host           ident.HostID
	Remote         bool // a delegate of another domain, which is no reader of this one
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration // as that host said, without the time since
}

// Result is what a call wants done and what it has found.
type Result struct {
	Envelopes []Envelope
	Read      *ReadEffect // to start; at most one is outstanding
	Accepted  *Generation // newly in force
	Alarms    []Alarm
}

// Envelope is a message to be sent to a host.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// ReadEffect asks the driver for one read or watch of the manifest and, if its
// revision is not Have, of the chunks that the driver does not hold by their
// digests. The driver answers each
// with one ReadDone, at Deadline at the latest.
type ReadEffect struct {
	After     uint64         // platform version to watch from; zero for a plain read
	Have      ident.Revision // revision in force; chunks of this one need no read
	Wait      time.Duration  // longest time for the watch to stay pending
	NotBefore time.Time      // start of the read; jittered where many hosts read at once
	Deadline  time.Time      // the driver gives up and reports an error
}

// ReadOutcome is the end of a ReadEffect.
type ReadOutcome struct {
	Generation      Generation // of the manifest and chunks read, if no error and changed
	PlatformVersion uint64     // of the manifest
	NotChanged      bool       // the watch ended without a change, or the revision is Have
	Err             error
}

// AlarmKind says what an operator should look at.
type AlarmKind string

// Kinds of alarms.
const (
	AlarmInvalid  AlarmKind = "invalid"  // the text does not validate; the last good one stays
	AlarmConflict AlarmKind = "conflict" // one revision with two texts; the first stays
	AlarmLower    AlarmKind = "lower"    // the platform went back; the higher revision stays
	AlarmCorrupt  AlarmKind = "corrupt"  // the text does not have its digest
)

// Alarm reports a fault of a generation, once for each.
type Alarm struct {
	Kind     AlarmKind
	Revision ident.Revision
	Digest   [32]byte
	From     ident.HostID // empty for the platform
	Text     string
}

// Message is a message of this part. Exactly one field is set.
type Message struct {
	Fetch *Fetch          `cbor:"1,keyasint,omitempty"`
	Part  *GenerationPart `cbor:"2,keyasint,omitempty"`
}

// Fetch asks for a part of a generation.
type Fetch struct {
	Revision ident.Revision `cbor:"1,keyasint"`
	Digest   []byte         `cbor:"2,keyasint"`
	Base     []byte         `cbor:"3,keyasint,omitempty"` // digest of the text that the asker has
	Offset   int            `cbor:"4,keyasint,omitempty"` // of the part in the transfer
}

// GenerationPart is a part of the text of a generation, or of a delta to it.
type GenerationPart struct {
	Revision ident.Revision `cbor:"1,keyasint"`
	Digest   []byte         `cbor:"2,keyasint"`
	Base     []byte         `cbor:"3,keyasint,omitempty"` // digest of the text that the delta starts from; none for a full transfer
	Offset   int            `cbor:"4,keyasint,omitempty"`
	Total    int            `cbor:"5,keyasint"`
	Data     []byte         `cbor:"6,keyasint"`
}
