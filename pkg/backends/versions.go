package backends

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// scarceDivisor is the fraction, as a divisor, of a service's decode engines up to which
	// those of one version are scarce. Streams that need the version cannot go elsewhere.
	scarceDivisor = 3
	// scarceShare is the part of the memory and slots of a scarce engine that requests may
	// use that can go to any version.
	scarceShare = 0.5
	// scarcePenalty is added to the cost of a scarce engine for such requests, as a fraction
	// of its capacity.
	scarcePenalty = 0.3
	// otherVersionPenalty is added to the cost of a server of another version than the
	// preferred one.
	otherVersionPenalty = 0.06
)

// matchesVersion reports whether a server has the version that a request requires, if any.
func (s *server) matchesVersion(q Query) bool {
	return !q.Pinned || s.Version == q.Version && (q.ListedAsOf.IsZero() || !s.health.unreachableSince(q.ListedAsOf))
}

// versionPenalty returns what a server's version adds to its cost.
func (s *server) versionPenalty(q Query) float64 {
	if q.Version != "" && s.Version != q.Version {
		return otherVersionPenalty
	}
	return 0
}

// ListedVersion reports whether a server of a service in a stage, of the given software
// version and not among the given ones, is known and not excluded, whether or not it is
// reachable.
func (d *Directory) ListedVersion(service ident.Route, stage Stage, v ident.Version, exclude []ident.BackendID) bool {
	return slices.ContainsFunc(d.byService[service], func(s *server) bool {
		return s.Stage == stage && s.Version == v && !d.excluded(s) && !slices.Contains(exclude, s.ID)
	})
}

// OneVersion reports whether all servers of a service in a stage that are not excluded
// have the same software version.
func (d *Directory) OneVersion(service ident.Route, stage Stage) bool {
	first := true
	var v ident.Version
	for _, s := range d.byService[service] {
		if s.Stage != stage || d.excluded(s) {
			continue
		}
		if !first && s.Version != v {
			return false
		}
		first, v = false, s.Version
	}
	return true
}

// scarceVersions returns the versions of which a service has few decode engines, if it has
// several versions.
func (d *Directory) scarceVersions(now time.Time, service ident.Route) []ident.Version {
	if d.OneVersion(service, Decode) {
		return nil
	}
	total, count := 0, map[ident.Version]int{}
	for _, s := range d.byService[service] {
		if s.Stage == Decode && !d.excluded(s) && !s.switching(now) && s.listed(now) {
			total++
			count[s.Version]++
		}
	}
	var scarce []ident.Version
	for v, n := range count {
		if n < total && n*scarceDivisor <= total {
			scarce = append(scarce, v)
		}
	}
	return scarce
}
