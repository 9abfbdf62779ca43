//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Lease    uint64 `json:"lease"`
}

// store is a stand-in of the platform's metadata store: linearizable reads, watches, and
// the whole history.
type store struct {
	ln       net.Listener
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &store{ln: ln, revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

func (s *store) addr() string { return s.ln.Addr().String() }

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.change(item{Key: key, Deleted: true}) }

func (s *store) change(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	} else if !it.Deleted {
		it.Created = s.revision
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    uint64 `json:"at"`
	}{Items: []item{}, At: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			answer.Items = append(answer.Items, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Key < answer.Items[j].Key })
	if len(answer.Items) > pageItems {
		answer.Items, answer.More = answer.Items[:pageItems], true
	}
	sendJSON(w, http.StatusOK, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}}
		s.mu.Lock()
		answer.At = s.revision
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				answer.Events = append(answer.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			sendJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-limit:
			sendJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func sendJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
