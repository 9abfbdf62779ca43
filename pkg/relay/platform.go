package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
)

// configRead puts a version in force unless a newer one already is.
func (r *Relay) configRead(s *catalog.Snapshot) {
	if r.conf != nil && s.Version <= r.conf.Version {
		return
	}
	r.conf = s
	s.Organisations(func(o *catalog.Organisation) {
		r.quota.SetLimit(r.now, o.Name, quota.Limit{Rate: o.Rate, Burst: o.Burst})
	})
	r.log(Decision{Step: "configuration", Version: s.Version, Outcome: "in force"})
}

func (r *Relay) contact(e Contact) {
	if e.Sent.After(r.proof) {
		r.proof = e.Sent
	}
	r.revision = max(r.revision, e.Revision)
	if !r.failedAt.IsZero() {
		r.log(Decision{Step: "platform_back", Age: r.now.Sub(r.failedAt), Outcome: "reads succeed"})
		r.backAt = r.now
	}
	r.failedAt = time.Time{}
	r.readAgain = false
}

func (r *Relay) contactFailed() {
	if r.failedAt.IsZero() {
		r.failedAt = r.now
	}
}

// connected tells whether the last read of the platform succeeded.
func (r *Relay) connected() bool { return r.failedAt.IsZero() }

// entriesListed replaces the list. What it lacks has vanished while the host did
// not watch, which may be the platform's doing.
func (r *Relay) entriesListed(entries []backends.Entry) {
	listed := make(map[ident.BackendID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.backends.Put(e)
	}
	for _, id := range r.backends.IDs() {
		if !listed[id] {
			r.backends.Vanished(r.now, id)
		}
	}
	r.listed = true
}

// entryRemoved takes a server out. A removal just after the platform was away may
// be an entry that lapsed meanwhile; a living server then registers again.
func (r *Relay) entryRemoved(id ident.BackendID) {
	away := !r.backAt.IsZero() && r.now.Sub(r.backAt) < r.cfg.Backends.AwayGrace
	if away || !r.connected() {
		r.backends.Vanished(r.now, id)
		return
	}
	r.backends.Remove(id)
}
