package confsync

import (
	"errors"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// errLower makes a reader retry with a delay, as after a failed read.
var errLower = errors.New("platform has a lower revision")

// reader decides whether this host reads the platform and when.
type reader struct {
	expected map[ident.HostID]time.Time // since when a host should read, as far as this one sees

	outstanding bool
	void        bool      // the outstanding read began before a pause
	lostAt      time.Time // when an outstanding read counts as lost
	next        time.Time // earliest next read
	version     uint64    // platform version last answered
	failures    int
	answered    bool // the platform has answered since the start or the last pause
	everAt      time.Time
	ever        bool
}

func newReader() reader {
	return reader{expected: map[ident.HostID]time.Time{}}
}

// resumed voids a read that was outstanding over a pause: what it brings is old. Its
// outcome, overdue by then, is awaited for a while, so that it is not taken for that
// of the next read.
func (r *reader) resumed(now time.Time) {
	clear(r.expected)
	r.answered = false
	r.void = r.outstanding
	r.lostAt = now.Add(readMargin)
	r.failures, r.version = 0, 0
}

// PlatformSilent returns the time since this host's last platform answer. A
// pending watch does not count as one.
func (s *Sync) PlatformSilent(now time.Time) time.Duration {
	if !s.reader.ever {
		return neverSilent
	}
	return now.Sub(s.reader.everAt)
}

// Age returns the time since the platform was last heard by this host or by a
// peer whose revision is not above the one in force.
func (s *Sync) Age(now time.Time) time.Duration {
	age := s.PlatformSilent(now)
	for _, p := range s.peers {
		if p.Revision != 0 && s.have && p.Revision <= s.current.Revision {
			age = min(age, p.PlatformSilent)
		}
	}
	return age
}

// turn says whether this host should read. Hosts are expected to read in
// rendezvous order until Readers of them do. One that has been expected for
// ReaderSilent and still says that the platform is silent does not count, and the
// next one reads too. slow multiplies the longest delay after a failure: while the
// platform is down every host reads out of turn, and the more hosts there are the
// less often each needs to.
func (s *Sync) turn(now time.Time) (reads bool, slow int) {
	slow = 1
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
				slow = min(maxSlow, max(1, len(hosts)/s.cfg.Readers))
			}
			break
		}
		since, ok := s.reader.expected[h]
		if !ok {
			since = now
		}
		expected[h] = since
		if now.Sub(since) <= s.cfg.ReaderSilent || silent[h] <= s.cfg.ReaderSilent {
			working++
		}
	}
	s.reader.expected = expected
	return reads, slow
}

// tickReader starts a read when it is this host's turn, or when the host is fresh.
func (s *Sync) tickReader(now time.Time, res *Result) {
	r := &s.reader
	if r.outstanding && now.After(r.lostAt) {
		r.outstanding, r.void = false, false
		s.readFailed(now, 1)
	}
	reads, slow := s.turn(now)
	fresh := !r.answered && !s.isReady
	if !reads && !fresh || r.outstanding || now.Before(r.next) {
		return
	}
	r.outstanding = true
	res.Read = s.read(now, slow > 1)
	r.lostAt = res.Read.Deadline.Add(readMargin)
}

func (s *Sync) read(now time.Time, extra bool) *ReadEffect {
	e := &ReadEffect{After: s.reader.version, Have: s.current.Revision, NotBefore: now}
	if e.After != 0 {
		e.Wait = s.cfg.wait()
	} else {
		e.NotBefore = now.Add(s.jitter(s.cfg.FreshWait / 2))
	}
	if extra {
		e.NotBefore = e.NotBefore.Add(s.jitter(s.cfg.RetryMin))
	}
	e.Deadline = e.NotBefore.Add(e.Wait + readMargin)
	return e
}

// ReadDone takes the end of a read. The outcome of a read from before a pause is old
// and shows nothing about the platform now.
func (s *Sync) ReadDone(now time.Time, o ReadOutcome) Result {
	var res Result
	r := &s.reader
	if r.void {
		r.outstanding, r.void = false, false
		return res
	}
	r.outstanding = false
	err := o.Err
	if err == nil && !o.NotChanged && !s.takeRead(o, &res) {
		err = errLower
	}
	if err != nil {
		_, slow := s.turn(now)
		s.readFailed(now, slow)
		return res
	}
	r.version, r.failures = o.PlatformVersion, 0
	r.answered, r.ever, r.everAt = true, true, now
	r.next = now
	s.decideReady(now)
	return res
}

// takeRead takes a generation from the platform. It is false when the platform is
// behind, so that its answer does not count as being up to date. An invalid
// generation counts as an answer: reading it again would not help.
func (s *Sync) takeRead(o ReadOutcome, res *Result) bool {
	g := o.Generation
	if s.offer(g, "", res) {
		return true
	}
	return s.refused.has(g.id())
}

// readFailed delays the next read, longer with each failure. A failed watch
// starts again as a plain read, since the platform may have gone back.
func (s *Sync) readFailed(now time.Time, slow int) {
	r := &s.reader
	limit := s.cfg.RetryMax * time.Duration(slow)
	delay := min(limit, s.cfg.RetryMin<<min(r.failures, 16))
	r.failures++
	r.version = 0
	r.next = now.Add(delay/2 + s.jitter(delay/2))
}

func (s *Sync) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}
