package placement

import (
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// filter decides which engines may take a request, regardless of their load.
type filter struct {
	recall Recall
}

// recalled reports whether an engine belongs to a recalled group or runs a recalled
// version.
func (f filter) recalled(e engine.Info) bool {
	if e.Group != "" && slices.Contains(f.recall.Groups, e.Group) {
		return true
	}
	return slices.Contains(f.recall.Versions, ModelVersion{Model: e.Model, Version: e.Version})
}

func (f filter) adapterRecalled(a ident.Version) bool {
	return a != "" && slices.Contains(f.recall.Adapters, a)
}

// constraints are a request's conditions on its engines.
type constraints struct {
	versions []ident.Version
	adapter  ident.Version
	exclude  []ident.BackendID
}

func (w constraints) allowsVersion(v ident.Version) bool {
	return len(w.versions) == 0 || slices.Contains(w.versions, v)
}

func (f filter) allows(e engine.Info, w constraints) bool {
	return !e.Leaving && w.allowsVersion(e.Version) && !f.recalled(e) && !slices.Contains(w.exclude, e.ID)
}

// candidateVersions returns the versions to try, in order: those of the request,
// preferred first, or else all versions of the engines, sorted.
func candidateVersions(w constraints, engines []engine.Info) []ident.Version {
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

// rejectReason returns why no pair of the engines can take the request whatever the
// load, or "" if one can. Both roles must exist in one version, since versions
// cannot read each other's KV cache.
func (f filter) rejectReason(engines []engine.Info, w constraints) Reason {
	if f.adapterRecalled(w.adapter) {
		return ReasonRecalled
	}
	recalled := false
	for _, v := range candidateVersions(w, engines) {
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

// mayServe reports whether the owner of a pool should be asked, judged by the
// platform's list. It does not check versions: engines load other versions and the
// list lags, so only the owner knows from reports which versions they serve.
func (f filter) mayServe(engines []engine.Info, w constraints) bool {
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
