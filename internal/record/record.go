// Package record holds what stand-ins and callers observed, with wall time, for
// the checkers. The router's own counters never enter it.
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

// Kind says what was observed.
type Kind string

// Kinds of records of backend servers.
const (
	Arrival  Kind = "arrival" // a request came in, before any check
	Refused  Kind = "refused" // nothing was started; Reason has the code
	Start    Kind = "start"   // work began
	Token    Kind = "token"   // an output token was handed to the connection
	End      Kind = "end"     // work ended; Tokens has the output tokens
	Cancel   Kind = "cancel"  // a cancel for the attempt came in
	Hold     Kind = "hold"    // memory is held for the attempt
	Free     Kind = "free"    // the memory is free again
	Order    Kind = "order"   // an order came in; Reason has its kind
	Crash    Kind = "crash"   // the server lost everything
	Restart  Kind = "restart" // the server runs again
	Leaving  Kind = "leaving" // the host list says that the host is leaving
	Removed  Kind = "removed" // the host list no longer has the host
	FaultSet Kind = "fault"   // faults were switched; Reason has them, empty for none
)

// Kinds of records of the platform and of entry hosts.
const (
	Published Kind = "published" // a configuration was published; Revision has it
	Read      Kind = "read"      // a reader got a value; Reason has its name
	InForce   Kind = "in_force"  // a host reported the revision it applies
	Stopping  Kind = "stopping"  // a host was asked to stop gracefully
)

// Kinds of records of callers.
const (
	Sent      Kind = "sent"      // the caller sent a request
	First     Kind = "first"     // the first part of the answer came
	Answered  Kind = "answered"  // the answer ended with its terminator
	Denied    Kind = "denied"    // an error answer; Reason has code, Ran its claim
	Broken    Kind = "broken"    // the answer ended without its terminator
	Abandoned Kind = "abandoned" // the caller went away
)

// Record is one observation. Unused fields are empty.
type Record struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Step     string    `json:"step,omitempty"` // prefill, import, decode, call

	// Backend servers and the platform.
	Server   string            `json:"server,omitempty"`
	Model    ident.Model       `json:"model,omitempty"`
	Version  ident.Version     `json:"version,omitempty"` // that the server serves, or an order names
	Group    string            `json:"group,omitempty"`
	Ref      *ident.BackendRef `json:"ref,omitempty"`
	Headers  []string          `json:"headers,omitempty"` // "Name: value"
	Fence    uint64            `json:"fence,omitempty"`
	Revision ident.Revision    `json:"revision,omitempty"`

	// Callers.
	Call         string             `json:"call,omitempty"` // one call of a caller
	Host         ident.HostID       `json:"host,omitempty"` // entry host, or its address
	Organisation ident.Organisation `json:"organisation,omitempty"`
	Key          ident.KeyID        `json:"key,omitempty"`
	Ran          string             `json:"ran,omitempty"` // claim of an error: not run, ran, unknown
	Text         string             `json:"text,omitempty"`
	Want         string             `json:"want,omitempty"` // the answer that the request asks for
	NoRepeat     bool               `json:"no_repeat,omitempty"`

	// Both. Content joins the records of callers and backend servers.
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

// Add appends a record and sets its sequence and, if it is zero, its time.
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

// After returns the records with a higher sequence.
func (l *Log) After(sequence uint64) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records[min(sequence, uint64(len(l.records))):])
}

// Find returns the records that match.
func (l *Log) Find(match func(Record) bool) []Record {
	return slices.DeleteFunc(l.All(), func(r Record) bool { return !match(r) })
}

// ServeHTTP writes the records after the query parameter "after" as JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.After(after))
}
