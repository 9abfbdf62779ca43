// Package checker verifies the ten invariants of docs/design.md against the records
// of fake servers and callers. It does not rely on what the router reports about
// itself, except for the revision that a host applies (invariant 10).
//
// A check reports only violations that the records prove: where the time of an event
// inside the router is unknown, it assumes the value that favours the router.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Record is one observation.
type Record = record.Record

// Violation describes one violation of an invariant.
type Violation struct {
	Invariant int       `json:"invariant"`
	Time      time.Time `json:"time"`
	Subject   string    `json:"subject"` // call, request, server or host
	Detail    string    `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("invariant %d: %s: %s", v.Invariant, v.Subject, v.Detail)
}

// RateLimit is the token limit of an organisation.
type RateLimit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Key is an API key that callers of the run use.
type Key struct {
	Organisation ident.Organisation
	Secret       string
	Withdrawn    time.Time // zero while the key is valid
}

// Recall is the recall of a batch. Empty fields match every value.
type Recall struct {
	Time    time.Time
	Ended   time.Time // when the recall was lifted; zero if it is still in force
	Model   ident.Model
	Version ident.Version
	Group   string
}

// Outage is a period in which a host could not read a new configuration.
type Outage struct {
	Host ident.HostID // every host if empty
	From time.Time
	To   time.Time
}

// Config describes a run and the limits that it must keep.
type Config struct {
	End time.Time // end of the recording; time of the last record if zero

	HoldBound     time.Duration // for releasing memory after the end of the call
	WithdrawBound time.Duration // for enforcing the withdrawal of a key
	LeaveBound    time.Duration // for sending no new work to a leaving server
	ConfigBound   time.Duration // for applying a published configuration, including recalls
	StopLimit     time.Duration // after which a graceful stop may cut streams; 0 means never

	Organisations map[ident.Organisation]RateLimit
	Keys          map[ident.KeyID]Key
	Allowed       map[ident.Organisation][]ident.Model // not checked if nil
	OpenRoutes    []string                             // path prefixes that need no key
	Recalls       []Recall
	Hosts         []ident.HostID   // hosts that must apply each configuration
	Rejected      []ident.Revision // invalid revisions, which hosts need not apply
	Outages       []Outage
}

// DefaultConfig returns a Config with the bounds from docs/design.md.
func DefaultConfig() Config {
	return Config{
		HoldBound:     5 * time.Second,
		WithdrawBound: 6 * time.Second,
		LeaveBound:    5 * time.Second,
		ConfigBound:   6 * time.Second,
	}
}

// Check returns all violations, sorted by invariant and time.
func Check(records []Record, cfg Config) []Violation {
	r := newRun(records, cfg)
	var out []Violation
	for _, check := range []func(*run) []Violation{
		checkHeld, checkAnsweredOnce, checkOrganisations, checkRates, checkContent,
		checkNotRun, checkAtMostOnce, checkLeaving, checkStops, checkConfig,
	} {
		out = append(out, check(r)...)
	}
	slices.SortStableFunc(out, func(a, b Violation) int {
		if c := cmp.Compare(a.Invariant, b.Invariant); c != 0 {
			return c
		}
		return a.Time.Compare(b.Time)
	})
	return out
}

// call groups the caller's records of one request.
type call struct {
	sent  Record
	first *Record
	ends  []Record // Answered, Denied, Broken, Abandoned
}

// endTime returns when the call ended for the caller, or zero if it has not.
func (c *call) endTime() time.Time {
	if len(c.ends) == 0 {
		return time.Time{}
	}
	return c.ends[0].Time
}

// run indexes the records of a run.
type run struct {
	cfg              Config
	records          []Record // sorted by time
	calls            []*call
	callsByContent   map[string][]*call
	contentByRequest map[ident.RequestID]string
}

func newRun(records []Record, cfg Config) *run {
	r := &run{
		cfg:              cfg,
		records:          slices.Clone(records),
		callsByContent:   map[string][]*call{},
		contentByRequest: map[ident.RequestID]string{},
	}
	slices.SortStableFunc(r.records, func(a, b Record) int { return a.Time.Compare(b.Time) })
	if n := len(r.records); r.cfg.End.IsZero() && n > 0 {
		r.cfg.End = r.records[n-1].Time
	}
	r.joinCalls()
	r.joinRequests()
	return r
}

func (r *run) joinCalls() {
	byID := map[string]*call{}
	for _, x := range r.records {
		if x.Kind == record.Sent {
			c := &call{sent: x}
			byID[x.Call] = c
			r.calls = append(r.calls, c)
			r.callsByContent[x.Content] = append(r.callsByContent[x.Content], c)
		}
	}
	for _, x := range r.records {
		c := byID[x.Call]
		if x.Call == "" || c == nil {
			continue
		}
		switch x.Kind {
		case record.First:
			c.first = &x
		case record.Answered, record.Denied, record.Broken, record.Abandoned:
			c.ends = append(c.ends, x)
		}
	}
}

// joinRequests maps requests to their content by the prefill records, because a
// decode engine knows the content only after the transfer.
func (r *run) joinRequests() {
	for _, x := range r.records {
		if x.Kind == record.Arrival && x.Step == "prefill" && x.Ref != nil {
			r.contentByRequest[x.Ref.Request] = x.Content
		}
	}
}

// content returns the content of the request that a backend server's record refers
// to.
func (r *run) content(x Record) string {
	if x.Ref != nil {
		if c, ok := r.contentByRequest[x.Ref.Request]; ok {
			return c
		}
	}
	return x.Content
}

// workRecords returns the records of a kind at backend servers, except loads of
// versions.
func (r *run) workRecords(kind record.Kind) []Record {
	var out []Record
	for _, x := range r.records {
		if x.Kind == kind && x.Server != "" && x.Step != "load" {
			out = append(out, x)
		}
	}
	return out
}
