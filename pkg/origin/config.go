package origin

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config holds the settings of a Tracker.
type Config struct {
	Self   ident.HostID
	Domain ident.FailureDomain
	// Life is the longest time from the first event of a stream until a caller last
	// resumes it, see also SetLife. A longer one needs more memory and a longer view of the
	// versions.
	Life time.Duration
	// Linger is how long a process may still begin streams after its entry was removed:
	// hosts that cannot read the platform use their last list.
	Linger time.Duration
	// Capacity is the number of origins kept. The oldest are forgotten first; their
	// streams cannot be resumed while several versions serve.
	Capacity int
	// Holders is the number of other hosts that are told the origin of a stream, in
	// different failure domains where there are several.
	Holders int
	// Asked is the number of hosts asked when a stream is resumed. It exceeds Holders, as
	// hosts may have joined or left since.
	Asked int
	// AckTimeout is how long the first event of a stream waits until a holder has
	// acknowledged its origin.
	AckTimeout time.Duration
	// AskTimeout is how long a resumed stream waits for answers.
	AskTimeout time.Duration
	// ConfirmTimeout is how long a resumed stream waits for a confirmed list of the servers
	// if none of the asked hosts has answered. A longer one lets more streams go on after
	// hosts have failed, and delays the refusal of the others.
	ConfirmTimeout time.Duration
	// EntryLag is how long the entry of a server may still describe its earlier process:
	// entries change with a heartbeat, and expire after three intervals of silence. Streams
	// that began within it before a change of the version are not resumed. It is also the
	// shortest time that an entry is listed.
	EntryLag time.Duration
	// StaleAfter is the age from which on the list is not used to tell that a version is the
	// only one. A longer one tolerates slower reads of the platform; a shorter one notices
	// earlier that this host is cut off.
	StaleAfter time.Duration
}

// DefaultConfig returns settings for a host. Life and Linger together do not exceed the
// history that the platform keeps, so that a new process can tell at once whether several
// versions have served.
func DefaultConfig(self ident.HostID, domain ident.FailureDomain) Config {
	return Config{
		Self:           self,
		Domain:         domain,
		Life:           15 * time.Second,
		Linger:         5 * time.Second,
		Capacity:       16384,
		Holders:        3,
		Asked:          6,
		AckTimeout:     40 * time.Millisecond,
		AskTimeout:     150 * time.Millisecond,
		ConfirmTimeout: time.Second,
		EntryLag:       4 * time.Second,
		StaleAfter:     3 * time.Second,
	}
}

// span is how far the view of the versions has to reach back: a version whose last server
// was removed that long ago cannot have begun a stream that may still be resumed.
func (c Config) span() time.Duration { return c.Life + c.Linger }
