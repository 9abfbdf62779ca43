package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

const (
	// readersPerDomain is the number of hosts of a failure domain that read directly
	// from the platform. There are two so that one is left if the other is lost.
	readersPerDomain = 2
	// minSharingHosts is the smallest number of hosts in a domain that share their reads.
	// In smaller domains the calls saved are not worth the delay that a lost reader adds.
	minSharingHosts = 3 * readersPerDomain
	// avoidReaderDuration is how long a host does not read through a reader that has
	// failed. It covers the time in which the loss of a reader is detected.
	avoidReaderDuration = 5 * time.Second
	// directRetryMin and directRetrySpread set the time until a host that has readers tries
	// to read an unreachable platform again. Until then it asks the readers.
	directRetryMin    = 1500 * time.Millisecond
	directRetrySpread = 1500 * time.Millisecond
	// readerFailoverTime is the time that a host needs to notice that its reader's copy
	// is old and to read directly from the platform.
	readerFailoverTime = 1200 * time.Millisecond
	// readerAgeMargin is subtracted from the maximum age of a reader's copy to allow for
	// the duration of a read.
	readerAgeMargin = 200 * time.Millisecond
)

// maxReaderAge returns the age beyond which a reader's copy is not used, so that changes
// take effect in time even if the reader has lost the platform without noticing.
func (r *Relay) maxReaderAge() time.Duration { return r.cfg.ApplyWithin - readerFailoverTime }

// Reader is a host from which this one reads the platform's values.
type Reader struct {
	Host ident.HostID
	Addr string
	// InsteadOfPlatform is set if the reader is not expected to have a recent copy, but the
	// platform was unreachable from this host a moment ago.
	InsteadOfPlatform bool
}

// domainPeers returns the other live hosts of this host's failure domain and the rank of
// this host among them by id. ok reports whether the domain shares its reads.
func (r *Relay) domainPeers(now time.Time) (others []roster.Host, rank int, ok bool) {
	for _, h := range r.roster.Alive(now) {
		if h.Domain != r.cfg.Roster.Self.Domain {
			continue
		}
		others = append(others, h)
		if h.ID < r.cfg.Roster.Self.ID {
			rank++
		}
	}
	return others, rank, len(others)+1 >= minSharingHosts && r.maxReaderAge() > readerAgeMargin
}

// Reader returns the host of the same failure domain through which this host should read
// the platform, or false if it should read directly. The readers of a domain are the
// hosts with the lowest ids among those that are live and not draining. If one fails, the
// other one is used; if both do, this host reads directly, but only now and then while
// the platform is unreachable from here: otherwise a whole fleet would overload it with
// retries.
func (r *Relay) Reader(now time.Time) (Reader, bool) {
	if !r.drainStartedAt.IsZero() {
		return Reader{}, false
	}
	others, rank, ok := r.domainPeers(now)
	if !ok || rank < readersPerDomain {
		return Reader{}, false
	}
	// Selecting by rank spreads the hosts evenly over the readers.
	for i := range readersPerDomain {
		h := others[(rank+i)%readersPerDomain]
		if now.Before(r.avoidReaderUntil[h.ID]) {
			continue
		}
		if age, known := r.peerConfigAge(now, h.ID); known && age <= r.maxReaderAge() {
			return Reader{Host: h.ID, Addr: h.Addr}, true
		}
	}
	if now.Before(r.nextDirectRead) {
		r.polledReader++
		h := others[r.polledReader%readersPerDomain]
		return Reader{Host: h.ID, Addr: h.Addr, InsteadOfPlatform: true}, true
	}
	return Reader{}, false
}

// ReadWait returns the longest time, at most wait, that a read of the platform may block
// for changes. It is shorter at a reader, whose copy must not become older than the
// other hosts accept.
func (r *Relay) ReadWait(now time.Time, wait time.Duration) time.Duration {
	_, rank, ok := r.domainPeers(now)
	if !ok || rank >= readersPerDomain {
		return wait
	}
	return min(wait, r.maxReaderAge()-readerAgeMargin)
}

// ReaderFailed records that a reader did not answer, could not read the platform or had an
// old copy.
func (r *Relay) ReaderFailed(now time.Time, id ident.HostID) {
	r.avoidReaderUntil[id] = now.Add(avoidReaderDuration)
}

// DirectReadFailed records that this host could not read the platform itself.
func (r *Relay) DirectReadFailed(now time.Time) {
	r.nextDirectRead = now.Add(directRetryMin + time.Duration(r.rng.Int64N(int64(directRetrySpread))))
}

// ReaderAnswered records how old a reader's copy was when it answered. In a large fleet
// heartbeats are too infrequent to tell.
func (r *Relay) ReaderAnswered(now time.Time, id ident.HostID, age time.Duration) {
	if confirmedAt := now.Add(-age); confirmedAt.After(r.peerConfirmedAt[id]) {
		r.peerConfirmedAt[id] = confirmedAt
	}
	delete(r.avoidReaderUntil, id)
}

// peerConfigAge returns the age of a peer's configuration according to its last report, or
// false if it has sent none.
func (r *Relay) peerConfigAge(now time.Time, id ident.HostID) (time.Duration, bool) {
	confirmedAt, ok := r.peerConfirmedAt[id]
	return now.Sub(confirmedAt), ok
}
