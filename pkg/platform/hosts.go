package platform

import (
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// EntryHost is an entry host in the platform's host list.
type EntryHost struct {
	ID      ident.HostID        `json:"id"`
	Addr    string              `json:"addr"`
	Domain  ident.FailureDomain `json:"domain"`
	Slot    ident.Slot          `json:"slot"`
	Leaving bool                `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts. It lags behind the
// actual state of the hosts.
type HostList struct {
	Version    uint64        `json:"version"`
	EntryHosts []EntryHost   `json:"entry_hosts"`
	Backends   []engine.Info `json:"backends"`
}
