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

// Config holds the settings of a node. DefaultConfig sets every field.
type Config struct {
	Self   ident.Process
	Addr   string // address at which other entry hosts reach this one
	Domain ident.FailureDomain
	Slot   ident.Slot

	// PauseThreshold is the shortest gap between two events that counts as a pause of
	// the process. Lower values void leases needlessly on a busy machine; higher ones
	// let a paused process act on an outdated view.
	PauseThreshold time.Duration
	// PrefillTimeout bounds one prefill call.
	PrefillTimeout time.Duration
	// ImportTimeout bounds one KV transfer. The prefill engine keeps the KV cache
	// for less than a second, so a longer timeout would outlast it.
	ImportTimeout time.Duration
	// DecodeStartTimeout bounds the time until a decode call is sent.
	DecodeStartTimeout time.Duration
	// ServiceTimeout bounds one call to a plain service.
	ServiceTimeout time.Duration
	// FirstTokenTarget is the time from arrival within which the first token is
	// due. A request that cannot meet it is refused before its prefill.
	FirstTokenTarget time.Duration
	// PollInterval is the time between two polls of an engine in an owned pool.
	PollInterval time.Duration
	// ViewInterval is the time between two refreshes of the peer lists that the
	// components hold.
	ViewInterval time.Duration
	// HostsWatchTimeout bounds one watch of the host list.
	HostsWatchTimeout time.Duration
	// DrainLinger is how long a leaving host still accepts work after it has
	// reported not ready, so that the load balancer can stop sending callers.
	DrainLinger time.Duration
	// DrainFlush is the time between the last handover messages of a leaving host
	// and its exit.
	DrainFlush time.Duration

	// RoleOrders lets pool owners change the roles of engines to follow demand. Pool
	// owners order engines to load versions in any case.
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
		Self:               self,
		Addr:               addr,
		Domain:             domain,
		Slot:               slot,
		PauseThreshold:     time.Second,
		PrefillTimeout:     10 * time.Second,
		ImportTimeout:      900 * time.Millisecond,
		DecodeStartTimeout: time.Second,
		ServiceTimeout:     10 * time.Second,
		FirstTokenTarget:   950 * time.Millisecond,
		PollInterval:       200 * time.Millisecond,
		ViewInterval:       250 * time.Millisecond,
		HostsWatchTimeout:  10 * time.Second,
		DrainLinger:        time.Second,
		DrainFlush:         500 * time.Millisecond,
		Limits:             limits.DefaultConfig(self, domain),
		Placement:          placement.DefaultConfig(self, domain),
		Membership:         membership.DefaultConfig(self, addr, domain, slot),
		ConfSync:           confSyncConfig(self, domain),
		Idempotency:        idempotency.DefaultConfig(self, idempotency.SlotRef{Domain: domain, Slot: slot}),
		HostList:           hostlist.DefaultConfig(self),
		Retry:              retry.DefaultConfig(),
		Orders:             orders.DefaultConfig(""),
	}
}

// confSyncConfig seeds each host differently, so that the reads of the hosts spread
// over time.
func confSyncConfig(self ident.Process, domain ident.FailureDomain) confsync.Config {
	return confsync.DefaultConfig(self, domain, xxhash.Sum64String(self.String()))
}
