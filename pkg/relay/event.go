package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// ID numbers the requests of one process.
type ID uint64

// Ask is what a caller wants, as far as decisions need it.
type Ask struct {
	RequestID string // the caller's id of this attempt
	Host      string
	Path      string
	Key       string
	Deadline  time.Duration // how long the caller waits; 0 if it did not say
	Model     ident.Model
	Prompt    int64 // tokens
	Output    int64 // tokens at most
	Sized     bool  // Prompt and Output were stated
	Hint      int64 // the caller's estimate of the output tokens; 0 if it gave none
	Resumes   bool  // goes on after an event that the caller has
}

// Outcome is how a call to a backend server ended.
type Outcome uint8

// Outcomes of calls.
const (
	Whole       Outcome = iota // a complete success of the backend server
	Failure                    // a complete failure of its own: the request has run
	NotRun                     // refused by the backend server before it ran
	Misdirected                // another process has the address: not run
	Unsent                     // no byte left this host
	Lost                       // sent without a complete answer: it may have run
	Cut                        // ended by this host: caller gone or time over
)

var outcomeNames = [...]string{"whole", "failure", "not_run", "misdirected", "unsent", "lost", "cut"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// ran tells whether the request may have run.
func (o Outcome) ran() bool {
	return o == Whole || o == Failure || o == Lost || o == Cut
}

// Event is something that happened.
type Event interface{ event() }

// Arrived reports a request that has been read completely.
type Arrived struct {
	ID  ID
	Ask Ask
}

// Left reports that the caller of a request is gone.
type Left struct{ ID ID }

// Reserved reports the answer to Reserve.
type Reserved struct {
	ID      ID
	Attempt int
	Outcome Outcome // Whole: Hold is valid
	Hold    string
}

// Prefilled reports the answer to Prefill.
type Prefilled struct {
	ID      ID
	Attempt int
	Outcome Outcome
	Handle  string
	Took    time.Duration
}

// Begun reports the first event of a stream.
type Begun struct {
	ID      ID
	Attempt int
}

// Ended reports the end of Call or Decode.
type Ended struct {
	ID      ID
	Attempt int
	Outcome Outcome
	Status  int  // of the backend server, 0 without an answer
	Started bool // part of the answer has gone to the caller
	Events  int  // of a stream, relayed by this call
	Took    time.Duration
}

// ConfigRead gives a version of the configuration.
type ConfigRead struct{ Snapshot *catalog.Snapshot }

// EntriesListed gives all listed backend servers.
type EntriesListed struct{ Entries []backends.Entry }

// EntryChanged gives a changed entry.
type EntryChanged struct{ Entry backends.Entry }

// EntryRemoved reports an entry that is no longer listed or cannot be used.
type EntryRemoved struct{ ID ident.BackendID }

// Contact reports a successful read of the platform.
type Contact struct {
	Sent     time.Time
	Revision uint64
}

// ContactFailed reports a failed read of the platform.
type ContactFailed struct{}

// Heard is a message of another host.
type Heard struct{ Message Message }

// SeedsChanged gives new addresses through which other hosts may be found.
type SeedsChanged struct{ Seeds []string }

// Drain reports the order to stop.
type Drain struct{}

// Ordered reports the answer to Order.
type Ordered struct {
	Backend ident.BackendID
	OK      bool // the order is being carried out or already holds
	Status  int  // 0 without an answer
}

// Tick lets time pass.
type Tick struct{}

func (Arrived) event()       {}
func (Left) event()          {}
func (Reserved) event()      {}
func (Prefilled) event()     {}
func (Begun) event()         {}
func (Ended) event()         {}
func (ConfigRead) event()    {}
func (EntriesListed) event() {}
func (EntryChanged) event()  {}
func (EntryRemoved) event()  {}
func (Contact) event()       {}
func (ContactFailed) event() {}
func (Heard) event()         {}
func (SeedsChanged) event()  {}
func (Drain) event()         {}
func (Ordered) event()       {}
func (Tick) event()          {}

// Message is what hosts tell each other.
type Message struct {
	Beat roster.Beat                  `cbor:"1,keyasint"`
	Used map[ident.Organisation]int64 `cbor:"2,keyasint,omitempty"` // tokens admitted since the start
	Load []BackendLoad                `cbor:"3,keyasint,omitempty"` // work that the sender has under way
	// Orders are the changes of role that the sender has asked for lately, with the
	// milliseconds since.
	Orders []OrderNote `cbor:"4,keyasint,omitempty"`
	Work   []WorkNote  `cbor:"5,keyasint,omitempty"` // sums since the start
	AgeMS  int64       `cbor:"6,keyasint,omitempty"` // of the sender's configuration
	UpMS   int64       `cbor:"7,keyasint,omitempty"` // since the start of the sender's process
	Doubts []DoubtNote `cbor:"8,keyasint,omitempty"` // servers that the sender could not reach lately
}

// DoubtNote is a backend server that the sender could not reach.
type DoubtNote struct {
	_       struct{} `cbor:",toarray"`
	Backend ident.BackendID
	AgeMS   int64 // since the last failure
}

// WorkNote is what the requests of the sender for a model service need.
type WorkNote struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Route
	Prefill float64 // engine seconds
	Decode  float64
}

// BackendLoad is the load of the sender at a backend server.
type BackendLoad struct {
	_        struct{} `cbor:",toarray"`
	Backend  ident.BackendID
	Requests int
	Memory   int64
	Prompt   int64
}

// OrderNote says that the sender gave an order to a backend server.
type OrderNote struct {
	_       struct{} `cbor:",toarray"`
	Backend ident.BackendID
	Stage   backends.Stage
	AgeMS   int64
}
