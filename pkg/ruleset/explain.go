package ruleset

import (
	"fmt"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Reason is a rule that affects a decision. Line is 0 if the reason is that a
// rule is missing.
type Reason struct {
	Line int    `json:"line,omitempty"`
	Rule string `json:"rule,omitempty"` // canonical rule with its comment
	Text string `json:"text"`
}

// Explanation reports whether an organisation may use a model or service now and
// which rule decides it.
type Explanation struct {
	Organisation ident.Organisation `json:"organisation"`
	Target       ident.Model        `json:"target"`
	Allowed      bool               `json:"allowed"`
	Decision     Reason             `json:"decision"`
	Reasons      []Reason           `json:"reasons,omitempty"`  // other rules that apply
	Versions     []ident.Version    `json:"versions,omitempty"` // versions that may run, preferred first
}

// Explain reports which rule decides whether an organisation may use a model or
// service. Recalls of adapters and engine groups affect single requests and
// engines, so they are listed as reasons and do not change the decision.
func (r *Rules) Explain(o ident.Organisation, target ident.Model) Explanation {
	e := Explanation{Organisation: o, Target: target}
	organisation, known := r.organisations[o]
	if !known {
		e.Decision = missingRule("no rule declares organisation %q", o)
		return e
	}
	services := r.routesTo(target)
	model, isModel := r.models[target]
	if !isModel && len(services) == 0 {
		e.Decision = missingRule("no rule declares a model or service %q", target)
		return e
	}
	allow, ok := r.allows[allowKey{o, target}]
	if !ok {
		e.Decision = missingRule("no rule allows organisation %q the use of %q", o, target)
		e.Reasons = openRoutes(services)
		return e
	}
	e.Allowed = true
	e.Decision = newReason(allow, "organisation %s may use %s", o, target)
	e.Reasons = append(e.Reasons, newReason(organisation,
		"%d tokens per second, burst %d tokens, over all hosts together", organisation.Rate, organisation.Burst))
	for _, s := range services {
		e.Reasons = append(e.Reasons, newReason(s, "%s", describeRoute(s)))
	}
	if isModel {
		r.explainVersions(&e, model)
	}
	return e
}

func (r *Rules) explainVersions(e *Explanation, m Model) {
	var last Reason
	for _, v := range m.Versions {
		recall, ok := r.recalls[recallKey{kind: RecallVersion, model: m.Name, name: string(v)}]
		if !ok {
			e.Versions = append(e.Versions, v)
			continue
		}
		last = newReason(recall, "version %s is recalled", v)
		e.Reasons = append(e.Reasons, last)
	}
	if len(e.Versions) == 0 {
		e.Allowed = false
		e.Reasons = append(e.Reasons[:len(e.Reasons)-1], e.Decision)
		e.Decision = last
		e.Decision.Text = fmt.Sprintf("every version of model %s is recalled", m.Name)
	} else {
		e.Reasons = append(e.Reasons, newReason(m, "versions that may run: %s", join(e.Versions)))
	}
	for _, recall := range r.Recalls() {
		if recall.Kind != RecallVersion {
			e.Reasons = append(e.Reasons, newReason(recall, "%s is recalled", describeRecalled(recall)))
		}
	}
}

func (r *Rules) routesTo(service ident.Model) []Route {
	var out []Route
	for _, route := range r.Routes() {
		if route.Service == service {
			out = append(out, route)
		}
	}
	return out
}

func openRoutes(routes []Route) []Reason {
	var out []Reason
	for _, route := range routes {
		if route.Open {
			out = append(out, newReason(route, "open to all, without a key"))
		}
	}
	return out
}

func newReason(p rule, text string, args ...any) Reason {
	o := p.origin()
	return Reason{Line: o.Line, Rule: p.String() + " # " + o.Comment, Text: fmt.Sprintf(text, args...)}
}

func missingRule(text string, args ...any) Reason {
	return Reason{Text: fmt.Sprintf(text, args...)}
}

// String returns the explanation as text, one reason on each line.
func (e Explanation) String() string {
	var b strings.Builder
	verdict := "refused"
	if e.Allowed {
		verdict = "allowed"
	}
	fmt.Fprintf(&b, "%s: organisation %s, %s\n", verdict, e.Organisation, e.Target)
	fmt.Fprintf(&b, "decided by %s\n", e.Decision)
	for _, r := range e.Reasons {
		fmt.Fprintf(&b, "also %s\n", r)
	}
	return b.String()
}

// String returns the reason on one line.
func (r Reason) String() string {
	if r.Line == 0 {
		return r.Text
	}
	return fmt.Sprintf("line %d: %s (%s)", r.Line, r.Text, r.Rule)
}
