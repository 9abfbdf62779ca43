package relayhost

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// invalidEntries decodes no entry.
type invalidEntries struct{ Decoder }

func (invalidEntries) ConfigKey() string { return "config" }

func (invalidEntries) EntryID(key string) (ident.BackendID, bool) { return ident.BackendID(key), true }

func (invalidEntries) EvacuatedDomain(string) (ident.FailureDomain, bool) { return "", false }

func (invalidEntries) Entry(key string, value []byte) (backends.Entry, bool, error) {
	return backends.Entry{}, false, fmt.Errorf("%s: %w", value, errors.New("invalid"))
}

// Guards against a log that is flooded by another writer of the store, whose entries change
// with every heartbeat.
func TestInvalidEntriesDoNotFloodTheLog(t *testing.T) {
	g := gomega.NewWithT(t)
	logged, logs := observer.New(zapcore.InfoLevel)
	h := &Host{
		core:    newCore(relay.New(relay.DefaultConfig(roster.Host{ID: "h"}, nil), boottime.Now()), zap.NewNop(), newHostMetrics(), func(relay.Effect) {}),
		log:     zap.New(logged),
		metrics: newHostMetrics(),
		decoder: invalidEntries{},
	}
	s := &storeSink{host: h}
	for n := range 1000 {
		items := []follow.Item{{Key: fmt.Sprint("a", n%10), Value: []byte(fmt.Sprint(n))}}
		s.Change(items)
		s.Replace(items, follow.Position{Revision: uint64(n)})
	}
	g.Expect(logs.FilterMessage("store: invalid entry").Len()).To(gomega.Equal(1))
	var b strings.Builder
	h.metrics.set.WritePrometheus(&b)
	g.Expect(b.String()).To(gomega.ContainSubstring("mulberrystream_invalid_entries_total 2000"))
}
