package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

type statusCommand struct {
	hostOptions
}

type statusReport struct {
	Hosts    []hostStatus `json:"hosts"`
	Problems []string     `json:"problems"`
}

// hostStatus is the status of one host, or the error of fetching it.
type hostStatus struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Status  *status.Status `json:"status,omitempty"`
}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	rows := readStatus(ctx, c.hostOptions)
	report := statusReport{Hosts: rows, Problems: findProblems(rows)}
	s.problems = len(report.Problems) > 0
	return s.print(report, statusTable(rows)+formatProblems(report.Problems))
}

func readStatus(ctx context.Context, h hostOptions) []hostStatus {
	responses := fetchAll[status.Status](ctx, h, status.Path)
	rows := make([]hostStatus, len(responses))
	for i, resp := range responses {
		rows[i].Address = resp.host
		if resp.err != nil {
			rows[i].Error = resp.err.Error()
		} else {
			rows[i].Status = &resp.value
		}
	}
	return rows
}

func statusTable(rows []hostStatus) string {
	return table("ADDRESS\tHOST\tDOMAIN\tSLOT\tSTATE\tREVISION\tDIGEST\tCONFIG AGE\tPEERS\tDOMAINS\tIN FLIGHT\tREFUSED",
		rows, func(r hostStatus) string {
			if r.Status == nil {
				return fmt.Sprintf("%s\tunreachable: %s", r.Address, r.Error)
			}
			s := r.Status
			return fmt.Sprintf("%s\t%s@%d\t%s\t%d\t%s\t%d\t%.8s\t%s\t%s\t%s\t%d\t%s",
				r.Address, s.Host, s.Incarnation, s.Domain, s.Slot, stateName(s), s.Revision, s.Digest,
				time.Duration(s.ConfigAgeMS)*time.Millisecond, livePeers(s), reachableDomains(s),
				s.InFlight, formatRefused(s.Refused))
		})
}

// table formats a header and one line for each row in aligned columns.
func table[T any](header string, rows []T, line func(T) string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, r := range rows {
		fmt.Fprintln(w, line(r))
	}
	_ = w.Flush()
	return b.String()
}

func stateName(s *status.Status) string {
	word := "not ready"
	switch {
	case s.Leaving:
		word = "leaving"
	case s.Ready:
		word = "ready"
	}
	if s.Stale {
		word += ", stale"
	}
	return word
}

func livePeers(s *status.Status) string {
	live := 0
	for _, p := range s.Peers {
		if p.State == status.Live {
			live++
		}
	}
	return fmt.Sprintf("%d of %d live", live, len(s.Peers))
}

func reachableDomains(s *status.Status) string {
	reachable := 0
	for _, d := range s.Domains {
		if d.Reachable {
			reachable++
		}
	}
	return fmt.Sprintf("%d of %d reached", reachable, len(s.Domains))
}

func formatRefused(refused map[string]uint64) string {
	var words []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		words = append(words, fmt.Sprintf("%s=%d", reason, refused[reason]))
	}
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, " ")
}

func formatProblems(problems []string) string {
	var b strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	return b.String()
}

// findProblems reports hosts that are not serving and hosts with conflicting
// state. Different revisions alone are not a problem, since a generation takes
// seconds to reach every host.
func findProblems(rows []hostStatus) []string {
	problems := []string{}
	digests := map[ident.Revision]hostStatus{}
	slots := map[slot]hostStatus{}
	for _, r := range rows {
		s := r.Status
		if s == nil {
			problems = append(problems, fmt.Sprintf("%s is unreachable", r.Address))
			continue
		}
		if s.Stale {
			problems = append(problems, fmt.Sprintf("%s refuses keyed traffic: its configuration is stale", r.Address))
		}
		if !s.Ready && !s.Leaving {
			problems = append(problems, fmt.Sprintf("%s is not ready", r.Address))
		}
		if other, ok := digests[s.Revision]; ok && other.Status.Digest != s.Digest {
			problems = append(problems, fmt.Sprintf("%s and %s have different rules of revision %d",
				other.Address, r.Address, s.Revision))
		}
		at := slot{s.Domain, s.Slot}
		if other, ok := slots[at]; ok && other.Status.Host != s.Host {
			problems = append(problems, fmt.Sprintf("%s and %s both have slot %d of domain %s",
				other.Address, r.Address, s.Slot, s.Domain))
		}
		digests[s.Revision], slots[at] = r, r
	}
	return problems
}

type slot struct {
	domain ident.FailureDomain
	number ident.Slot
}
