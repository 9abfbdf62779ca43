package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// HostID names an entry host. It is unique in the fleet.
type HostID string

// Incarnation distinguishes the processes that run one after another under the same
// HostID. It is the start time in Unix milliseconds, so it grows with each restart.
type Incarnation uint64

// FailureDomain names a set of hosts that a network partition isolates together.
type FailureDomain string

// Region names the part of the world in which a failure domain is.
type Region string

// Organisation names a customer that shares the fleet with others.
type Organisation string

// Model names a model as callers request it, without its version.
type Model string

// Version names one version of a model or adapter.
type Version string

// BackendID names a backend server: a model engine or a plain service replica.
type BackendID string

// KeyID is the public part of a caller key.
type KeyID string

// PromptPart names a part of a prompt by its content. Requests that share the part have
// the same name for it.
type PromptPart string

// Trait names what requests may have in common: a part of their prompts, or for repeats of
// one request its digest.
type Trait string

// requestPrefix begins the traits that are digests of requests. Names of prompt parts have
// no slash.
const requestPrefix = "request/"

// PartTrait returns the trait of the requests with a part in their prompts.
func PartTrait(p PromptPart) Trait { return Trait(p) }

// RequestTrait returns the trait of the repeats of a request.
func RequestTrait(d Digest) Trait { return requestPrefix + Trait(d) }

// Digest returns the digest of a request whose repeats have the trait, or "" if the trait is
// a part of prompts.
func (t Trait) Digest() Digest {
	d, ok := strings.CutPrefix(string(t), requestPrefix)
	if !ok {
		return ""
	}
	return Digest(d)
}

// ContentHash is a hash of the path and body of a request.
type ContentHash string

// Digest names a request by its path, organisation and body, without revealing them.
// Requests that come again have the same one.
type Digest string

// Route names a path prefix that leads to a model API or a plain service.
type Route string

// Revision orders configuration generations. The highest revision is in force.
type Revision uint64

// Slot numbers the entry hosts of a failure domain from zero. The rules set the
// number of slots of a domain.
type Slot int

// Process identifies one process: a host and its incarnation.
type Process struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// String returns the process as "host@incarnation".
func (p Process) String() string {
	return fmt.Sprintf("%s@%d", p.Host, p.Incarnation)
}

// RequestID names one request of a caller. It carries the process that owns the
// request, so that any host can determine whether the owner is still alive.
type RequestID string

// NewRequestID returns the id of the process's n-th request.
func NewRequestID(p Process, n uint64) RequestID {
	return RequestID(fmt.Sprintf("%s@%d#%d", p.Host, p.Incarnation, n))
}

// Owner returns the process that the request id names.
func (r RequestID) Owner() (Process, error) {
	host, rest, ok := strings.Cut(string(r), "@")
	if !ok || host == "" {
		return Process{}, fmt.Errorf("request id %q: want host@incarnation#number", r)
	}
	inc, _, ok := strings.Cut(rest, "#")
	if !ok {
		return Process{}, fmt.Errorf("request id %q: missing number", r)
	}
	n, err := strconv.ParseUint(inc, 10, 64)
	if err != nil {
		return Process{}, fmt.Errorf("request id %q: incarnation: %w", r, err)
	}
	return Process{Host: HostID(host), Incarnation: Incarnation(n)}, nil
}

// Attempt numbers the attempts of one request, starting at one.
type Attempt uint32

// BackendRef names one attempt of a request at a backend server. Answers that
// carry another BackendRef than the current one are dropped.
type BackendRef struct {
	Request RequestID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}
