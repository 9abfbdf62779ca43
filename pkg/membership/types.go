package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// HostInfo describes an entry host in the platform's list, which lags behind the
// actual state. Peers receive it encoded under the Go field names.
type HostInfo struct {
	ID      ident.HostID
	Addr    string
	Domain  ident.FailureDomain
	Slot    ident.Slot
	Leaving bool
}

// PoolFree is the free capacity of a model's pool in decode slots.
type PoolFree struct {
	_     struct{} `cbor:",toarray"`
	Model ident.Model
	Free  int
}

// Local is the state of this process that its heartbeats report.
type Local struct {
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration
	Leaving        bool
	Ready          bool
	Free           []PoolFree // pools that this host owns
}

// State is the state of a host according to the failure detector.
type State uint8

// States of a host.
const (
	Dead State = iota // silent for longer than DeadAfter, released its slot, or never heard from
	Suspect
	Live
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"dead", "suspect", "live"}[s]
}

// Host is the known state of a peer in the local domain.
type Host struct {
	Process        ident.Process // Incarnation is zero for a host never heard from
	Addr           string
	Domain         ident.FailureDomain
	Slot           ident.Slot
	State          State
	Leaving        bool
	Ready          bool
	Acked          bool // it has acknowledged a recent heartbeat of this process
	Revision       ident.Revision
	Digest         [32]byte
	PlatformSilent time.Duration // as last reported, not counting the time since
	Silent         time.Duration // since its sequence number last grew, directly or by a digest
}

// DomainSummary is the known state of another failure domain.
type DomainSummary struct {
	Domain    ident.FailureDomain
	Reachable bool // a recent update arrived, and that domain receives ours
	Revision  ident.Revision
	Live      int // live hosts that are not leaving
	// PlatformSilent is the minimum over the domain's hosts, plus the age of the
	// update.
	PlatformSilent time.Duration
	Free           []PoolFree
	Delegates      []ident.HostID // entry hosts to contact there; Group.Addr returns their addresses
}

// View is a snapshot of the membership. Hosts are the peers in the local domain,
// without this process, sorted by host id; Domains are the other domains, sorted by
// name.
type View struct {
	Hosts   []Host
	Domains []DomainSummary
}

// Envelope is a message to be sent to a host.
type Envelope struct {
	To      ident.HostID
	Addr    string // if set, used instead of Group.Addr(To), to reach an old process under the host id
	Message Message
}

// Result holds the messages to send and the events that a call produced.
type Result struct {
	Envelopes []Envelope
	Events    []Event
}

// Event is something that a call found out, such as a dead host, for the caller to act
// on.
type Event interface{ event() }

// HostUp reports a host heard from for the first time, or again after it was dead.
type HostUp struct {
	Process ident.Process
	Slot    ident.Slot
}

// HostRestarted reports a newer incarnation of a known host. The work of the
// previous incarnation is lost.
type HostRestarted struct {
	Process  ident.Process
	Previous ident.Incarnation
	Slot     ident.Slot
}

// HostDead reports a host silent for longer than DeadAfter, or one that has
// released its slot.
type HostDead struct{ Process ident.Process }

// HostLeaving reports a host that accepts no new work.
type HostLeaving struct{ Process ident.Process }

// Contact reports that a peer acknowledged a heartbeat of this process. Sent is
// the time at which that heartbeat was sent, from which contact timeouts are
// measured. It is reported only for heartbeats newer than the last one reported.
type Contact struct {
	From ident.Process
	Sent time.Time
}

// Superseded reports a newer process under this process's host id or in its slot.
// It is final: this process must stop acting in its slot.
type Superseded struct{ By ident.Process }

// SlotReleased reports that the last holder of a slot released it in a graceful
// shutdown.
type SlotReleased struct {
	Process ident.Process
	Slot    ident.Slot
}

// RevisionHeard reports the configuration that a host has in force, each time it
// differs from the host's previous report.
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
// id, so that every host reaches the same decision.
func newer(a, b ident.Process) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Host > b.Host
}
