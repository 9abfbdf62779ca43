package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
)

// configRead applies a version of the configuration unless a newer one is in force.
func (r *Relay) configRead(s *catalog.Snapshot) {
	if r.snapshot != nil && s.Version <= r.snapshot.Version {
		return
	}
	r.snapshot = s
	s.Organisations(func(o *catalog.Organisation) {
		r.quota.SetLimit(r.now, o.Name, quota.Limit{Rate: o.Rate, Burst: o.Burst})
	})
	r.log(Decision{Step: "configuration", Version: s.Version, Outcome: "in force"})
}

func (r *Relay) platformReadSucceeded(e PlatformReadSucceeded) {
	if e.Sent.After(r.confirmedAt) {
		r.confirmedAt = e.Sent
	}
	r.storeRevision = max(r.storeRevision, e.Revision)
	if !r.failingSince.IsZero() {
		r.log(Decision{Step: "platform_back", Age: r.now.Sub(r.failingSince), Outcome: "reads succeed"})
		r.reconnectedAt = r.now
	}
	r.failingSince = time.Time{}
	r.retryRequested = false
}

func (r *Relay) platformReadFailed() {
	if r.failingSince.IsZero() {
		r.failingSince = r.now
	}
}

// connected reports whether the last read of the platform succeeded.
func (r *Relay) connected() bool { return r.failingSince.IsZero() }

// entriesListed replaces the list of backend servers. Servers that are missing from it
// disappeared while this host was not watching, possibly because of a fault of the
// platform, so they are kept unused for a grace period.
func (r *Relay) entriesListed(entries []backends.Entry) {
	listed := make(map[ident.BackendID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.backends.Put(e)
	}
	for _, id := range r.backends.IDs() {
		if !listed[id] {
			r.backends.MarkMissing(r.now, id)
		}
	}
	r.backendsListed = true
}

// entryRemoved removes a server. If the platform is unreachable or was until recently,
// the entry may only have expired during the outage: a live server registers again, so
// the entry is kept unused for a grace period.
func (r *Relay) entryRemoved(id ident.BackendID) {
	justReconnected := !r.reconnectedAt.IsZero() && r.now.Sub(r.reconnectedAt) < r.cfg.Backends.MissingGrace
	if justReconnected || !r.connected() {
		r.backends.MarkMissing(r.now, id)
		return
	}
	r.backends.Remove(id)
}
