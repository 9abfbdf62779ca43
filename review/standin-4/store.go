//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyKept is history_s of the settings.
	historyKept = 20 * time.Second
	// pageItems and pageBytes limit a page of kv-range.
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes is value_bytes of the settings.
	valueBytes = 1 << 20
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    uint64 `json:"lease"`
}

type deletion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

type change struct {
	key      string
	revision uint64
	at       time.Time
	event    any // item or deletion
}

// store is a stand-in of the platform's store, see PROTOCOL.md. Each entry host reads it at a
// door of its own, so that it can turn some hosts away.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []change
	compacted uint64 // revision up to which the history was dropped
	changed   chan struct{}
	doors     []*door
	written   int // bytes of the longest value
}

type door struct {
	addr   string
	server *http.Server

	mu     sync.Mutex
	busy   bool
	turned chan struct{} // closed while the door is busy
}

// setBusy makes a door answer 503 to all calls, also to those that wait.
func (d *door) setBusy(busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if busy == d.busy {
		return
	}
	if d.busy = busy; busy {
		close(d.turned)
	} else {
		d.turned = make(chan struct{})
	}
}

func (d *door) state() (busy bool, turned <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy, d.turned
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

func (s *store) openDoor() (*door, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{addr: ln.Addr().String(), turned: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, d) })
	d.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if busy, _ := d.state(); busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = d.server.Serve(ln) }()
	s.doors = append(s.doors, d)
	return d, nil
}

func (s *store) close() {
	for _, d := range s.doors {
		_ = d.server.Close()
	}
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil || len(data) > valueBytes {
		panic(fmt.Sprintf("value of %d bytes, error %v", len(data), err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.written = max(s.written, len(data))
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(change{key: key, event: it})
	return time.Now()
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return time.Now()
	}
	s.revision++
	delete(s.items, key)
	s.add(change{key: key, event: deletion{Key: key, Revision: s.revision, Deleted: true}})
	return time.Now()
}

// add appends a change and wakes the watches. s.mu is held.
func (s *store) add(c change) {
	c.revision, c.at = s.revision, time.Now()
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	p := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		At      uint64 `json:"at"`
	}{Items: []item{}, At: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	bytes := 0
	for _, key := range keys {
		it := s.items[key]
		bytes += len(it.Value)
		if len(p.Items) > 0 && (len(p.Items) == pageItems || bytes > pageBytes) {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, it)
	}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, p)
}

type eventPage struct {
	Events []any  `json:"events"`
	At     uint64 `json:"at"`
}

// watch answers as soon as there is an event, or with none when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, d *door) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, werr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || werr != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, turned := d.state()
	over := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		p, gone, changed := s.changesAfter(r.FormValue("prefix"), after)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(p.Events) > 0 || last:
			answerJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-over:
			last = true
		case <-turned:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) (p eventPage, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
	p = eventPage{Events: []any{}, At: s.revision}
	for _, c := range s.history {
		if c.revision > after && strings.HasPrefix(c.key, prefix) {
			p.Events = append(p.Events, c.event)
		}
	}
	return p, after < s.compacted, s.changed
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
