package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// departedTTL is how long a server that left is remembered. It must exceed the age of a
	// copy from which the store may be restored.
	departedTTL = time.Minute
	// withholdAfterRestore is how long a server that was leaving or had left stays unused
	// when a restored store lists it as ready. Within it, a server that lives has written
	// its entry again, and the entry of one that does not has expired.
	withholdAfterRestore = 5 * time.Second
	// unconfirmedGrace is how long a server that a restored store does not list stays in
	// use. Running servers register again within two seconds.
	unconfirmedGrace = 2 * time.Second
)

// departure is the end of a server's registration.
type departure struct {
	startedAt int64 // of the process, see Entry
	at        time.Time
}

// Depart removes a server whose entry was removed from the list, and remembers it in case
// the store is restored from a copy that still has the entry.
func (d *Directory) Depart(now time.Time, id ident.BackendID) {
	s := d.servers[id]
	if s == nil {
		return
	}
	for other, left := range d.departed {
		if now.Sub(left.at) >= departedTTL {
			delete(d.departed, other)
		}
	}
	d.departed[id] = departure{startedAt: s.StartedAt, at: now}
	d.Remove(id)
}

// StoreRestored records that the store has come back from an older copy, which may list
// servers as ready that have reported since that they are leaving, or that have left.
// Until they register again, or withholdAfterRestore has passed, PutListed does not put
// them back into use.
func (d *Directory) StoreRestored(now time.Time) {
	d.withheldTill = now.Add(withholdAfterRestore)
	d.withheld = map[ident.BackendID]int64{}
	for id, left := range d.departed {
		if now.Sub(left.at) < departedTTL {
			d.withheld[id] = left.startedAt
		}
	}
	for id, s := range d.servers {
		if s.Draining {
			d.withheld[id] = s.StartedAt
		}
	}
}

// PutListed adds or updates an entry from a list. Unlike an entry that has just changed,
// it may be outdated after a restore of the store.
func (d *Directory) PutListed(e Entry) {
	startedAt, withheld := d.withheld[e.ID]
	left, departed := d.departed[e.ID]
	d.Put(e)
	if !withheld || startedAt != e.StartedAt {
		return
	}
	d.withheld[e.ID] = startedAt
	if departed {
		d.departed[e.ID] = left
	}
	d.servers[e.ID].unusedUntil = d.withheldTill
}

// Outdated reports whether an entry in the list of a restored store is of a process after
// which another one has registered under the same ID.
func (d *Directory) Outdated(now time.Time, e Entry) bool {
	if !now.Before(d.withheldTill) {
		return false
	}
	s := d.servers[e.ID]
	return s != nil && e.StartedAt < s.StartedAt || e.StartedAt < d.departed[e.ID].startedAt
}

// MarkUnconfirmed records that a restored store does not list a server. It stays in use
// and is removed after unconfirmedGrace unless Put is called for it again.
func (d *Directory) MarkUnconfirmed(now time.Time, id ident.BackendID) {
	if s := d.servers[id]; s != nil && s.removeAt.IsZero() {
		s.removeAt, s.unconfirmed = now.Add(unconfirmedGrace), true
	}
}
