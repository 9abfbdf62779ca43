package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// limitedPenalty is added to the cost of a server that has named a limit, so that it is used
// once the others are full: a server names a limit when it is in need.
const limitedPenalty = 1

// Limits returns the limits that servers have named.
func (d *Directory) Limits() *serverlimit.Limiter { return d.limits }

func (s *server) process() serverlimit.Process {
	return serverlimit.Process{ID: s.ID, StartedAt: s.StartedAt}
}

// askable reports whether the server is unlimited, or a permit for a request may be asked for.
func (d *Directory) askable(now time.Time, s *server, q Query) bool {
	return !d.limits.Limited(s.process()) || !q.Unlimited && d.limits.Askable(now, s.process())
}

// HasProcess reports whether a process is listed.
func (d *Directory) HasProcess(p serverlimit.Process) bool {
	s := d.servers[p.ID]
	return s != nil && s.StartedAt == p.StartedAt
}

// PermitWait returns the time until a request that gets no permit should come back, if all
// servers of a service in a stage are limited; otherwise 0. anyAskable reports whether a permit
// may be asked for at one of them now, or soon at an engine that is only cold: the requests of
// engines wait in a queue.
func (d *Directory) PermitWait(now time.Time, service ident.Route, stage Stage) (wait time.Duration, anyAskable bool) {
	for _, s := range d.byService[service] {
		if s.Stage != stage || d.excluded(s) {
			continue
		}
		if !d.limits.Limited(s.process()) {
			return 0, false
		}
		anyAskable = anyAskable || d.limits.Askable(now, s.process()) || stage != Plain && d.limits.Cold(s.process())
		if after := max(d.limits.RetryAfter(s.process()), minPermitWait); wait == 0 || after < wait {
			wait = after
		}
	}
	return wait, anyAskable
}

// minPermitWait is the least time that PermitWait returns.
const minPermitWait = 100 * time.Millisecond
