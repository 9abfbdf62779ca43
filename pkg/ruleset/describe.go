package ruleset

import (
	"fmt"
	"strings"
)

// describe returns a sentence on the effect of a change for the organisations,
// keys or engines concerned.
func describe(kind ChangeKind, before, after rule) string {
	switch kind {
	case Added:
		return describeAdded(after)
	case Removed:
		return describeRemoved(before)
	case Commented:
		subject := strings.TrimSpace(string(after.kind()) + " " + after.name())
		return fmt.Sprintf("%s: comment is now %q, was %q", subject,
			after.origin().Comment, before.origin().Comment)
	default:
		return describeChanged(before, after)
	}
}

func describeAdded(p rule) string {
	switch p := p.(type) {
	case Domain:
		return fmt.Sprintf("failure domain %s joins with %d slots", p.Name, p.Slots)
	case Organisation:
		return fmt.Sprintf("organisation %s joins with %d tokens per second, burst %d tokens, weight %d; it prefers to %s",
			p.Name, p.Rate, p.Burst, p.Weight, p.Prefer)
	case Model:
		return fmt.Sprintf("model %s joins with versions %s", p.Name, join(p.Versions))
	case Route:
		return fmt.Sprintf("route %s joins: %s", p.Path, describeRoute(p))
	case Allow:
		return fmt.Sprintf("organisation %s gains the use of %s", p.Organisation, p.Target)
	case Key:
		return fmt.Sprintf("key %s starts to work for organisation %s", p.ID, p.Organisation)
	case Fencing:
		return fmt.Sprintf("engines of group %s %s", p.Group, describeFencing(p))
	case Recall:
		return fmt.Sprintf("%s is recalled: it takes no new work and its running work ends", describeRecalled(p))
	default:
		return describeStale(p)
	}
}

func describeRemoved(p rule) string {
	switch p := p.(type) {
	case Domain:
		return fmt.Sprintf("failure domain %s leaves with its %d slots", p.Name, p.Slots)
	case Organisation:
		return fmt.Sprintf("organisation %s leaves and loses %d tokens per second", p.Name, p.Rate)
	case Model:
		return fmt.Sprintf("model %s leaves", p.Name)
	case Route:
		return fmt.Sprintf("route %s leaves; service %s is no longer reached through it", p.Path, p.Service)
	case Allow:
		return fmt.Sprintf("organisation %s loses the use of %s", p.Organisation, p.Target)
	case Key:
		return fmt.Sprintf("key %s of organisation %s stops working: its queued work is refused and its streams end",
			p.ID, p.Organisation)
	case Fencing:
		return fmt.Sprintf("engines of group %s are assumed to ignore fencing numbers", p.Group)
	case Recall:
		return fmt.Sprintf("%s may work again", describeRecalled(p))
	default:
		return "keyed traffic continues however old the configuration is"
	}
}

func describeChanged(before, after rule) string {
	switch a := after.(type) {
	case Domain:
		b := before.(Domain)
		return fmt.Sprintf("failure domain %s: slots %d, was %d", a.Name, a.Slots, b.Slots)
	case Organisation:
		return describeOrganisationChange(before.(Organisation), a)
	case Model:
		b := before.(Model)
		return fmt.Sprintf("model %s: versions %s, was %s", a.Name, join(a.Versions), join(b.Versions))
	case Route:
		return fmt.Sprintf("route %s: %s, was: %s", a.Path, describeRoute(a), describeRoute(before.(Route)))
	case Key:
		return describeKeyChange(before.(Key), a)
	case Fencing:
		return fmt.Sprintf("engines of group %s %s", a.Group, describeFencing(a))
	default:
		return describeStale(a)
	}
}

func describeOrganisationChange(b, a Organisation) string {
	text := fmt.Sprintf("organisation %s:", a.Name)
	number := func(what, unit string, old, new int64) {
		if old == new {
			return
		}
		verb := "gains"
		if new < old {
			verb = "loses"
		}
		text += fmt.Sprintf(" %s %s, now %d%s, was %d;", verb, what, new, unit, old)
	}
	number("rate", " tokens per second", b.Rate, a.Rate)
	number("burst", " tokens", b.Burst, a.Burst)
	number("weight", "", b.Weight, a.Weight)
	if a.Prefer != b.Prefer {
		text += fmt.Sprintf(" prefers to %s, was to %s;", a.Prefer, b.Prefer)
	}
	return text[:len(text)-1]
}

func describeKeyChange(b, a Key) string {
	if a.Organisation == b.Organisation {
		return fmt.Sprintf("key %s of organisation %s has a new secret; the former one stops working",
			a.ID, a.Organisation)
	}
	return fmt.Sprintf("organisation %s loses key %s to organisation %s", b.Organisation, a.ID, a.Organisation)
}

func describeRoute(r Route) string {
	text := "service " + string(r.Service)
	if r.Idempotent {
		text += ", calls may be repeated"
	} else {
		text += ", calls are sent at most once"
	}
	if r.Open {
		return text + ", open to all"
	}
	return text + fmt.Sprintf(", keyed, %d tokens per call", r.Cost)
}

func describeFencing(f Fencing) string {
	if f.Checked {
		return "refuse stale fencing numbers"
	}
	return "ignore fencing numbers"
}

func describeRecalled(r Recall) string {
	switch r.Kind {
	case RecallVersion:
		return fmt.Sprintf("version %s of model %s", r.Version, r.Model)
	case RecallAdapter:
		return fmt.Sprintf("adapter %s", r.Adapter)
	default:
		return fmt.Sprintf("engine group %s", r.Group)
	}
}

func describeStale(p rule) string {
	if s, ok := p.(staleRule); ok && s.Refuse {
		return fmt.Sprintf("keyed traffic is refused once the configuration is older than %s", s.After)
	}
	return "keyed traffic continues however old the configuration is"
}

func join[T ~string](list []T) string {
	text := ""
	for i, v := range list {
		if i > 0 {
			text += ","
		}
		text += string(v)
	}
	return text
}
