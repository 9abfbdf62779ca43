package reclaim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Claim names an attempt within a process. It is short, because an owner asks
// about hundreds of them a second.
type Claim struct {
	_       struct{}      `cbor:",toarray"`
	Number  uint64        // of the request
	Attempt ident.Attempt // of the request
}

// Query asks a process which attempts it still owns.
type Query struct {
	ID      uint64        `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"`
	Claims  []Claim       `cbor:"3,keyasint"`
}

// Reply answers a Query. Claims that it does not name are renewed.
type Reply struct {
	ID      uint64        `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"` // from the query
	NotMine []Claim       `cbor:"3,keyasint,omitempty"`
}

// Answer answers the query for a host, given the attempts that it owns.
func (q Query) Answer(owned func(ident.BackendRef) bool) Reply {
	r := Reply{ID: q.ID, Process: q.Process}
	for _, c := range q.Claims {
		if !owned(c.Ref(q.Process)) {
			r.NotMine = append(r.NotMine, c)
		}
	}
	return r
}

// Ref returns the attempt that a claim names.
func (c Claim) Ref(p ident.Process) ident.BackendRef {
	return ident.BackendRef{Request: ident.NewRequestID(p, c.Number), Attempt: c.Attempt}
}

// parse returns the process and the claim that an attempt's request id names.
func parse(ref ident.BackendRef) (ident.Process, Claim, error) {
	p, err := ref.Request.Owner()
	if err != nil {
		return ident.Process{}, Claim{}, err
	}
	_, number, _ := strings.Cut(string(ref.Request), "#")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return ident.Process{}, Claim{}, fmt.Errorf("request id %q: number: %w", ref.Request, err)
	}
	return p, Claim{Number: n, Attempt: ref.Attempt}, nil
}
