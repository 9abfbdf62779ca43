package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// reportTTL is how long other hosts avoid a server that was reported unreachable,
	// unless it answers them. Hosts that still cannot reach it renew the report: they
	// probe it again after SuspendMax at the latest.
	reportTTL = 2 * time.Second
	// reportPenalty is added to the cost of a reported server, as a fraction of a
	// server's capacity: at 1 it is used when all others are full. It is not suspended,
	// since the fault may be at the host that reported it.
	reportPenalty = 1
	// maxReports is the number of servers that a host reports, the most recent failures
	// first. It bounds the message size of a host that has lost its network.
	maxReports = 64
)

// UnreachableReport names a server that a host could not reach.
type UnreachableReport struct {
	ID  ident.BackendID
	Age time.Duration // time since the last failure
}

// UnreachableReports returns the servers that this host failed to reach within
// reportTTL and that have not answered since, the most recent failures first.
func (d *Directory) UnreachableReports(now time.Time) []UnreachableReport {
	var reports []UnreachableReport
	for id, s := range d.servers {
		if h := &s.health; now.Sub(h.unreachableAt) < reportTTL && h.answeredAt.Before(h.unreachableAt) {
			reports = append(reports, UnreachableReport{ID: id, Age: now.Sub(h.unreachableAt)})
		}
	}
	slices.SortFunc(reports, func(a, b UnreachableReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return reports[:min(len(reports), maxReports)]
}

// ApplyReports applies the unreachable reports of another host. In a large fleet a host
// calls each server too seldom to detect a fault by itself while it lasts.
func (d *Directory) ApplyReports(now time.Time, reports []UnreachableReport) {
	for _, report := range reports {
		if s := d.servers[report.ID]; s != nil {
			if at := now.Add(-report.Age); at.After(s.health.reportedAt) {
				s.health.reportedAt = at
			}
		}
	}
}

// reportedUnreachable reports whether another host failed to reach the server within
// reportTTL and the server has not answered this host since.
func (h *health) reportedUnreachable(now time.Time) bool {
	return now.Sub(h.reportedAt) < reportTTL && h.answeredAt.Before(h.reportedAt)
}

// HasNewReport reports whether this host found a server unreachable that neither it nor
// another host has reported within reportTTL.
func (d *Directory) HasNewReport() bool { return d.newReport }

// MarkReported records that the reports are being sent to the other hosts.
func (d *Directory) MarkReported() { d.newReport = false }
