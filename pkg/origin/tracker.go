package origin

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Tracker knows the origins of streams. It is not safe for concurrent use.
type Tracker struct{ cfg Config }

// New returns a tracker that knows no versions and no origins.
func New(cfg Config, now time.Time) *Tracker { return &Tracker{cfg: cfg} }

// SetPeers sets the hosts that are alive and whose program keeps origins.
func (t *Tracker) SetPeers(now time.Time, peers []Peer) {}

// Listed replaces the view of the servers by a complete list.
func (t *Tracker) Listed(now time.Time, servers []Serving) {}

// Changed updates one server.
func (t *Tracker) Changed(now time.Time, s Serving) {}

// Removed records that a server is no longer listed.
func (t *Tracker) Removed(now time.Time, id ident.BackendID) {}

// Past adds the servers that were listed at any time within reach before now, as far as a
// history of the list shows. The view of the versions is complete since then.
func (t *Tracker) Past(now time.Time, reach time.Duration, servers []Serving) {}

// NeedsHistory reports whether a history of the list would make the view of a service's
// versions complete.
func (t *Tracker) NeedsHistory(now time.Time, service ident.Route) bool { return false }

// Sole returns the only version that can have begun a stream of a service.
func (t *Tracker) Sole(now time.Time, service ident.Route) (ident.Version, bool) { return "", false }

// Begin records the origin of a stream whose first event has arrived. It reports whether
// the event may be sent at once; otherwise the stream follows in Outputs.Recorded.
func (t *Tracker) Begin(now time.Time, s Stream, by serverlimit.Process, v ident.Version) bool {
	return true
}

// Resolve returns the origin of a stream that a caller resumes. If pending is true, other
// hosts have been asked and the outcome follows in Outputs.Resolved.
func (t *Tracker) Resolve(now time.Time, s Stream) (o Origin, pending bool) { return Origin{}, false }

// Receive applies a message of another host.
func (t *Tracker) Receive(now time.Time, from ident.HostID, m Message) {}

// Tick ends the waits that have timed out and forgets what has expired.
func (t *Tracker) Tick(now time.Time) {}

// Next returns when the next Tick is due; zero if nothing waits.
func (t *Tracker) Next() time.Time { return time.Time{} }

// Take returns the outputs since the last Take.
func (t *Tracker) Take() Outputs { return Outputs{} }
