package backends

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// trust is what requests have found out about a server.
type trust struct {
	failures  float64 // decaying share of requests that failed
	at        time.Time
	suspended time.Time     // no requests before this
	pause     time.Duration // last suspension
	probing   time.Time     // until then one request is finding out whether it is back

	failedAt   time.Time // last time that it could not be reached
	answeredAt time.Time // last answer
	doubtedAt  time.Time // last time that another host could not reach it
}

// Succeeded notes a request that the server completed.
func (d *Directory) Succeeded(now time.Time, id ident.BackendID) {
	s := d.servers[id]
	if s == nil {
		return
	}
	t := &s.trust
	t.decay(now, d.cfg.FailureForget)
	t.failures *= 1 - d.cfg.FailureWeight
	t.reached(now)
}

// Reached notes that a server has answered, whatever became of the request.
func (d *Directory) Reached(now time.Time, id ident.BackendID) {
	if s := d.servers[id]; s != nil {
		s.trust.reached(now)
	}
}

func (t *trust) reached(now time.Time) {
	t.answeredAt = now
	t.pause = 0
	t.suspended = time.Time{}
	t.probing = time.Time{}
}

// Failed notes what a request met at the server.
func (d *Directory) Failed(now time.Time, id ident.BackendID, f Fault) {
	s := d.servers[id]
	if s == nil {
		return
	}
	t := &s.trust
	t.probing = time.Time{}
	switch f {
	case Full:
		s.fullAt = now
	case Gone:
		t.suspend(now, d.cfg.SuspendMax, d.cfg.SuspendMax)
	case Unreachable:
		d.urgent = d.urgent || now.Sub(t.failedAt) >= doubtFor && !t.doubted(now)
		t.failedAt = now
		t.fail(now, d.cfg)
		t.suspend(now, d.cfg.SuspendFirst, d.cfg.SuspendMax)
	case Busy:
		t.suspend(now, d.cfg.SuspendFirst, d.cfg.SuspendMax)
	case Failing:
		t.fail(now, d.cfg)
	}
}

func (t *trust) fail(now time.Time, cfg Config) {
	t.decay(now, cfg.FailureForget)
	t.failures += (1 - t.failures) * cfg.FailureWeight
}

// suspend starts a pause, unless one runs: several requests that fail together are
// one finding.
func (t *trust) suspend(now time.Time, first, most time.Duration) {
	if now.Before(t.suspended) {
		return
	}
	t.pause = min(most, max(first, 2*t.pause))
	t.suspended = now.Add(t.pause)
}

func (t *trust) decay(now time.Time, half time.Duration) {
	if !t.at.IsZero() {
		t.failures *= math.Exp2(-now.Sub(t.at).Seconds() / half.Seconds())
	}
	t.at = now
}

// rate returns the decayed failure rate without changing it.
func (t *trust) rate(now time.Time, half time.Duration) float64 {
	if t.at.IsZero() {
		return 0
	}
	return t.failures * math.Exp2(-now.Sub(t.at).Seconds()/half.Seconds())
}

// usable tells whether a request may go there. After a suspension one request at a
// time finds out whether the server is back.
func (t *trust) usable(now time.Time) bool {
	return !now.Before(t.suspended) && !now.Before(t.probing)
}

// Doubt notes that the servers of a failure domain may be out of reach, since its
// hosts are. Each gets no requests for a moment and then one at a time until it has
// answered.
func (d *Directory) Doubt(now time.Time, domain ident.FailureDomain) {
	for _, s := range d.servers {
		if s.Domain == domain {
			s.trust.suspend(now, d.cfg.SuspendFirst, d.cfg.SuspendMax)
		}
	}
}
