package confsync

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Sync holds the generation in force on one host and obtains newer ones.
type Sync struct {
	cfg     Config
	rng     *rand.Rand
	started time.Time // of the process, or the end of its last pause

	current  Generation
	have     bool
	history  []Generation              // earlier generations, newest first
	deltas   []delta                   // computed deltas to current
	refused  remembered                // generations that do not validate
	reported map[AlarmKind]*remembered // generations of which an alarm was given

	peers   []Peer
	sources map[ident.HostID]source
	fetch   *fetch

	reader  reader
	isReady bool
	asked   bool // a peer has said what it has since started
}

// New returns a host without a generation.
func New(cfg Config, now time.Time) *Sync {
	return &Sync{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		started:  now,
		refused:  *newRemembered(),
		reported: map[AlarmKind]*remembered{},
		sources:  map[ident.HostID]source{},
		reader:   newReader(),
	}
}

// SetPeers takes the live hosts of the own domain and the delegates of others. A
// peer without a digest counts for Age only; Heard makes it a source.
func (s *Sync) SetPeers(now time.Time, peers []Peer) Result {
	var res Result
	s.peers = append(s.peers[:0], peers...)
	known := make(map[ident.HostID]bool, len(peers))
	for _, p := range peers {
		known[p.Host] = true
		if p.Digest != [32]byte{} {
			s.note(now, p.Host, generationID{p.Revision, p.Digest}, &res)
		}
	}
	for h, src := range s.sources {
		if !known[h] && now.Sub(src.at) > sourceExpiry {
			delete(s.sources, h)
		}
	}
	s.seek(now, "", &res)
	s.decideReady(now)
	return res
}

// Heard takes the revision and digest that a host has in force.
func (s *Sync) Heard(now time.Time, from ident.HostID, r ident.Revision, digest [32]byte) Result {
	var res Result
	s.note(now, from, generationID{r, digest}, &res)
	s.seek(now, from, &res)
	s.decideReady(now)
	return res
}

// Receive takes a message of a peer.
func (s *Sync) Receive(now time.Time, from ident.HostID, m Message) Result {
	var res Result
	switch {
	case m.Fetch != nil:
		s.serve(from, m.Fetch, &res)
	case m.Part != nil:
		s.receivePart(now, from, m.Part, &res)
	}
	s.decideReady(now)
	return res
}

// Tick starts reads that are due and repeats fetches without an answer.
func (s *Sync) Tick(now time.Time) Result {
	var res Result
	s.tickFetch(now, &res)
	s.tickReader(now, &res)
	s.decideReady(now)
	return res
}

// Resumed is called after a pause. The configuration may have changed meanwhile,
// so that the host asks again before it is ready. A read that was outstanding
// counts for nothing.
func (s *Sync) Resumed(now time.Time) Result {
	s.started = now
	s.isReady, s.asked = false, false
	s.fetch = nil
	clear(s.sources)
	s.peers = s.peers[:0]
	s.reader.resumed(now)
	return Result{}
}

// Current returns the generation in force.
func (s *Sync) Current() (Generation, bool) { return s.current, s.have }

// Ready reports whether a fresh host knows enough to serve.
func (s *Sync) Ready() bool { return s.isReady }

// decideReady makes a host ready with a generation in force once both the peers
// and the platform have answered, or one of them after FreshWait. It stays ready
// until a pause.
func (s *Sync) decideReady(now time.Time) {
	if s.isReady || !s.have {
		return
	}
	platform := s.reader.answered
	waited := now.Sub(s.started) >= s.cfg.FreshWait
	switch {
	case platform && s.asked && !s.behind():
		s.isReady = true
	case waited && (platform || s.asked):
		s.isReady = true
	}
}

// behind reports whether a peer has a higher revision that may be valid.
func (s *Sync) behind() bool {
	for _, src := range s.sources {
		if s.wanted(src.id) {
			return true
		}
	}
	return false
}

// wanted reports whether a generation would replace the one in force.
func (s *Sync) wanted(id generationID) bool {
	if id.revision == 0 || s.refused.has(id) {
		return false
	}
	return !s.have || id.revision > s.current.Revision
}

// offer takes a whole generation. from is empty for the platform. It reports
// whether the host is now at least at this revision.
func (s *Sync) offer(g Generation, from ident.HostID, res *Result) bool {
	id := g.id()
	if sha256.Sum256(g.Text) != g.Digest {
		s.alarm(AlarmCorrupt, id, from, "text does not have its digest", res)
		return false
	}
	if s.have && g.Revision <= s.current.Revision {
		return s.offerOld(id, from, res)
	}
	if s.refused.has(id) {
		return false
	}
	if err := s.cfg.Validate(g.Text); err != nil {
		s.refused.add(id)
		s.alarm(AlarmInvalid, id, from, err.Error(), res)
		return false
	}
	s.accept(g)
	res.Accepted = &g
	return true
}

// offerOld compares a generation with the one in force, which stays.
func (s *Sync) offerOld(id generationID, from ident.HostID, res *Result) bool {
	if id.revision < s.current.Revision {
		if from == "" {
			text := fmt.Sprintf("platform has revision %d, in force is %d; publish a higher revision", id.revision, s.current.Revision)
			s.alarm(AlarmLower, id, from, text, res)
		}
		return false
	}
	s.checkConflict(id, from, res)
	return true
}

// checkConflict reports another text under the revision in force.
func (s *Sync) checkConflict(id generationID, from ident.HostID, res *Result) {
	if !s.have || id.revision != s.current.Revision || id.digest == s.current.Digest {
		return
	}
	text := fmt.Sprintf("revision %d has two texts; publish the wanted one under a higher revision", id.revision)
	s.alarm(AlarmConflict, id, from, text, res)
}

func (s *Sync) accept(g Generation) {
	if s.have {
		s.remember(s.current)
	}
	s.current, s.have = g, true
	s.deltas = s.deltas[:0]
	if s.fetch != nil && s.fetch.id.revision <= g.Revision {
		s.fetch = nil
	}
}

// remember keeps an earlier generation, within the bounds, to serve deltas.
func (s *Sync) remember(g Generation) {
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

func (s *Sync) alarm(kind AlarmKind, id generationID, from ident.HostID, text string, res *Result) {
	seen := s.reported[kind]
	if seen == nil {
		seen = newRemembered()
		s.reported[kind] = seen
	}
	if seen.has(id) {
		return
	}
	seen.add(id)
	res.Alarms = append(res.Alarms, Alarm{Kind: kind, Revision: id.revision, Digest: id.digest, From: from, Text: text})
}

// remembered is a bounded set of generations; the oldest entry makes room.
type remembered struct {
	set   map[generationID]bool
	order []generationID
}

func newRemembered() *remembered {
	return &remembered{set: map[generationID]bool{}}
}

func (r *remembered) has(id generationID) bool { return r.set[id] }

func (r *remembered) add(id generationID) {
	if r.set[id] {
		return
	}
	if len(r.order) == maxRemembered {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
	r.set[id] = true
	r.order = append(r.order, id)
}
