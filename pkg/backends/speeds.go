package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

const (
	// speedWeight is the cost, as a fraction of an engine's capacity, of an engine that needs
	// twice the typical time for a stream that would then end at its deadline.
	speedWeight = 0.5
	// lateMargin is the factor on the expected time of a stream beyond which its deadline is too
	// close: expected lengths are often too short.
	lateMargin = 1.25
	// lateWeight is the cost of an engine at which a stream is expected to take twice the time
	// that it has: more than any difference of load.
	lateWeight = 2
)

// Speeds returns the learned speeds of servers.
func (d *Directory) Speeds() *serverspeed.Tracker { return d.cfg.Speeds }

// slowness returns the time that a server takes compared with the typical one, 1 if unknown.
func (d *Directory) slowness(now time.Time, s *server, k serverspeed.Kind) float64 {
	f, _ := d.cfg.Speeds.Factor(now, s.process(), k)
	return f
}

// speedCost returns what the speed of an engine adds to its cost for a stream: the longer the
// stream runs compared with the time that it has, the more. It is 0 for a typical engine.
func (d *Directory) speedCost(now time.Time, s *server, q Query) float64 {
	if q.Expected <= 0 || q.TimeLeft <= 0 {
		return 0
	}
	f := d.slowness(now, s, serverspeed.Token)
	if f == 1 {
		return 0
	}
	share := float64(q.Expected) / float64(q.TimeLeft)
	return speedWeight*(f-1)*share + lateWeight*max(0, lateMargin*f*share-1)
}

// FastestDecode returns the least time, compared with the typical one, that any engine of a
// service takes for a stream, and whether that is well supported for all of them.
func (d *Directory) FastestDecode(now time.Time, q Query) (factor float64, supported bool) {
	for _, s := range d.byService[q.Service] {
		if s.Stage != Decode || s.departing() {
			continue
		}
		f, known := d.cfg.Speeds.Factor(now, s.process(), serverspeed.Token)
		if !known {
			return 1, false
		}
		if factor == 0 || f < factor {
			factor = f
		}
	}
	return factor, factor > 0
}
