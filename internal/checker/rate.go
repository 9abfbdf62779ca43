package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// usage is the token usage of one request, which was admitted between sent and
// start.
type usage struct {
	sent   time.Time
	start  time.Time // first work on a backend server
	tokens float64   // prompt and generated output
}

// checkRates finds time windows in which an organisation used more tokens than its
// rate and burst allow. Usage counts at admission. Its time is only known to lie
// between sending and first work, so a window includes only requests that were both
// sent and started within it.
func checkRates(r *run) []Violation {
	uses := r.usageByOrganisation()
	var out []Violation
	for _, org := range sortedKeys(r.cfg.Organisations) {
		if v, ok := largestExcess(org, r.cfg.Organisations[org], uses[org]); ok {
			out = append(out, v)
		}
	}
	return out
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	var out []K
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// usageByOrganisation returns the usage of each organisation. Several attempts of a
// request count once, because the router's own retries are not charged.
func (r *run) usageByOrganisation() map[ident.Organisation][]usage {
	byContent := map[string]*usage{}
	var order []string
	for _, x := range r.records {
		if x.Server == "" || x.Step == "call" || x.Step == "load" {
			continue
		}
		content := r.content(x)
		u := byContent[content]
		if u == nil {
			if x.Kind != record.Start {
				continue
			}
			u = &usage{start: x.Time}
			byContent[content] = u
			order = append(order, content)
		}
		u.tokens = max(u.tokens, float64(x.Prompt+x.Tokens))
	}
	out := map[ident.Organisation][]usage{}
	for _, content := range order {
		calls := r.callsByContent[content]
		if len(calls) == 0 {
			continue
		}
		u := byContent[content]
		u.sent = calls[0].sent.Time
		org := calls[0].sent.Organisation
		out[org] = append(out[org], *u)
	}
	return out
}

// largestExcess returns the violation with the largest excess over the limit. It
// returns false if there is none.
func largestExcess(org ident.Organisation, s RateLimit, uses []usage) (Violation, bool) {
	slices.SortFunc(uses, func(a, b usage) int { return a.start.Compare(b.start) })
	var worst Violation
	excess := 0.0
	for _, from := range uses {
		total := 0.0
		for _, u := range uses {
			if u.sent.Before(from.sent) {
				continue
			}
			total += u.tokens
			window := u.start.Sub(from.sent)
			over := total - s.Burst - s.Rate*window.Seconds()
			if over > excess+tokenTolerance {
				excess = over
				worst = Violation{
					Invariant: 4, Time: from.sent, Subject: string(org),
					Detail: fmt.Sprintf("%.0f tokens in %v, at most %.0f", total, window, total-over),
				}
			}
		}
	}
	return worst, excess > 0
}

// tokenTolerance, in tokens, absorbs floating-point rounding.
const tokenTolerance = 1e-6
