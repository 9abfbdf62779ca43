package placement

import (
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// engineState is the owner's booking state of one engine. Reports correct it but
// do not replace it, since they may be older than the latest bookings.
type engineState struct {
	info   engine.Info // effective: the platform's list, corrected by reports
	listed engine.Info // last entry of the platform's list

	start         uint64 // identifies the engine process, from its reports
	previousStart uint64 // start before the last restart
	sequence      uint64
	reported      bool

	suspect          bool      // a host reported a failure after the last report
	ignoreHintsUntil time.Time // hints before this time are ignored

	jobs          []*booking  // prefills not known to have ended, in booking order
	headSince     time.Time   // when jobs[0] became first
	retainedUntil []time.Time // predicted ends of the transfers of ended prefills
	slots         map[ident.BackendRef]*booking
	unbooked      int // requests held without a booking
	linkBusyUntil time.Time
	cache         prefixCache
	prefillRate   rate // seconds per prompt token
}

func newEngineState(cfg *Config, info engine.Info) *engineState {
	return &engineState{
		info:        info,
		listed:      info,
		slots:       map[ident.BackendRef]*booking{},
		cache:       newPrefixCache(cfg.PrefixBlocks),
		prefillRate: newRate(cfg.PrefillPerToken, priorPrefillTokens, prefillDecay),
	}
}

// setListed sets the engine's entry in the platform's list. An unchanged entry does
// not undo later corrections by reports.
func (e *engineState) setListed(info engine.Info) {
	if info != e.listed {
		e.info = info
	}
	e.listed = info
}

func (e *engineState) freeSlots() int {
	return e.info.Slots - len(e.slots) - e.unbooked
}

// hasPrefillRoom reports whether the engine has memory for one more prompt. The KV
// cache of an ended prefill occupies memory until its transfer has ended.
func (e *engineState) hasPrefillRoom(now time.Time) bool {
	e.retainedUntil = slices.DeleteFunc(e.retainedUntil, now.After)
	return e.info.Slots == 0 || len(e.jobs)+len(e.retainedUntil) < e.info.Slots
}

// retainSlack covers the time from the end of a prefill to the start of its
// transfer, and the delay of both messages.
const retainSlack = 100 * time.Millisecond

// retainCache records that the engine holds the KV cache of an ended prefill until its
// transfer has ended.
func (e *engineState) retainCache(now time.Time, transfer time.Duration) {
	e.retainedUntil = append(e.retainedUntil, now.Add(transfer+retainSlack))
}

// backlog returns the predicted time until the engine has ended its prefills.
func (e *engineState) backlog(now time.Time) time.Duration {
	var sum time.Duration
	for i, b := range e.jobs {
		left := b.prefillTime
		if i == 0 {
			left = max(0, left-now.Sub(e.headSince))
		}
		sum += left
	}
	return sum
}

// addJob appends a booking to the engine's prefills.
func (e *engineState) addJob(now time.Time, b *booking) {
	if len(e.jobs) == 0 {
		e.headSince = now
	}
	e.jobs = append(e.jobs, b)
}

// finishJob removes a prefill. With observe set, the duration of the first prefill
// updates the predictions.
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
		e.prefillRate.observe(now.Sub(e.headSince), float64(b.tokens))
	}
	e.headSince = now
}

// A prefill counts as ended after lostEndFactor times its predicted duration plus
// lostEndSlack, since the message about its end must have been lost.
const (
	lostEndFactor = 3
	lostEndSlack  = 200 * time.Millisecond
)

// expireJobs removes prefills whose end message was lost.
func (e *engineState) expireJobs(now time.Time) {
	for len(e.jobs) > 0 {
		b := e.jobs[0]
		if now.Sub(e.headSince) < lostEndFactor*b.prefillTime+lostEndSlack {
			return
		}
		e.finishJob(now, b, true)
	}
}

// stale reports whether a report is older than one already applied.
func (e *engineState) stale(r engine.Report) bool {
	if !e.reported {
		return false
	}
	if r.Start == e.start {
		return r.Sequence <= e.sequence
	}
	return r.Start == e.previousStart
}

// apply updates the state from a report. A new start means that the engine has
// restarted and lost its cache.
func (e *engineState) apply(r engine.Report) {
	if e.reported && r.Start != e.start {
		e.previousStart = e.start
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
