package engine

import (
	"context"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Role is the kind of work that a backend server does.
type Role string

// Roles of backend servers.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)

// Info describes a backend server in the platform's host list.
type Info struct {
	ID      ident.BackendID     `json:"id"`
	Addr    string              `json:"addr"`
	Domain  ident.FailureDomain `json:"domain"`
	Role    Role                `json:"role"`
	Model   ident.Model         `json:"model"`   // model or service name
	Version ident.Version       `json:"version"` // empty for services
	Group   string              `json:"group"`   // batch that operators can recall as a whole
	Slots   int                 `json:"slots"`   // maximum number of concurrent requests
	Leaving bool                `json:"leaving"` // accepts no new work
}

// PrefillRequest asks for the KV cache of a prompt.
type PrefillRequest struct {
	Ref      ident.BackendRef `json:"ref"`
	Model    ident.Model      `json:"model"`
	Version  ident.Version    `json:"version"`
	Adapter  ident.Version    `json:"adapter,omitempty"`
	Prompt   string           `json:"prompt"`
	Output   string           `json:"output,omitempty"` // tokens already delivered, which follow the prompt
	Priority int              `json:"priority"`         // higher runs first
}

// PrefillResult describes a KV cache, which the prefill engine keeps for Lifetime.
type PrefillResult struct {
	Ref      ident.BackendRef `json:"ref"`
	Tokens   int              `json:"tokens"`
	Cached   int              `json:"cached"` // tokens taken from the prefix cache
	Checksum uint64           `json:"checksum"`
	Bytes    int64            `json:"bytes"`
	Lifetime time.Duration    `json:"lifetime_ns"`
}

// ImportRequest asks a decode engine to fetch a KV cache from a prefill engine.
type ImportRequest struct {
	Ref      ident.BackendRef `json:"ref"`
	Model    ident.Model      `json:"model"`
	Version  ident.Version    `json:"version"`
	Adapter  ident.Version    `json:"adapter,omitempty"`
	Source   string           `json:"source"` // address of the prefill engine
	Checksum uint64           `json:"checksum"`
	Bytes    int64            `json:"bytes"`
}

// ImportResult describes the KV cache in the decode engine after the transfer.
type ImportResult struct {
	Ref      ident.BackendRef `json:"ref"`
	Checksum uint64           `json:"checksum"` // computed over the imported copy
}

// DecodeRequest starts or resumes an output stream.
type DecodeRequest struct {
	Ref       ident.BackendRef `json:"ref"`
	Model     ident.Model      `json:"model"`
	Version   ident.Version    `json:"version"`
	Offset    int              `json:"offset"` // output tokens that the caller already has
	MaxTokens int              `json:"max_tokens"`
	Priority  int              `json:"priority"`
}

// Chunk is a part of an output stream. A stream is complete only after a chunk
// with Done set has arrived.
type Chunk struct {
	Ref    ident.BackendRef `json:"ref"`
	Offset int              `json:"offset"` // index of the first token
	Tokens []string         `json:"tokens,omitempty"`
	Done   bool             `json:"done,omitempty"`
	Finish string           `json:"finish,omitempty"` // "stop" or "length"
}

// HeldRequest is a request for which an engine holds memory.
type HeldRequest struct {
	Ref ident.BackendRef `json:"ref"`
	Age time.Duration    `json:"age_ns"`
}

// Report is the state that an engine reports about itself. It is out of date when
// the router receives it.
type Report struct {
	ID       ident.BackendID `json:"id"`
	Sequence uint64          `json:"sequence"`
	Start    uint64          `json:"start"` // changes with each restart of the engine
	Role     Role            `json:"role"`
	Model    ident.Model     `json:"model"`
	Version  ident.Version   `json:"version"`
	Slots    int             `json:"slots"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	Held     []HeldRequest   `json:"held,omitempty"`
	Fence    uint64          `json:"fence"` // highest fencing token seen in an order
	Leaving  bool            `json:"leaving"`
}

// CacheEvent reports that an engine stored or evicted a block of a prompt prefix.
// A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"` // hash of the prefix up to the end of the block
	Stored   bool   `json:"stored"`
}

// OrderKind is the change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderChangeRole  OrderKind = "change_role"
)

// Order requests a change of what an engine serves. An engine that checks fencing
// tokens rejects an order whose Fence is below the highest it has seen.
type Order struct {
	Fence   uint64        `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.Model   `json:"model,omitempty"`
	Version ident.Version `json:"version,omitempty"`
	Role    Role          `json:"role,omitempty"`
}

// Engine is one model engine. Every call returns when ctx ends. No call retries.
type Engine interface {
	// Prefill computes the KV cache of a prompt.
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Import makes a decode engine fetch a KV cache.
	Import(ctx context.Context, r ImportRequest) (ImportResult, error)
	// Decode passes chunks of tokens to emit until the stream is complete.
	Decode(ctx context.Context, r DecodeRequest, emit func(Chunk) error) error
	// Cancel releases the resources that the engine holds for an attempt. It is
	// idempotent.
	Cancel(ctx context.Context, ref ident.BackendRef) error
	// Report returns the engine's latest load report.
	Report(ctx context.Context) (Report, error)
	// Events returns the cache events with a higher sequence number than after.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order requests a change of model, adapter, version or role.
	Order(ctx context.Context, o Order) error
}
