package relaysoak

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// period is a span of time.
type period struct{ begin, end time.Time }

const (
	// drainBound is the time within which a host must stop sending new requests to a server
	// that has announced that it leaves, as in the users' settings.
	drainBound = 2 * time.Second
	// waitSlack and waitRequests are the users' bound for a server that has asked for time:
	// two requests from half a second after its refusal until the end of that time.
	waitSlack    = 500 * time.Millisecond
	waitRequests = 2
	// limitWindow, limitFactor and limitSlack are the users' bound for a server that has named
	// a limit: in each window one and a half times what the limit allows, and five more, from
	// the hosts that have passed on an answer with it limitNews before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNews   = 500 * time.Millisecond
	// crashBound and crashAttempts are the users' bound for a request that crashes the servers
	// that run it: three more attempts from three seconds after the third crash on.
	crashBound    = 3 * time.Second
	crashAttempts = 3
)

// rule is a rule about what servers say of themselves.
type rule string

const (
	leavingRule rule = "leaving"
	waitRule    rule = "wait"
	limitRule   rule = "limit"
	crashRule   rule = "crash"
	versionRule rule = "version"
)

// binds reports whether a host keeps a rule: its program is the current one, or OLD_LACKS,
// a list of rules joined by +, does not have the rule among those that the earlier one lacks.
func (x *run) binds(host string, r rule) bool {
	return !x.d.earlier[host] || !slices.Contains(strings.Split(os.Getenv("OLD_LACKS"), "+"), string(r))
}

// excused reports whether a host was restarted or paused in a time.
func (x *run) excused(host string, begin, end time.Time) bool {
	for _, p := range x.disturbed[host] {
		if p.begin.Before(end) && begin.Before(p.end) {
			return true
		}
	}
	return false
}

// process returns the number of the server's process at a time.
func (s *server) process(at time.Time) int {
	n := 0
	for _, r := range s.restarts {
		if r.Before(at) {
			n++
		}
	}
	return n
}

// checkLeaving checks that no host sends new requests to a process of a server later than
// drainBound after it has passed on an answer that announced that the process leaves.
func (x *run) checkLeaving(s *server, calls map[string]*call, fail func(*call, string, ...any)) {
	type key struct {
		host    string
		process int
	}
	told := map[key]time.Time{}
	for _, a := range s.Arrivals() {
		c := calls[a.RequestID]
		if c == nil || c.err != nil || !a.Leaving {
			continue
		}
		k := key{c.host, s.process(a.At)}
		if at := c.sent.Add(c.duration); told[k].IsZero() || at.Before(told[k]) {
			told[k] = at
		}
	}
	for _, a := range s.Arrivals() {
		c := calls[a.RequestID]
		if c == nil || a.Method == http.MethodDelete || !x.binds(c.host, leavingRule) {
			continue
		}
		at := told[key{c.host, s.process(a.At)}]
		if !at.IsZero() && c.sent.Sub(at) > drainBound && !x.excused(c.host, at, a.At) {
			fail(c, "reached %s %v after %s had passed on that it leaves", s.ID, c.sent.Sub(at), c.host)
		}
	}
}

// checkWaits checks that a server that has asked a host for time gets at most waitRequests
// from it meanwhile.
func (x *run) checkWaits(s *server, calls map[string]*call, fail func(*call, string, ...any)) {
	arrivals := s.Arrivals()
	for i, refusal := range arrivals {
		asked := calls[refusal.RequestID]
		silent := !s.silenceAt.IsZero() && refusal.At.After(s.silenceAt)
		if asked == nil || refusal.Wait == 0 || silent || !x.binds(asked.host, waitRule) {
			continue
		}
		n, until := 0, refusal.At.Add(refusal.Wait)
		for _, a := range arrivals[i+1:] {
			if c := calls[a.RequestID]; c != nil && c.host == asked.host && a.At.Sub(refusal.At) > waitSlack && a.At.Before(until) {
				n++
			}
		}
		if n > waitRequests && !x.excused(asked.host, refusal.At, until) {
			fail(asked, "%d requests reached %s while it had asked %s for %v", n, s.ID, asked.host, refusal.Wait)
		}
	}
}

// checkLimit checks that a server that names a limit gets no more than the bound from the
// hosts that have passed that on, over all of them together.
func (x *run) checkLimit(s *server, calls map[string]*call, fail func(*call, string, ...any)) {
	told := map[string]time.Time{}
	var counted []platformtest.Arrival
	for _, a := range s.Arrivals() {
		c := calls[a.RequestID]
		if a.Limit == "" {
			x.checkWindows(s, counted, calls, fail)
			told, counted = map[string]time.Time{}, nil
			continue
		}
		if c == nil {
			continue
		}
		if at := told[c.host]; !at.IsZero() && a.At.Sub(at) > limitNews && x.binds(c.host, limitRule) && !x.excused(c.host, at, a.At) {
			counted = append(counted, a)
		}
		if at := c.sent.Add(c.duration); c.err == nil && (told[c.host].IsZero() || at.Before(told[c.host])) {
			told[c.host] = at
		}
	}
	x.checkWindows(s, counted, calls, fail)
}

func (x *run) checkWindows(s *server, counted []platformtest.Arrival, calls map[string]*call, fail func(*call, string, ...any)) {
	allowed := int(limitFactor*serverLimit*limitWindow.Seconds()) + limitSlack
	for i := range counted {
		n := 0
		for _, a := range counted[i:] {
			if a.At.Sub(counted[i].At) <= limitWindow {
				n++
			}
		}
		if n > allowed {
			fail(calls[counted[i].RequestID], "%s, which had named a limit of %d a second, got %d requests in %v, allowed %d", s.ID, serverLimit, n, limitWindow, allowed)
			return
		}
	}
}

// checkCrashes checks that a request that has crashed three servers reaches no more than
// crashAttempts of them later, sent by hosts that have been running since.
func (x *run) checkCrashes(calls map[string]*call, fail func(*call, string, ...any)) {
	runs := map[string][]platformtest.Run{}
	for _, s := range x.d.servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.Body, crashBody) {
				runs[r.Body] = append(runs[r.Body], r)
			}
		}
	}
	for body, all := range runs {
		slices.SortFunc(all, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
		var crashed []platformtest.Run
		late := 0
		for _, r := range all {
			c := calls[r.RequestID]
			if r.Crashed {
				crashed = append(crashed, r)
			}
			if c == nil || len(crashed) < 3 || !x.binds(c.host, crashRule) {
				continue
			}
			if third := crashed[2].At; r.At.Sub(third) > crashBound && !x.excused(c.host, third, r.At) {
				late++
			}
		}
		if late > crashAttempts {
			fail(calls[all[0].RequestID], "the request of %s reached servers %d times after the bound; it crashed %d", body, late, len(crashed))
		}
	}
}
