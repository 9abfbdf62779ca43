package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// checkOrganisations finds work without a valid key, keys that a backend server
// could see and keys that work after their withdrawal.
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
			out = append(out, Violation{Invariant: 3, Time: x.Time, Subject: x.Server, Detail: "sees a key in " + where})
		}
	}
	return out
}

// keyIn names the part of a record that has a key.
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

// workWithoutKey finds work that no call with a valid key asked for.
func (r *run) workWithoutKey() []Violation {
	if len(r.calls) == 0 {
		return nil
	}
	var out []Violation
	for _, x := range r.work(record.Start) {
		why := "no call asked for it"
		for _, c := range r.contents[r.content(x)] {
			if why = r.unentitled(c, x); why == "" {
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

// unentitled says why a call does not entitle its caller to work that started.
func (r *run) unentitled(c *call, start Record) string {
	if r.open(c) {
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

func (r *run) open(c *call) bool {
	return slices.ContainsFunc(r.cfg.OpenRoutes, func(p string) bool { return strings.HasPrefix(c.sent.Path, p) })
}

// withdrawnKeys finds answers that ended well after the withdrawal of their key.
func (r *run) withdrawnKeys() []Violation {
	var out []Violation
	for _, c := range r.calls {
		k := r.cfg.Keys[c.sent.Key]
		if k.Withdrawn.IsZero() || r.open(c) {
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
