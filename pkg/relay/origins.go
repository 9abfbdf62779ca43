package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

const (
	// streamLifeMargin allows for the time between a caller's request and its arrival here.
	streamLifeMargin = time.Second
	// historyTimeout bounds the time that a resumed stream waits for the history of the list.
	historyTimeout = 700 * time.Millisecond
	// retryAfterGone is the Retry-After of streams of whose version no server is listed.
	// Entries that expired during an outage of the platform are back two seconds after it.
	retryAfterGone = 2 * time.Second
	// historyRetryInterval is the minimum time between two reads of the history.
	historyRetryInterval = 2 * time.Second
	// originPeersPerHeartbeat is how often the tracker of origins gets the live hosts, per
	// heartbeat interval.
	originPeersPerHeartbeat = 4
)

// FirstEvent reports that the first event of a stream that began here has arrived. It is
// relayed after RelayStream.
type FirstEvent struct {
	ID      ID
	Attempt int
}

// RelayStream lets the first event of a stream be relayed.
type RelayStream struct {
	ID      ID
	Attempt int
}

// ReadHistory asks for a read of the past of the list of backend servers, see HistoryRead.
type ReadHistory struct{}

// HistoryRead reports the result of ReadHistory.
type HistoryRead struct {
	Reach   time.Duration    // how far back the history is complete
	Servers []origin.Serving // all decode engines that were listed at any time within Reach
	Err     error
}

func (FirstEvent) event()   {}
func (HistoryRead) event()  {}
func (RelayStream) effect() {}
func (ReadHistory) effect() {}

// resumption holds what waits for the origins of streams.
type resumption struct {
	keepers         map[ident.HostID]bool // hosts whose program keeps origins
	peersAt         time.Time             // last call of updateOriginPeers
	resolving       map[origin.Stream][]*request
	recording       map[origin.Stream][]*request
	awaitingHistory map[ID]*request
	historyReadAt   time.Time // of the last ReadHistory
	readingHistory  bool
	sender          roster.Host // of the message being handled
}

func newResumption() resumption {
	return resumption{
		keepers:         map[ident.HostID]bool{},
		resolving:       map[origin.Stream][]*request{},
		recording:       map[origin.Stream][]*request{},
		awaitingHistory: map[ID]*request{},
	}
}

// pin lets a request run only at servers of a version from now on.
func (q *request) pin(v ident.Version) { q.pinned, q.version = true, v }

// firstRequest returns the ID of the caller's request that began the stream; empty if a
// request that resumes a stream does not name it.
func (s RequestSpec) firstRequest() string {
	if s.Resumes {
		return s.ResumesRequest
	}
	return s.RequestID
}

// stream names the stream of a request.
func (q *request) stream() origin.Stream {
	s := origin.Stream{RequestID: q.spec.firstRequest(), Service: q.service.Name}
	if s.RequestID == "" {
		s.Unnamed = uint64(q.id)
	}
	return s
}

// resolveOrigin finds out the version of a stream that a caller resumes.
func (r *Relay) resolveOrigin(q *request) {
	o, pending := r.origins.Resolve(r.now, q.stream())
	if (pending || !o.Known()) && r.origins.NeedsHistory(r.now, q.service.Name) {
		r.readHistory()
	}
	if pending {
		q.phase = resolving
		r.resumption.resolving[q.stream()] = append(r.resumption.resolving[q.stream()], q)
		return
	}
	r.originResolved(q, o)
}

// originResolved goes on with a request whose origin has been looked for.
func (r *Relay) originResolved(q *request, o origin.Origin) {
	switch {
	case !o.Known() && r.resumption.readingHistory && q.historyDeadline.IsZero():
		q.phase, q.historyDeadline = resolving, r.now.Add(historyTimeout)
		r.resumption.awaitingHistory[q.id] = q
		return
	case !o.Known():
		r.logOrigin(q, "resume_refused", o, "no host knows the version that began the stream")
		r.fail(q, OriginUnknown, r.originRetryAfter())
		return
	}
	q.pin(o.Version)
	if r.versionGone(q) {
		r.logOrigin(q, "resume_refused", o, "no server of the version is listed")
		r.failGone(q)
		return
	}
	r.logOrigin(q, "resume", o, "pinned to the version")
	q.queueDeadline = r.now.Add(r.queueTimeout(q))
	r.enqueue(q)
}

// originRetryAfter returns the Retry-After of a stream of unknown origin: none unless this
// host may soon know more, since a stream that cannot be resumed has to be begun anew.
func (r *Relay) originRetryAfter() time.Duration {
	if r.resumption.readingHistory || !r.roster.Converged(r.now) {
		return retryAfterStartup
	}
	return 0
}

// versionGone reports whether a request is pinned to a version of which no server is left.
func (r *Relay) versionGone(q *request) bool {
	return q.pinned && !r.backends.ListedVersion(q.service.Name, backends.Decode, q.version, nil)
}

// failGone ends a request of whose version no server is left.
func (r *Relay) failGone(q *request) { r.fail(q, VersionGone, r.spread(retryAfterGone)) }

// basisNames are the names of origin.Basis in log lines.
var basisNames = [...]string{"unknown", "relayed", "told", "only version"}

// logOrigin logs what becomes of a stream that a caller resumes, and why.
func (r *Relay) logOrigin(q *request, step string, o origin.Origin, outcome string) {
	d := r.decision(q, step, outcome)
	d.Backend, d.Peer, d.Age = o.Process.ID, o.From, o.Age
	d.Resumes, d.ServerVersion, d.Basis = q.spec.ResumesRequest, o.Version, basisNames[o.Basis]
	r.log(d)
}

// setStreamLife adapts how long origins are kept to the routes: callers do not resume a
// stream for longer than the time limit of its route.
func (r *Relay) setStreamLife() {
	r.snapshot.Routes(func(route *catalog.Route) {
		if route.Kind != catalog.Stream || !route.Resumable {
			return
		}
		limit := route.Timeout
		if limit <= 0 {
			limit = maxRequestTime
		}
		r.origins.SetLife(limit + streamLifeMargin)
	})
}

// firstEvent records the origin of a stream before its first event is relayed, unless
// callers cannot resume it.
func (r *Relay) firstEvent(e FirstEvent) {
	q := r.lookup(e.ID, e.Attempt, decoding)
	if q == nil {
		return
	}
	s := q.stream()
	if q.spec.Resumes || !q.route.Resumable || r.origins.Begin(r.now, s, q.target.Process(), q.target.Version) {
		r.emit(RelayStream(e))
		return
	}
	r.resumption.recording[s] = append(r.resumption.recording[s], q)
}

// eventRelayed pins a stream to the version of the process that sent its first event.
func (r *Relay) eventRelayed(q *request) {
	q.beganBy, q.beganAt = q.target.Process(), r.now
	if !q.pinned {
		q.pin(q.target.Version)
	}
}

// originCertain reports whether the first event that was relayed for a request comes from
// the version that it is pinned to.
func (r *Relay) originCertain(q *request) bool {
	return q.beganBy == serverlimit.Process{} || r.origins.Certain(q.service.Name, q.beganBy, q.version, q.beganAt)
}

// applyOrigins executes the outputs of the tracker of origins.
func (r *Relay) applyOrigins() {
	for {
		out := r.origins.Take()
		if len(out.Messages)+len(out.Recorded)+len(out.Resolved) == 0 {
			return
		}
		for _, m := range out.Messages {
			r.sendOrigins(m)
		}
		for _, s := range out.Recorded {
			waiting := r.resumption.recording[s]
			delete(r.resumption.recording, s)
			for _, q := range waiting {
				r.emit(RelayStream{ID: q.id, Attempt: q.attempt})
			}
		}
		for _, res := range out.Resolved {
			waiting := r.resumption.resolving[res.Stream]
			delete(r.resumption.resolving, res.Stream)
			for _, q := range waiting {
				r.originResolved(q, res.Origin)
			}
		}
	}
}

// sendOrigins sends a message of the tracker of origins. A host that has just started may
// be known only as the sender of the message that is answered.
func (r *Relay) sendOrigins(o origin.Outgoing) {
	addr := r.roster.Addr(o.To)
	if addr == "" && o.To == r.resumption.sender.ID {
		addr = r.resumption.sender.Addr
	}
	if addr != "" {
		r.emit(Send{To: []string{addr}, Message: Message{Heartbeat: roster.Heartbeat{From: r.cfg.Roster.Self}, Origins: &o.Message}})
	}
}

// applyOriginMessage applies what a message says of the origins of streams.
func (r *Relay) applyOriginMessage(m Message) {
	if m.Origins != nil {
		r.resumption.sender = m.Heartbeat.From
		r.origins.Receive(r.now, m.Heartbeat.From.ID, *m.Origins)
	}
}

// setKeeper records whether the program of another host keeps origins.
func (r *Relay) setKeeper(id ident.HostID, keeps bool) {
	if r.resumption.keepers[id] == keeps {
		return
	}
	if keeps {
		r.resumption.keepers[id] = true
	} else {
		delete(r.resumption.keepers, id)
	}
	r.resumption.peersAt = time.Time{}
	r.updateOriginPeers()
}

// updateOriginPeers passes the live hosts to the tracker of origins.
func (r *Relay) updateOriginPeers() {
	if r.now.Sub(r.resumption.peersAt) < r.roster.Interval()/originPeersPerHeartbeat {
		return
	}
	r.resumption.peersAt = r.now
	var peers []origin.Peer
	for _, h := range r.roster.Alive(r.now) {
		if r.resumption.keepers[h.ID] {
			peers = append(peers, origin.Peer{ID: h.ID, Domain: h.Domain})
		}
	}
	r.origins.SetPeers(r.now, peers)
}

// serving returns an engine as the tracker of origins sees it.
func serving(e backends.Entry) origin.Serving {
	return origin.Serving{Service: e.Service, Process: serverlimit.Process{ID: e.ID, StartedAt: e.StartedAt}, Version: e.Version}
}

// trackVersion passes an entry to the tracker of origins. Only decode engines begin streams.
func (r *Relay) trackVersion(e backends.Entry) {
	if e.Stage != backends.Decode {
		r.origins.Removed(r.now, e.ID)
		return
	}
	r.origins.Changed(r.now, serving(e))
}

// trackVersions passes the complete list to the tracker of origins.
func (r *Relay) trackVersions(entries []backends.Entry) {
	var all []origin.Serving
	for _, e := range entries {
		if e.Stage == backends.Decode {
			all = append(all, serving(e))
		}
	}
	r.origins.Listed(r.now, all)
}

// readHistory asks for the history of the list unless it has just been read.
func (r *Relay) readHistory() {
	s := &r.resumption
	if s.readingHistory || !s.historyReadAt.IsZero() && r.now.Sub(s.historyReadAt) < historyRetryInterval {
		return
	}
	s.readingHistory, s.historyReadAt = true, r.now
	r.emit(ReadHistory{})
}

// historyRead applies a history of the list and goes on with the requests that wait for it.
func (r *Relay) historyRead(e HistoryRead) {
	r.resumption.readingHistory = false
	d := Decision{Step: "history", Age: e.Reach, Outcome: "read"}
	if e.Err != nil {
		d.Outcome = e.Err.Error()
	} else {
		r.origins.Past(r.now, e.Reach, e.Servers)
	}
	r.log(d)
	r.endHistoryWaits(func(*request) bool { return true })
}

// endHistoryWaits looks again for the origins of requests that wait for the history.
func (r *Relay) endHistoryWaits(ends func(*request) bool) {
	var ended []*request
	for _, q := range r.resumption.awaitingHistory {
		if ends(q) {
			ended = append(ended, q)
		}
	}
	for _, q := range ended {
		delete(r.resumption.awaitingHistory, q.id)
		r.resolveOrigin(q)
	}
}

// tickOrigins ends the waits that have timed out.
func (r *Relay) tickOrigins() {
	r.updateOriginPeers()
	r.origins.Tick(r.now)
	r.endHistoryWaits(func(q *request) bool { return !r.now.Before(q.historyDeadline) })
}

// nextOrigins returns the earlier of next and when tickOrigins is due.
func (r *Relay) nextOrigins(next time.Time) time.Time {
	if due := r.origins.Next(); !due.IsZero() {
		next = earlier(next, due)
	}
	for _, q := range r.resumption.awaitingHistory {
		next = earlier(next, q.historyDeadline)
	}
	return next
}

// forgetOrigin removes an ended request from what waits for origins.
func (r *Relay) forgetOrigin(q *request) {
	delete(r.resumption.awaitingHistory, q.id)
	for _, waiting := range []map[origin.Stream][]*request{r.resumption.resolving, r.resumption.recording} {
		s := q.stream()
		for i, other := range waiting[s] {
			if other == q {
				rest := append(waiting[s][:i:i], waiting[s][i+1:]...)
				if waiting[s] = rest; len(rest) == 0 {
					delete(waiting, s)
				}
				break
			}
		}
	}
}
