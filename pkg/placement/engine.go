package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// engineState is the owner's booking state of one engine. Reports correct it but
// do not replace it, since they are older than the latest bookings.
type engineState struct {
	info   engine.Info // effective: the platform's list, corrected by reports
	listed engine.Info // last entry of the platform's list

	start    uint64 // of the engine process, from its reports
	previous uint64 // start before the last restart
	sequence uint64
	reported bool

	suspect      bool      // a host reported a failure after the last report
	suspectAfter time.Time // hints before this time are ignored

	jobs      []*booking  // prefills not known to have ended, in order
	headSince time.Time   // when the first of jobs became first
	kept      []time.Time // ends of the transfers of ended prefills, as predicted
	slots     map[ident.BackendRef]*booking
	unbooked  int // requests held without a booking
	linkUntil time.Time
	cache     prefixCache
	prefill   rate // seconds per prompt token
}

func newEngineState(cfg *Config, info engine.Info) *engineState {
	return &engineState{
		info:    info,
		listed:  info,
		slots:   map[ident.BackendRef]*booking{},
		cache:   newPrefixCache(cfg.PrefixBlocks),
		prefill: newRate(cfg.PrefillPerToken, priorPrefillTokens, keepPrefill),
	}
}

// list takes a new entry of the platform's list. An unchanged entry does not undo
// what reports said since.
func (e *engineState) list(info engine.Info) {
	if info != e.listed {
		e.info = info
	}
	e.listed = info
}

func (e *engineState) free() int {
	return e.info.Slots - len(e.slots) - e.unbooked
}

// takesPrefill tells whether the engine may hold one more prompt. The KV cache of
// an ended prefill takes memory until its transfer has ended.
func (e *engineState) takesPrefill(now time.Time) bool {
	e.kept = slices.DeleteFunc(e.kept, now.After)
	return e.info.Slots == 0 || len(e.jobs)+len(e.kept) < e.info.Slots
}

// keepSlack covers the time from the end of a prefill to the start of its
// transfer, and the delay of both messages.
const keepSlack = 100 * time.Millisecond

// keep notes the KV cache of a prefill that has ended.
func (e *engineState) keep(now time.Time, transfer time.Duration) {
	e.kept = append(e.kept, now.Add(transfer+keepSlack))
}

// backlog returns the time until the engine has ended its prefills.
func (e *engineState) backlog(now time.Time) time.Duration {
	var sum time.Duration
	for i, b := range e.jobs {
		left := b.duration
		if i == 0 {
			left = max(0, left-now.Sub(e.headSince))
		}
		sum += left
	}
	return sum
}

// book enters a booking on its prefill engine.
func (e *engineState) addJob(now time.Time, b *booking) {
	if len(e.jobs) == 0 {
		e.headSince = now
	}
	e.jobs = append(e.jobs, b)
}

// finishJob removes a prefill. When it was the first one, its duration corrects
// the predictions.
func (e *engineState) finishJob(now time.Time, b *booking, observe bool) {
	at := slices.Index(e.jobs, b)
	if at < 0 {
		return
	}
	e.jobs = slices.Delete(e.jobs, at, at+1)
	if at > 0 {
		return
	}
	if observe {
		e.prefill.observe(now.Sub(e.headSince), float64(b.tokens))
	}
	e.headSince = now
}

// lateFactor and lateSlack say when a prefill without news counts as ended,
// because the message that said so was lost.
const (
	lateFactor = 3
	lateSlack  = 200 * time.Millisecond
)

// expireJobs drops prefills whose end message was lost.
func (e *engineState) expireJobs(now time.Time) {
	for len(e.jobs) > 0 {
		b := e.jobs[0]
		if now.Sub(e.headSince) < lateFactor*b.duration+lateSlack {
			return
		}
		e.finishJob(now, b, true)
	}
}

// stale tells whether a report is older than one already taken.
func (e *engineState) stale(r engine.Report) bool {
	if !e.reported {
		return false
	}
	if r.Start == e.start {
		return r.Sequence <= e.sequence
	}
	return r.Start == e.previous
}

// apply takes the figures of a report. A new start means that the engine has
// restarted and lost its cache.
func (e *engineState) apply(r engine.Report) {
	if e.reported && r.Start != e.start {
		e.previous = e.start
		e.cache.reset()
	}
	e.reported = true
	e.start = r.Start
	e.sequence = r.Sequence
	e.suspect = false
	if r.Role != "" {
		e.info.Role = r.Role
	}
	if r.Version != "" {
		e.info.Version = r.Version
	}
	if r.Slots > 0 {
		e.info.Slots = r.Slots
	}
	e.info.Leaving = r.Leaving || e.listed.Leaving
}
