package origin

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// maxRestarts is the number of restarts kept for a server.
const maxRestarts = 8

// restart is a server that has started again under its id.
type restart struct {
	old, new Serving
	from     time.Time // since when the new process may have been taken for the old one
	at       time.Time // when this host learned of it
	unseen   bool      // there may have been others between
}

// restarts are the restarts of the last time by server.
type restarts map[ident.BackendID][]restart

func (r restarts) add(id ident.BackendID, s restart) {
	all := append(r[id], s)
	if extra := len(all) - maxRestarts; extra > 0 {
		all = slices.Delete(all, 0, extra)
	}
	r[id] = all
}

// doubtful reports whether a stream that was recorded for a process may have begun at a
// later process with another version.
func (r restarts) doubtful(service ident.Route, p serverlimit.Process, version ident.Version, began time.Time) bool {
	for _, s := range r[p.ID] {
		if s.new.Version == version && s.new.Service == service && !s.unseen {
			continue
		}
		earlier := p.StartedAt <= s.new.Process.StartedAt || p.StartedAt == s.old.Process.StartedAt
		if earlier && !began.Before(s.from) {
			return true
		}
	}
	return false
}

// seen reports whether a process is known to have been followed by another one.
func (r restarts) seen(p serverlimit.Process) bool {
	return slices.ContainsFunc(r[p.ID], func(s restart) bool { return s.old.Process == p })
}

func (r restarts) prune(now time.Time, span time.Duration) {
	for id, all := range r {
		all = slices.DeleteFunc(all, func(s restart) bool { return now.Sub(s.at) > span })
		if len(all) == 0 {
			delete(r, id)
			continue
		}
		r[id] = all
	}
}
