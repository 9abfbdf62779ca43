package placement

import (
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// filter decides which engines may take a request, whatever their load.
type filter struct {
	recall Recall
}

// recalled tells whether an engine belongs to a recalled batch.
func (f filter) recalled(e engine.Info) bool {
	if e.Group != "" && slices.Contains(f.recall.Groups, e.Group) {
		return true
	}
	return slices.Contains(f.recall.Versions, ModelVersion{Model: e.Model, Version: e.Version})
}

func (f filter) adapterRecalled(a ident.Version) bool {
	return a != "" && slices.Contains(f.recall.Adapters, a)
}

// wanted is what a request says about engines.
type wanted struct {
	versions []ident.Version
	adapter  ident.Version
	exclude  []ident.BackendID
}

func (w wanted) version(v ident.Version) bool {
	return len(w.versions) == 0 || slices.Contains(w.versions, v)
}

func (f filter) allows(e engine.Info, w wanted) bool {
	return !e.Leaving && w.version(e.Version) && !f.recalled(e) && !slices.Contains(w.exclude, e.ID)
}

// tiers returns the versions to try, best first: those of the request in its
// order, or all versions of the engines, sorted.
func tiers(w wanted, engines []engine.Info) []ident.Version {
	if len(w.versions) > 0 {
		return w.versions
	}
	var vs []ident.Version
	for _, e := range engines {
		if at, ok := slices.BinarySearch(vs, e.Version); !ok {
			vs = slices.Insert(vs, at, e.Version)
		}
	}
	return vs
}

// check returns why none of the engines could ever take the request, or "". Both
// roles must exist in one version, since versions cannot read each other's KV
// cache.
func (f filter) check(engines []engine.Info, w wanted) Reason {
	if f.adapterRecalled(w.adapter) {
		return ReasonRecalled
	}
	recalled := false
	for _, v := range tiers(w, engines) {
		var prefill, decode bool
		for _, e := range engines {
			if e.Version != v {
				continue
			}
			recalled = recalled || f.recalled(e)
			if !f.allows(e, w) {
				continue
			}
			prefill = prefill || e.Role == engine.Prefill
			decode = decode || e.Role == engine.Decode
		}
		if prefill && decode {
			return ""
		}
	}
	if recalled {
		return ReasonRecalled
	}
	return ReasonNoEngine
}

// mayServe tells whether the owner of a pool should be asked, by the engines of the
// platform's list. Engines load other versions and the list lags, so that only the
// owner knows from reports which versions they serve.
func (f filter) mayServe(engines []engine.Info, w wanted) bool {
	if f.adapterRecalled(w.adapter) {
		return false
	}
	var prefill, decode bool
	for _, e := range engines {
		if e.Leaving || slices.Contains(f.recall.Groups, e.Group) || slices.Contains(w.exclude, e.ID) {
			continue
		}
		prefill = prefill || e.Role == engine.Prefill
		decode = decode || e.Role == engine.Decode
	}
	return prefill && decode
}
