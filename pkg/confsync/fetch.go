package confsync

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// source is what a host said it has in force.
type source struct {
	id generationID
	at time.Time
}

// fetch is the transfer in progress. At most one runs at a time.
type fetch struct {
	id      generationID
	from    ident.HostID
	tried   map[ident.HostID]bool
	noDelta bool // a delta did not lead to the digest
	base    []byte
	total   int
	data    []byte
	askedAt time.Time
}

// note remembers what a host has.
func (s *Sync) note(now time.Time, from ident.HostID, id generationID, res *Result) {
	if from == s.cfg.Self.Host || id.revision == 0 {
		return
	}
	if _, ok := s.sources[from]; !ok && len(s.sources) >= maxSources {
		return
	}
	s.asked = true
	s.sources[from] = source{id: id, at: now}
	s.checkConflict(id, from, res)
}

// seek starts a fetch if a peer has a higher revision than the one in force and
// than the one being fetched. prefer is tried first if it has that revision.
func (s *Sync) seek(now time.Time, prefer ident.HostID, res *Result) {
	var best generationID
	for _, src := range s.sources {
		if s.wanted(src.id) && better(src.id, best) {
			best = src.id
		}
	}
	if best.revision == 0 || s.fetch != nil && s.fetch.id.revision >= best.revision {
		return
	}
	s.fetch = &fetch{id: best, tried: map[ident.HostID]bool{}}
	if src, ok := s.sources[prefer]; ok && src.id == best {
		s.ask(now, prefer, res)
		return
	}
	s.askNext(now, res)
}

// better orders generations by revision, then by digest so that the choice does
// not depend on map order.
func better(a, b generationID) bool {
	if a.revision != b.revision {
		return a.revision > b.revision
	}
	return bytes.Compare(a.digest[:], b.digest[:]) > 0
}

// askNext asks another source for the rest of a transfer. When all have been
// tried it begins again with all, as messages may have been lost.
func (s *Sync) askNext(now time.Time, res *Result) {
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
	s.ask(now, untried[s.rng.IntN(len(untried))], res)
}

// ask asks a host for the next part.
func (s *Sync) ask(now time.Time, from ident.HostID, res *Result) {
	f := s.fetch
	f.from, f.askedAt = from, now
	f.tried[from] = true
	m := &Fetch{Revision: f.id.revision, Digest: f.id.digest[:], Offset: len(f.data)}
	if s.have && !f.noDelta {
		m.Base = s.current.Digest[:]
	}
	res.Envelopes = append(res.Envelopes, Envelope{To: from, Message: Message{Fetch: m}})
}

// tickFetch asks elsewhere when a part has not come.
func (s *Sync) tickFetch(now time.Time, res *Result) {
	if s.fetch == nil {
		s.seek(now, "", res)
		return
	}
	if now.Sub(s.fetch.askedAt) >= s.cfg.FetchTimeout {
		s.askNext(now, res)
	}
}

// receivePart takes a part. A sender that has gone on to a higher revision sends
// that one, which then replaces the fetch.
func (s *Sync) receivePart(now time.Time, from ident.HostID, p *GenerationPart, res *Result) {
	id := generationID{revision: p.Revision}
	if s.fetch == nil || len(p.Digest) != len(id.digest) || p.Total > s.cfg.MaxBytes {
		return
	}
	copy(id.digest[:], p.Digest)
	if id != s.fetch.id {
		s.switchTo(now, from, id, res)
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
		s.ask(now, from, res)
		return
	}
	s.finish(now, from, res)
}

// switchTo follows a source that has a higher revision than it was asked for.
func (s *Sync) switchTo(now time.Time, from ident.HostID, id generationID, res *Result) {
	if !s.wanted(id) || id.revision <= s.fetch.id.revision {
		return
	}
	s.note(now, from, id, res)
	s.seek(now, from, res)
}

// restartTransfer drops collected parts when the sender does not continue them:
// it serves a full text where another one had served a delta, or the reverse. A
// duplicate of an earlier part changes nothing.
func (s *Sync) restartTransfer(now time.Time, from ident.HostID, p *GenerationPart, res *Result) {
	f := s.fetch
	if from != f.from || p.Total == f.total && bytes.Equal(p.Base, f.base) {
		return
	}
	f.data, f.base, f.total = nil, nil, 0
	s.ask(now, from, res)
}

// finish puts a complete transfer in force. A delta that does not lead to the
// digest is replaced by a full transfer; a full text that does not has a faulty
// source, which is dropped.
func (s *Sync) finish(now time.Time, from ident.HostID, res *Result) {
	f := s.fetch
	text := f.data
	if len(f.base) > 0 {
		text = nil
		if s.have && bytes.Equal(f.base, s.current.Digest[:]) {
			text, _ = applyDelta(s.current.Text, f.data, s.cfg.MaxBytes)
		}
	}
	g := Generation{Revision: f.id.revision, Digest: f.id.digest, Text: text}
	if len(f.base) > 0 && NewGeneration(g.Revision, text).Digest != g.Digest {
		f.data, f.base, f.total, f.noDelta = nil, nil, 0, true
		s.ask(now, from, res)
		return
	}
	s.fetch = nil
	if !s.offer(g, from, res) {
		delete(s.sources, from)
	}
	s.seek(now, "", res)
}
