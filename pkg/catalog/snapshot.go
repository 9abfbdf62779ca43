package catalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version  uint64
	Limits   Limits
	Services map[ident.Route]*Service

	routes map[string][]*Route // by host, longest prefix first
	orgs   map[ident.Organisation]*Organisation
	keys   map[string]*Organisation
}

// New returns a snapshot without routes.
func New(version uint64) *Snapshot {
	return &Snapshot{
		Version:  version,
		Services: map[ident.Route]*Service{},
		routes:   map[string][]*Route{},
		orgs:     map[ident.Organisation]*Organisation{},
		keys:     map[string]*Organisation{},
	}
}

// AddRoute adds a route. Build must be called after the last one.
func (s *Snapshot) AddRoute(r *Route) {
	s.routes[r.Host] = append(s.routes[r.Host], r)
}

// AddOrganisation adds an organisation with its API keys.
func (s *Snapshot) AddOrganisation(o *Organisation, keys []string) {
	s.orgs[o.Name] = o
	for _, k := range keys {
		s.keys[k] = o
	}
}

// Build sorts the routes for Match and returns the snapshot.
func (s *Snapshot) Build() *Snapshot {
	for _, routes := range s.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return s
}

// Match returns the route with the longest prefix for a host name and path, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation to which an API key belongs, or nil.
func (s *Snapshot) OrganisationByKey(key string) *Organisation { return s.keys[key] }

// Organisation returns an organisation by name, or nil.
func (s *Snapshot) Organisation(name ident.Organisation) *Organisation { return s.orgs[name] }

// Organisations calls visit for each organisation.
func (s *Snapshot) Organisations(visit func(*Organisation)) {
	for _, o := range s.orgs {
		visit(o)
	}
}

// Routes calls visit for each route.
func (s *Snapshot) Routes(visit func(*Route)) {
	for _, routes := range s.routes {
		for _, r := range routes {
			visit(r)
		}
	}
}

// Choose selects a service of the route's split by weight and request id, the same one at
// every host. It returns nil if the split is empty or the selected service is not in the
// snapshot.
func (s *Snapshot) Choose(r *Route, id string) *Service {
	total := 0.0
	for _, sh := range r.Split {
		total += max(0, sh.Weight)
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, sh := range r.Split {
		if point -= max(0, sh.Weight); point < 0 {
			return s.Services[sh.Service]
		}
	}
	if len(r.Split) == 0 {
		return nil
	}
	return s.Services[r.Split[len(r.Split)-1].Service]
}
