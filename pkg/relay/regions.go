package relay

import (
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// restrict limits a request to the servers of the regions that its route and its organisation
// allow. It returns false if no server is left in them.
func (r *Relay) restrict(q *request) bool {
	lists := [][]ident.Region{q.route.AllowedRegions}
	if q.org != nil {
		lists = append(lists, q.org.AllowedRegions)
	}
	lists = slices.DeleteFunc(lists, func(l []ident.Region) bool { return len(l) == 0 })
	if len(lists) == 0 {
		return true
	}
	q.allowed = func(domain ident.FailureDomain) bool {
		region := r.cfg.Regions[domain]
		return region != "" && !slices.ContainsFunc(lists, func(l []ident.Region) bool { return !slices.Contains(l, region) })
	}
	return r.backends.ListedIn(q.service.Name, answeringStage(q.service), q.allowed)
}
