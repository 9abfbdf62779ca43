package notes

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Kind is the kind of a note. The numbers are part of the protocol between hosts.
type Kind uint8

// Kinds of notes.
const (
	Unreachable Kind = iota + 1 // a backend server that the sender failed to reach
	Leaving                     // a backend server that has announced that it leaves
	Full                        // a backend server that refused a request for lack of capacity
	Speed                       // speed of a backend server
	Admission                   // waiting and started work of a service by rank
)

// Note is one fact as it is sent to other hosts. Times are ages, because clocks differ.
type Note struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     string
	Version uint64 // grows with each change of the value within one process of the sender
	AgeMS   int64  // since the sender put it
	Body    cbor.RawMessage
}

// Traits determine how the notes of a kind are sent and kept.
type Traits struct {
	// Lifetime is the age beyond which a note no longer holds. The sender puts a note again
	// for as long as its value holds.
	Lifetime time.Duration
	// Urgency orders the kinds in a heartbeat, highest first. Put reports whether a note is
	// urgent enough to be sent before the next regular heartbeat.
	Urgency int
}

// Config holds the settings of a Carrier.
type Config struct {
	// BytesPerSecond bounds the bytes of notes that this host sends to all others together.
	// A higher bound delivers changes sooner in a large fleet and occupies the host's link.
	BytesPerSecond float64
	// Repeat is the number of heartbeat intervals for which a note is sent. More make up for
	// more lost datagrams.
	Repeat float64
	Kinds  map[Kind]Traits
}

// DefaultConfig returns settings that leave most of a host's traffic to heartbeats.
func DefaultConfig() Config {
	return Config{
		BytesPerSecond: 24_000,
		Repeat:         2,
		Kinds: map[Kind]Traits{
			Unreachable: {Lifetime: 2 * time.Second, Urgency: 2},
			Leaving:     {Lifetime: 10 * time.Second, Urgency: 2},
			Full:        {Lifetime: 3 * time.Second, Urgency: 1},
			Speed:       {Lifetime: time.Minute},
			Admission:   {Lifetime: 5 * time.Second, Urgency: 1},
		},
	}
}

const (
	// maxKeyBytes and maxBodyBytes bound a note of another host.
	maxKeyBytes  = 256
	maxBodyBytes = 4 << 10
	// maxNotes bounds the notes that are kept for each host.
	maxNotes = 4096
	// noteOverhead is an estimate of the bytes of a note besides its key and body.
	noteOverhead = 16
)

// Carrier holds the notes that this host sends and the versions that it has received. It is
// not safe for concurrent use.
type Carrier struct {
	cfg      Config
	own      map[address]*ownNote
	received map[ident.HostID]map[address]receipt
	version  uint64
	urgent   bool // see HasUrgent
}

type address struct {
	kind Kind
	key  string
}

type ownNote struct {
	Note
	putAt time.Time
	sent  int // heartbeats that carried it
}

type receipt struct {
	version uint64
	at      time.Time // when the sender put the note
}

// New returns a Carrier without notes.
func New(cfg Config) *Carrier {
	return &Carrier{cfg: cfg, own: map[address]*ownNote{}, received: map[ident.HostID]map[address]receipt{}}
}

// Put replaces the value of a key of this host. body is encoded with CBOR. Notes of a kind
// without traits are not sent.
func (c *Carrier) Put(now time.Time, kind Kind, key string, body any) error {
	if _, ok := c.cfg.Kinds[kind]; !ok {
		return fmt.Errorf("notes: kind %d has no traits", kind)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return fmt.Errorf("notes: encode kind %d: %w", kind, err)
	}
	if len(key) > maxKeyBytes || len(data) > maxBodyBytes {
		return fmt.Errorf("notes: kind %d: key of %d bytes with body of %d bytes", kind, len(key), len(data))
	}
	c.version++
	a := address{kind, key}
	if c.own[a] == nil && len(c.own) >= maxNotes {
		return fmt.Errorf("notes: more than %d notes", maxNotes)
	}
	c.own[a] = &ownNote{Note: Note{Kind: kind, Key: key, Version: c.version, Body: data}, putAt: now}
	c.urgent = c.urgent || c.cfg.Kinds[kind].Urgency > 1
	return nil
}

// HasUrgent reports whether a note of an urgent kind has been put since the last Take. Urgent
// notes that did not fit wait for the next regular heartbeats: in a large fleet, heartbeats to
// all hosts for each few of them would occupy the link.
func (c *Carrier) HasUrgent() bool { return c.urgent }

// Take returns the notes for one heartbeat, of which this host sends perSecond a second. A
// note is repeated for Config.Repeat times interval, the time between two heartbeats to one
// host.
func (c *Carrier) Take(now time.Time, interval time.Duration, perSecond float64) []Note {
	c.urgent = false
	var due []*ownNote
	for a, n := range c.own {
		age := now.Sub(n.putAt)
		if age > c.cfg.Kinds[n.Kind].Lifetime {
			delete(c.own, a)
			continue
		}
		if n.sent == 0 || age <= time.Duration(c.cfg.Repeat*float64(interval)) {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *ownNote) int {
		return cmp.Or(
			cmp.Compare(c.cfg.Kinds[b.Kind].Urgency, c.cfg.Kinds[a.Kind].Urgency),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(b.Version, a.Version),
		)
	})
	left := c.cfg.BytesPerSecond / max(1, perSecond)
	var notes []Note
	for _, n := range due {
		if left -= float64(len(n.Key) + len(n.Body) + noteOverhead); left < 0 {
			break
		}
		n.sent++
		note := n.Note
		note.AgeMS = now.Sub(n.putAt).Milliseconds()
		notes = append(notes, note)
	}
	return notes
}

// Received is a note of another host that this one did not know.
type Received struct {
	From ident.HostID
	Note
	At time.Time // when the sender put it
}

// Decode decodes the body of a note.
func (n Note) Decode(into any) error {
	if err := cbor.Unmarshal(n.Body, into); err != nil {
		return fmt.Errorf("notes: decode kind %d of key %q: %w", n.Kind, n.Key, err)
	}
	return nil
}

// Apply returns the notes from a host that are new. Notes that are too old, too long or of
// an unknown kind are dropped.
func (c *Carrier) Apply(now time.Time, from ident.HostID, notes []Note) []Received {
	var fresh []Received
	for _, n := range notes {
		traits, known := c.cfg.Kinds[n.Kind]
		if !known || n.AgeMS > traits.Lifetime.Milliseconds() || len(n.Key) > maxKeyBytes || len(n.Body) > maxBodyBytes {
			continue
		}
		age := time.Duration(max(0, n.AgeMS)) * time.Millisecond
		versions := c.received[from]
		if versions == nil {
			versions = map[address]receipt{}
			c.received[from] = versions
		}
		a := address{n.Kind, n.Key}
		last, seen := versions[a]
		if seen && n.Version <= last.version || !seen && len(versions) >= maxNotes {
			continue
		}
		versions[a] = receipt{version: n.Version, at: now.Add(-age)}
		fresh = append(fresh, Received{From: from, Note: n, At: now.Add(-age)})
	}
	return fresh
}

// Forget drops what is known of the notes of a host that is gone or has started again, whose
// versions start anew.
func (c *Carrier) Forget(from ident.HostID) { delete(c.received, from) }

// Expire drops the versions of notes that no longer hold.
func (c *Carrier) Expire(now time.Time) {
	for host, versions := range c.received {
		for a, r := range versions {
			if now.Sub(r.at) > 2*c.cfg.Kinds[a.kind].Lifetime {
				delete(versions, a)
			}
		}
		if len(versions) == 0 {
			delete(c.received, host)
		}
	}
}
