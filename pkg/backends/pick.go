package backends

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

// Query describes a request that needs a server.
type Query struct {
	Service         ident.Route
	Stage           Stage
	Model           ident.Model // empty: any
	Exclude         []ident.BackendID
	PreferredDomain ident.FailureDomain // empty: no preference
	Need            Load                // added by the request
	MemoryPerServer int64               // KV cache capacity of one server, in tokens
	SlotsPerServer  int                 // concurrent requests of one server
	// UnseenRequests is the expected number of requests like this one that other hosts
	// have placed since their last load report.
	UnseenRequests float64
	// Allowed reports whether servers of a failure domain may be used; nil: all.
	Allowed func(ident.FailureDomain) bool
	// Unlimited excludes the servers that have named a limit.
	Unlimited bool
	// Version is the preferred software version, or the required one if Pinned is set;
	// empty without Pinned: no preference.
	Version ident.Version
	Pinned  bool
	// ListedAsOf, if set, excludes from a pinned request the servers that could not be
	// reached later than that: they may have started again with another version, which the
	// list does not show yet.
	ListedAsOf time.Time
	// Expected is the time that a stream is expected to take at a typical engine; 0 if unknown.
	Expected time.Duration
	TimeLeft time.Duration // until the deadline
	// Freed restricts the choice to engines with memory that this host alone knows to be free.
	Freed bool
}

const (
	// crossDomainPenalty is added to the cost of a server in another failure domain, as
	// a fraction of a server's capacity: a transfer between domains takes twice as long.
	crossDomainPenalty = 0.06
	// failurePenalty is added in proportion to the failure rate; this is its value at a
	// rate of one.
	failurePenalty = 4
	// fullBackoff is how long a server is skipped after it rejected a request for lack
	// of capacity.
	fullBackoff = 60 * time.Millisecond
	// queueLimit is the maximum number of queued requests per slot of a plain server.
	queueLimit = 2
)

// eligible reports whether a server may get the request, its load aside.
func (d *Directory) eligible(now time.Time, s *server, q Query) bool {
	if !d.askable(now, s, q) || s.Stage != q.Stage || d.excluded(s) || s.switching(now) || !s.listed(now) || !s.health.usable(now) || !s.accepts(now) {
		return false
	}
	if !s.matchesVersion(q) || q.Allowed != nil && !q.Allowed(s.Domain) {
		return false
	}
	if q.Model != "" && len(s.Models) > 0 && !slices.Contains(s.Models, q.Model) {
		return false
	}
	return !slices.Contains(q.Exclude, s.ID)
}

// PickDecode returns a decode engine with free KV cache for a request, or false if no
// engine has capacity now. A part of the engines of a scarce version is kept for the
// requests that require it.
func (d *Directory) PickDecode(now time.Time, q Query) (Target, bool) {
	var scarce []ident.Version
	if !q.Pinned {
		scarce = d.scarceVersions(now, q.Service)
	}
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if q.Freed && s.freedMemory(now) == 0 {
			return 0, false
		}
		if !d.eligible(now, s, q) || now.Sub(s.lastFull) < fullBackoff && !s.lastFull.IsZero() {
			return 0, false
		}
		share, penalty := 1.0, d.penalty(now, s, q)
		if slices.Contains(scarce, s.Version) {
			share, penalty = scarceShare, penalty+scarcePenalty
		}
		l := s.totalLoad()
		l.Memory += s.hiddenMemory(now, d.reportAge)
		if q.Freed {
			// The known loads are older than what is known to be free.
			l.Memory = min(l.Memory, q.MemoryPerServer-int64(float64(s.freedMemory(now))/freedShare))
		}
		if float64(l.Memory+q.Need.Memory) > share*float64(q.MemoryPerServer) || float64(l.Requests) >= share*float64(q.SlotsPerServer) {
			return 0, false
		}
		return float64(l.Memory)/float64(q.MemoryPerServer) + d.speedCost(now, s, q) + penalty, true
	})
	return d.pick(now, d.ramped(now, all), q.UnseenRequests*float64(q.Need.Memory)/float64(q.MemoryPerServer))
}

// PickPrefill returns an engine that would finish the prefill of a prompt soon, and the
// expected time until then.
func (d *Directory) PickPrefill(now time.Time, q Query) (Target, time.Duration, bool) {
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if !d.canPrefill(now, s, q) {
			return 0, false
		}
		// The cost is in seconds: a penalty of 1 counts as 100 ms.
		return d.prefillSeconds(now, s, q) + d.penalty(now, s, q)/10, true
	})
	t, ok := d.pick(now, d.ramped(now, all), q.UnseenRequests*float64(q.Need.Prompt)/d.PrefillRate(q.Service))
	if !ok {
		return t, 0, false
	}
	return t, durationOf(d.prefillSeconds(now, d.servers[t.ID], q)), true
}

// PrefillTime returns the shortest expected time until any engine would finish the
// prefill of a prompt.
func (d *Directory) PrefillTime(now time.Time, q Query) (time.Duration, bool) {
	least, ok := 0.0, false
	for _, s := range d.byService[q.Service] {
		if !d.canPrefill(now, s, q) {
			continue
		}
		if t := d.prefillSeconds(now, s, q); !ok || t < least {
			least, ok = t, true
		}
	}
	return durationOf(least), ok
}

// canPrefill reports whether a server is eligible and has memory for a prompt.
func (d *Directory) canPrefill(now time.Time, s *server, q Query) bool {
	return d.eligible(now, s, q) && (q.MemoryPerServer == 0 || s.totalLoad().Memory+q.Need.Memory <= q.MemoryPerServer)
}

// prefillSeconds returns the expected seconds until a server would finish the prefill of
// a prompt, with the prompts queued before it.
func (d *Directory) prefillSeconds(now time.Time, s *server, q Query) float64 {
	seconds := float64(s.totalLoad().Prompt+q.Need.Prompt) / s.prefillRate()
	if s.throughput.prefillRate == 0 {
		// Other hosts have measured what this one has not.
		seconds *= d.slowness(now, s, serverspeed.Prefill)
	}
	return seconds
}

// durationOf converts seconds to a time.Duration.
func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PickPlain returns a plain server with a short queue, or false if no server has capacity.
func (d *Directory) PickPlain(now time.Time, q Query) (Target, bool) {
	slots := 0
	all := d.candidates(q.Service, func(s *server) (float64, bool) {
		if !d.eligible(now, s, q) {
			return 0, false
		}
		n := max(1, s.Slots)
		l := s.totalLoad()
		if l.Requests >= n*(1+queueLimit) {
			return 0, false
		}
		slots += n
		cost := float64(l.Requests)/float64(n) + d.penalty(now, s, q)
		if f := d.slowness(now, s, serverspeed.Call); f != 1 {
			// The expected wait in typical call times, beyond that of one call.
			cost += (f - 1) * (1 + float64(l.Requests)/float64(n))
		}
		return cost, true
	})
	if len(all) == 0 {
		return Target{}, false
	}
	return d.pick(now, d.ramped(now, all), q.UnseenRequests*float64(len(all))/float64(slots))
}

// penalty returns what failures, distance and unreachable reports add to the cost of a
// server.
func (d *Directory) penalty(now time.Time, s *server, q Query) float64 {
	p := failurePenalty*s.health.currentFailureRate(now, d.cfg.FailureHalfLife) + s.versionPenalty(q)
	if q.PreferredDomain != "" && s.Domain != q.PreferredDomain {
		p += crossDomainPenalty
	}
	if s.health.reportedUnreachable(now) {
		p += reportPenalty
	}
	if !d.limits.Preferred(now, s.process()) {
		p += limitedPenalty
	}
	return p
}

// candidates returns the servers of a service for which cost returns true. The result
// is valid until the next call.
func (d *Directory) candidates(service ident.Route, cost func(*server) (float64, bool)) []candidate {
	d.candidateBuf = d.candidateBuf[:0]
	for _, s := range d.byService[service] {
		if c, ok := cost(s); ok {
			d.candidateBuf = append(d.candidateBuf, candidate{s, c})
		}
	}
	return d.candidateBuf
}

// pick picks one of the candidates. If it was suspended, the request becomes its probe.
func (d *Directory) pick(now time.Time, all []candidate, unseen float64) (Target, bool) {
	c, ok := pickBalanced(d.rng, all, unseen)
	if !ok {
		return Target{}, false
	}
	if c.health.backoff > 0 {
		c.health.probeUntil = now.Add(d.cfg.ProbeTimeout)
	}
	return d.target(c.server), true
}

// PickSwitch returns the server that should change its stage: the one with the fewest
// requests in the failure domain with the most servers of that stage. The last server of
// a stage in a domain is never picked, so that a partitioned domain keeps both stages, nor
// an engine of a version that is scarce among the decode engines.
func (d *Directory) PickSwitch(now time.Time, service ident.Route, from Stage) (Target, bool) {
	inDomain := map[ident.FailureDomain]int{}
	for _, s := range d.byService[service] {
		if s.Stage == from && !d.excluded(s) && !s.switching(now) {
			inDomain[s.Domain]++
		}
	}
	q := Query{Service: service, Stage: from, Unlimited: true}
	var scarce []ident.Version
	if from == Decode {
		scarce = d.scarceVersions(now, service)
	}
	all := d.candidates(service, func(s *server) (float64, bool) {
		if !d.eligible(now, s, q) || inDomain[s.Domain] < 2 || slices.Contains(scarce, s.Version) {
			return 0, false
		}
		l := s.totalLoad()
		return float64(l.Requests) - switchDomainWeight*float64(inDomain[s.Domain]), true
	})
	return d.pick(now, all, 0)
}

// switchDomainWeight is the number of additional requests that one more server in the
// domain outweighs in PickSwitch.
const switchDomainWeight = 100

// MemoryUtilisation returns the fraction of the KV cache of the eligible servers that is
// in use, and 1 if there are none.
func (d *Directory) MemoryUtilisation(now time.Time, q Query) float64 {
	used, all := int64(0), int64(0)
	for _, s := range d.byService[q.Service] {
		if d.eligible(now, s, q) {
			used += min(q.MemoryPerServer, s.totalLoad().Memory)
			all += q.MemoryPerServer
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}
