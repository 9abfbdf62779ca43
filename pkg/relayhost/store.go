package relayhost

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// storeSink turns the results of store reads into events for the relay.
type storeSink struct {
	host    *Host
	failing bool

	invalidLogged time.Time // when an invalid entry was last logged
	invalidSince  int       // invalid entries since then
}

// invalidLogInterval is the minimum time between two log lines about invalid entries, which
// another program may rewrite with every heartbeat.
const invalidLogInterval = 10 * time.Second

// Replace passes on all listed entries, and the configuration if it is listed.
func (s *storeSink) Replace(items []follow.Item, at follow.Position) {
	var entries []backends.Entry
	evacuated := []ident.FailureDomain{}
	for _, it := range items {
		if domain, ok := s.host.decoder.EvacuatedDomain(it.Key); ok {
			evacuated = append(evacuated, domain)
		}
	}
	// Before the rest, so that no entry or configuration leads to a request there.
	s.host.core.step(relay.EvacuationsListed{Domains: evacuated, Era: at.Era})
	for _, it := range items {
		if it.Key == s.host.decoder.ConfigKey() {
			s.applyConfig(it)
			continue
		}
		if e, ok := s.decodeEntry(it); ok {
			entries = append(entries, e)
		}
	}
	s.host.core.step(relay.EntriesListed{Entries: entries, Era: at.Era})
}

// Change passes on individual changes.
func (s *storeSink) Change(items []follow.Item) {
	for _, it := range items {
		if domain, ok := s.host.decoder.EvacuatedDomain(it.Key); ok {
			s.host.core.step(relay.EvacuationChanged{Domain: domain, Evacuated: !it.Removed})
		}
	}
	for _, it := range items {
		if it.Key == s.host.decoder.ConfigKey() {
			s.applyConfig(it)
			continue
		}
		id, ok := s.host.decoder.EntryID(it.Key)
		if !ok {
			continue
		}
		if it.Removed {
			s.host.core.step(relay.EntryRemoved{ID: id})
			continue
		}
		if e, ok := s.decodeEntry(it); ok {
			s.host.core.step(relay.EntryChanged{Entry: e})
			continue
		}
		// Without a valid entry the server must not be used.
		s.host.core.step(relay.EntryRemoved{ID: id})
	}
}

func (s *storeSink) decodeEntry(it follow.Item) (backends.Entry, bool) {
	e, ok, err := s.host.decoder.Entry(it.Key, it.Value)
	if err != nil {
		s.logInvalid(err)
	}
	return e, ok
}

// logInvalid counts an invalid entry and logs it unless one was logged shortly before.
func (s *storeSink) logInvalid(err error) {
	s.host.metrics.invalidEntries.Inc()
	now := boottime.Now()
	if !s.invalidLogged.IsZero() && now.Sub(s.invalidLogged) < invalidLogInterval {
		s.invalidSince++
		return
	}
	s.host.log.Warn("store: invalid entry", zap.Error(err), zap.Int("not_logged", s.invalidSince))
	s.invalidLogged, s.invalidSince = now, 0
}

func (s *storeSink) applyConfig(it follow.Item) {
	if it.Removed {
		s.host.log.Warn("store: configuration removed, keeping the last one")
		return
	}
	c, err := s.host.decoder.Config(it.Value)
	if err != nil {
		s.host.log.Error("store: invalid configuration", zap.Uint64("revision", it.Revision), zap.Error(err))
		return
	}
	s.host.core.step(relay.ConfigRead{Snapshot: c})
}

// Contact reports a successful read.
func (s *storeSink) Contact(sent time.Time, at follow.Position) {
	if s.failing {
		s.failing = false
		s.host.log.Info("store: reads succeed again", zap.Uint64("era", at.Era), zap.Uint64("revision", at.Revision))
	}
	s.host.metrics.storeReads.Inc()
	s.host.core.step(relay.PlatformReadSucceeded{Sent: sent, Era: at.Era, Revision: at.Revision})
}

// Failed reports a failed read. Only the first failure in a row is logged as
// a warning.
func (s *storeSink) Failed(err error) {
	s.host.metrics.storeFailures.Inc()
	if errors.Is(err, follow.ErrCompacted) {
		s.host.log.Info("store: history compacted, listing again")
		return
	}
	if errors.Is(err, follow.ErrRestored) {
		s.host.log.Warn("store: restored from an older copy, listing again", zap.Error(err))
		return
	}
	if !s.failing {
		s.failing = true
		s.host.log.Warn("store: read failed", zap.Error(err))
	}
	s.host.core.step(relay.PlatformReadFailed{})
}
