package catalog

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Kind determines whether a request may run more than once.
type Kind uint8

// Kinds of routes.
const (
	Once       Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run more than once
	Stream                 // a series of events; runs at most once unless resumable
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"once", "idempotent", "stream"}[k]
}

// Share is the part of a route's traffic that goes to a service.
type Share struct {
	Service ident.Route
	Weight  float64
}

// Route maps a host name and a path prefix to services.
type Route struct {
	Name          ident.Route
	Host          string // lower case, without port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // a stream may continue on another backend server
	Public        bool          // no API key is required
	Timeout       time.Duration // longest time that a request may wait; 0 means no limit
	LatencyTarget time.Duration // latency to the response or first event up to which it has its full value
	EventGap      time.Duration // longest gap between the events of a stream that is on time; 0 if not stated
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // number of backend servers that a request may be sent to
	Split         []Share
	// AllowedRegions are the regions whose backend servers may get requests; empty means all.
	AllowedRegions []ident.Region
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name   ident.Route
	Engine *Engine // nil for a plain service
	// ColdPerSecond is the number of requests per second that a cold server takes from all
	// hosts together; 0 means that the servers do not get cold. ColdStart is for how long a
	// server is cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Engine describes the backend servers of a model service.
type Engine struct {
	Slots          int
	MemoryTokens   int64         // KV cache in tokens
	RoleSwitch     time.Duration // time that a change of role takes
	HoldTTL        time.Duration // longest time a reservation is held; 0 if the engine takes none
	HandleTTL      time.Duration // how long a prefilled KV cache is kept; 0 if not stated
	TokensPerEvent int           // tokens in one event of a stream
}

// Organisation is a customer with its limits.
type Organisation struct {
	Name          ident.Organisation
	Priority      int // overrides the route's priority if HasPriority is set
	HasPriority   bool
	Rate          float64 // tokens per second over all hosts; 0 means no limit
	Burst         float64 // tokens
	DefaultTokens float64 // cost of a request that states no size, in tokens
	// CountRequests makes every request cost DefaultTokens, whatever its size.
	CountRequests bool
	// AllowedRegions are as in Route. If both are set, both hold.
	AllowedRegions []ident.Region
}

// Limits holds the limits on a caller's requests.
type Limits struct {
	BodyBytes int64
}
