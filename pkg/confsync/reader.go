package confsync

import (
	"errors"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// errLowerRevision treats a lower platform revision as a failed read, which is retried
// with a delay.
var errLowerRevision = errors.New("platform has a lower revision")

// reader holds the state that decides whether and when this host reads the platform.
type reader struct {
	expectedSince map[ident.HostID]time.Time // when this host first expected another one to read

	outstanding     bool
	discardOutcome  bool      // the outstanding read began before a pause
	overdueAt       time.Time // after this an outstanding read counts as failed
	nextRead        time.Time // earliest next read
	platformVersion uint64    // of the last platform answer; zero makes the next read a plain one
	failures        int
	answered        bool // the platform has answered since the start or the last pause
	lastAnswer      time.Time
	everAnswered    bool
}

func newReader() reader {
	return reader{expectedSince: map[ident.HostID]time.Time{}}
}

// resumed marks a read that was outstanding during a pause, so that its outdated
// outcome is discarded. The outcome is still awaited for readMargin, so that it is not
// mistaken for that of the next read.
func (r *reader) resumed(now time.Time) {
	clear(r.expectedSince)
	r.answered = false
	r.discardOutcome = r.outstanding
	r.overdueAt = now.Add(readMargin)
	r.failures, r.platformVersion = 0, 0
}

// PlatformSilent returns the time since this host's last platform answer. A pending
// watch does not count as an answer.
func (s *Sync) PlatformSilent(now time.Time) time.Duration {
	if !s.reader.everAnswered {
		return neverAnswered
	}
	return now.Sub(s.reader.lastAnswer)
}

// Age returns the time since the platform last answered this host or a peer whose
// revision is not above the one in force.
func (s *Sync) Age(now time.Time) time.Duration {
	age := s.PlatformSilent(now)
	for _, p := range s.peers {
		if p.Revision != 0 && s.hasCurrent && p.Revision <= s.current.Revision {
			age = min(age, p.PlatformSilent)
		}
	}
	return age
}

// shouldRead reports whether this host should read. Hosts are expected to read in
// rendezvous order until Readers of them do. A host that has been expected for longer
// than ReaderTimeout and still reports no recent platform answer does not count, and
// the next one reads too. backoffFactor multiplies the longest delay after a failure:
// while the platform is down every host reads, and the more hosts there are, the less
// often each needs to.
func (s *Sync) shouldRead(now time.Time) (reads bool, backoffFactor int) {
	backoffFactor = 1
	hosts := []ident.HostID{s.cfg.Self.Host}
	silent := map[ident.HostID]time.Duration{}
	for _, p := range s.peers {
		if p.Remote || p.Host == s.cfg.Self.Host {
			continue
		}
		hosts = append(hosts, p.Host)
		silent[p.Host] = p.PlatformSilent
	}
	expected := make(map[ident.HostID]time.Time, s.cfg.Readers)
	working := 0
	for i, h := range ident.Rank("reader/"+string(s.cfg.Domain), hosts) {
		if working == s.cfg.Readers {
			break
		}
		if h == s.cfg.Self.Host {
			reads = true
			if i >= s.cfg.Readers {
				backoffFactor = min(maxBackoffFactor, max(1, len(hosts)/s.cfg.Readers))
			}
			break
		}
		since, ok := s.reader.expectedSince[h]
		if !ok {
			since = now
		}
		expected[h] = since
		if now.Sub(since) <= s.cfg.ReaderTimeout || silent[h] <= s.cfg.ReaderTimeout {
			working++
		}
	}
	s.reader.expectedSince = expected
	return reads, backoffFactor
}

// tickReader starts a read if this host should read, or if since its start or last pause
// it is not yet ready and the platform has not answered it.
func (s *Sync) tickReader(now time.Time, res *Result) {
	r := &s.reader
	if r.outstanding && now.After(r.overdueAt) {
		r.outstanding, r.discardOutcome = false, false
		s.scheduleRetry(now, 1)
	}
	reads, backoffFactor := s.shouldRead(now)
	starting := !r.answered && !s.isReady
	if !reads && !starting || r.outstanding || now.Before(r.nextRead) {
		return
	}
	r.outstanding = true
	res.Read = s.newRead(now, backoffFactor > 1)
	r.overdueAt = res.Read.Deadline.Add(readMargin)
}

// newRead returns a watch, or a plain read if there is no version to watch from. Plain
// reads are delayed by a jitter, and all reads of an extra reader by a further one.
func (s *Sync) newRead(now time.Time, extra bool) *ReadEffect {
	e := &ReadEffect{After: s.reader.platformVersion, Have: s.current.Revision, NotBefore: now}
	if e.After != 0 {
		e.Wait = s.cfg.watchDuration()
	} else {
		e.NotBefore = now.Add(s.jitter(s.cfg.StartupWait / 2))
	}
	if extra {
		e.NotBefore = e.NotBefore.Add(s.jitter(s.cfg.RetryMin))
	}
	e.Deadline = e.NotBefore.Add(e.Wait + readMargin)
	return e
}

// ReadDone handles the outcome of a read. That of a read that began before a pause is
// discarded, as it says nothing about the platform now.
func (s *Sync) ReadDone(now time.Time, o ReadOutcome) Result {
	var res Result
	r := &s.reader
	if r.discardOutcome {
		r.outstanding, r.discardOutcome = false, false
		return res
	}
	r.outstanding = false
	err := o.Err
	if err == nil && !o.NotChanged && !s.applyRead(o, &res) {
		err = errLowerRevision
	}
	if err != nil {
		_, backoffFactor := s.shouldRead(now)
		s.scheduleRetry(now, backoffFactor)
		return res
	}
	r.platformVersion, r.failures = o.PlatformVersion, 0
	r.answered, r.everAnswered, r.lastAnswer = true, true, now
	r.nextRead = now
	s.updateReady(now)
	return res
}

// applyRead applies a generation from the platform. It returns false when the platform
// has a lower revision, so that its answer does not count as up to date. An invalid
// generation counts as an answer, since reading it again would not help.
func (s *Sync) applyRead(o ReadOutcome, res *Result) bool {
	g := o.Generation
	if s.applyGeneration(g, "", res) {
		return true
	}
	return s.rejected.has(g.id())
}

// scheduleRetry delays the next read with exponential back-off and jitter. A failed
// watch is followed by a plain read, since the platform may have returned to an earlier
// version.
func (s *Sync) scheduleRetry(now time.Time, backoffFactor int) {
	r := &s.reader
	limit := s.cfg.RetryMax * time.Duration(backoffFactor)
	delay := min(limit, s.cfg.RetryMin<<min(r.failures, 16))
	r.failures++
	r.platformVersion = 0
	r.nextRead = now.Add(delay/2 + s.jitter(delay/2))
}

func (s *Sync) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}
