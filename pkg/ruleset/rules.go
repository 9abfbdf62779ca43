package ruleset

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Rules are the parsed rules of one generation. They are immutable.
type Rules struct {
	rules   []rule // in canonical order
	header  string // comment lines before the first blank line
	trailer string // comment lines after the last rule

	domains       map[ident.FailureDomain]Domain
	organisations map[ident.Organisation]Organisation
	models        map[ident.Model]Model
	routes        map[ident.Route]Route
	allows        map[allowKey]Allow
	keys          map[ident.KeyID]Key
	fencing       map[string]Fencing
	recalls       map[recallKey]Recall
	stale         staleRule

	slots      int
	routeDepth int // number of path segments of the deepest route
}

type allowKey struct {
	organisation ident.Organisation
	target       ident.Model
}

// recallKey identifies what a Recall takes out of service.
type recallKey struct {
	kind  RecallKind
	model ident.Model
	name  string
}

func (r Recall) key() recallKey {
	switch r.Kind {
	case RecallVersion:
		return recallKey{kind: RecallVersion, model: r.Model, name: string(r.Version)}
	case RecallAdapter:
		return recallKey{kind: RecallAdapter, name: string(r.Adapter)}
	default:
		return recallKey{kind: RecallEngines, name: r.Group}
	}
}

func newRules(parsed []rule) *Rules {
	counts := map[Kind]int{}
	for _, p := range parsed {
		counts[p.kind()]++
	}
	r := &Rules{
		rules:         canonicalOrder(parsed),
		domains:       make(map[ident.FailureDomain]Domain, counts[KindDomain]),
		organisations: make(map[ident.Organisation]Organisation, counts[KindOrganisation]),
		models:        make(map[ident.Model]Model, counts[KindModel]),
		routes:        make(map[ident.Route]Route, counts[KindRoute]),
		allows:        make(map[allowKey]Allow, counts[KindAllow]),
		keys:          make(map[ident.KeyID]Key, counts[KindKey]),
		fencing:       make(map[string]Fencing, counts[KindFencing]),
		recalls:       make(map[recallKey]Recall, counts[KindRecall]),
	}
	for _, p := range r.rules {
		r.add(p)
	}
	return r
}

// canonicalOrder returns the rules sorted by kind and name. It computes both once
// per rule: with thousands of keys, computing them in each comparison would
// dominate the time of Parse.
func canonicalOrder(parsed []rule) []rule {
	type keyed struct {
		rank int
		name string
		rule rule
	}
	sorted := make([]keyed, len(parsed))
	for i, p := range parsed {
		sorted[i] = keyed{slices.Index(kindOrder, p.kind()), p.name(), p}
	}
	slices.SortFunc(sorted, func(a, b keyed) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]rule, len(sorted))
	for i, k := range sorted {
		out[i] = k.rule
	}
	return out
}

func (r *Rules) add(p rule) {
	switch p := p.(type) {
	case Domain:
		r.domains[p.Name] = p
		r.slots += p.Slots
	case Organisation:
		r.organisations[p.Name] = p
	case Model:
		r.models[p.Name] = p
	case Route:
		r.routes[p.Path] = p
		r.routeDepth = max(r.routeDepth, strings.Count(string(p.Path), "/"))
	case Allow:
		r.allows[allowKey{p.Organisation, p.Target}] = p
	case Key:
		r.keys[p.ID] = p
	case Fencing:
		r.fencing[p.Group] = p
	case Recall:
		r.recalls[p.key()] = p
	case staleRule:
		r.stale = p
	}
}

func compareRules(a, b rule) int {
	return cmp.Or(
		cmp.Compare(slices.Index(kindOrder, a.kind()), slices.Index(kindOrder, b.kind())),
		cmp.Compare(a.name(), b.name()),
	)
}

// Organisation looks up an organisation by name.
func (r *Rules) Organisation(name ident.Organisation) (Organisation, bool) {
	o, ok := r.organisations[name]
	return o, ok
}

// Organisations returns all organisations, sorted by name.
func (r *Rules) Organisations() []Organisation { return sorted(r.organisations) }

// Allowed reports whether the organisation may use a model or service. It does
// not consider recalls.
func (r *Rules) Allowed(o ident.Organisation, target ident.Model) bool {
	_, ok := r.allows[allowKey{o, target}]
	return ok
}

// Key looks up a key by its id.
func (r *Rules) Key(id ident.KeyID) (Key, bool) {
	k, ok := r.keys[id]
	return k, ok
}

// Keys returns all keys, sorted by id.
func (r *Rules) Keys() []Key { return sorted(r.keys) }

// Route returns the route with the longest path that is a prefix of path and
// ends at a segment boundary. The path must be decoded. A path with an empty,
// "." or ".." segment matches no route: a service that resolves such segments
// would serve a path other than the one whose rule was applied.
func (r *Rules) Route(path string) (Route, bool) {
	if !strings.HasPrefix(path, "/") || hasEmptyOrDotSegment(path) {
		return Route{}, false
	}
	for prefix := leadingSegments(path, r.routeDepth); prefix != ""; {
		if found, ok := r.routes[ident.Route(prefix)]; ok {
			return found, true
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
	return Route{}, false
}

// leadingSegments returns the first n segments of path, so that the cost of a
// lookup is bounded by the deepest route and not by the caller's path.
func leadingSegments(path string, n int) string {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if n == 0 {
			return path[:i]
		}
		n--
	}
	return path
}

// hasEmptyOrDotSegment reports whether path has an empty, "." or ".." segment. A
// trailing slash is allowed.
func hasEmptyOrDotSegment(path string) bool {
	rest := strings.TrimSuffix(path[1:], "/")
	if rest == "" {
		return path != "/"
	}
	for segment := range strings.SplitSeq(rest, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// Model looks up a model by name. Its Versions are a copy, which the caller may
// modify.
func (r *Rules) Model(name ident.Model) (Model, bool) {
	m, ok := r.models[name]
	m.Versions = slices.Clone(m.Versions)
	return m, ok
}

// Models returns all models, sorted by name. Their Versions are copies, which the
// caller may modify.
func (r *Rules) Models() []Model {
	out := sorted(r.models)
	for i := range out {
		out[i].Versions = slices.Clone(out[i].Versions)
	}
	return out
}

// Routes returns all routes, sorted by path.
func (r *Rules) Routes() []Route { return sorted(r.routes) }

// Domains returns all failure domains, sorted by name.
func (r *Rules) Domains() []Domain { return sorted(r.domains) }

// SlotCount returns the total number of slots of all domains.
func (r *Rules) SlotCount() int { return r.slots }

// Recalls returns all recalls: versions, adapters, then engine groups, each
// sorted by name.
func (r *Rules) Recalls() []Recall {
	order := []RecallKind{RecallVersion, RecallAdapter, RecallEngines}
	return slices.SortedFunc(maps.Values(r.recalls), func(a, b Recall) int {
		return cmp.Or(
			cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)),
			cmp.Compare(a.name(), b.name()),
		)
	})
}

// Recalled reports whether the model version, the adapter or the engine group is
// recalled. An empty argument matches no recall.
func (r *Rules) Recalled(model ident.Model, version, adapter ident.Version, group string) bool {
	if len(r.recalls) == 0 {
		return false
	}
	return r.recalled(recallKey{kind: RecallVersion, model: model, name: string(version)}) ||
		r.recalled(recallKey{kind: RecallAdapter, name: string(adapter)}) ||
		r.recalled(recallKey{kind: RecallEngines, name: group})
}

func (r *Rules) recalled(b recallKey) bool {
	_, ok := r.recalls[b]
	return ok
}

// Stale returns the policy for keyed traffic while the configuration is stale.
func (r *Rules) Stale() Stale { return r.stale.Stale }

// FencingChecked reports whether the engines of a group refuse stale fencing
// tokens. Without a rule it returns false: a wrong false only costs a wait, while
// a wrong true would let an order of a previous pool owner take effect.
func (r *Rules) FencingChecked(group string) bool { return r.fencing[group].Checked }

// Equal reports whether both have the same rules and comments. Line numbers are
// not compared.
func (r *Rules) Equal(o *Rules) bool {
	same := func(a, b rule) bool {
		return a.kind() == b.kind() && a.name() == b.name() && a.String() == b.String() &&
			a.origin().Comment == b.origin().Comment && a.origin().precedingComments == b.origin().precedingComments
	}
	return r.header == o.header && r.trailer == o.trailer &&
		slices.EqualFunc(r.rules, o.rules, same)
}

func sorted[K comparable, R rule](m map[K]R) []R {
	return slices.SortedFunc(maps.Values(m), func(a, b R) int {
		return cmp.Compare(a.name(), b.name())
	})
}
