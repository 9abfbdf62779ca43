package node

import (
	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// Message is a message between entry hosts. Exactly one field is set.
type Message struct {
	Membership  *membership.Message  `cbor:"1,keyasint,omitempty"`
	Config      *confsync.Message    `cbor:"2,keyasint,omitempty"`
	Limits      *limits.Message      `cbor:"3,keyasint,omitempty"`
	Placement   *placement.Message   `cbor:"4,keyasint,omitempty"`
	Idempotency *idempotency.Message `cbor:"5,keyasint,omitempty"`
	HostList    *hostlist.Message    `cbor:"6,keyasint,omitempty"`
}

// Batch is a set of messages from one process to one host.
type Batch struct {
	From     ident.Process `cbor:"1,keyasint"`
	To       ident.HostID  `cbor:"2,keyasint"`
	Messages []Message     `cbor:"3,keyasint"`
}
