package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// use is what one request used. It was admitted between sent and start.
type use struct {
	sent   time.Time
	start  time.Time // first work at a backend server
	tokens float64   // prompt plus produced output
}

// checkRates finds windows in which an organisation used more than its rate and
// burst. The use counts at admission, whose time lies between sending and first
// work, so a window has the use of the requests that were sent and started in it.
func checkRates(r *run) []Violation {
	uses := r.uses()
	var out []Violation
	for _, org := range sortedKeys(r.cfg.Organisations) {
		if v, ok := judgeRate(org, r.cfg.Organisations[org], uses[org]); ok {
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

// uses returns the use of each organisation. Work of a second attempt counts
// once, because the router's own retries are not the organisation's use.
func (r *run) uses() map[ident.Organisation][]use {
	byContent := map[string]*use{}
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
			u = &use{start: x.Time}
			byContent[content] = u
			order = append(order, content)
		}
		u.tokens = max(u.tokens, float64(x.Prompt+x.Tokens))
	}
	out := map[ident.Organisation][]use{}
	for _, content := range order {
		calls := r.contents[content]
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

// judgeRate returns the window with the largest excess.
func judgeRate(org ident.Organisation, s Share, uses []use) (Violation, bool) {
	slices.SortFunc(uses, func(a, b use) int { return a.start.Compare(b.start) })
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
			if over > excess+tolerance {
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

// tolerance absorbs rounding, in tokens.
const tolerance = 1e-6
