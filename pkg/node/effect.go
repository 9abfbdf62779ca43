package node

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// Effect is something that the driver has to do. Effects are carried out in
// order; calls run concurrently and come back as events.
type Effect interface{ effect() }

// Send delivers a message to another entry host. It may be lost.
type Send struct {
	To      ident.HostID
	Addr    string
	Message Message
}

// Prefill starts a prefill. After Deadline it must not start, and a running one
// is given up.
type Prefill struct {
	Ref      ident.BackendRef
	Engine   engine.Info
	Adapter  ident.Version
	Resume   int // output tokens already delivered, to be appended to the prompt
	Deadline time.Time
}

// Import makes the decode engine fetch the KV cache.
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

// StopCall ends the running call of an attempt. Its outcome is no longer wanted.
type StopCall struct{ Ref ident.BackendRef }

// CancelAt frees what an engine holds for an attempt.
type CancelAt struct {
	Backend engine.Info
	Ref     ident.BackendRef
}

// Complete ends the answer of a request with its terminator.
type Complete struct{ ID ident.RequestID }

// Respond gives the caller the answer of a plain service. With Stored set the
// driver sends Status and Body from the at-most-once memory, otherwise the answer
// of the call that has just ended.
type Respond struct {
	ID     ident.RequestID
	Stored bool
	Status int
	Body   []byte
}

// Refuse ends a request with an error, or breaks its stream visibly when part of
// the answer has been sent.
type Refuse struct {
	ID         ident.RequestID
	Code       Code
	Ran        Ran
	RetryAfter time.Duration
	Detail     string
}

// PollEngine reads load report and cache events of an engine.
type PollEngine struct{ Engine engine.Info }

// ReadConfig reads or watches the configuration service.
type ReadConfig struct{ Read confsync.ReadEffect }

// ReadHosts reads or watches the host list.
type ReadHosts struct {
	After uint64
	Wait  time.Duration
}

// SendOrder asks an engine to change what it serves. It must not be sent after
// Deadline, when another host may have become the sender.
type SendOrder struct {
	Pool     placement.Pool
	ID       uint64
	Backend  engine.Info
	Order    engine.Order
	Deadline time.Time
}

// RulesInForce publishes the rules that the front end verifies keys against.
type RulesInForce struct {
	Rules    *ruleset.Rules
	Revision ident.Revision
}

// SetReady tells the load balancer whether to send new callers.
type SetReady struct{ Ready bool }

// Alarm is a condition that an operator should see.
type Alarm struct {
	Part   string
	Detail string
}

// Exit ends the process. All requests have ended.
type Exit struct{}

func (Send) effect()         {}
func (Prefill) effect()      {}
func (Import) effect()       {}
func (Decode) effect()       {}
func (CallService) effect()  {}
func (StopCall) effect()     {}
func (CancelAt) effect()     {}
func (Complete) effect()     {}
func (Respond) effect()      {}
func (Refuse) effect()       {}
func (PollEngine) effect()   {}
func (ReadConfig) effect()   {}
func (ReadHosts) effect()    {}
func (SendOrder) effect()    {}
func (RulesInForce) effect() {}
func (SetReady) effect()     {}
func (Alarm) effect()        {}
func (Exit) effect()         {}
