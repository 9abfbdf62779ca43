package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quarantine"
)

const (
	// maxCrashes is the number of backend servers that may crash under one request. After
	// that it is not sent to another one.
	maxCrashes = 2
	// partNotesInterval is the minimum time between two messages of sendPartNotes.
	partNotesInterval = 100 * time.Millisecond
)

// checkParts decides whether a new request may run in view of the parts of its prompt.
func (r *Relay) checkParts(q *request) (retryAfter time.Duration, ok bool) {
	v := r.parts.Check(r.now, q.traits, r.probeTurn)
	if v.Blocked != "" {
		return r.spread(v.Wait), false
	}
	q.probes = v.Probes
	return 0, true
}

// newTraits returns what a request may have in common with others: the shared parts of its prompt
// and, as the most specific trait, its digest.
func newTraits(org ident.Organisation, spec RequestSpec) []ident.Trait {
	var traits []ident.Trait
	for _, p := range spec.SharedParts {
		traits = append(traits, ident.PartTrait(p))
	}
	return append(traits, ident.RequestTrait(ident.NewDigest(org, spec.Content)))
}

// crashNoticed records a crash that was noticed after the request had gone on.
func (r *Relay) crashNoticed(e CrashNoticed) {
	traits := newTraits(e.Organisation, e.Spec)
	r.log(Decision{
		Step: "server_crashed", RequestID: e.Spec.RequestID, Organisation: e.Organisation, Backend: e.From.ID,
		PromptParts: e.Spec.SharedParts, Digest: ident.NewDigest(e.Organisation, e.Spec.Content), Outcome: "after it had broken off the answer",
	})
	r.parts.Crashed(r.now, e.From.ID, traits)
}

// quarantined ends a request if a part of its prompt has been quarantined since it was
// admitted, and reports whether it did.
func (r *Relay) quarantined(q *request) bool {
	p := r.parts.Blocks(q.traits, q.probes)
	if p == "" {
		return false
	}
	r.fail(q, BadPart, r.spread(r.parts.Wait(r.now, p)))
	return true
}

// refuseQuarantined ends the queued requests whose parts have been quarantined.
func (r *Relay) refuseQuarantined() {
	if !r.parts.HasChanges() {
		return
	}
	for _, q := range r.requests {
		if q.phase == queued {
			r.quarantined(q)
		}
	}
}

// recordParts records what the end of a call says about the parts of the prompt.
func (r *Relay) recordParts(q *request, e CallEnded) {
	switch {
	case e.Crashed:
		q.serverLost = true
		q.crashes++
		r.logRequest(q, "server_crashed", "when it began the answer")
		r.parts.Crashed(r.now, q.target.ID, q.traits)
		r.parts.ProbeCrashed(r.now, q.probes)
		q.probes = nil
	case e.Outcome == Succeeded:
		r.parts.Completed(r.now, q.traits)
	}
}

// sendPartNotes sends new notes about parts to all hosts at once where heartbeats are too
// far apart. A whole heartbeat to all hosts of a large fleet would occupy the link.
func (r *Relay) sendPartNotes() {
	if !r.hasAggregators() || !r.parts.HasNews() || r.now.Sub(r.partNotesAt) < partNotesInterval {
		return
	}
	r.partNotesAt = r.now
	r.parts.MarkSent()
	r.sendToAll(Message{Parts: r.parts.Notes(r.now)})
}

// logPartChanges logs the changes of quarantined parts.
func (r *Relay) logPartChanges() {
	for _, c := range r.parts.Changes() {
		d := Decision{Step: "quarantine", Digest: c.Trait.Digest(), Outcome: c.Kind.String()}
		if d.Digest == "" {
			d.PromptParts = []ident.PromptPart{ident.PromptPart(c.Trait)}
		}
		if c.Kind == quarantine.Quarantined {
			d.Detail = serverList(c.Servers)
		}
		r.log(d)
	}
}

// serverList formats the servers that crashed under a part.
func serverList(servers []ident.BackendID) string {
	text := "crashed:"
	for _, s := range servers {
		text += " " + string(s)
	}
	return text
}
