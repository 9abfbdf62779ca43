package reclaim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Claim identifies an attempt within a process. Its encoding is compact, because a pool
// owner asks about hundreds of claims per second.
type Claim struct {
	_       struct{}      `cbor:",toarray"`
	Number  uint64        // number of the request within the process
	Attempt ident.Attempt // attempt of the request
}

// Query asks a process which of these attempts it still owns.
type Query struct {
	ID      uint64        `cbor:"1,keyasint"`
	Process ident.Process `cbor:"2,keyasint"`
	Claims  []Claim       `cbor:"3,keyasint"`
}

// Reply answers a Query. Claims of the query that are not in NotOwned are renewed.
type Reply struct {
	ID       uint64        `cbor:"1,keyasint"`
	Process  ident.Process `cbor:"2,keyasint"` // copied from the query
	NotOwned []Claim       `cbor:"3,keyasint,omitempty"`
}

// Answer returns the reply to the query. owned reports whether the process still owns an
// attempt.
func (q Query) Answer(owned func(ident.BackendRef) bool) Reply {
	r := Reply{ID: q.ID, Process: q.Process}
	for _, c := range q.Claims {
		if !owned(c.Ref(q.Process)) {
			r.NotOwned = append(r.NotOwned, c)
		}
	}
	return r
}

// Ref returns the attempt that the claim identifies.
func (c Claim) Ref(p ident.Process) ident.BackendRef {
	return ident.BackendRef{Request: ident.NewRequestID(p, c.Number), Attempt: c.Attempt}
}

// parse splits an attempt's request id into the owning process and the claim.
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
