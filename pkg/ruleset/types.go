package ruleset

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Kind is the kind of a rule. The values are the first words of the rules, in
// the order in which String prints them.
type Kind string

// Kinds of rules.
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

// Origin says where a rule stands and who requested it.
type Origin struct {
	Line    int    // line in the parsed text, from 1
	Comment string // text after '#' on the rule's line

	above string // comment-only lines directly before the rule
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
	Slots int // entry hosts; each has the share 1/SlotCount of every rate
	Origin
}

func (Domain) kind() Kind     { return KindDomain }
func (d Domain) name() string { return string(d.Name) }

// String returns the rule without its comment.
func (d Domain) String() string {
	return fmt.Sprintf("domain %s slots %d", d.Name, d.Slots)
}

// Preference is what an organisation wants for a request that cannot meet its
// latency target.
type Preference string

// Preferences of organisations.
const (
	Wait   Preference = "wait"   // keep the request queued
	Refuse Preference = "refuse" // refuse at once with a retry time
)

// Organisation is a customer and its share of the fleet.
type Organisation struct {
	Name   ident.Organisation
	Rate   int64 // tokens per second over all hosts together
	Burst  int64 // tokens over all hosts together
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

// Key is a caller key as the rules publish it: without its secret.
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

// Model is a model and the versions of it that may run.
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

// Route leads a path prefix to a plain service.
type Route struct {
	Path       ident.Route
	Service    ident.Model // name of the service, as in Allowed
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

// Fencing says whether the engines of a group refuse stale fencing numbers.
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

// RecallKind says what a recall names.
type RecallKind string

// Kinds of recalls.
const (
	RecallVersion RecallKind = "version"
	RecallAdapter RecallKind = "adapter"
	RecallEngines RecallKind = "engines"
)

// Recall takes a batch out of service.
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

// Stale says what happens to keyed traffic while the configuration is old. The
// zero value, which holds without a rule, is to serve.
type Stale struct {
	Refuse bool
	After  time.Duration // age of the configuration, if Refuse is set
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
