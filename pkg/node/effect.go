package node

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// Effect is an action for the driver. The driver starts effects in order; calls run
// concurrently, and their outcomes come back as events.
type Effect interface{ effect() }

// Send sends a message to another entry host. The message may be lost.
type Send struct {
	To      ident.HostID
	Addr    string
	Message Message
}

// Prefill starts a prefill. It must not start after Deadline, and is abandoned if it
// still runs then.
type Prefill struct {
	Ref      ident.BackendRef
	Engine   engine.Info
	Adapter  ident.Version
	Resume   int // output tokens already delivered, to be appended to the prompt
	Deadline time.Time
}

// Import makes the decode engine fetch the KV cache from the prefill engine.
type Import struct {
	Ref      ident.BackendRef
	Decode   engine.Info
	Source   engine.Info
	Adapter  ident.Version
	Checksum uint64
	Bytes    int64
	Deadline time.Time
}

// Decode starts the output stream at Offset. The driver relays it to the caller.
type Decode struct {
	Ref       ident.BackendRef
	Engine    engine.Info
	Offset    int
	MaxTokens int
	Deadline  time.Time
}

// CallService sends the caller's request to a plain service, once.
type CallService struct {
	Ref      ident.BackendRef
	Backend  engine.Info
	KeepBody bool // return the body in ServiceEnded
	Deadline time.Time
}

// StopCall aborts the running call of an attempt.
type StopCall struct{ Ref ident.BackendRef }

// CancelBackend makes an engine free what it holds for an attempt.
type CancelBackend struct {
	Backend engine.Info
	Ref     ident.BackendRef
}

// Complete ends the answer to a request with the stream terminator.
type Complete struct{ ID ident.RequestID }

// Respond sends the caller the answer of a plain service. If Stored is set, that is
// Status and Body, which the idempotency package has recorded, otherwise the answer
// to the call that has just ended.
type Respond struct {
	ID     ident.RequestID
	Stored bool
	Status int
	Body   []byte
}

// Refuse ends a request with an error, or aborts its stream in a way that the caller
// notices if part of the answer has been sent.
type Refuse struct {
	ID         ident.RequestID
	Code       Code
	Ran        Ran
	RetryAfter time.Duration
	Detail     string
}

// PollEngine reads the load report and the cache events of an engine.
type PollEngine struct{ Engine engine.Info }

// ReadConfig reads or watches the configuration on the platform.
type ReadConfig struct{ Read confsync.ReadEffect }

// ReadHosts reads or watches the host list.
type ReadHosts struct {
	After uint64
	Wait  time.Duration
}

// SendOrder asks an engine to load a version or an adapter or to change its role. It
// must not be sent after Deadline, because another host may have become the sender.
type SendOrder struct {
	Pool     placement.Pool
	ID       uint64
	Backend  engine.Info
	Order    engine.Order
	Deadline time.Time
}

// RulesInForce hands the current rules to the front end, which verifies keys with
// them.
type RulesInForce struct {
	Rules    *ruleset.Rules
	Revision ident.Revision
}

// SetReady sets the readiness that the load balancer sees.
type SetReady struct{ Ready bool }

// Alarm reports a condition that needs an operator's attention.
type Alarm struct {
	Part   string
	Detail string
}

// Exit ends the process, after all requests have ended.
type Exit struct{}

func (Send) effect()          {}
func (Prefill) effect()       {}
func (Import) effect()        {}
func (Decode) effect()        {}
func (CallService) effect()   {}
func (StopCall) effect()      {}
func (CancelBackend) effect() {}
func (Complete) effect()      {}
func (Respond) effect()       {}
func (Refuse) effect()        {}
func (PollEngine) effect()    {}
func (ReadConfig) effect()    {}
func (ReadHosts) effect()     {}
func (SendOrder) effect()     {}
func (RulesInForce) effect()  {}
func (SetReady) effect()      {}
func (Alarm) effect()         {}
func (Exit) effect()          {}
