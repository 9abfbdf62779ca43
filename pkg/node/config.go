package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/idempotency"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/orders"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/retry"
)

// Config sets up a node. DefaultConfig fills in every field.
type Config struct {
	Self   ident.Process
	Addr   string // address that other entry hosts send to
	Domain ident.FailureDomain
	Slot   ident.Slot

	// PauseAfter is the gap between two events that counts as a pause of the
	// process. Shorter values void leases on a busy machine without need; longer
	// ones let a paused process act on an old view.
	PauseAfter time.Duration
	// PrefillTimeout bounds one prefill call.
	PrefillTimeout time.Duration
	// ImportTimeout bounds one KV transfer. A longer one outlives the KV cache,
	// which the prefill engine keeps for under a second.
	ImportTimeout time.Duration
	// DecodeStart bounds the delay until a decode call is sent.
	DecodeStart time.Duration
	// ServiceTimeout bounds one call to a plain service.
	ServiceTimeout time.Duration
	// FirstTokenTarget is the time from arrival within which the first token is
	// due. Work that cannot make it is refused before any prefill.
	FirstTokenTarget time.Duration
	// PollInterval is the time between two reports read from an owned engine.
	PollInterval time.Duration
	// ViewInterval is the time between two refreshes of the parts' peer lists.
	ViewInterval time.Duration
	// HostsWait is how long a watch of the host list waits for a change.
	HostsWait time.Duration
	// DrainLinger is how long a leaving host still accepts work after it has
	// reported not ready, so that the load balancer can stop sending callers.
	DrainLinger time.Duration
	// DrainFlush is how long a leaving host waits after its last hand-over
	// messages before it exits.
	DrainFlush time.Duration

	// RoleOrders lets pool owners change the roles of engines with demand. Loads of
	// versions are ordered in any case.
	RoleOrders bool

	Limits      limits.Config
	Placement   placement.Config
	Membership  membership.Config
	ConfSync    confsync.Config
	Idempotency idempotency.Config
	HostList    hostlist.Config
	Retry       retry.Config
	Orders      orders.Config
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig(self ident.Process, addr string, domain ident.FailureDomain, slot ident.Slot) Config {
	return Config{
		Self:             self,
		Addr:             addr,
		Domain:           domain,
		Slot:             slot,
		PauseAfter:       time.Second,
		PrefillTimeout:   10 * time.Second,
		ImportTimeout:    900 * time.Millisecond,
		DecodeStart:      time.Second,
		ServiceTimeout:   10 * time.Second,
		FirstTokenTarget: 950 * time.Millisecond,
		PollInterval:     200 * time.Millisecond,
		ViewInterval:     250 * time.Millisecond,
		HostsWait:        10 * time.Second,
		DrainLinger:      time.Second,
		DrainFlush:       500 * time.Millisecond,
		Limits:           limits.DefaultConfig(self, domain),
		Placement:        placement.DefaultConfig(self, domain),
		Membership:       membership.DefaultConfig(self, addr, domain, slot),
		ConfSync:         confSync(self, domain),
		Idempotency:      idempotency.DefaultConfig(self, idempotency.SlotRef{Domain: domain, Slot: slot}),
		HostList:         hostlist.DefaultConfig(self),
		Retry:            retry.DefaultConfig(),
		Orders:           orders.DefaultConfig(""),
	}
}

// confSync sets a seed that differs between hosts so that their reads spread.
func confSync(self ident.Process, domain ident.FailureDomain) confsync.Config {
	return confsync.DefaultConfig(self, domain, xxhash.Sum64String(self.String()))
}
