package relaysoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// revokeBound is the time within which the platform requires a withdrawn key to stop
// working, as in the settings.
const revokeBound = 5 * time.Second

// execution is one execution of a request at a backend server.
type execution struct {
	platformtest.Run
	server string
}

// check returns the guarantees that the run broke, one message for each violation.
func (x *run) check() []string {
	var violations []string
	fail := func(c *call, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s: ", c.id, c.path)+fmt.Sprintf(format, args...))
	}
	runs := x.executions()
	for _, c := range x.calls {
		x.checkAnswer(c, fail)
		x.checkRuns(c, runs[c.id], fail)
	}
	byID := map[string]*call{}
	for _, c := range x.calls {
		byID[c.id] = c
	}
	for _, s := range x.d.servers {
		x.checkLeaving(s, byID, fail)
		x.checkWaits(s, byID, fail)
		x.checkLimit(s, byID, fail)
		checkReservations(s.ID, s.Runs(), byID, fail)
	}
	x.checkCrashes(byID, fail)
	x.checkVersions(fail)
	return violations
}

func (x *run) executions() map[string][]execution {
	runs := map[string][]execution{}
	for _, s := range x.d.servers {
		for _, r := range s.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], execution{r, s.ID})
		}
	}
	return runs
}

func (x *run) checkAnswer(c *call, fail func(*call, string, ...any)) {
	success := c.status >= 200 && c.status < 300
	switch {
	case success && c.err == nil && !c.complete():
		fail(c, "success with %d bytes that are not the complete answer: %q", len(c.body), c.body)
	case success && c.header.Get("X-Response-Signature") == "":
		fail(c, "success without the backend server's signature")
	case !c.disconnects && c.err != nil && c.duration >= deadline+deadlineSlack:
		fail(c, "no answer after %v", c.duration)
	}
}

func (x *run) checkRuns(c *call, runs []execution, fail func(*call, string, ...any)) {
	once := strings.HasPrefix(c.path, "/post") || strings.HasPrefix(c.path, "/verdict")
	if once && len(runs) > 1 {
		fail(c, "executed %d times", len(runs))
	}
	if (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && once && len(runs) > 0 {
		fail(c, "answered %d but executed at %s", c.status, runs[0].server)
	}
	for _, r := range runs {
		x.checkRun(c, r, fail)
	}
}

// checkReservations checks that no reservation at a server is used by two of its runs.
func checkReservations(server string, runs []platformtest.Run, byID map[string]*call, fail func(*call, string, ...any)) {
	users := map[string]string{}
	for _, r := range runs {
		hold := r.Header.Get("X-Kv-Hold")
		c := byID[r.RequestID]
		if hold == "" || c == nil {
			continue
		}
		if user, used := users[hold]; used {
			fail(c, "used reservation %s at %s after %s", hold, server, user)
		}
		users[hold] = r.RequestID
	}
}

func (x *run) checkRun(c *call, r execution, fail func(*call, string, ...any)) {
	open := strings.HasPrefix(c.path, "/open")
	if r.Header.Get("Authorization") != "" {
		fail(c, "%s received the caller's key", r.server)
	}
	if !open && r.Header.Get("X-Tenant") != "org" {
		fail(c, "executed for organisation %q", r.Header.Get("X-Tenant"))
	}
	if r.URI != c.path {
		fail(c, "executed with path %q", r.URI)
	}
	late := !x.revoked.IsZero() && c.sent.After(x.revoked.Add(revokeBound))
	if !open && late && c.key == platformtest.Key {
		fail(c, "executed %v after its key was withdrawn", c.sent.Sub(x.revoked))
	}
}
