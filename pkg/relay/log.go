package relay

import (
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Decision is a log line with a decision, its inputs and its outcome. Empty fields are
// omitted.
type Decision struct {
	Step         string
	RequestID    string
	Organisation ident.Organisation
	Route        ident.Route
	Backend      ident.BackendID
	Peer         ident.HostID
	Domain       ident.FailureDomain
	PromptParts  []ident.PromptPart // shared with other requests
	Digest       ident.Digest       // of a request that has lost a server
	Attempt      int
	Version      uint64        // of the configuration
	Age          time.Duration // of the configuration, or as the step defines
	Took         time.Duration // since the request arrived
	Outcome      string
	Detail       string // figures that explain the outcome

	Resumes       string        // request that began the stream that the request resumes
	ServerVersion ident.Version // of the software of backend servers
	Basis         string        // how ServerVersion is known
}

func (Decision) effect() {}

func (r *Relay) log(d Decision) { r.emit(d) }

// logRequest logs a decision about a request with the state on which it was based.
func (r *Relay) logRequest(q *request, step, outcome string) { r.log(r.decision(q, step, outcome)) }

// logStreamEnd logs the end of a decode with what was relayed. The framing tells whether
// the end of the body could be told from a broken connection.
func (r *Relay) logStreamEnd(q *request, e CallEnded, step, outcome string) {
	d := r.decision(q, step, outcome)
	if e.Framing != "" {
		d.Detail = fmt.Sprintf("%d events, framed by %s", e.Events, e.Framing)
	}
	r.log(d)
}

// decision returns a log line about a request.
func (r *Relay) decision(q *request, step, outcome string) Decision {
	d := Decision{
		Step:        step,
		RequestID:   q.spec.RequestID,
		Backend:     q.target.ID,
		PromptParts: q.spec.SharedParts,
		Attempt:     q.attempt,
		Age:         r.age(),
		Took:        r.now.Sub(q.arrived),
		Outcome:     outcome,
	}
	if q.serverLost {
		d.Digest = q.digest()
	}
	if r.snapshot != nil {
		d.Version = r.snapshot.Version
	}
	if q.route != nil {
		d.Route = q.route.Name
	}
	if q.org != nil {
		d.Organisation = q.org.Name
	}
	return d
}
