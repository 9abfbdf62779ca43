package backends

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// health is the state of a server as observed by requests.
type health struct {
	failureRate    float64 // exponentially decaying, as of decayedAt
	decayedAt      time.Time
	suspendedUntil time.Time     // no requests before this time
	backoff        time.Duration // length of the last suspension, 0 once the server has answered
	probeUntil     time.Time     // until then one request is probing the server

	unreachableAt time.Time // last failure to reach it from this host
	answeredAt    time.Time // last answer
	reportedAt    time.Time // last failure to reach it from another host
}

// Succeeded records a request that the server completed.
func (d *Directory) Succeeded(now time.Time, id ident.BackendID) {
	s := d.servers[id]
	if s == nil {
		return
	}
	h := &s.health
	h.decay(now, d.cfg.FailureHalfLife)
	h.failureRate *= 1 - d.cfg.FailureWeight
	h.recordAnswer(now)
}

// Reached records that a server has answered, whatever the outcome of the request.
func (d *Directory) Reached(now time.Time, id ident.BackendID) {
	if s := d.servers[id]; s != nil {
		s.health.recordAnswer(now)
	}
}

func (h *health) recordAnswer(now time.Time) {
	h.answeredAt = now
	h.backoff = 0
	h.suspendedUntil = time.Time{}
	h.probeUntil = time.Time{}
}

// Failed records the failure of a request at the server.
func (d *Directory) Failed(now time.Time, id ident.BackendID, f Fault) {
	s := d.servers[id]
	if s == nil {
		return
	}
	h := &s.health
	h.probeUntil = time.Time{}
	switch f {
	case Full:
		s.lastFull = now
	case WrongProcess:
		h.suspend(now, d.cfg.SuspendMax, d.cfg.SuspendMax)
	case Unreachable:
		d.newReport = d.newReport || now.Sub(h.unreachableAt) >= reportTTL && !h.reportedUnreachable(now)
		h.unreachableAt = now
		h.recordFailure(now, d.cfg)
		h.suspend(now, d.cfg.SuspendInitial, d.cfg.SuspendMax)
	case Busy:
		h.suspend(now, d.cfg.SuspendInitial, d.cfg.SuspendMax)
	case ErrorResponse:
		h.recordFailure(now, d.cfg)
	}
}

func (h *health) recordFailure(now time.Time, cfg Config) {
	h.decay(now, cfg.FailureHalfLife)
	h.failureRate += (1 - h.failureRate) * cfg.FailureWeight
}

// suspend starts a back-off, twice as long as the last one up to limit. It does nothing
// while one is running, so that requests that fail together count as one failure.
func (h *health) suspend(now time.Time, initial, limit time.Duration) {
	if now.Before(h.suspendedUntil) {
		return
	}
	h.backoff = min(limit, max(initial, 2*h.backoff))
	h.suspendedUntil = now.Add(h.backoff)
}

func (h *health) decay(now time.Time, halfLife time.Duration) {
	if !h.decayedAt.IsZero() {
		h.failureRate *= math.Exp2(-now.Sub(h.decayedAt).Seconds() / halfLife.Seconds())
	}
	h.decayedAt = now
}

// currentFailureRate returns the failure rate decayed to now, without storing it.
func (h *health) currentFailureRate(now time.Time, halfLife time.Duration) float64 {
	if h.decayedAt.IsZero() {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.decayedAt).Seconds()/halfLife.Seconds())
}

// usable reports whether the server may get a request. After a suspension one request at
// a time probes whether the server has recovered.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.suspendedUntil) && !now.Before(h.probeUntil)
}

// unreachableSince reports whether any host has failed to reach the server since a time.
func (h *health) unreachableSince(t time.Time) bool {
	return h.unreachableAt.After(t) || h.reportedAt.After(t)
}

// SuspendDomain suspends the servers of a failure domain whose hosts are silent, since
// the servers may be unreachable too. Each gets no requests for the back-off and then
// one at a time until it has answered.
func (d *Directory) SuspendDomain(now time.Time, domain ident.FailureDomain) {
	for _, s := range d.servers {
		if s.Domain == domain {
			s.health.suspend(now, d.cfg.SuspendInitial, d.cfg.SuspendMax)
		}
	}
}
