// Package record stores timestamped observations of fake servers and test callers
// for the checkers. It never contains the router's own counters.
package record

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Kind is the type of an observation.
type Kind string

// Kinds recorded by backend servers.
const (
	Arrival  Kind = "arrival" // a request was received, before any check
	Refused  Kind = "refused" // the request was rejected before any work; Reason has the error code
	Start    Kind = "start"   // work started
	Token    Kind = "token"   // an output token was written to the connection
	End      Kind = "end"     // work ended; Tokens has the output tokens
	Cancel   Kind = "cancel"  // a cancel for the attempt was received
	Hold     Kind = "hold"    // memory was allocated for the attempt
	Free     Kind = "free"    // the memory was released
	Order    Kind = "order"   // an order was received; Reason has its kind
	Crash    Kind = "crash"   // the server crashed and lost all state
	Restart  Kind = "restart" // the server was started again
	Leaving  Kind = "leaving" // the host list marks the host as leaving
	Removed  Kind = "removed" // the host was removed from the host list
	FaultSet Kind = "fault"   // the injected faults changed; Reason lists them, empty for none
)

// Kinds recorded for the platform and for entry hosts.
const (
	Published Kind = "published" // a configuration was published; Revision is set
	Read      Kind = "read"      // a value was read; Reason has its name
	InForce   Kind = "in_force"  // a host reported the revision it applies
	Stopping  Kind = "stopping"  // a host was asked to stop gracefully
)

// Kinds recorded by callers.
const (
	Sent      Kind = "sent"      // the caller sent a request
	First     Kind = "first"     // the first part of the answer arrived
	Answered  Kind = "answered"  // the answer ended with its terminator
	Denied    Kind = "denied"    // an error was returned; Reason has the code, Ran whether the request ran
	Broken    Kind = "broken"    // the answer ended without its terminator
	Abandoned Kind = "abandoned" // the caller closed the connection
)

// Record is one observation. Fields that do not apply to its kind are empty.
type Record struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Step     string    `json:"step,omitempty"` // prefill, import, decode, call

	// Backend servers and the platform.
	Server   string            `json:"server,omitempty"`
	Model    ident.Model       `json:"model,omitempty"`
	Version  ident.Version     `json:"version,omitempty"` // served by the server, or named by an order
	Group    string            `json:"group,omitempty"`
	Ref      *ident.BackendRef `json:"ref,omitempty"`
	Headers  []string          `json:"headers,omitempty"` // "Name: value"
	Fence    uint64            `json:"fence,omitempty"`
	Revision ident.Revision    `json:"revision,omitempty"`

	// Callers.
	Call         string             `json:"call,omitempty"` // id of the call
	Host         ident.HostID       `json:"host,omitempty"` // entry host id or address
	Organisation ident.Organisation `json:"organisation,omitempty"`
	Key          ident.KeyID        `json:"key,omitempty"`
	Ran          string             `json:"ran,omitempty"` // reported by an error: not run, ran or unknown
	Text         string             `json:"text,omitempty"`
	Want         string             `json:"want,omitempty"` // expected answer
	NoRepeat     bool               `json:"no_repeat,omitempty"`

	// Callers and backend servers. Content links the records of a request on both
	// sides.
	Content string `json:"content,omitempty"`
	Path    string `json:"path,omitempty"`
	Prompt  int    `json:"prompt,omitempty"` // prompt tokens
	Tokens  int    `json:"tokens,omitempty"` // output tokens
	Reason  string `json:"reason,omitempty"`
}

// Log is an append-only list of records. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
}

// Add appends a record. It sets the sequence, and the time if it is zero.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	r.Sequence = uint64(len(l.records)) + 1
	l.records = append(l.records, r)
}

// All returns the records in order.
func (l *Log) All() []Record { return l.After(0) }

// After returns the records with a sequence greater than the given one.
func (l *Log) After(sequence uint64) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records[min(sequence, uint64(len(l.records))):])
}

// Find returns the records that match.
func (l *Log) Find(match func(Record) bool) []Record {
	return slices.DeleteFunc(l.All(), func(r Record) bool { return !match(r) })
}

// ServeHTTP writes the records after the sequence in the query parameter "after",
// as JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.After(after))
}
