package relay

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

// speedNote is the body of a note of kind notes.Speed, whose key is KIND/ID of a server.
type speedNote struct {
	_         struct{} `cbor:",toarray"`
	StartedAt int64    // of the process, see backends.Entry
	Milli     int64    // time compared with the typical one, in thousandths
	Count     int      // measurements
}

const (
	// minTimedEvents is the number of events below which the time of a stream says little of
	// the time of an event.
	minTimedEvents = 8
	// speedReportInterval is the least time between two notes of speeds of this host.
	speedReportInterval = time.Second
	// surelyUsedOutput is the part of its expected output that a stream almost always has.
	// Expected lengths are often far off, and a request that an engine would have completed must
	// not be refused.
	surelyUsedOutput = 0.25
)

// recordStreamSpeed records the time of an event of a stream. One that was cut at its deadline
// counts too, or slow engines would seem as fast as their short streams.
func (r *Relay) recordStreamSpeed(q *request, e CallEnded) {
	if q.firstEventAt.IsZero() || e.Events < minTimedEvents {
		return
	}
	perEvent := r.now.Sub(q.firstEventAt).Seconds() / float64(e.Events-1)
	r.backends.Speeds().Record(r.now, q.target.Process(), tokenClass(q.service.Name), perEvent)
}

func tokenClass(service ident.Route) serverspeed.Class {
	return serverspeed.Class{Kind: serverspeed.Token, Name: service}
}

// recordPrefillSpeed records the time of a prompt token.
func (r *Relay) recordPrefillSpeed(q *request, took time.Duration) {
	if q.prefillBacklog > 0 {
		c := serverspeed.Class{Kind: serverspeed.Prefill, Name: q.service.Name}
		r.backends.Speeds().Record(r.now, q.prefillTarget.Process(), c, took.Seconds()/float64(q.prefillBacklog))
	}
}

// recordCallSpeed records the time of a plain call, without that of the requests before it.
func (r *Relay) recordCallSpeed(q *request, e CallEnded) {
	if e.Outcome == Succeeded {
		c := serverspeed.Class{Kind: serverspeed.Call, Name: q.route.Name}
		r.backends.Speeds().Record(r.now, q.target.Process(), c, e.Took.Seconds()/q.callsPerSlot)
	}
}

// callsPerSlot returns the requests at a plain server for each of its slots, at least 1.
func (r *Relay) callsPerSlot(id ident.BackendID) float64 {
	e, _ := r.backends.Entry(id)
	return max(1, float64(r.backends.Load(id).Requests)/float64(max(1, e.Slots)))
}

// expectedStreamTime returns the time that a typical engine needs for a number of tokens, or 0
// if it is not known.
func (r *Relay) expectedStreamTime(q *request, tokens float64) time.Duration {
	perEvent, known := r.backends.Speeds().Typical(tokenClass(q.service.Name))
	if !known {
		return 0
	}
	return time.Duration(tokens / float64(max(1, q.service.Engine.TokensPerEvent)) * perEvent * float64(time.Second))
}

// hopeless reports whether no engine can complete a request before its deadline.
func (r *Relay) hopeless(q *request) bool {
	least := r.expectedStreamTime(q, q.expectedOutput*surelyUsedOutput)
	if least <= q.deadline.Sub(r.now) {
		return false
	}
	fastest, supported := r.backends.FastestDecode(r.now, backends.Query{Service: q.service.Name})
	return supported && time.Duration(float64(least)*fastest) > q.deadline.Sub(r.now)
}

// reportSpeeds puts a note with what this host has measured, and logs what it has learned.
func (r *Relay) reportSpeeds() {
	t := r.backends.Speeds()
	for _, c := range t.Changes() {
		outcome := "differs from the typical server"
		if c.Factor == 1 {
			outcome = "is typical again"
		}
		r.log(Decision{Step: "speed", Backend: c.Process.ID, Outcome: outcome, Detail: fmt.Sprintf("kind %d takes %.2f times as long", c.Kind, c.Factor)})
	}
	if r.now.Sub(r.speedsReportedAt) < max(speedReportInterval, r.roster.Interval()) {
		return
	}
	r.speedsReportedAt = r.now
	t.Tick(r.now)
	if rep, ok := t.Report(r.now); ok {
		r.putNote(notes.Speed, fmt.Sprintf("%d/%s", rep.Kind, rep.Process.ID), speedNote{
			StartedAt: rep.Process.StartedAt, Milli: int64(math.Round(rep.Factor * 1000)), Count: rep.Count,
		})
	}
}

// applySpeed applies what another host has measured of a process that is listed.
func (r *Relay) applySpeed(n notes.Received) {
	var body speedNote
	kind, id, _ := strings.Cut(n.Key, "/")
	k, err := strconv.ParseUint(kind, 10, 8)
	if err == nil {
		err = n.Decode(&body)
	}
	if err != nil {
		r.log(Decision{Step: "note", Peer: n.From, Outcome: err.Error()})
		return
	}
	p := serverlimit.Process{ID: ident.BackendID(id), StartedAt: body.StartedAt}
	if !r.backends.HasProcess(p) {
		return
	}
	rep := serverspeed.Report{Process: p, Kind: serverspeed.Kind(k), Factor: float64(body.Milli) / 1000, Count: body.Count}
	if !r.backends.Speeds().Apply(r.now, n.At, rep) {
		r.log(Decision{Step: "note", Peer: n.From, Backend: p.ID, Outcome: "speed out of range ignored"})
	}
}
