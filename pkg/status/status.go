// Package status defines the JSON types of the answer of an entry host to
// GET /status, which operator tools read.
package status

import (
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Path is the URL path at which an entry host serves its Status.
const Path = "/status"

// Status is the state of an entry host and of the fleet as that host sees it.
type Status struct {
	Host        ident.HostID        `json:"host"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Domain      ident.FailureDomain `json:"domain"`
	Slot        ident.Slot          `json:"slot"`
	Ready       bool                `json:"ready"`
	Leaving     bool                `json:"leaving"`
	Revision    ident.Revision      `json:"revision"`
	Digest      string              `json:"digest"`        // SHA-256 of the rules text in hex
	ConfigAgeMS int64               `json:"config_age_ms"` // time since the platform or a peer confirmed the revision
	Stale       bool                `json:"stale"`         // requests with a key are refused because the configuration is too old
	CanMint     bool                `json:"mints"`         // the host issues rate-limit tokens for its slot's share
	Peers       []Peer              `json:"peers"`         // hosts of the same domain
	Domains     []Domain            `json:"domains"`       // other domains
	Pools       []Pool              `json:"pools"`         // pools that the host owns
	InFlight    int                 `json:"in_flight"`     // requests in progress
	Refused     map[string]uint64   `json:"refused"`       // requests since the start, by error code
}

// PeerState is the state of a peer as the reporting host sees it.
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
	SilentMS int64               `json:"silent_ms"` // time since the last heartbeat
}

// Domain is another failure domain.
type Domain struct {
	Domain    ident.FailureDomain `json:"domain"`
	Reachable bool                `json:"reachable"`
	Revision  ident.Revision      `json:"revision"` // in force there, as last reported
}

// Pool is a pool of engines that the host owns.
type Pool struct {
	Model  ident.Model `json:"model"`
	Free   int         `json:"free"`   // free decode slots
	Queued int         `json:"queued"` // queued requests
}
