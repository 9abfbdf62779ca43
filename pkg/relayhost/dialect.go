package relayhost

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// Forward holds what the router adds to a caller's request when it forwards the request
// to a backend server.
type Forward struct {
	To           ident.BackendID
	TimeLeft     time.Duration // until the request's deadline
	Organisation ident.Organisation
	Prefill      bool
	Hold         string // reservation at the engine; empty for none
	Source       string // address of the prefill engine; empty for none
	Handle       string // KV cache at the prefill engine; empty for none
	LastEvent    string // id of the last event sent to the caller; empty for none
}

// Answer is the part of a backend server's answer that determines its outcome.
type Answer struct {
	Status int
	Header func(name string) string
	Values func(name string) []string // all values of a header
}

// Dialect translates between the relay and the HTTP headers and calls that callers and
// backend servers use.
type Dialect interface {
	// EchoHeader names the header of requests whose value backend servers repeat in their
	// answers. Answers to other requests are not passed on.
	EchoHeader() string
	// ParseRequest reads the request parameters that the relay needs from a caller's request.
	ParseRequest(r *http.Request) relay.RequestSpec
	// Forward writes the headers of a caller's request that goes to a backend server.
	Forward(dst *fasthttp.RequestHeader, src http.Header, f Forward)
	// Classify returns the outcome of the answer to a caller's request, either of a
	// complete answer or of the header of a stream.
	Classify(a Answer) relay.Outcome
	// ClassifyCall returns the outcome of the answer to one of the router's own calls.
	ClassifyCall(a Answer) relay.Outcome
	// ClassifyReservation returns the outcome of the answer to Reserve.
	ClassifyReservation(a Answer) relay.Outcome

	// Notice returns what a backend server says of itself in an answer to a request or call.
	// requestID is the ID that it carried; empty if none. It fails if a value cannot be read,
	// and then returns the rest.
	Notice(a Answer, requestID string) (backends.Notice, error)

	// Reserve writes a call that reserves decode memory.
	Reserve(req *fasthttp.Request, to ident.BackendID, tokens int64, ttl time.Duration)
	// ParseReservation reads the answer to Reserve.
	ParseReservation(body []byte) (hold string, err error)
	// ReleaseReservation writes a call that releases a reservation.
	ReleaseReservation(req *fasthttp.Request, hold string)
	// ParsePrefill reads the answer to a prefill. tokens is the length of the prompt, or 0
	// if the answer does not state it.
	ParsePrefill(body []byte) (handle string, tokens int64, err error)
	// ReleasePrefill writes a call that frees a KV cache.
	ReleasePrefill(req *fasthttp.Request, handle string)
	// RoleOrder writes a call that orders a backend server to change its stage.
	RoleOrder(req *fasthttp.Request, to ident.BackendID, stage backends.Stage, holder ident.HostID, fencingToken uint64)
}

// Decoder decodes the keys and values of the platform's store.
type Decoder interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	Config(value []byte) (*catalog.Snapshot, error)
	// Entry decodes the entry of a backend server. ok is false if the key is not the key of
	// an entry or the entry is unusable; with an error, ok means that a part was ignored.
	Entry(key string, value []byte) (e backends.Entry, ok bool, err error)
	// EntryID returns the id that an entry's key names.
	EntryID(key string) (id ident.BackendID, ok bool)
	// EvacuatedDomain returns the failure domain that is evacuated for as long as a key
	// exists. ok is false if it is another kind of key.
	EvacuatedDomain(key string) (domain ident.FailureDomain, ok bool)
}
