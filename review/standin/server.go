//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
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

// backend is a stand-in of a replica.
type backend struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	ln      net.Listener
	born    int64

	mu       sync.Mutex
	stage    string // empty for a plain service
	busy     bool   // an order is in progress
	sequence int    // accepted orders
	fence    uint64
	handles  map[string]string // handle to request id
	inFlight int
}

func (w *world) addBackend(id, service, zone, stage string, slots int) *backend {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	b := &backend{
		w: w, id: id, service: service, zone: zone, slots: slots, ln: ln, stage: stage,
		born: time.Now().UnixMilli(), handles: map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hold-take", func(rw http.ResponseWriter, r *http.Request) {
		if b.refusesInstance(rw, r) {
			return
		}
		sendJSON(rw, http.StatusOK, map[string]string{"hold": newToken()})
	})
	mux.HandleFunc("DELETE /v1/hold-drop/{id}", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", func(rw http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		delete(b.handles, r.PathValue("id"))
		b.mu.Unlock()
		rw.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /v1/order", b.order)
	mux.HandleFunc("GET /v1/report", b.report)
	mux.HandleFunc("/", b.request)
	go func() { _ = http.Serve(ln, mux) }()
	w.backends = append(w.backends, b)
	b.publish()
	return b
}

func newToken() string {
	var t [6]byte
	_, _ = rand.Read(t[:])
	return hex.EncodeToString(t[:])
}

// publish writes the replica's entry.
func (b *backend) publish() {
	b.mu.Lock()
	e := map[string]any{
		"service": b.service, "address": b.ln.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": b.sequence, "born": b.born,
	}
	if b.stage != "" {
		e["stage"] = b.stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	b.mu.Unlock()
	b.w.store.put("servers/"+b.id, e)
}

func (b *backend) refusesInstance(rw http.ResponseWriter, r *http.Request) bool {
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		rw.Header().Set("X-Attempt-Id", id)
	}
	want := r.Header.Get("X-Expect-Instance")
	if want == "" || want == b.id {
		return false
	}
	rw.Header().Set("X-Instance-Id", b.id)
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func notExecuted(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (b *backend) report(rw http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sendJSON(rw, http.StatusOK, map[string]any{
		"stage": b.stage, "busy": b.busy, "sequence": b.sequence, "queue_depth": 0, "in_flight": b.inFlight,
		"kv_used": 0, "kv_total": kvTokens, "kv_handles": len(b.handles),
	})
}

// order carries out an order as the protocol page says. Fences are checked.
func (b *backend) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string  `json:"op"`
		Stage  string  `json:"stage"`
		Holder string  `json:"holder"`
		Fence  *uint64 `json:"fencing_token"`
	}
	if b.refusesInstance(rw, r) {
		return
	}
	status := http.StatusAccepted
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == nil {
		status = http.StatusBadRequest
	}
	b.mu.Lock()
	switch {
	case status != http.StatusAccepted:
	case *o.Fence < b.fence:
		status = http.StatusPreconditionFailed
	case b.busy:
		status = http.StatusConflict
	case o.Stage == b.stage:
		status = http.StatusOK
	}
	if o.Fence != nil && *o.Fence > b.fence {
		b.fence = *o.Fence
	}
	if status == http.StatusAccepted {
		b.busy = true
		b.sequence++
		time.AfterFunc(roleSwitch, func() {
			b.mu.Lock()
			b.stage, b.busy = o.Stage, false
			b.mu.Unlock()
			b.publish()
		})
	}
	b.mu.Unlock()
	fence := uint64(0)
	if o.Fence != nil {
		fence = *o.Fence
	}
	b.w.ordered(orderSeen{at: time.Now(), server: b.id, holder: o.Holder, fence: fence, stage: o.Stage, status: status})
	rw.WriteHeader(status)
}

func (b *backend) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || b.refusesInstance(rw, r) {
		return
	}
	b.mu.Lock()
	stage, busy := b.stage, b.busy
	b.inFlight++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
	}()
	id := r.Header.Get("X-Attempt-Id")
	switch {
	case stage == "":
		b.plain(rw, r, id, body)
	case busy:
		notExecuted(rw, http.StatusServiceUnavailable)
	case r.Header.Get("X-Stage") == "prefill" && stage == "prefill":
		b.prefill(rw, r, id)
	case r.Header.Get("X-Stage") == "" && stage == "decode":
		b.decode(rw, r, id)
	default:
		notExecuted(rw, http.StatusMisdirectedRequest)
	}
}

func (b *backend) signature(id string) string { return "sig-" + b.id + "-" + id }

func (b *backend) plain(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	b.w.record("run      %s at %s: %s %s, %d bytes", id, b.id, r.Method, r.URL.Path, len(body))
	b.w.countRun(id)
	select {
	case <-time.After(plainWork):
	case <-r.Context().Done():
		b.w.record("dropped  %s at %s: its connection has closed", id, b.id)
		return
	}
	text := "answer of " + b.id + " to " + id
	rw.Header().Set("X-Response-Signature", b.signature(id))
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
	b.w.record("answered %s at %s: 200", id, b.id)
}

// promptTokens reads the first number of X-Token-Usage.
func promptTokens(r *http.Request) int {
	text, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, _ := strconv.Atoi(text)
	return n
}

// events returns the number of events of a stream that makes all tokens of an X-Token-Usage.
func events(usage string) int {
	_, text, _ := strings.Cut(usage, ",")
	n, _ := strconv.Atoi(text)
	return (n + tokensPerEvent - 1) / tokensPerEvent
}

func (b *backend) prefill(rw http.ResponseWriter, r *http.Request, id string) {
	time.Sleep(time.Duration(float64(promptTokens(r)) / tokensPerMS * float64(time.Millisecond)))
	handle := newToken()
	b.mu.Lock()
	b.handles[handle] = id
	b.mu.Unlock()
	time.AfterFunc(handleTTL, func() {
		b.mu.Lock()
		delete(b.handles, handle)
		b.mu.Unlock()
	})
	sendJSON(rw, http.StatusOK, map[string]any{"handle": handle, "tokens": promptTokens(r), "version": 1})
}

// take takes a handle once. Like a replica, it does not check whose handle it is.
func (w *world) take(source string) (id string, ok bool) {
	addr, handle, _ := strings.Cut(source, "/")
	for _, b := range w.backends {
		if b.ln.Addr().String() != addr {
			continue
		}
		b.mu.Lock()
		id, ok = b.handles[handle]
		delete(b.handles, handle)
		b.mu.Unlock()
	}
	return id, ok
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

func (b *backend) decode(rw http.ResponseWriter, r *http.Request, id string) {
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		from, ok := b.w.take(source)
		if !ok {
			notExecuted(rw, http.StatusServiceUnavailable)
			return
		}
		if from != id {
			b.w.record("FOREIGN  %s at %s goes on from the handle of %s", id, b.id, from)
		}
	}
	b.w.record("run      %s at %s: stream after event %q", id, b.id, r.Header.Get("Last-Event-Id"))
	b.w.countRun(id)
	rw.Header().Set("X-Response-Signature", b.signature(id))
	rw.Header().Set("X-Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := events(r.Header.Get("X-Token-Usage"))
	for n := first + 1; n <= last; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			b.w.record("dropped  %s at %s before event %d: its connection has closed", id, b.id, n)
			return
		}
		if _, err := io.WriteString(rw, event(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
	b.w.record("answered %s at %s: all %d events", id, b.id, last)
}
