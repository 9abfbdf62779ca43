package relay

import "github.com/mulberrystream/mulberrystream/pkg/ident"

// FencingToken returns the token that the host's next role order would carry.
func (r *Relay) FencingToken() uint64 { return r.fencingToken(r.view.Slot()) }

// ProbeTurn returns the position of the host in the order in which hosts probe a part.
func (r *Relay) ProbeTurn(p ident.Trait) int { return r.probeTurn(p) }

// RetriesTaken returns the retries that a request has taken from the budget.
func (r *Relay) RetriesTaken(id ID) int { return r.requests[id].retries }
