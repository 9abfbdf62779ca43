package confsync

import (
	"bytes"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// delta is a computed delta from an earlier generation to the one in force.
type delta struct {
	base [32]byte
	data []byte // nil when a full transfer is no larger
}

// serve answers a fetch with the part at the requested offset. If this host has a
// higher revision in force than the requested one, it sends that one from the start.
func (s *Sync) serve(from ident.HostID, f *Fetch, res *Result) {
	if !s.hasCurrent || f.Offset < 0 || f.Revision > s.current.Revision {
		return
	}
	offset := f.Offset
	if f.Revision != s.current.Revision || !bytes.Equal(f.Digest, s.current.Digest[:]) {
		offset = 0
	}
	p := &GenerationPart{Revision: s.current.Revision, Digest: s.current.Digest[:]}
	data := s.current.Text
	if d := s.deltaFrom(f.Base); d != nil {
		data, p.Base = d, f.Base
	}
	if offset > len(data) {
		offset = 0
	}
	p.Offset, p.Total = offset, len(data)
	p.Data = data[offset:min(offset+s.cfg.PartSize, len(data))]
	res.Envelopes = append(res.Envelopes, Envelope{To: from, Message: Message{Part: p}})
}

// deltaFrom returns the delta from an earlier text, or nil if that text is not in the
// history or a full transfer is no larger. Deltas are cached, as several peers ask for
// the same one after a change.
func (s *Sync) deltaFrom(base []byte) []byte {
	for _, d := range s.deltas {
		if bytes.Equal(base, d.base[:]) {
			return d.data
		}
	}
	for _, g := range s.history {
		if !bytes.Equal(base, g.Digest[:]) {
			continue
		}
		d := delta{base: g.Digest, data: makeDelta(g.Text, s.current.Text)}
		if len(d.data) >= len(s.current.Text) {
			d.data = nil
		}
		s.deltas = append(s.deltas, d)
		if len(s.deltas) > maxDeltas {
			s.deltas = s.deltas[1:]
		}
		return d.data
	}
	return nil
}
