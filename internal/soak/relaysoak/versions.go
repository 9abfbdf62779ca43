package relaysoak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	// releasePause is how long an engine is away when it starts again with another version.
	releasePause = time.Second
	// resumeTries is how often a caller tries to resume a stream that has broken.
	resumeTries = 3
	// resumedStreams and resumedShare are the users' bound for streams that callers resume
	// while two engines of their version serve: of that many, the share that goes on is at
	// least that share of the share of new streams that begin.
	resumedStreams = 12
	resumedShare   = 0.5
	// settleTime is how long after a fault the bound does not hold.
	settleTime = 3 * time.Second
	// releaseFault is the name of the fault in which two versions serve.
	releaseFault = "release"
)

// releaseEngines starts half of the decode engines again with another version of their
// software, under their ids. The repair does so with the others.
func releaseEngines(x *run) func() error {
	return injectAt(x, []string{releaseFault}, func(string) func() error {
		x.mu.Lock()
		x.versions++
		version := fmt.Sprint("v", 1+x.versions)
		x.mu.Unlock()
		halves := [2][]*server{}
		for i, s := range x.engines() {
			halves[i%2] = append(halves[i%2], s)
		}
		if err := x.restartEngines(halves[0], version); err != nil {
			return func() error { return err }
		}
		begin := time.Now()
		return func() error {
			x.mu.Lock()
			x.mixed = append(x.mixed, period{begin, time.Now()})
			x.mu.Unlock()
			return x.restartEngines(halves[1], version)
		}
	})
}

func (x *run) engines() []*server {
	var engines []*server
	for _, s := range x.d.servers {
		if s.Stage == "decode" {
			engines = append(engines, s)
		}
	}
	return engines
}

// restartEngines ends engines and starts them again later with a version.
func (x *run) restartEngines(engines []*server, version string) error {
	for _, s := range engines {
		s.Close()
		x.d.store.Delete("servers/" + s.ID)
	}
	time.Sleep(releasePause)
	var errs []error
	for _, s := range engines {
		errs = append(errs, s.Restart(version))
		s.mu.Lock()
		s.restarts = append(s.restarts, time.Now())
		s.mu.Unlock()
		errs = append(errs, x.d.publishServer(s, "ready"))
	}
	return errors.Join(errs...)
}

// killHosts kills all hosts without another fault at once and starts them again.
func killHosts(x *run) func() error {
	x.mu.Lock()
	var hosts []*process
	for _, h := range x.d.hosts {
		if !x.targeted[h] {
			x.targeted[h] = true
			hosts = append(hosts, h)
		}
	}
	x.mu.Unlock()
	var ends []func()
	for _, h := range hosts {
		ends = append(ends, x.disturb(h))
		h.signal(syscall.SIGKILL)
	}
	var errs []error
	for _, h := range hosts {
		h.wait()
		errs = append(errs, x.d.startProcess(h))
	}
	return func() error {
		for i, h := range hosts {
			errs = append(errs, x.d.awaitReady(h))
			ends[i]()
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, h := range hosts {
			delete(x.targeted, h)
		}
		return errors.Join(errs...)
	}
}

// parts returns the events that a caller has received.
func (c *call) parts() []platformtest.Part { return platformtest.Parts(c.body) }

// broken reports whether a call is a stream that broke and may be resumed.
func (c *call) broken() bool {
	return strings.HasPrefix(c.path, "/summary") && c.status == http.StatusOK && c.err != nil && len(c.parts()) > 0
}

// resume resumes a stream that has broken, at any host, and returns the calls.
func (x *run) resume(client *http.Client, first *call) []*call {
	var all []*call
	received := len(first.parts())
	for try := range resumeTries {
		c := &call{
			id: fmt.Sprintf("%s-again-%d", first.id, try), path: first.path + fmt.Sprint("-again-", try), key: x.key(),
			resumes: first, after: received,
		}
		x.send(client, c)
		all = append(all, c)
		received += len(c.parts())
		switch {
		case c.status == http.StatusOK && c.err == nil:
			return all
		case c.status == http.StatusServiceUnavailable:
			wait, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64)
			if err != nil {
				return all
			}
			time.Sleep(min(time.Second, time.Duration(wait*float64(time.Second))))
		}
	}
	return all
}

// checkVersions checks that no stream holds events of two versions of an engine's software,
// in one answer or over all answers to its caller, and that enough streams are resumed.
func (x *run) checkVersions(fail func(*call, string, ...any)) {
	versions := map[*call][]string{}
	resumed := map[*call][]*call{}
	for _, c := range x.calls {
		first := c
		if c.resumes != nil {
			first = c.resumes
			resumed[first] = append(resumed[first], c)
		}
		for _, p := range c.parts() {
			// What the hosts that go on with a stream do binds only those that know the rule.
			if !slices.Contains(versions[first], p.Version) && (len(versions[first]) == 0 || x.binds(c.host, versionRule)) {
				versions[first] = append(versions[first], p.Version)
			}
		}
	}
	for first, found := range versions {
		if len(found) > 1 {
			text := ""
			for _, c := range append([]*call{first}, resumed[first]...) {
				text += fmt.Sprintf("; %s at %s, %.2fs: %d, %v", c.id, c.host, c.sent.Sub(x.started).Seconds(), c.status, c.parts())
			}
			fail(first, "the stream holds events of the versions %v%s", found, text)
		}
	}
	x.checkResumed(resumed, fail)
}

// checkResumed checks the share of the streams that go on while two versions serve and
// nothing else disturbs the fleet.
func (x *run) checkResumed(resumed map[*call][]*call, fail func(*call, string, ...any)) {
	begun, streams := 0, 0
	x.resumed, x.wentOn = 0, 0
	var first *call
	for _, c := range x.calls {
		if c.resumes != nil || c.disconnects || !c.isStream() || !x.onlyMixed(c.sent, c.sent.Add(c.duration)) {
			continue
		}
		streams++
		if len(c.parts()) > 0 {
			begun++
		}
	}
	for c, again := range resumed {
		last := again[len(again)-1]
		if !x.onlyMixed(c.sent, last.sent.Add(last.duration)) {
			continue
		}
		x.resumed++
		if slices.ContainsFunc(again, func(c *call) bool { return len(c.parts()) > 0 }) {
			x.wentOn++
		} else {
			first = c
		}
	}
	if x.resumed < resumedStreams || streams == 0 {
		return
	}
	share, newShare := float64(x.wentOn)/float64(x.resumed), float64(begun)/float64(streams)
	if share < resumedShare*newShare {
		fail(first, "of %d streams that were resumed %d went on, of %d new ones %d began", x.resumed, x.wentOn, streams, begun)
	}
}

// onlyMixed reports whether two versions served all the time and there was no other fault.
func (x *run) onlyMixed(begin, end time.Time) bool {
	mixed := slices.ContainsFunc(x.mixed, func(p period) bool { return !begin.Before(p.begin) && end.Before(p.end) })
	return mixed && !slices.ContainsFunc(x.others, func(p period) bool {
		return p.begin.Before(end) && begin.Before(p.end.Add(settleTime))
	})
}
