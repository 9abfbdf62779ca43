package backends

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Query asks for a server.
type Query struct {
	Service ident.Route
	Stage   Stage
	Model   ident.Model // empty: any
	Avoid   []ident.BackendID
	// Near is the failure domain that is preferred.
	Near ident.FailureDomain
	// Need is the load that the request would add.
	Need Load
	// Memory is the KV cache of a server in tokens, and Slots its requests.
	Memory int64
	Slots  int
	// Unseen is the number of requests like this one that other hosts are expected to
	// have placed since their last news of load.
	Unseen float64
}

const (
	// farPenalty is the load, as a part of a server's room, that a server in
	// another domain must be emptier by to be preferred: a transfer between
	// domains takes twice as long.
	farPenalty = 0.06
	// failurePenalty is the same for a failure rate of one.
	failurePenalty = 4
	// fullPause is how long a server that refused for want of room is passed over.
	fullPause = 60 * time.Millisecond
	// queueLimit is the number of waiting requests per slot of a plain server
	// beyond which it takes no more.
	queueLimit = 2
)

// fits reports whether a server may get the request at all.
func (s *server) fits(now time.Time, q Query) bool {
	if s.Stage != q.Stage || s.Draining || s.switching(now) || !s.goneAt.IsZero() || !s.trust.usable(now) {
		return false
	}
	if q.Model != "" && len(s.Models) > 0 && !slices.Contains(s.Models, q.Model) {
		return false
	}
	return !slices.Contains(q.Avoid, s.ID)
}

// PickDecode returns an engine with much room for a request, or false if no engine has
// room now.
func (d *Directory) PickDecode(now time.Time, q Query) (Target, bool) {
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if !s.fits(now, q) || now.Sub(s.fullAt) < fullPause && !s.fullAt.IsZero() {
			return 0, false
		}
		l := s.load()
		if l.Memory+q.Need.Memory > q.Memory || l.Requests >= q.Slots {
			return 0, false
		}
		return float64(l.Memory)/float64(q.Memory) + d.penalty(now, s, q), true
	})
	return d.pick(now, all, q.Unseen*float64(q.Need.Memory)/float64(q.Memory))
}

// PickPrefill returns an engine that would read a prompt soon, and its expected time.
func (d *Directory) PickPrefill(now time.Time, q Query) (Target, time.Duration, bool) {
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if !d.mayRead(now, s, q) {
			return 0, false
		}
		return s.readTime(q) + d.penalty(now, s, q)/10, true
	})
	t, ok := d.pick(now, all, q.Unseen*float64(q.Need.Prompt)/d.PrefillRate(q.Service))
	if !ok {
		return t, 0, false
	}
	return t, seconds(d.servers[t.ID].readTime(q)), true
}

// PrefillTime returns how soon a prompt could be read by any engine.
func (d *Directory) PrefillTime(now time.Time, q Query) (time.Duration, bool) {
	least, ok := 0.0, false
	for _, s := range d.byServ[q.Service] {
		if t := s.readTime(q); d.mayRead(now, s, q) && (!ok || t < least) {
			least, ok = t, true
		}
	}
	return seconds(least), ok
}

// mayRead reports whether a server may get a prompt to read.
func (d *Directory) mayRead(now time.Time, s *server, q Query) bool {
	return s.fits(now, q) && (q.Memory == 0 || s.load().Memory+q.Need.Memory <= q.Memory)
}

// readTime returns the seconds until a server would have read a prompt.
func (s *server) readTime(q Query) float64 {
	return float64(s.load().Prompt+q.Need.Prompt) / s.prefillRate()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PickPlain returns a plain server that would answer soon.
func (d *Directory) PickPlain(now time.Time, q Query) (Target, bool) {
	slots := 0
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if !s.fits(now, q) {
			return 0, false
		}
		n := max(1, s.Slots)
		l := s.load()
		if l.Requests >= n*(1+queueLimit) {
			return 0, false
		}
		slots += n
		return float64(l.Requests)/float64(n) + d.penalty(now, s, q), true
	})
	if len(all) == 0 {
		return Target{}, false
	}
	return d.pick(now, all, q.Unseen*float64(len(all))/float64(slots))
}

func (d *Directory) penalty(now time.Time, s *server, q Query) float64 {
	p := failurePenalty * s.trust.rate(now, d.cfg.FailureForget)
	if q.Near != "" && s.Domain != q.Near {
		p += farPenalty
	}
	if s.trust.doubted(now) {
		p += doubtPenalty
	}
	return p
}

// candidates returns the servers of a service that may get a request.
func (d *Directory) candidates(service ident.Route, cost func(*server) (float64, bool)) []candidate {
	d.found = d.found[:0]
	for _, s := range d.byServ[service] {
		if c, ok := cost(s); ok {
			d.found = append(d.found, candidate{s, c})
		}
	}
	return d.found
}

// pick chooses one of the candidates. A server that was suspended is marked as being
// tried.
func (d *Directory) pick(now time.Time, all []candidate, unseen float64) (Target, bool) {
	c, ok := spread(d.rng, all, unseen)
	if !ok {
		return Target{}, false
	}
	if c.trust.pause > 0 {
		c.trust.probing = now.Add(d.cfg.ProbeTime)
	}
	return c.target(), true
}

// PickSwitch returns the server that should change its stage: from the failure domain
// that has most of its stage, and there the one with the least load. The last one of
// a domain stays, so that a domain that is cut off has both stages.
func (d *Directory) PickSwitch(now time.Time, service ident.Route, from Stage) (Target, bool) {
	inDomain := map[ident.FailureDomain]int{}
	for _, s := range d.byServ[service] {
		if s.Stage == from && !s.Draining && !s.switching(now) {
			inDomain[s.Domain]++
		}
	}
	q := Query{Service: service, Stage: from}
	all := d.candidates(service, func(s *server) (float64, bool) {
		if !s.fits(now, q) || inDomain[s.Domain] < 2 {
			return 0, false
		}
		l := s.load()
		return float64(l.Requests) - switchDomainWeight*float64(inDomain[s.Domain]), true
	})
	return d.pick(now, all, 0)
}

// switchDomainWeight is the number of requests that a server may have more than
// another one and still be picked for its domain.
const switchDomainWeight = 100

// Used returns the part of the memory of the usable servers of a stage that is in use.
func (d *Directory) Used(now time.Time, q Query) float64 {
	used, all := int64(0), int64(0)
	for _, s := range d.byServ[q.Service] {
		if s.fits(now, q) {
			used += min(q.Memory, s.load().Memory)
			all += q.Memory
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}
