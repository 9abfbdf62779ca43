package confsync

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Sync holds the generation in force on one host and obtains newer ones from the
// platform and from peers.
type Sync struct {
	cfg     Config
	rng     *rand.Rand
	started time.Time // start of the process or end of its last pause

	current    Generation
	hasCurrent bool
	history    []Generation                 // earlier generations, newest first
	deltas     []delta                      // cached deltas to current
	rejected   generationSet                // generations that failed validation
	reported   map[AlarmKind]*generationSet // generations already reported, by kind

	peers   []Peer
	sources map[ident.HostID]source
	fetch   *fetch

	reader    reader
	isReady   bool
	peerHeard bool // a peer has reported its generation since started
}

// New returns a Sync without a generation.
func New(cfg Config, now time.Time) *Sync {
	return &Sync{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		started:  now,
		rejected: *newGenerationSet(),
		reported: map[AlarmKind]*generationSet{},
		sources:  map[ident.HostID]source{},
		reader:   newReader(),
	}
}

// SetPeers sets the live hosts of this host's domain and the delegates of others. A
// peer without a digest counts for Age only, until PeerReported makes it a source.
func (s *Sync) SetPeers(now time.Time, peers []Peer) Result {
	var res Result
	s.peers = append(s.peers[:0], peers...)
	known := make(map[ident.HostID]bool, len(peers))
	for _, p := range peers {
		known[p.Host] = true
		if p.Digest != [32]byte{} {
			s.recordSource(now, p.Host, generationID{p.Revision, p.Digest}, &res)
		}
	}
	for h, src := range s.sources {
		if !known[h] && now.Sub(src.heardAt) > sourceExpiry {
			delete(s.sources, h)
		}
	}
	s.startFetch(now, "", &res)
	s.updateReady(now)
	return res
}

// PeerReported records the revision and digest that a host has in force.
func (s *Sync) PeerReported(now time.Time, from ident.HostID, r ident.Revision, digest [32]byte) Result {
	var res Result
	s.recordSource(now, from, generationID{r, digest}, &res)
	s.startFetch(now, from, &res)
	s.updateReady(now)
	return res
}

// Receive handles a message from a peer.
func (s *Sync) Receive(now time.Time, from ident.HostID, m Message) Result {
	var res Result
	switch {
	case m.Fetch != nil:
		s.serve(from, m.Fetch, &res)
	case m.Part != nil:
		s.receivePart(now, from, m.Part, &res)
	}
	s.updateReady(now)
	return res
}

// Tick starts reads that are due and retries fetches without an answer.
func (s *Sync) Tick(now time.Time) Result {
	var res Result
	s.tickFetch(now, &res)
	s.tickReader(now, &res)
	s.updateReady(now)
	return res
}

// Resumed is called after a pause of the process. The configuration may have changed
// meanwhile, so the host asks peers and platform again before it is ready. The outcome
// of an outstanding read is discarded.
func (s *Sync) Resumed(now time.Time) Result {
	s.started = now
	s.isReady, s.peerHeard = false, false
	s.fetch = nil
	clear(s.sources)
	s.peers = s.peers[:0]
	s.reader.resumed(now)
	return Result{}
}

// Current returns the generation in force.
func (s *Sync) Current() (Generation, bool) { return s.current, s.hasCurrent }

// Ready reports whether a started or resumed host knows enough to serve.
func (s *Sync) Ready() bool { return s.isReady }

// updateReady makes a host with a generation in force ready once a peer and the
// platform have both answered and no peer is ahead, or once one of them has answered
// and StartupWait is over. The host stays ready until a pause.
func (s *Sync) updateReady(now time.Time) {
	if s.isReady || !s.hasCurrent {
		return
	}
	platform := s.reader.answered
	waited := now.Sub(s.started) >= s.cfg.StartupWait
	switch {
	case platform && s.peerHeard && !s.peerAhead():
		s.isReady = true
	case waited && (platform || s.peerHeard):
		s.isReady = true
	}
}

// peerAhead reports whether a peer has a higher revision that has not been rejected.
func (s *Sync) peerAhead() bool {
	for _, src := range s.sources {
		if s.wouldReplaceCurrent(src.id) {
			return true
		}
	}
	return false
}

// wouldReplaceCurrent reports whether a generation would replace the one in force if
// it validates.
func (s *Sync) wouldReplaceCurrent(id generationID) bool {
	if id.revision == 0 || s.rejected.has(id) {
		return false
	}
	return !s.hasCurrent || id.revision > s.current.Revision
}

// applyGeneration puts a complete generation in force if it is valid and newer. from is
// empty for the platform. It returns true if this revision is now in force, also if it
// was before.
func (s *Sync) applyGeneration(g Generation, from ident.HostID, res *Result) bool {
	id := g.id()
	if sha256.Sum256(g.Text) != g.Digest {
		s.raiseAlarm(AlarmCorrupt, id, from, "text does not match its SHA-256 digest", res)
		return false
	}
	if s.hasCurrent && g.Revision <= s.current.Revision {
		return s.compareWithCurrent(id, from, res)
	}
	if s.rejected.has(id) {
		return false
	}
	if err := s.cfg.Validate(g.Text); err != nil {
		s.rejected.add(id)
		s.raiseAlarm(AlarmInvalid, id, from, err.Error(), res)
		return false
	}
	s.putInForce(g)
	res.Accepted = &g
	return true
}

// compareWithCurrent checks a generation that is not newer than the one in force and
// reports whether both have the same revision.
func (s *Sync) compareWithCurrent(id generationID, from ident.HostID, res *Result) bool {
	if id.revision < s.current.Revision {
		if from == "" {
			text := fmt.Sprintf("platform has revision %d, but revision %d is in force; publish a higher revision", id.revision, s.current.Revision)
			s.raiseAlarm(AlarmLower, id, from, text, res)
		}
		return false
	}
	s.checkConflict(id, from, res)
	return true
}

// checkConflict raises an alarm if a generation has the revision in force but another
// digest.
func (s *Sync) checkConflict(id generationID, from ident.HostID, res *Result) {
	if !s.hasCurrent || id.revision != s.current.Revision || id.digest == s.current.Digest {
		return
	}
	text := fmt.Sprintf("revision %d exists with two different texts; publish the intended one under a higher revision", id.revision)
	s.raiseAlarm(AlarmConflict, id, from, text, res)
}

func (s *Sync) putInForce(g Generation) {
	if s.hasCurrent {
		s.addToHistory(s.current)
	}
	s.current, s.hasCurrent = g, true
	s.deltas = s.deltas[:0]
	if s.fetch != nil && s.fetch.id.revision <= g.Revision {
		s.fetch = nil
	}
}

// addToHistory keeps an earlier generation for deltas, within maxHistory and
// HistoryBytes.
func (s *Sync) addToHistory(g Generation) {
	kept := []Generation{g}
	size := len(g.Text)
	for _, old := range s.history {
		size += len(old.Text)
		if size > s.cfg.HistoryBytes || len(kept) == maxHistory {
			break
		}
		kept = append(kept, old)
	}
	s.history = kept
}

func (s *Sync) raiseAlarm(kind AlarmKind, id generationID, from ident.HostID, text string, res *Result) {
	seen := s.reported[kind]
	if seen == nil {
		seen = newGenerationSet()
		s.reported[kind] = seen
	}
	if seen.has(id) {
		return
	}
	seen.add(id)
	res.Alarms = append(res.Alarms, Alarm{Kind: kind, Revision: id.revision, Digest: id.digest, From: from, Text: text})
}

// generationSet is a bounded set of generations. When it is full, the oldest entry is
// removed.
type generationSet struct {
	set   map[generationID]bool
	order []generationID
}

func newGenerationSet() *generationSet {
	return &generationSet{set: map[generationID]bool{}}
}

func (s *generationSet) has(id generationID) bool { return s.set[id] }

func (s *generationSet) add(id generationID) {
	if s.set[id] {
		return
	}
	if len(s.order) == maxGenerationSet {
		delete(s.set, s.order[0])
		s.order = s.order[1:]
	}
	s.set[id] = true
	s.order = append(s.order, id)
}
