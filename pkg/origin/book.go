package origin

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// record is the origin of a stream.
type record struct {
	stream  Stream
	process serverlimit.Process
	version ident.Version
	began   time.Time
	from    ident.HostID // empty for a stream of this host
	basis   Basis
	told    bool // to other hosts
	// conflicting is set if two versions were told.
	conflicting bool
}

// book keeps the origins of streams for their lifetime, and at most a number of them. The
// oldest are forgotten first.
type book struct {
	life     time.Duration
	capacity int
	records  []record // ring
	first    int      // oldest record
	count    int
	index    map[Stream]int // into records
}

func newBook(life time.Duration, capacity int) *book {
	return &book{life: life, capacity: max(1, capacity), index: map[Stream]int{}}
}

// put adds a record. If the stream has one with another version, neither counts.
func (b *book) put(now time.Time, r record) {
	if now.Sub(r.began) > b.life {
		return
	}
	if k := b.get(now, r.stream); k != nil {
		if k.version != r.version {
			k.conflicting = true
		}
		return
	}
	b.expire(now)
	if b.count == b.capacity {
		b.drop()
	}
	if b.count == len(b.records) {
		b.grow()
	}
	i := (b.first + b.count) % len(b.records)
	b.records[i] = r
	b.count++
	b.index[r.stream] = i
}

// get returns the record of a stream, or nil.
func (b *book) get(now time.Time, s Stream) *record {
	i, ok := b.index[s]
	if !ok || now.Sub(b.records[i].began) > b.life {
		return nil
	}
	return &b.records[i]
}

// each calls do with each record that has not expired.
func (b *book) each(now time.Time, do func(*record)) {
	for n := range b.count {
		r := &b.records[(b.first+n)%len(b.records)]
		if now.Sub(r.began) <= b.life {
			do(r)
		}
	}
}

// expire forgets the oldest records that have expired.
func (b *book) expire(now time.Time) {
	for b.count > 0 && now.Sub(b.records[b.first].began) > b.life {
		b.drop()
	}
}

// drop forgets the oldest record.
func (b *book) drop() {
	r := &b.records[b.first]
	// A stream whose record had expired may have a later one.
	if b.index[r.stream] == b.first {
		delete(b.index, r.stream)
	}
	*r = record{}
	b.first = (b.first + 1) % len(b.records)
	b.count--
}

func (b *book) grow() {
	const minRecords = 64
	larger := make([]record, min(b.capacity, max(minRecords, 2*len(b.records))))
	for n := range b.count {
		larger[n] = b.records[(b.first+n)%len(b.records)]
	}
	b.records, b.first = larger, 0
	clear(b.index)
	for n := range b.count {
		b.index[b.records[n].stream] = n
	}
}
