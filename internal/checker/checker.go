// Package checker decides from the records of stand-ins and callers whether a run
// kept the ten invariants of docs/design.md. It never uses what the router says
// about itself, except a host's revision for invariant 10.
//
// A checker reports only what the records prove: where the time of an event inside
// the router is unknown, it takes the value that favours the router.
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

// Violation is a broken invariant.
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

// Share is what an organisation may use, in tokens.
type Share struct {
	Rate  float64 // per second
	Burst float64
}

// Key is a caller key of the run.
type Key struct {
	Organisation ident.Organisation
	Secret       string
	Withdrawn    time.Time // zero if it is not
}

// Recall says that a batch was recalled. Empty fields match all.
type Recall struct {
	Time    time.Time
	Ended   time.Time // when the recall was published no more; zero if it still is
	Model   ident.Model
	Version ident.Version
	Group   string
}

// Outage is a time in which a host could not get a new configuration.
type Outage struct {
	Host ident.HostID // all hosts if empty
	From time.Time
	To   time.Time
}

// Config says what a run was allowed to do.
type Config struct {
	End time.Time // end of the recording; the last record if zero

	HoldBound     time.Duration // memory after its caller is gone
	WithdrawBound time.Duration // a withdrawn key
	LeaveBound    time.Duration // new work to a leaving server
	ConfigBound   time.Duration // a published configuration, a recall included
	StopLimit     time.Duration // after it a graceful stop may cut streams; 0 is never

	Organisations map[ident.Organisation]Share
	Keys          map[ident.KeyID]Key
	Allowed       map[ident.Organisation][]ident.Model // no check if nil
	OpenRoutes    []string                             // path prefixes
	Recalls       []Recall
	Hosts         []ident.HostID // that must apply each configuration
	Rejected      []ident.Revision
	Outages       []Outage
}

// DefaultConfig has the bounds of the design page.
func DefaultConfig() Config {
	return Config{
		HoldBound:     5 * time.Second,
		WithdrawBound: 6 * time.Second,
		LeaveBound:    5 * time.Second,
		ConfigBound:   6 * time.Second,
	}
}

// Check returns all violations, by invariant and time.
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

// call is what one caller saw of one request.
type call struct {
	sent  Record
	first *Record
	ends  []Record // Answered, Denied, Broken, Abandoned
}

// endTime returns when the caller was gone, or zero while it waits.
func (c *call) endTime() time.Time {
	if len(c.ends) == 0 {
		return time.Time{}
	}
	return c.ends[0].Time
}

// run is the records of a run with their relations.
type run struct {
	cfg      Config
	records  []Record // by time
	calls    []*call
	contents map[string][]*call // by content
	requests map[ident.RequestID]string
}

func newRun(records []Record, cfg Config) *run {
	r := &run{
		cfg:      cfg,
		records:  slices.Clone(records),
		contents: map[string][]*call{},
		requests: map[ident.RequestID]string{},
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
			r.contents[x.Content] = append(r.contents[x.Content], c)
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

// joinRequests learns the content of a request from its prefill, because a decode
// engine knows it only after the transfer.
func (r *run) joinRequests() {
	for _, x := range r.records {
		if x.Kind == record.Arrival && x.Step == "prefill" && x.Ref != nil {
			r.requests[x.Ref.Request] = x.Content
		}
	}
}

// content returns the content that a record of a backend server is about.
func (r *run) content(x Record) string {
	if x.Ref != nil {
		if c, ok := r.requests[x.Ref.Request]; ok {
			return c
		}
	}
	return x.Content
}

// work lists the records of a kind at backend servers.
func (r *run) work(kind record.Kind) []Record {
	var out []Record
	for _, x := range r.records {
		if x.Kind == kind && x.Server != "" && x.Step != "load" {
			out = append(out, x)
		}
	}
	return out
}
