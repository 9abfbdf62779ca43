package ruleset

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Kind is the kind of a rule, named by the rule's first word.
type Kind string

// Kinds of rules, in the order in which Rules.String prints them.
const (
	KindDomain       Kind = "domain"
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
	KindRoute        Kind = "route"
	KindAllow        Kind = "allow"
	KindKey          Kind = "key"
	KindFencing      Kind = "fencing"
	KindRecall       Kind = "recall"
	KindStale        Kind = "stale"
)

var kindOrder = []Kind{
	KindDomain, KindOrganisation, KindModel, KindRoute, KindAllow,
	KindKey, KindFencing, KindRecall, KindStale,
}

// Origin is the position of a rule in the text and its comment, which says who
// requested the rule.
type Origin struct {
	Line    int    // line in the parsed text, from 1
	Comment string // text after '#' on the rule's line

	precedingComments string // comment-only lines directly before the rule
}

// rule is one line of the rules text.
type rule interface {
	kind() Kind
	name() string // identifies the rule among those of its kind
	String() string
	origin() Origin
}

func (o Origin) origin() Origin { return o }

// Domain is a failure domain and its entry hosts.
type Domain struct {
	Name  ident.FailureDomain
	Slots int // number of entry hosts; each enforces 1/SlotCount of every rate
	Origin
}

func (Domain) kind() Kind     { return KindDomain }
func (d Domain) name() string { return string(d.Name) }

// String returns the rule without its comment.
func (d Domain) String() string {
	return fmt.Sprintf("domain %s slots %d", d.Name, d.Slots)
}

// Preference is how to handle an organisation's request that cannot meet its
// latency target.
type Preference string

// Values of Preference.
const (
	Wait   Preference = "wait"   // keep the request queued
	Refuse Preference = "refuse" // refuse at once with a retry time
)

// Organisation is a customer with its rate limit and its weight.
type Organisation struct {
	Name   ident.Organisation
	Rate   int64 // tokens per second, summed over all hosts
	Burst  int64 // tokens, summed over all hosts
	Weight int64 // share of a full pool relative to other organisations
	Prefer Preference
	Origin
}

func (Organisation) kind() Kind     { return KindOrganisation }
func (o Organisation) name() string { return string(o.Name) }

// String returns the rule without its comment.
func (o Organisation) String() string {
	return fmt.Sprintf("organisation %s rate %d burst %d weight %d prefer %s",
		o.Name, o.Rate, o.Burst, o.Weight, o.Prefer)
}

// Allow lets an organisation use a model or a service.
type Allow struct {
	Organisation ident.Organisation
	Target       ident.Model // model or service
	Origin
}

func (Allow) kind() Kind     { return KindAllow }
func (a Allow) name() string { return string(a.Organisation) + " " + string(a.Target) }

// String returns the rule without its comment.
func (a Allow) String() string {
	return fmt.Sprintf("allow %s %s", a.Organisation, a.Target)
}

// Key is a caller key as published in the rules: the salted hash of its secret,
// never the secret.
type Key struct {
	ID           ident.KeyID
	Organisation ident.Organisation
	Salt         string // raw bytes
	Hash         [32]byte
	Origin
}

func (Key) kind() Kind     { return KindKey }
func (k Key) name() string { return string(k.ID) }

// String returns the rule without its comment.
func (k Key) String() string {
	return fmt.Sprintf("key %s organisation %s salt %s hash %s",
		k.ID, k.Organisation, hex.EncodeToString([]byte(k.Salt)), hex.EncodeToString(k.Hash[:]))
}

// Model is a model with the versions that may run.
type Model struct {
	Name     ident.Model
	Versions []ident.Version // preferred first
	Origin
}

func (Model) kind() Kind     { return KindModel }
func (m Model) name() string { return string(m.Name) }

// String returns the rule without its comment.
func (m Model) String() string {
	versions := make([]string, len(m.Versions))
	for i, v := range m.Versions {
		versions[i] = string(v)
	}
	return fmt.Sprintf("model %s versions %s", m.Name, strings.Join(versions, ","))
}

// Route maps a path prefix to a service other than a model.
type Route struct {
	Path       ident.Route
	Service    ident.Model // service name, as passed to Allowed
	Idempotent bool        // false: a call is sent at most once
	Open       bool        // true: needs no key
	Cost       int64       // tokens per call of a keyed route, 0 for an open one
	Origin
}

func (Route) kind() Kind     { return KindRoute }
func (r Route) name() string { return string(r.Path) }

// String returns the rule without its comment.
func (r Route) String() string {
	repeat := "once"
	if r.Idempotent {
		repeat = "idempotent"
	}
	if r.Open {
		return fmt.Sprintf("route %s service %s %s open", r.Path, r.Service, repeat)
	}
	return fmt.Sprintf("route %s service %s %s keyed cost %d", r.Path, r.Service, repeat, r.Cost)
}

// Fencing states whether the engines of a group refuse stale fencing tokens.
type Fencing struct {
	Group   string
	Checked bool
	Origin
}

func (Fencing) kind() Kind     { return KindFencing }
func (f Fencing) name() string { return f.Group }

// String returns the rule without its comment.
func (f Fencing) String() string {
	if f.Checked {
		return fmt.Sprintf("fencing %s checked", f.Group)
	}
	return fmt.Sprintf("fencing %s ignored", f.Group)
}

// RecallKind is the kind of thing that a recall names.
type RecallKind string

// Kinds of recalls.
const (
	RecallVersion RecallKind = "version"
	RecallAdapter RecallKind = "adapter"
	RecallEngines RecallKind = "engines"
)

// Recall takes a model version, an adapter or an engine group out of service.
type Recall struct {
	Kind    RecallKind
	Model   ident.Model   // for RecallVersion
	Version ident.Version // for RecallVersion
	Adapter ident.Version // for RecallAdapter
	Group   string        // for RecallEngines
	Origin
}

func (Recall) kind() Kind     { return KindRecall }
func (r Recall) name() string { return strings.TrimPrefix(r.String(), "recall ") }

// String returns the rule without its comment.
func (r Recall) String() string {
	switch r.Kind {
	case RecallVersion:
		return fmt.Sprintf("recall version %s %s", r.Model, r.Version)
	case RecallAdapter:
		return fmt.Sprintf("recall adapter %s", r.Adapter)
	default:
		return fmt.Sprintf("recall engines %s", r.Group)
	}
}

// Stale is the policy for keyed traffic while the configuration is stale. The
// zero value, which applies without a rule, keeps serving.
type Stale struct {
	Refuse bool
	After  time.Duration // age from which the configuration is stale, if Refuse is set
}

// String returns the rule without its comment.
func (s Stale) String() string {
	if s.Refuse {
		return "stale refuse " + s.After.String()
	}
	return "stale serve"
}

type staleRule struct {
	Stale
	Origin
}

func (staleRule) kind() Kind   { return KindStale }
func (staleRule) name() string { return "" }
