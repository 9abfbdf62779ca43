package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/evacuation"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// evacuated reports whether the failure domain of a server is evacuated.
func (d *Directory) evacuated(s *server) bool { return d.cfg.Evacuations.Evacuated(s.Domain) }

// excluded reports whether a server must get no new requests, whatever its load and health:
// it is about to stop, or its failure domain is evacuated.
func (d *Directory) excluded(s *server) bool { return s.departing() || d.evacuated(s) }

// Evacuated reports whether the failure domain of a target is evacuated.
func (d *Directory) Evacuated(t Target) bool { return d.cfg.Evacuations.Evacuated(t.Domain) }

// HasDomain reports whether any known server is in a failure domain.
func (d *Directory) HasDomain(domain ident.FailureDomain) bool {
	for _, s := range d.servers {
		if s.Domain == domain {
			return true
		}
	}
	return false
}

// rampShare returns the share of its usual load that a server should get.
func (d *Directory) rampShare(now time.Time, s *server) float64 {
	share := d.cfg.Evacuations.Share(now, s.Domain)
	if warm := d.limits.WarmSince(now, s.process()); !warm.IsZero() {
		share = min(share, evacuation.RampShare(now.Sub(warm), d.cfg.Evacuations.Ramp()))
	}
	return share
}

// ramped reduces the chance of servers that have just come back or become warm. Without that, all hosts would
// pick them until their loads are reported, because they are empty. They stay among the
// candidates with the probability of their share, drawn once for all of them: with a draw for
// each, one of many would nearly always stay and be picked. Their costs are as if they had that
// share of their capacity, so that they are filled to that share at most. If all candidates
// have come back, nothing is gained by holding requests back.
func (d *Directory) ramped(now time.Time, all []candidate) []candidate {
	ramping := 0
	for _, c := range all {
		if d.rampShare(now, c.server) < 1 {
			ramping++
		}
	}
	if ramping == 0 || ramping == len(all) {
		return all
	}
	kept, draw := all[:0], d.rng.Float64()
	for _, c := range all {
		share := d.rampShare(now, c.server)
		if share < 1 && draw >= share {
			continue
		}
		c.cost /= share
		kept = append(kept, c)
	}
	return kept
}
