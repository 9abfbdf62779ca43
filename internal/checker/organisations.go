package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// checkOrganisations finds work without a valid key, keys that leaked to a backend
// server, and keys that were accepted after their withdrawal.
func checkOrganisations(r *run) []Violation {
	out := r.visibleKeys()
	out = append(out, r.workWithoutKey()...)
	return append(out, r.withdrawnKeys()...)
}

func (r *run) visibleKeys() []Violation {
	var out []Violation
	for _, x := range r.records {
		if x.Server == "" {
			continue
		}
		if where := r.keyIn(x); where != "" {
			out = append(out, Violation{Invariant: 3, Time: x.Time, Subject: x.Server, Detail: "received a key in " + where})
		}
	}
	return out
}

// keyIn returns the part of a record that contains a key, or an empty string.
func (r *run) keyIn(x Record) string {
	for _, h := range x.Headers {
		name, _, _ := strings.Cut(h, ":")
		if strings.EqualFold(name, "Authorization") || r.hasSecret(h) {
			return "header " + name
		}
	}
	if r.hasSecret(x.Path) {
		return "path"
	}
	return ""
}

func (r *run) hasSecret(s string) bool {
	for _, k := range r.cfg.Keys {
		if k.Secret != "" && strings.Contains(s, k.Secret) {
			return true
		}
	}
	return false
}

// workWithoutKey finds work that no call with a valid key requested.
func (r *run) workWithoutKey() []Violation {
	if len(r.calls) == 0 {
		return nil
	}
	var out []Violation
	for _, x := range r.workRecords(record.Start) {
		why := "no call requested it"
		for _, c := range r.callsByContent[r.content(x)] {
			if why = r.unauthorisedReason(c, x); why == "" {
				break
			}
		}
		if why != "" {
			out = append(out, Violation{
				Invariant: 3, Time: x.Time, Subject: x.Server,
				Detail: fmt.Sprintf("%s of %s: %s", x.Step, r.content(x), why),
			})
		}
	}
	return out
}

// unauthorisedReason says why a call does not authorise the work that was started.
// It returns an empty string if it does.
func (r *run) unauthorisedReason(c *call, start Record) string {
	if r.onOpenRoute(c) {
		return ""
	}
	k, ok := r.cfg.Keys[c.sent.Key]
	switch {
	case !ok:
		return fmt.Sprintf("unknown key %q", c.sent.Key)
	case k.Organisation != c.sent.Organisation:
		return fmt.Sprintf("key of %s used by %s", k.Organisation, c.sent.Organisation)
	case !k.Withdrawn.IsZero() && start.Time.After(k.Withdrawn.Add(r.cfg.WithdrawBound)):
		return fmt.Sprintf("key %s withdrawn", c.sent.Key)
	case r.cfg.Allowed != nil && !slices.Contains(r.cfg.Allowed[k.Organisation], start.Model):
		return fmt.Sprintf("%s may not use %s", k.Organisation, start.Model)
	}
	return ""
}

func (r *run) onOpenRoute(c *call) bool {
	return slices.ContainsFunc(r.cfg.OpenRoutes, func(p string) bool { return strings.HasPrefix(c.sent.Path, p) })
}

// withdrawnKeys finds answers that completed later than the bound after the
// withdrawal of their key.
func (r *run) withdrawnKeys() []Violation {
	var out []Violation
	for _, c := range r.calls {
		k := r.cfg.Keys[c.sent.Key]
		if k.Withdrawn.IsZero() || r.onOpenRoute(c) {
			continue
		}
		for _, e := range c.ends {
			late := e.Time.Sub(k.Withdrawn)
			if e.Kind == record.Answered && late > r.cfg.WithdrawBound {
				out = append(out, Violation{
					Invariant: 3, Time: e.Time, Subject: c.sent.Call,
					Detail: fmt.Sprintf("answered %v after key %s was withdrawn", late, c.sent.Key),
				})
			}
		}
	}
	return out
}
