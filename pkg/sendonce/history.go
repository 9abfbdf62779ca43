package sendonce

import (
	"errors"
	"hash/maphash"
	"slices"
)

// ErrUnrelated is returned when the peer sends a response that cannot be that to the call.
// What became of the call is unknown.
var ErrUnrelated = errors.New("response to no call of the connection")

// maxCallsPerConn bounds the memory for the IDs that a connection has carried.
const maxCallsPerConn = 256

// history is what a connection has carried. Peers answer the calls on a connection in
// order, but may send any of the responses a second time later. The history determines
// whether a response can be one of those.
type history struct {
	ids     []uint64 // hashes of the IDs of calls
	unnamed bool     // there was a call without an ID, which was the first
}

var idSeed = maphash.MakeSeed()

func (h *history) add(id string) {
	if id == "" {
		h.unnamed = true
		return
	}
	h.ids = append(h.ids, maphash.String(idSeed, id))
}

func (h *history) calls() int {
	if h.unnamed {
		return len(h.ids) + 1
	}
	return len(h.ids)
}

func (h *history) has(id string) bool {
	if id == "" {
		return h.unnamed
	}
	return slices.Contains(h.ids, maphash.String(idSeed, id))
}

// origin says which call a response belongs to.
type origin int

const (
	ofCall    origin = iota // the last call
	ofEarlier               // an earlier call, whose response came before
	ofNone                  // neither
)

// origin returns the origin of a response that repeats the ID echoed, if the last call had
// the given ID. A response without an ID is that to the last call only if the connection
// has carried no other.
func (h *history) origin(id, echoed string) origin {
	switch {
	case echoed == id, echoed == "" && h.calls() == 1:
		return ofCall
	case h.has(echoed):
		return ofEarlier
	}
	return ofNone
}
