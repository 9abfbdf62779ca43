package origin

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// versions is the view of the versions that serve and have served lately.
//
// A version can have begun a stream that is resumed now if one of its servers was listed
// within Life + Linger before. The view tells that no other version can have begun it only
// if it is complete for that time and current.
type versions struct {
	cfg      Config
	servers  map[ident.BackendID]Serving
	removed  map[ident.BackendID]removal // within the span
	services map[ident.Route][]presence
	restarts restarts

	listed        bool
	completeSince time.Time
	gapAt         time.Time // when the view was last complete from then on only
	historyRead   bool      // since the view was last complete from now on
	updatedAt     time.Time // of the last update or confirmation
	confirmedAt   time.Time // the view is at least as recent as this; zero if never confirmed
}

// presence is a version of a service.
type presence struct {
	version  ident.Version
	servers  int       // listed
	lastSeen time.Time // when the last one was removed
}

// removal is a server that is no longer listed.
type removal struct {
	Serving
	at       time.Time
	lastSeen time.Time // when its entry was last known to be current
}

func newVersions(cfg Config) *versions {
	return &versions{
		cfg:      cfg,
		servers:  map[ident.BackendID]Serving{},
		removed:  map[ident.BackendID]removal{},
		services: map[ident.Route][]presence{},
		restarts: restarts{},
	}
}

// lastCurrent returns when the view was last known to be current, at most now.
func (v *versions) lastCurrent(now time.Time) time.Time {
	if v.confirmedAt.IsZero() || v.confirmedAt.After(now) {
		return now
	}
	return v.confirmedAt
}

// put updates a server. The view was current at the time last. It reports whether the version
// is new in the service.
func (v *versions) put(now, last time.Time, s Serving) bool {
	id := s.Process.ID
	old, listed := v.servers[id]
	if listed && old == s {
		return false
	}
	if listed {
		v.uncount(now, old)
		v.restarted(now, last, restart{old: old, new: s, from: last.Add(-v.cfg.EntryLag), unseen: v.isGap(last, now)})
	} else if r, ok := v.removed[id]; ok && r.Serving != s {
		unseen := v.isGap(last, now) || !v.gapAt.Before(r.at)
		v.restarted(now, last, restart{old: r.Serving, new: s, from: r.lastSeen.Add(-v.cfg.EntryLag), unseen: unseen})
	}
	delete(v.removed, id)
	v.servers[id] = s
	p, added := v.presence(now, s)
	p.servers++
	return added
}

// restarted records that the process of an id has changed.
func (v *versions) restarted(now, last time.Time, r restart) {
	r.at = now
	id := r.new.Process.ID
	v.restarts.add(id, r)
	// A store that was restored from an older copy lists the earlier process again.
	if r.new.Process.StartedAt < r.old.Process.StartedAt {
		r.old, r.new, r.from = r.new, r.old, last.Add(-v.cfg.EntryLag)
		v.restarts.add(id, r)
	}
}

// remove removes a server.
func (v *versions) remove(now time.Time, id ident.BackendID) {
	s, ok := v.servers[id]
	if !ok {
		return
	}
	delete(v.servers, id)
	v.removed[id] = removal{Serving: s, at: now, lastSeen: v.lastCurrent(now)}
	v.uncount(now, s)
}

// replace replaces the list. It returns the services that have a new version.
func (v *versions) replace(now time.Time, servers []Serving) []ident.Route {
	last := v.lastCurrent(now)
	if v.confirmedAt.IsZero() && v.listed {
		last = v.updatedAt
	}
	if !v.listed || v.isGap(last, now) {
		v.completeSince, v.historyRead, v.gapAt = now, false, now
	}
	v.listed = true
	present := make(map[ident.BackendID]bool, len(servers))
	var changed []ident.Route
	for _, s := range servers {
		present[s.Process.ID] = true
		if v.put(now, last, s) {
			changed = append(changed, s.Service)
		}
	}
	for id := range v.servers {
		if !present[id] {
			v.remove(now, id)
		}
	}
	v.updatedAt = now
	return changed
}

// addPast adds servers that were listed within reach before now. It returns the services
// that have a new version.
func (v *versions) addPast(now time.Time, reach time.Duration, servers []Serving) []ident.Route {
	last := now
	if v.listed {
		last = v.completeSince
	}
	var changed []ident.Route
	for _, s := range servers {
		id := s.Process.ID
		current, listed := v.servers[id]
		if listed && current == s || v.removed[id].Serving == s {
			continue
		}
		p, added := v.presence(now, s)
		if p.servers == 0 && p.lastSeen.Before(last) {
			p.lastSeen = last
		}
		if added {
			changed = append(changed, s.Service)
		}
		// The history does not tell when the process of an id has changed.
		from := now.Add(-reach - v.cfg.EntryLag)
		others := []Serving{current, v.removed[id].Serving}
		for _, o := range append(others, servers...) {
			if o.Process.ID == id && o != s && o.Process.StartedAt >= s.Process.StartedAt {
				v.restarts.add(id, restart{old: s, new: o, from: from, at: now, unseen: reach < v.cfg.span()})
			}
		}
	}
	if v.listed {
		v.historyRead = true
		if since := now.Add(-reach); since.Before(v.completeSince) {
			v.completeSince = since
		}
	}
	return changed
}

// isGap reports whether a server may have been listed and removed between two times. A server
// is listed for at least EntryLag.
func (v *versions) isGap(from, to time.Time) bool { return to.Sub(from) > v.cfg.EntryLag }

// confirm records that the view is at least as recent as asOf.
func (v *versions) confirm(now, asOf time.Time) {
	v.updatedAt = now
	if asOf.After(v.confirmedAt) {
		v.confirmedAt = asOf
	}
}

// presence returns the presence of a server's version, and whether it is new.
func (v *versions) presence(now time.Time, s Serving) (*presence, bool) {
	all := v.services[s.Service]
	i := slices.IndexFunc(all, func(p presence) bool { return p.version == s.Version })
	if i >= 0 {
		return &all[i], !v.possible(now, &all[i])
	}
	v.services[s.Service] = append(all, presence{version: s.Version})
	return &v.services[s.Service][len(all)], true
}

func (v *versions) uncount(now time.Time, s Serving) {
	p, _ := v.presence(now, s)
	p.servers--
	p.lastSeen = now
}

// possible reports whether a version can have begun a stream that is resumed now.
func (v *versions) possible(now time.Time, p *presence) bool {
	return p.servers > 0 || !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= v.cfg.span()
}

// candidates returns the number of known versions that can have begun a stream, and one of
// them.
func (v *versions) candidates(now time.Time, service ident.Route) (ident.Version, int) {
	all, n := v.services[service], 0
	var one ident.Version
	for i := range all {
		if v.possible(now, &all[i]) {
			n++
			one = all[i].version
		}
	}
	return one, n
}

// complete reports whether no version that can have begun a stream is missing.
func (v *versions) complete(now time.Time) bool {
	return v.listed && now.Sub(v.completeSince) >= v.cfg.span()
}

// current reports whether the view is recent enough to rely on.
func (v *versions) current(now time.Time) bool {
	return v.confirmedAt.IsZero() || now.Sub(v.confirmedAt) <= v.cfg.StaleAfter
}

func (v *versions) sole(now time.Time, service ident.Route) (ident.Version, bool) {
	if !v.complete(now) || !v.current(now) {
		return "", false
	}
	one, n := v.candidates(now, service)
	if n != 1 {
		return "", false
	}
	return one, true
}

// needsHistory reports whether a history of the list would make a service's view complete.
func (v *versions) needsHistory(now time.Time, service ident.Route) bool {
	if !v.listed || v.historyRead || v.complete(now) {
		return false
	}
	_, n := v.candidates(now, service)
	return n <= 1
}

// doubtful reports whether a stream may have begun at a later process than the one that it
// was recorded for, with another version.
func (v *versions) doubtful(service ident.Route, p serverlimit.Process, version ident.Version, began time.Time) bool {
	if v.restarts.doubtful(service, p, version, began) {
		return true
	}
	s, known := v.servers[p.ID]
	if !known {
		r, removed := v.removed[p.ID]
		s, known = r.Serving, removed
	}
	// A host that has never seen the earlier process does not know when and how often the
	// server has started again.
	same := s.Process == p && s.Version == version && s.Service == service
	return known && !same && s.Process.StartedAt >= p.StartedAt && !v.restarts.seen(p)
}

// prune forgets what is older than the span.
func (v *versions) prune(now time.Time) {
	for id, r := range v.removed {
		if now.Sub(r.at) > v.cfg.span() {
			delete(v.removed, id)
		}
	}
	for service, all := range v.services {
		all = slices.DeleteFunc(all, func(p presence) bool { return !v.possible(now, &p) })
		if len(all) == 0 {
			delete(v.services, service)
			continue
		}
		v.services[service] = all
	}
	v.restarts.prune(now, v.cfg.span())
}
