package hostlist

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

// Config sets up a Tracker.
type Config struct {
	Self ident.Process
	// AskInterval is the time between two questions to a peer. It bounds how much
	// later than a reader another host learns of a change; each question costs one
	// small message.
	AskInterval time.Duration
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig(self ident.Process) Config {
	return Config{Self: self, AskInterval: 500 * time.Millisecond}
}

// List is one version of the platform's list.
type List struct {
	Version    uint64                `cbor:"1,keyasint"`
	EntryHosts []membership.HostInfo `cbor:"2,keyasint"`
	Backends   []engine.Info         `cbor:"3,keyasint"`
}

// Message is a message between entry hosts. Exactly one field is set.
type Message struct {
	Ask  *Ask  `cbor:"1,keyasint,omitempty"`
	List *List `cbor:"2,keyasint,omitempty"`
}

// Ask requests the list if the receiver has a version above Version.
type Ask struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Envelope is a message to one host.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// Result holds what must be sent and the list that has newly come into force.
type Result struct {
	Envelopes []Envelope
	Accepted  *List
	// WentBack is the lower version that the platform has just given.
	WentBack uint64
}

// Tracker holds the newest list.
type Tracker struct {
	cfg      Config
	list     List
	peers    []ident.HostID
	next     int
	askAt    time.Time
	reported uint64 // last lower version reported, so that each is reported once
}

// New returns a Tracker without a list.
func New(cfg Config, now time.Time) *Tracker {
	return &Tracker{cfg: cfg, askAt: now}
}

// Version returns the version of the newest list, zero without one.
func (t *Tracker) Version() uint64 { return t.list.Version }

// Backends returns the backend servers of the newest list.
func (t *Tracker) Backends() []engine.Info { return t.list.Backends }

// EntryHosts returns the entry hosts of the newest list.
func (t *Tracker) EntryHosts() []membership.HostInfo { return t.list.EntryHosts }

// SetPeers names the live peers of the own failure domain that may be asked.
func (t *Tracker) SetPeers(peers []ident.HostID) {
	t.peers = slices.Clone(peers)
	slices.Sort(t.peers)
}

// Read takes a list that the platform has given.
func (t *Tracker) Read(l List) Result {
	if l.Version < t.list.Version {
		return t.wentBack(l.Version)
	}
	return t.accept(l)
}

// Receive takes a message of a peer.
func (t *Tracker) Receive(from ident.HostID, m Message) Result {
	switch {
	case m.Ask != nil:
		return t.answer(from, *m.Ask)
	case m.List != nil:
		return t.accept(*m.List)
	}
	return Result{}
}

// Tick asks the next peer when it is time to.
func (t *Tracker) Tick(now time.Time) Result {
	if now.Before(t.askAt) || len(t.peers) == 0 {
		return Result{}
	}
	t.askAt = now.Add(t.cfg.AskInterval)
	to := t.peers[t.next%len(t.peers)]
	t.next++
	ask := Message{Ask: &Ask{Version: t.list.Version}}
	return Result{Envelopes: []Envelope{{To: to, Message: ask}}}
}

func (t *Tracker) answer(to ident.HostID, ask Ask) Result {
	if ask.Version >= t.list.Version {
		return Result{}
	}
	l := t.list
	return Result{Envelopes: []Envelope{{To: to, Message: Message{List: &l}}}}
}

func (t *Tracker) accept(l List) Result {
	if l.Version <= t.list.Version {
		return Result{}
	}
	t.list = l
	t.reported = 0
	return Result{Accepted: &l}
}

func (t *Tracker) wentBack(version uint64) Result {
	if t.reported == version {
		return Result{}
	}
	t.reported = version
	return Result{WentBack: version}
}
