package hostlist

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

// Config holds the settings of a Tracker.
type Config struct {
	Self ident.Process
	// AskInterval is the time between two requests to peers. It bounds how much later
	// than a reader another host learns of a change; each request costs one small
	// message.
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

// Ask requests the list if the receiver has a higher version than Version.
type Ask struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Envelope is a message to one host.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// Result holds the messages to send and the list that has just come into force.
type Result struct {
	Envelopes []Envelope
	Accepted  *List
	// LowerVersion is the version of a list from the platform that is older than the
	// newest one, zero if there is none to report.
	LowerVersion uint64
}

// Tracker holds the newest list.
type Tracker struct {
	cfg           Config
	list          List
	peers         []ident.HostID
	nextPeer      int
	nextAskAt     time.Time
	reportedLower uint64 // last lower version reported, so that repeats are not reported
}

// New returns a Tracker without a list.
func New(cfg Config, now time.Time) *Tracker {
	return &Tracker{cfg: cfg, nextAskAt: now}
}

// Version returns the version of the newest list, zero without one.
func (t *Tracker) Version() uint64 { return t.list.Version }

// Backends returns the backend servers of the newest list.
func (t *Tracker) Backends() []engine.Info { return t.list.Backends }

// EntryHosts returns the entry hosts of the newest list.
func (t *Tracker) EntryHosts() []membership.HostInfo { return t.list.EntryHosts }

// SetPeers sets the live peers of the local failure domain to request the list from.
func (t *Tracker) SetPeers(peers []ident.HostID) {
	t.peers = slices.Clone(peers)
	slices.Sort(t.peers)
}

// Read handles a list received from the platform.
func (t *Tracker) Read(l List) Result {
	if l.Version < t.list.Version {
		return t.reportLower(l.Version)
	}
	return t.accept(l)
}

// Receive handles a message from a peer.
func (t *Tracker) Receive(from ident.HostID, m Message) Result {
	switch {
	case m.Ask != nil:
		return t.answer(from, *m.Ask)
	case m.List != nil:
		return t.accept(*m.List)
	}
	return Result{}
}

// Tick requests the list from the next peer when AskInterval has passed.
func (t *Tracker) Tick(now time.Time) Result {
	if now.Before(t.nextAskAt) || len(t.peers) == 0 {
		return Result{}
	}
	t.nextAskAt = now.Add(t.cfg.AskInterval)
	to := t.peers[t.nextPeer%len(t.peers)]
	t.nextPeer++
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
	t.reportedLower = 0
	return Result{Accepted: &l}
}

func (t *Tracker) reportLower(version uint64) Result {
	if t.reportedLower == version {
		return Result{}
	}
	t.reportedLower = version
	return Result{LowerVersion: version}
}
