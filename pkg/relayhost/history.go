package relayhost

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

const (
	// historyTimeout bounds a read of the store's history.
	historyTimeout = 2 * time.Second
	// wholeReach is the reach of a history since the creation of the store. It is longer than
	// any stream lasts.
	wholeReach = 24 * time.Hour
	// clockTolerance is by how much the clocks of hosts and backend servers may differ.
	clockTolerance = 3 * time.Second
)

var (
	errNoCopy      = errors.New("the store has not been listed yet")
	errNoRetention = errors.New("how long the store keeps changes is unknown")
	errDropped     = errors.New("the store has dropped changes early")
	errUnseen      = errors.New("the entry before the first change is not in the history")
)

// readHistory reads from the store which backend servers were listed in the past.
func (h *Host) readHistory() relay.HistoryRead {
	ctx, cancel := context.WithTimeout(h.ctx, historyTimeout)
	defer cancel()
	h.metrics.historyReads.Inc()
	var e relay.HistoryRead
	current, at, ok := h.mirror.Copy()
	if !ok {
		e.Err = errNoCopy
		return e
	}
	past, err := follow.ReadHistory(ctx, h.cfg.Source, h.cfg.EntryPrefix, at, follow.DefaultHistoryBounds())
	h.metrics.historyCalls.Add(past.Calls)
	if err == nil {
		p := pastList{
			decoder: h.decoder, now: time.Now(), retention: h.cfg.Retention,
			lapse: h.cfg.Relay.Origins.EntryLag, history: past, current: current,
		}
		e.Reach, e.Servers, err = p.servers()
	}
	e.Err = err
	h.log.Info("store: read the history of the list", zap.Int("calls", past.Calls), zap.Int("changes", len(past.Items)),
		zap.Uint64("after", past.After), zap.Bool("whole", past.Whole), zap.Duration("reach_ms", e.Reach),
		zap.Int("servers", len(e.Servers)), zap.Error(err))
	return e
}

// pastList tells which backend servers were listed in the past from the changes that the
// store still keeps and the current entries.
//
// Changes carry no time. A history that does not reach back to the creation of the store
// is taken to hold the changes of the retention, unless the start of a listed server shows
// that its entry was written within the retention and is no longer kept.
type pastList struct {
	decoder   Decoder
	now       time.Time
	retention time.Duration
	lapse     time.Duration // for which an entry is listed after its process has ended
	history   follow.History
	current   []follow.Item
}

// servers returns the engines that were listed within a reach and may have run streams, in
// addition to those that are listed now and were all the time. It fails if one of them is
// unknown.
func (p pastList) servers() (reach time.Duration, list []origin.Serving, err error) {
	reach = wholeReach
	if !p.history.Whole {
		if reach = p.retention; reach <= 0 {
			return 0, nil, errNoRetention
		}
		if err := p.checkDropped(); err != nil {
			return 0, nil, err
		}
	}
	seen := map[ident.BackendID]bool{}
	for _, it := range p.history.Items {
		id, ok := p.decoder.EntryID(it.Key)
		if !ok {
			continue
		}
		replaces := !p.history.Whole && !seen[id] && (it.Removed || it.Created != it.Revision)
		seen[id] = true
		e, ok := p.entry(it)
		if replaces && (!ok || p.startedWithin(e, p.retention+p.lapse+clockTolerance)) {
			// The entry before may be of another process, with another version.
			return 0, nil, fmt.Errorf("server %s, revision %d: %w", id, it.Revision, errUnseen)
		}
		// An engine whose entry before is unknown may have had another stage.
		if !ok || e.Stage == backends.Plain || e.Stage != backends.Decode && !replaces {
			continue
		}
		s := origin.Serving{
			Service: e.Service,
			Process: serverlimit.Process{ID: e.ID, StartedAt: e.StartedAt},
			Version: e.Version,
		}
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return reach, list, nil
}

// checkDropped returns an error if a current entry that is older than the history was
// written within the retention.
func (p pastList) checkDropped() error {
	for _, it := range p.current {
		if it.Revision > p.history.After {
			continue
		}
		if e, ok := p.entry(it); ok && p.startedWithin(e, p.retention+clockTolerance) {
			return fmt.Errorf("server %s, revision %d: %w", e.ID, it.Revision, errDropped)
		}
	}
	return nil
}

// startedWithin reports whether a server may have started within d before now.
func (p pastList) startedWithin(e backends.Entry, d time.Duration) bool {
	return e.StartedAt <= 0 || p.now.Sub(time.UnixMilli(e.StartedAt)) < d
}

func (p pastList) entry(it follow.Item) (backends.Entry, bool) {
	if it.Removed {
		return backends.Entry{}, false
	}
	e, ok, _ := p.decoder.Entry(it.Key, it.Value) // an unusable entry is counted where it is listed
	return e, ok
}
