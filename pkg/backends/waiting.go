package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// resumeSpread and maxResumeSpread delay the first request after a server's wait at
	// random, as a fraction of the wait, so that the hosts do not all return at its end.
	resumeSpread    = 0.25
	maxResumeSpread = time.Second
	// rampRequests is the number of requests that a host may have at a server when its wait
	// has ended. It doubles each rampStep until rampTime has passed.
	rampRequests = 2
	rampStep     = 500 * time.Millisecond
	rampTime     = 3 * time.Second
)

// waiting is a server's wish to get nothing from this host for some time. Other hosts are
// not told: the server asks each of them itself, according to what they send it.
type waiting struct {
	startedAt int64     // of the process
	until     time.Time // with a random delay
}

// AskForTime records that a server's process wants nothing from this host for the given
// time, and reports whether the process is known.
func (d *Directory) AskForTime(now time.Time, id ident.BackendID, startedAt int64, wait time.Duration) bool {
	s := d.servers[id]
	if s == nil || s.StartedAt != startedAt {
		return false
	}
	delay := min(time.Duration(resumeSpread*float64(wait)), maxResumeSpread)
	until := now.Add(wait + time.Duration(d.rng.Float64()*float64(delay)))
	if until.After(s.waitUntil) {
		s.waitUntil = until
		d.waiting[id] = waiting{startedAt: startedAt, until: until}
	}
	return true
}

// waitOf returns the end of the wait for which a process has asked, or zero. A server that
// is listed again after a store outage is still the same process.
func (d *Directory) waitOf(id ident.BackendID, startedAt int64) time.Time {
	w, known := d.waiting[id]
	if !known || w.startedAt != startedAt {
		delete(d.waiting, id)
		return time.Time{}
	}
	return w.until
}

// accepts reports whether the server has not asked for time and, shortly after a wait, has
// few requests from this host.
func (s *server) accepts(now time.Time) bool {
	if s.waitUntil.IsZero() {
		return true
	}
	since := now.Sub(s.waitUntil)
	return since >= rampTime || since >= 0 && s.ownLoad.Requests < rampRequests<<(since/rampStep)
}

// Accepts reports whether the process that was picked as a target still takes new
// requests: it has neither asked for time nor announced that it leaves, and its failure domain
// is not evacuated.
func (d *Directory) Accepts(now time.Time, t Target) bool {
	s := d.servers[t.ID]
	return s != nil && s.StartedAt == t.StartedAt && s.Version == t.Version && !s.leaving && !now.Before(s.waitUntil) && !d.evacuated(s)
}

// Waits reports whether a server wants nothing from this host now.
func (d *Directory) Waits(now time.Time, id ident.BackendID) bool {
	s := d.servers[id]
	return s != nil && now.Before(s.waitUntil)
}

// TimeUntilAccepting returns how long all servers of a service in a stage want nothing from
// this host, or 0 if there are others.
func (d *Directory) TimeUntilAccepting(now time.Time, service ident.Route, stage Stage) time.Duration {
	least := time.Duration(0)
	for _, s := range d.byService[service] {
		if s.Stage != stage || d.excluded(s) {
			continue
		}
		wait := s.waitUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
