package relay

import (
	"slices"
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
	r.latestVersion = max(r.latestVersion, s.Version)
	s.Organisations(func(o *catalog.Organisation) {
		r.quota.SetLimit(r.now, o.Name, quota.Limit{Rate: o.Rate, Burst: o.Burst})
	})
	r.setStreamLife()
	r.applyColdServices()
	r.log(Decision{Step: "configuration", Version: s.Version, Outcome: "in force"})
}

// configVersion returns the version of the configuration in force, or 0 without one.
func (r *Relay) configVersion() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Version
}

func (r *Relay) platformReadSucceeded(e PlatformReadSucceeded) {
	// A store that was restored from an older copy has lost its latest configuration until
	// the operator writes it again. A host that never had that version learns from the
	// others that there is one, and does not count the older one as current.
	if e.Sent.After(r.confirmedAt) && r.configVersion() >= r.latestVersion {
		r.confirmedAt = e.Sent
	}
	if e.Era > r.storeEra {
		r.storeEra, r.storeRevision = e.Era, 0
	}
	if e.Era == r.storeEra {
		r.storeRevision = max(r.storeRevision, e.Revision)
	}
	r.origins.Confirmed(r.now, e.Sent)
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
// platform, so they are kept unused for a grace period. In a store that was restored from
// an older copy, servers may only be missing because they registered after the copy was
// made, so they stay in use for that time.
func (r *Relay) entriesListed(e EntriesListed) {
	restored := e.Era > r.storeEra && r.backendsListed
	if restored {
		r.backends.StoreRestored(r.now)
		r.log(Decision{Step: "store_restored", Version: e.Era, Outcome: "list of an older copy; servers that left are not used until they register again"})
	}
	if e.Era > r.storeEra {
		r.storeEra, r.storeRevision = e.Era, 0
	}
	listed := make(map[ident.BackendID]bool, len(e.Entries))
	e.Entries = slices.DeleteFunc(e.Entries, func(entry backends.Entry) bool { return r.backends.Outdated(r.now, entry) })
	for _, entry := range e.Entries {
		listed[entry.ID] = true
		r.backends.PutListed(entry)
	}
	for _, id := range r.backends.IDs() {
		switch {
		case listed[id]:
		case restored:
			r.backends.MarkUnconfirmed(r.now, id)
		default:
			r.backends.MarkMissing(r.now, id)
		}
	}
	r.backendsListed = true
	for _, entry := range e.Entries {
		r.coldStated(entry, false)
	}
	r.trackVersions(e.Entries)
}

// entryRemoved removes a server. If the platform is unreachable or was until recently,
// the entry may only have expired during the outage: a live server registers again, so
// the entry is kept unused for a grace period.
func (r *Relay) entryRemoved(id ident.BackendID) {
	r.origins.Removed(r.now, id)
	justReconnected := !r.reconnectedAt.IsZero() && r.now.Sub(r.reconnectedAt) < r.cfg.Backends.MissingGrace
	if justReconnected || !r.connected() {
		r.backends.MarkMissing(r.now, id)
		return
	}
	r.backends.Depart(r.now, id)
}
