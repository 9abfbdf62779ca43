package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// doubtFor is how long a server that a host could not reach is passed over by the
	// others, unless it answers them. It is renewed by the hosts that still cannot, which
	// try again after SuspendMax at the latest.
	doubtFor = 2 * time.Second
	// doubtPenalty is the load, as a part of a server's room, that a doubted server must
	// be emptier by: it is used when all others are full. It is not suspended, since the
	// fault may be that of the host that reported it.
	doubtPenalty = 1
	// maxDoubts is the number of servers that a host reports, the latest findings first. It
	// bounds a message of a host that has lost its network.
	maxDoubts = 64
)

// Doubt is a server that a host could not reach.
type Doubt struct {
	ID  ident.BackendID
	Age time.Duration // since the last failure
}

// Doubts returns the servers that this host could not reach lately and that have not
// answered since, the latest findings first.
func (d *Directory) Doubts(now time.Time) []Doubt {
	var all []Doubt
	for id, s := range d.servers {
		if t := &s.trust; now.Sub(t.failedAt) < doubtFor && t.answeredAt.Before(t.failedAt) {
			all = append(all, Doubt{ID: id, Age: now.Sub(t.failedAt)})
		}
	}
	slices.SortFunc(all, func(a, b Doubt) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(len(all), maxDoubts)]
}

// HearDoubts takes the doubts of another host. In a large fleet a host calls a server so
// seldom that it would not find out by itself while a fault lasts.
func (d *Directory) HearDoubts(now time.Time, doubts []Doubt) {
	for _, o := range doubts {
		if s := d.servers[o.ID]; s != nil {
			if at := now.Add(-o.Age); at.After(s.trust.doubtedAt) {
				s.trust.doubtedAt = at
			}
		}
	}
}

// doubted tells whether another host could not reach the server lately and it has not
// answered this one since.
func (t *trust) doubted(now time.Time) bool {
	return now.Sub(t.doubtedAt) < doubtFor && t.answeredAt.Before(t.doubtedAt)
}

// Urgent tells whether this host has found a server unreachable that no host has
// reported.
func (d *Directory) Urgent() bool { return d.urgent }

// Told notes that the other hosts are being told.
func (d *Directory) Told() { d.urgent = false }
