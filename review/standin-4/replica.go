//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// promptTokensPerMS is how fast a prefill replica reads a prompt.
	promptTokensPerMS = 55.5556
	// tokensPerEvent and eventTime are the size of an event of a stream and its time.
	tokensPerEvent = 11
	eventTime      = 40 * time.Millisecond
	// kvTokens is the memory of a replica and kvTTL how long it keeps a handle.
	kvTokens = 59_729
	kvTTL    = 500 * time.Millisecond
	// roleSwitch is how long a change of the stage takes.
	roleSwitch = 6 * time.Second
)

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	id      string
	prefill bool
	state   string // of the replica at that time
	since   time.Duration
}

// replica is a stand-in of a backend server, see PROTOCOL.md. An engine has a stage.
type replica struct {
	id, service, zone string
	addr              string
	born              int64
	log               *record
	store             *store
	engines           *engines

	server *http.Server
	work   time.Duration // of a plain request

	mu         sync.Mutex
	stage      string
	switching  string
	state      string
	leavingAt  time.Time // acknowledgement by the store that it drains or is gone
	arrivals   []arrival
	busyUntil  time.Time // of the prompts that it reads
	used       int64
	holds      map[string]int64
	orders     int
	sequence   int
	lastID     int
	slowFactor float64 // until slowUntil
	slowUntil  time.Time
}

// engines holds the KV caches of all replicas, which fetch them from each other.
type engines struct {
	mu      sync.Mutex
	handles map[string]handle // by IP:PORT/HANDLE
}

type handle struct {
	request string
	until   time.Time
}

func (e *engines) keep(name, request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles[name] = handle{request: request, until: time.Now().Add(kvTTL)}
}

// take returns the request of a handle, which can be taken once.
func (e *engines) take(name string) (request string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.handles[name]
	delete(e.handles, name)
	return h.request, ok && time.Now().Before(h.until)
}

func startReplica(w *world, id, service, stage, zone string) (*replica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &replica{
		id: id, service: service, stage: stage, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(),
		log: w.record, store: w.store, engines: w.engines, state: "ready", holds: map[string]int64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hold-take", s.holdTake)
	mux.HandleFunc("DELETE /v1/hold-drop/{id}", s.holdDrop)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", s.handleDrop)
	mux.HandleFunc("POST /v1/order", s.order)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("/", s.request)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	s.register()
	w.replicas = append(w.replicas, s)
	return s, nil
}

// register writes the entry and returns the time of the acknowledgement.
func (s *replica) register() time.Time {
	s.mu.Lock()
	s.sequence++
	slots := 6
	e := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.stage != "" {
		slots = 128
		e["stage"] = s.stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	e["slots"] = slots
	s.mu.Unlock()
	return s.store.put("servers/"+s.id, e)
}

// drain reports that the replica leaves, and ends it after the given time.
func (s *replica) drain(exitAfter time.Duration) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	at := s.register()
	s.mu.Lock()
	s.leavingAt = at
	s.mu.Unlock()
	s.log.printf("replica %s (%s): draining, acknowledged by the store", s.id, s.stage)
	time.AfterFunc(exitAfter, func() {
		s.log.printf("replica %s: exits", s.id)
		s.store.remove("servers/" + s.id)
		_ = s.server.Close()
	})
}

// leave removes the replica's entry without a report that it drains, and ends it after the given time.
func (s *replica) leave(exitAfter time.Duration) {
	at := s.store.remove("servers/" + s.id)
	s.mu.Lock()
	s.state, s.leavingAt = "gone", at
	s.mu.Unlock()
	s.log.printf("replica %s: its entry is removed, acknowledged by the store; it serves on for %v", s.id, exitAfter)
	time.AfterFunc(exitAfter, func() {
		s.log.printf("replica %s: exits", s.id)
		_ = s.server.Close()
	})
}

func (s *replica) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return fmt.Sprintf("%s%04x", strings.TrimPrefix(s.id, "i-"), s.lastID)
}

func (s *replica) misdirected(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want == "" || want == s.id {
		return false
	}
	w.Header().Set("X-Instance-Id", s.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func notExecuted(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *replica) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	s.mu.Lock()
	ready := s.state == "ready"
	s.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *replica) holdTake(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Tokens int64 `json:"tokens"`
		TTL    int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.misdirected(w, r) {
		return
	}
	w.Header().Del("X-Attempt-Id")
	if !s.takeMemory(call.Tokens) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := s.newID()
	s.mu.Lock()
	s.holds[id] = call.Tokens
	s.mu.Unlock()
	time.AfterFunc(time.Duration(call.TTL)*time.Millisecond, func() { s.dropHold(id) })
	answerJSON(w, http.StatusOK, map[string]string{"hold": id})
}

func (s *replica) takeMemory(tokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+tokens > kvTokens {
		return false
	}
	s.used += tokens
	return true
}

func (s *replica) freeMemory(tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= tokens
}

// dropHold ends a reservation and frees its memory.
func (s *replica) dropHold(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= s.holds[id]
	delete(s.holds, id)
}

func (s *replica) holdDrop(_ http.ResponseWriter, r *http.Request) { s.dropHold(r.PathValue("id")) }

func (s *replica) handleDrop(_ http.ResponseWriter, r *http.Request) {
	s.engines.take(s.addr + "/" + r.PathValue("id"))
}

// order changes the stage of an engine.
func (s *replica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Fence  uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.misdirected(w, r) {
		return
	}
	s.mu.Lock()
	busy, same := s.switching != "", s.stage == o.Stage
	if !busy && !same {
		s.switching = o.Stage
		s.orders++
	}
	s.mu.Unlock()
	switch {
	case busy:
		w.WriteHeader(http.StatusConflict)
	case same:
		w.WriteHeader(http.StatusOK)
	default:
		s.log.printf("replica %s: order by %s to become %s", s.id, o.Holder, o.Stage)
		time.AfterFunc(roleSwitch, func() {
			s.mu.Lock()
			s.stage, s.switching = o.Stage, ""
			s.mu.Unlock()
			s.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *replica) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.misdirected(w, r) {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prefill := r.Header.Get("X-Stage") == "prefill"
	s.mu.Lock()
	a := arrival{at: time.Now(), id: id, prefill: prefill, state: s.state}
	if s.state != "ready" {
		a.since = a.at.Sub(s.leavingAt)
	}
	s.arrivals = append(s.arrivals, a)
	stage, switching := s.stage, s.switching != ""
	s.mu.Unlock()
	switch {
	case switching:
		notExecuted(w)
	case stage == "":
		s.plain(w, r, id, body)
	case prefill && stage != "prefill" || !prefill && stage != "decode":
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case prefill:
		s.prefill(w, r, id)
	default:
		s.decode(w, r, id)
	}
}

func (s *replica) plain(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	s.log.printf("replica %s of %s runs %s: %s %s, %d bytes", s.id, s.service, id, r.Method, r.RequestURI, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Signature", "signed."+s.id)
	_, _ = fmt.Fprintf(w, "%s of %s answers %s", s.id, s.service, id)
}

// usage returns the tokens of the prompt and of the longest output.
func usage(r *http.Request) (prompt, output int64) {
	p, o, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, _ = strconv.ParseInt(p, 10, 64)
	output, _ = strconv.ParseInt(o, 10, 64)
	return prompt, output
}

// read waits until the replica has read a prompt, after those that came before.
func (s *replica) read(r *http.Request, tokens int64, slower float64) bool {
	s.mu.Lock()
	begin := time.Now()
	if begin.Before(s.slowUntil) {
		slower *= s.slowFactor
	}
	took := time.Duration(float64(tokens) / promptTokensPerMS * slower * float64(time.Millisecond))
	if s.busyUntil.After(begin) {
		begin = s.busyUntil
	}
	s.busyUntil = begin.Add(took)
	until := s.busyUntil
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
		return true
	case <-r.Context().Done():
		// The rest of the prompt is not read.
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busyUntil = s.busyUntil.Add(-max(0, min(took, time.Until(until))))
		return false
	}
}

func (s *replica) prefill(w http.ResponseWriter, r *http.Request, id string) {
	prompt, _ := usage(r)
	if !s.takeMemory(prompt) {
		notExecuted(w)
		return
	}
	if !s.read(r, prompt, 1) {
		s.freeMemory(prompt)
		return
	}
	name := s.newID()
	s.engines.keep(s.addr+"/"+name, id)
	time.AfterFunc(kvTTL, func() { s.freeMemory(prompt) })
	answerJSON(w, http.StatusOK, map[string]any{"handle": name, "tokens": prompt, "version": 1})
}

func (s *replica) decode(w http.ResponseWriter, r *http.Request, id string) {
	prompt, output := usage(r)
	s.dropHold(r.Header.Get("X-Kv-Hold"))
	if !s.takeMemory(prompt) {
		notExecuted(w)
		return
	}
	defer s.freeMemory(prompt)
	if source := r.Header.Get("X-Kv-Source"); source == "" {
		if !s.read(r, prompt, 2) {
			return
		}
	} else if of, ok := s.engines.take(source); !ok {
		notExecuted(w)
		return
	} else if of != id {
		s.log.printf("replica %s: %s goes on from the handle of %s", s.id, id, of)
	}
	s.log.printf("replica %s (decode) runs %s", s.id, id)
	w.Header().Set("X-Response-Signature", "signed."+s.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; int64(i-1)*tokensPerEvent < output; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			s.log.printf("replica %s (decode): %s ends early", s.id, id)
			return
		}
	}
}

// slow makes the replica work several times as long for some time.
func (s *replica) slow(factor float64, d time.Duration) {
	s.log.printf("replica %s (%s): works %g times as long for %v", s.id, s.stage, factor, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor, s.slowUntil = factor, time.Now().Add(d)
}
