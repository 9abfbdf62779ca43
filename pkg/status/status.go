// Package status has the JSON types that an entry host answers to GET /status
// and that operator tools read.
package status

import (
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Path is where an entry host serves its Status.
const Path = "/status"

// Status is an entry host's view of itself and of the fleet.
type Status struct {
	Host        ident.HostID        `json:"host"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Domain      ident.FailureDomain `json:"domain"`
	Slot        ident.Slot          `json:"slot"`
	Ready       bool                `json:"ready"`
	Leaving     bool                `json:"leaving"`
	Revision    ident.Revision      `json:"revision"`
	Digest      string              `json:"digest"`        // SHA-256 of the rules text in hex
	ConfigAgeMS int64               `json:"config_age_ms"` // since platform or peers confirmed the revision
	Stale       bool                `json:"stale"`         // keyed traffic is refused because of that age
	Mints       bool                `json:"mints"`         // the slot's share of the rates is in use
	Peers       []Peer              `json:"peers"`         // hosts of the own domain
	Domains     []Domain            `json:"domains"`       // other domains
	Pools       []Pool              `json:"pools"`         // pools that the host owns
	InFlight    int                 `json:"in_flight"`     // requests
	Refused     map[string]uint64   `json:"refused"`       // requests since the start by reason
}

// PeerState is what a host believes of a peer.
type PeerState string

// States of peers.
const (
	Live    PeerState = "live"
	Suspect PeerState = "suspect"
	Dead    PeerState = "dead"
	Leaving PeerState = "leaving"
)

// Peer is another entry host of the same failure domain.
type Peer struct {
	Host     ident.HostID        `json:"host"`
	Domain   ident.FailureDomain `json:"domain"`
	State    PeerState           `json:"state"`
	SilentMS int64               `json:"silent_ms"` // since the last heartbeat
}

// Domain is another failure domain.
type Domain struct {
	Domain    ident.FailureDomain `json:"domain"`
	Reachable bool                `json:"reachable"`
	Revision  ident.Revision      `json:"revision"` // in force there, as last heard
}

// Pool is a pool of engines that the host owns.
type Pool struct {
	Model  ident.Model `json:"model"`
	Free   int         `json:"free"`   // decode slots
	Queued int         `json:"queued"` // requests
}
