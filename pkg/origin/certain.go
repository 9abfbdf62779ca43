package origin

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// Certain reports whether events that were relayed for a process since began come from the
// version that it is known by, and not from a later process of the same server.
func (t *Tracker) Certain(service ident.Route, by serverlimit.Process, v ident.Version, began time.Time) bool {
	return !t.versions.doubtful(service, by, v, began)
}
