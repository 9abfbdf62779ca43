package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// fleet holds the backend servers of all domains from the platform's list, and
// which of them this host could not reach.
type fleet struct {
	engines     map[ident.BackendID]engine.Info
	pools       map[Pool][]engine.Info // model engines, sorted by id
	sortedPools []Pool                 // keys of pools, sorted
	byModel     map[ident.Model][]Pool // sorted by domain
	services    map[ident.Model][]engine.Info
	down        map[ident.BackendID]time.Time // end of the time that each is avoided
}

func newFleet() fleet {
	return fleet{down: map[ident.BackendID]time.Time{}}
}

func (f *fleet) setEngines(list []engine.Info) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b engine.Info) int { return cmp.Compare(a.ID, b.ID) })
	f.engines = make(map[ident.BackendID]engine.Info, len(sorted))
	f.pools = map[Pool][]engine.Info{}
	f.services = map[ident.Model][]engine.Info{}
	for _, e := range sorted {
		f.engines[e.ID] = e
		if e.Role == engine.Service {
			f.services[e.Model] = append(f.services[e.Model], e)
			continue
		}
		k := poolOf(e)
		f.pools[k] = append(f.pools[k], e)
	}
	f.sortedPools = sortedKeys(f.pools, comparePools)
	f.byModel = map[ident.Model][]Pool{}
	for _, key := range f.sortedPools {
		f.byModel[key.Model] = append(f.byModel[key.Model], key)
	}
	for id := range f.down {
		if _, ok := f.engines[id]; !ok {
			delete(f.down, id)
		}
	}
}

func (f *fleet) isDown(now time.Time, id ident.BackendID) bool {
	until, ok := f.down[id]
	return ok && now.Before(until)
}

func poolOf(e engine.Info) Pool {
	return Pool{Model: e.Model, Domain: e.Domain}
}

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Domain, b.Domain))
}

func compareRefs(a, b ident.BackendRef) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}

// sortedKeys returns the keys of m in a fixed order.
func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	return keys
}
