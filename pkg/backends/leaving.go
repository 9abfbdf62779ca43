package backends

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// announcementTTL is how long a process that has announced that it leaves is remembered.
	// It must exceed the time for which a store that is down can list it.
	announcementTTL = 10 * time.Minute
	// announcementNoteTTL is how long an announcement is repeated to the other hosts.
	announcementNoteTTL = 10 * time.Second
	// maxAnnouncements and maxLeavingReports limit what is remembered and reported, for
	// example when all servers are replaced.
	maxAnnouncements  = 4096
	maxLeavingReports = 16
)

// announcement is the statement of a server's process that it leaves.
type announcement struct {
	startedAt int64
	at        time.Time
	own       bool // made to this host
}

// LeavingReport names a process that has announced that it leaves.
type LeavingReport struct {
	ID        ident.BackendID
	StartedAt int64
}

// AnnounceLeaving records that a server's process has announced that it leaves, to this
// host if own is set, and reports whether that is new. It is final: whatever the list says
// of it, the process gets no new requests. A new process under the same id or address is
// not affected.
func (d *Directory) AnnounceLeaving(now time.Time, r LeavingReport, own bool) bool {
	if a, known := d.leaving[r.ID]; known && a.startedAt == r.StartedAt {
		return false
	}
	if len(d.leaving) >= maxAnnouncements {
		maps.DeleteFunc(d.leaving, func(_ ident.BackendID, a announcement) bool { return now.Sub(a.at) >= announcementTTL })
	}
	s := d.servers[r.ID]
	if len(d.leaving) < maxAnnouncements && (s == nil || s.StartedAt <= r.StartedAt) {
		d.leaving[r.ID] = announcement{startedAt: r.StartedAt, at: now, own: own}
	}
	if s == nil || s.StartedAt != r.StartedAt {
		return false
	}
	s.leaving = true
	return true
}

// hasAnnounced reports whether a process has announced that it leaves.
func (d *Directory) hasAnnounced(id ident.BackendID, startedAt int64) bool {
	a, known := d.leaving[id]
	return known && a.startedAt == startedAt
}

// LeavingReports returns the processes that have announced to this host in the last
// announcementNoteTTL that they leave, the latest first.
func (d *Directory) LeavingReports(now time.Time) []LeavingReport {
	var ids []ident.BackendID
	for id, a := range d.leaving {
		if a.own && now.Sub(a.at) < announcementNoteTTL {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ident.BackendID) int {
		return cmp.Or(d.leaving[b].at.Compare(d.leaving[a].at), cmp.Compare(a, b))
	})
	var reports []LeavingReport
	for _, id := range ids[:min(len(ids), maxLeavingReports)] {
		reports = append(reports, LeavingReport{ID: id, StartedAt: d.leaving[id].startedAt})
	}
	return reports
}
