package fake

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	HostListLag time.Duration // delay until readers see a change of the host list
	ChunkSize   int           // maximum bytes of a value; platform.MaxValueBytes if zero
	Log         *record.Log   // a new one if nil
}

// Platform is a fake platform: the configuration service and the host list.
type Platform struct {
	log       *record.Log
	srv       *server
	lag       time.Duration
	chunkSize int

	mu      sync.Mutex
	version uint64
	values  snapshot
	frozen  snapshot      // served instead of values unless nil
	history []snapshot    // after each publication
	lists   []delayedList // oldest first; the first is the visible one
	changed chan struct{} // closed and replaced at each change
	calls   Calls
}

type delayedList struct {
	list    platform.HostList
	visible time.Time // when readers start to see it
}

// Calls counts calls to the platform. A watch counts as one call.
type Calls struct {
	Total   int       `json:"total"`
	Watches int       `json:"watches"`
	Pending int       `json:"pending"` // calls in progress
	Peak    int       `json:"peak"`    // most calls in progress or started within one second
	second  time.Time // start of the current second
	current int       // calls in the current second
}

func (c *Calls) count(now time.Time) {
	if now.Sub(c.second) >= time.Second {
		c.second = now
		c.current = c.Pending
	}
	c.Total++
	c.Pending++
	c.current++
	c.Peak = max(c.Peak, c.current)
}

// NewPlatform starts the platform on a port assigned by the kernel.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	if cfg.Log == nil {
		cfg.Log = &record.Log{}
	}
	if cfg.ChunkSize <= 0 {
		cfg.ChunkSize = platform.MaxValueBytes
	}
	p := &Platform{
		log:       cfg.Log,
		lag:       cfg.HostListLag,
		chunkSize: cfg.ChunkSize,
		values:    snapshot{},
		changed:   make(chan struct{}),
		lists:     []delayedList{{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/{name}", p.handleConfig)
	mux.HandleFunc("GET /hosts", p.handleHosts)
	mux.Handle("GET /fake/events", p.log)
	srv, err := newServer(mux)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.srv = srv
	return p, nil
}

// Addr returns the address of the platform.
func (p *Platform) Addr() string { return p.srv.addr }

// Log returns the platform's log.
func (p *Platform) Log() *record.Log { return p.log }

// Close stops the platform.
func (p *Platform) Close() { p.srv.close() }

// Down closes the listener and all connections until Up is called.
func (p *Platform) Down() { p.srv.close() }

// Up restarts the platform at the same address after Down.
func (p *Platform) Up() error { return p.srv.listen() }

// SetSilent makes the platform accept requests without answering them.
func (p *Platform) SetSilent(on bool) { p.srv.setSilent(on) }

// Calls returns the current call counts.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts replaces the host list; readers see it after the lag.
func (p *Platform) SetHosts(entry []platform.EntryHost, backends []engine.Info) {
	p.update(func(l *platform.HostList) {
		l.EntryHosts = slices.Clone(entry)
		l.Backends = slices.Clone(backends)
	})
}

// SetLeaving marks an entry host or a backend server as leaving, or clears the mark.
// Readers see it after the lag.
func (p *Platform) SetLeaving(id string, leaving bool) {
	kind := record.Restart
	if leaving {
		kind = record.Leaving
	}
	p.log.Add(record.Record{Kind: kind, Server: id, Reason: "host list"})
	p.update(func(l *platform.HostList) {
		for i := range l.EntryHosts {
			if string(l.EntryHosts[i].ID) == id {
				l.EntryHosts[i].Leaving = leaving
			}
		}
		for i := range l.Backends {
			if string(l.Backends[i].ID) == id {
				l.Backends[i].Leaving = leaving
			}
		}
	})
}

// Remove removes an entry host or a backend server from the host list; readers see
// it after the lag.
func (p *Platform) Remove(id string) {
	p.log.Add(record.Record{Kind: record.Removed, Server: id})
	p.update(func(l *platform.HostList) {
		l.EntryHosts = slices.DeleteFunc(l.EntryHosts, func(h platform.EntryHost) bool { return string(h.ID) == id })
		l.Backends = slices.DeleteFunc(l.Backends, func(b engine.Info) bool { return string(b.ID) == id })
	})
}

// Hosts returns the newest host list, which may not be visible to readers yet.
func (p *Platform) Hosts() platform.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lists[len(p.lists)-1].list
}

func (p *Platform) update(change func(*platform.HostList)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lists[len(p.lists)-1].list
	l.EntryHosts = slices.Clone(l.EntryHosts)
	l.Backends = slices.Clone(l.Backends)
	change(&l)
	l.Version++
	p.lists = append(p.lists, delayedList{list: l, visible: time.Now().Add(p.lag)})
	time.AfterFunc(p.lag, p.notify)
}

func (p *Platform) notify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyLocked()
}

func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleLocked returns the host list that readers currently see.
func (p *Platform) visibleLocked() platform.HostList {
	now := time.Now()
	for len(p.lists) > 1 && !p.lists[1].visible.After(now) {
		p.lists = p.lists[1:]
	}
	return p.lists[0].list
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	after, until := p.beginCall(r)
	defer p.endCall()
	l, ok := awaitChange(p, r, until, func() (platform.HostList, bool) {
		l := p.visibleLocked()
		return l, l.Version > after || until.IsZero()
	})
	switch {
	case r.Context().Err() != nil:
	case !ok:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, l)
	}
}

// awaitChange waits until ready returns true, at most until the given time. It does
// not wait if the time is zero.
func awaitChange[T any](p *Platform, r *http.Request, until time.Time, ready func() (T, bool)) (T, bool) {
	for {
		p.mu.Lock()
		v, ok := ready()
		changed := p.changed
		p.mu.Unlock()
		left := time.Until(until)
		if ok || left <= 0 {
			return v, ok
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return v, false
		}
	}
}
