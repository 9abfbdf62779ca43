package confsync

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// source is the generation that a host reported to have in force.
type source struct {
	id      generationID
	heardAt time.Time
}

// fetch is the transfer in progress. At most one runs at a time.
type fetch struct {
	id          generationID
	from        ident.HostID
	tried       map[ident.HostID]bool
	fullOnly    bool // a delta did not give the expected digest
	base        []byte
	total       int
	data        []byte
	requestedAt time.Time
}

// recordSource stores the generation that a host has in force. Unknown hosts are
// ignored once there are maxSources.
func (s *Sync) recordSource(now time.Time, from ident.HostID, id generationID, res *Result) {
	if from == s.cfg.Self.Host || id.revision == 0 {
		return
	}
	if _, ok := s.sources[from]; !ok && len(s.sources) >= maxSources {
		return
	}
	s.peerHeard = true
	s.sources[from] = source{id: id, heardAt: now}
	s.checkConflict(id, from, res)
}

// startFetch starts a fetch if a peer has a higher revision than the one in force and
// the one being fetched. preferred is tried first if it has that generation.
func (s *Sync) startFetch(now time.Time, preferred ident.HostID, res *Result) {
	var best generationID
	for _, src := range s.sources {
		if s.wouldReplaceCurrent(src.id) && higher(src.id, best) {
			best = src.id
		}
	}
	if best.revision == 0 || s.fetch != nil && s.fetch.id.revision >= best.revision {
		return
	}
	s.fetch = &fetch{id: best, tried: map[ident.HostID]bool{}}
	if src, ok := s.sources[preferred]; ok && src.id == best {
		s.requestPart(now, preferred, res)
		return
	}
	s.requestFromNext(now, res)
}

// higher orders generations by revision, then by digest, so that the choice does not
// depend on map order.
func higher(a, b generationID) bool {
	if a.revision != b.revision {
		return a.revision > b.revision
	}
	return bytes.Compare(a.digest[:], b.digest[:]) > 0
}

// requestFromNext asks a random untried source for the rest of a transfer. When all
// have been tried, all are tried again, as messages may have been lost.
func (s *Sync) requestFromNext(now time.Time, res *Result) {
	f := s.fetch
	var all, untried []ident.HostID
	for h, src := range s.sources {
		if src.id != f.id {
			continue
		}
		all = append(all, h)
		if !f.tried[h] {
			untried = append(untried, h)
		}
	}
	if len(all) == 0 {
		s.fetch = nil
		return
	}
	if len(untried) == 0 {
		clear(f.tried)
		untried = all
	}
	slices.SortFunc(untried, cmp.Compare[ident.HostID])
	s.requestPart(now, untried[s.rng.IntN(len(untried))], res)
}

// requestPart asks a host for the next part, as a delta if possible.
func (s *Sync) requestPart(now time.Time, from ident.HostID, res *Result) {
	f := s.fetch
	f.from, f.requestedAt = from, now
	f.tried[from] = true
	m := &Fetch{Revision: f.id.revision, Digest: f.id.digest[:], Offset: len(f.data)}
	if s.hasCurrent && !f.fullOnly {
		m.Base = s.current.Digest[:]
	}
	res.Envelopes = append(res.Envelopes, Envelope{To: from, Message: Message{Fetch: m}})
}

// tickFetch starts a fetch if none is running, and asks another source when a part
// has not arrived within FetchTimeout.
func (s *Sync) tickFetch(now time.Time, res *Result) {
	if s.fetch == nil {
		s.startFetch(now, "", res)
		return
	}
	if now.Sub(s.fetch.requestedAt) >= s.cfg.FetchTimeout {
		s.requestFromNext(now, res)
	}
}

// receivePart adds a part to the transfer. A sender that has a higher revision by now
// sends that one instead, which then replaces the fetch.
func (s *Sync) receivePart(now time.Time, from ident.HostID, p *GenerationPart, res *Result) {
	id := generationID{revision: p.Revision}
	if s.fetch == nil || len(p.Digest) != len(id.digest) || p.Total > s.cfg.MaxBytes {
		return
	}
	copy(id.digest[:], p.Digest)
	if id != s.fetch.id {
		s.switchGeneration(now, from, id, res)
		return
	}
	f := s.fetch
	if p.Offset == 0 && len(f.data) == 0 {
		f.base, f.total = p.Base, p.Total
	}
	fits := p.Offset == len(f.data) && p.Total == f.total && bytes.Equal(p.Base, f.base)
	if !fits {
		s.restartTransfer(now, from, p, res)
		return
	}
	f.data = append(f.data, p.Data...)
	if len(f.data) < f.total && len(p.Data) > 0 {
		s.requestPart(now, from, res)
		return
	}
	s.completeFetch(now, from, res)
}

// switchGeneration starts a fetch of the higher revision that a source sent instead
// of the requested one.
func (s *Sync) switchGeneration(now time.Time, from ident.HostID, id generationID, res *Result) {
	if !s.wouldReplaceCurrent(id) || id.revision <= s.fetch.id.revision {
		return
	}
	s.recordSource(now, from, id, res)
	s.startFetch(now, from, res)
}

// restartTransfer drops the collected parts when the sender's part does not continue
// them, because it serves the full text where another source served a delta, or the
// reverse. A duplicate of an earlier part is ignored.
func (s *Sync) restartTransfer(now time.Time, from ident.HostID, p *GenerationPart, res *Result) {
	f := s.fetch
	if from != f.from || p.Total == f.total && bytes.Equal(p.Base, f.base) {
		return
	}
	f.data, f.base, f.total = nil, nil, 0
	s.requestPart(now, from, res)
}

// completeFetch applies a complete transfer. If a delta does not give the expected
// digest, the full text is fetched instead. A source whose full text is not accepted
// is dropped.
func (s *Sync) completeFetch(now time.Time, from ident.HostID, res *Result) {
	f := s.fetch
	text := f.data
	if len(f.base) > 0 {
		text = nil
		if s.hasCurrent && bytes.Equal(f.base, s.current.Digest[:]) {
			text, _ = applyDelta(s.current.Text, f.data, s.cfg.MaxBytes)
		}
	}
	g := Generation{Revision: f.id.revision, Digest: f.id.digest, Text: text}
	if len(f.base) > 0 && NewGeneration(g.Revision, text).Digest != g.Digest {
		f.data, f.base, f.total, f.fullOnly = nil, nil, 0, true
		s.requestPart(now, from, res)
		return
	}
	s.fetch = nil
	if !s.applyGeneration(g, from, res) {
		delete(s.sources, from)
	}
	s.startFetch(now, "", res)
}
