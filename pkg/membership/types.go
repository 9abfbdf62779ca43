package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// HostInfo is an entry host as the platform's lagging list gives it.
type HostInfo struct {
	ID      ident.HostID
	Addr    string
	Domain  ident.FailureDomain
	Slot    ident.Slot
	Leaving bool
}

// PoolFree is the free capacity of a pool in decode slots.
type PoolFree struct {
	_     struct{} `cbor:",toarray"`
	Model ident.Model
	Free  int
}

// Local is what this process says of itself in its heartbeats.
type Local struct {
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration
	Leaving        bool
	Ready          bool
	Free           []PoolFree // pools that this host owns
}

// State is the result of failure detection.
type State uint8

// States of a host.
const (
	Dead State = iota // silent for DeadAfter, released, or never heard
	Suspect
	Live
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"dead", "suspect", "live"}[s]
}

// Host is what is known of a peer in the own domain.
type Host struct {
	Process        ident.Process // Incarnation is zero for a host never heard
	Addr           string
	Domain         ident.FailureDomain
	Slot           ident.Slot
	State          State
	Leaving        bool
	Ready          bool
	Acked          bool // it has acknowledged a recent heartbeat of ours
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration // as it last said, without the time since
	Silent         time.Duration // since the last news of it, direct or relayed
}

// DomainSummary is what is known of another failure domain.
type DomainSummary struct {
	Domain    ident.FailureDomain
	Reachable bool // news came lately, and the domain hears ours
	Revision  ident.Revision
	Live      int
	// PlatformSilent is the least of the domain's hosts, plus the time since.
	PlatformSilent time.Duration
	Free           []PoolFree
	Delegates      []ident.HostID // entry hosts to address there; Addr has their addresses
}

// View is a snapshot. Hosts are those of the own domain without the process
// itself, sorted by host id; Domains are the others, sorted by name.
type View struct {
	Hosts   []Host
	Domains []DomainSummary
}

// Envelope is a message to be sent to a host.
type Envelope struct {
	To      ident.HostID
	Addr    string // if set, send here and not to Addr(To): an old process under a host id
	Message Message
}

// Result is what a call wants sent and what it has found.
type Result struct {
	Envelopes []Envelope
	Events    []Event
}

// Event is a finding for other parts.
type Event interface{ event() }

// HostUp reports a host heard for the first time, or again after it was dead.
type HostUp struct {
	Process ident.Process
	Slot    ident.Slot
}

// HostRestarted reports a newer incarnation of a known host. Work of the
// previous one is lost.
type HostRestarted struct {
	Process  ident.Process
	Previous ident.Incarnation
	Slot     ident.Slot
}

// HostDead reports a host silent for DeadAfter, or one that has released its slot.
type HostDead struct{ Process ident.Process }

// HostLeaving reports a host that takes no new work.
type HostLeaving struct{ Process ident.Process }

// Contact reports that a peer acknowledged a heartbeat of this process. Sent is
// the time at which that heartbeat left, which is what a contact timeout counts
// from. Only newer acknowledgements are reported.
type Contact struct {
	From ident.Process
	Sent time.Time
}

// Superseded reports a newer process under the own host id or in the own slot.
// It is final: this process must stop to act in its slot.
type Superseded struct{ By ident.Process }

// SlotReleased reports that the last holder of a slot has given it up in a
// graceful shutdown.
type SlotReleased struct {
	Process ident.Process
	Slot    ident.Slot
}

// RevisionHeard reports the configuration that a host has in force, each time it
// differs from what that host said before.
type RevisionHeard struct {
	From     ident.HostID
	Revision ident.Revision
	Digest   [32]byte
}

func (HostUp) event()        {}
func (HostRestarted) event() {}
func (HostDead) event()      {}
func (HostLeaving) event()   {}
func (Contact) event()       {}
func (Superseded) event()    {}
func (SlotReleased) event()  {}
func (RevisionHeard) event() {}

// newer reports whether a started after b. Equal start times are ordered by host
// id, so that every host decides alike.
func newer(a, b ident.Process) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Host > b.Host
}
