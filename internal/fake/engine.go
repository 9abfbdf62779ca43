package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// EngineConfig configures an engine.
type EngineConfig struct {
	Info        engine.Info // Addr is set when the engine starts
	Timing      Timing
	Seed        uint64
	IgnoreFence bool         // accept orders with a stale fencing token
	Log         *record.Log  // a new one if nil
	Weights     *WeightStore // no rate limit if nil
}

// Engine is a fake model engine. Its role, which an order can change, determines
// whether it accepts prefill or decode work.
//
// When the connection of a call is lost, the engine continues the work and keeps the
// memory until the work is cancelled or, for a KV cache on a prefill engine, until
// the lifetime of the cache has passed. A decode call with the BackendRef of a
// running attempt takes over its stream at the requested offset.
type Engine struct {
	cfg  EngineConfig
	log  *record.Log
	srv  *server
	http *http.Client // fetches KV caches from other engines

	mu             sync.Mutex
	info           engine.Info
	incarnation    *incarnation
	faults         Faults
	start          uint64
	fence          uint64
	loading        bool
	crashed        bool
	held           map[ident.BackendRef]*heldRequest
	queue          []*heldRequest // waiting prefills
	prefillRunning bool
	batch          []*heldRequest // decode batch
	decodeRunning  bool
	linkFree       time.Time
	cache          *prefixCache
	reports        []timedReport
	reportSeq      uint64
}

// incarnation is one run of the engine process; done is closed when the engine
// crashes or is closed.
type incarnation struct {
	done chan struct{}
}

// kv represents a KV cache.
type kv struct {
	Content content.Hash `json:"content"`
	Prompt  int          `json:"prompt"` // tokens
	Output  int          `json:"output"` // output tokens included after the prompt
	Stop    int          `json:"stop"`   // maximum output tokens of the answer
	Seed    uint64       `json:"seed"`   // represents the cached values
}

// tokens returns the number of tokens that the KV cache covers.
func (k kv) tokens() int { return k.Prompt + k.Output }

// checksum simulates a checksum over the cached values.
func (k kv) checksum() uint64 {
	return uint64(k.Content)*31 + k.Seed*17 + uint64(k.tokens())
}

type phase int

const (
	queued    phase = iota // waiting for prefill
	computing              // prefill running
	cached                 // prefill done, KV cache kept
	importing              // transfer running
	imported               // ready to decode
	decoding               // in the decode batch
)

// heldRequest is a request for which the engine holds memory.
type heldRequest struct {
	ref          ident.BackendRef
	phase        phase
	since        time.Time
	priority     int
	prompt       string
	kv           kv
	cachedTokens int
	maxTokens    int           // output tokens of the complete answer
	produced     int           // output tokens so far
	changed      chan struct{} // closed and replaced at each change
	released     bool
	err          error // why an import failed
	decodeCalls  int   // number of decode calls; only the latest one writes
	incarnation  *incarnation
}

// defaultSlots is the default number of requests that an engine can hold.
const defaultSlots = 20

// NewEngine starts an engine on a port assigned by the kernel.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Log == nil {
		cfg.Log = &record.Log{}
	}
	if cfg.Info.Slots <= 0 {
		cfg.Info.Slots = defaultSlots
	}
	e := &Engine{cfg: cfg, log: cfg.Log, info: cfg.Info, http: &http.Client{Transport: &http.Transport{}}}
	e.resetLocked()
	srv, err := newServer(e.routes())
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", cfg.Info.ID, err)
	}
	e.srv = srv
	e.info.Addr = srv.addr
	return e, nil
}

// resetLocked resets the engine to the state of a new process. The fencing token is
// lost, as in a restart of a real engine.
func (e *Engine) resetLocked() {
	e.incarnation = &incarnation{done: make(chan struct{})}
	e.start++
	e.fence = 0
	e.loading = false
	e.held = map[ident.BackendRef]*heldRequest{}
	e.queue = nil
	e.prefillRunning = false
	e.batch = nil
	e.decodeRunning = false
	e.linkFree = time.Time{}
	e.reports = nil
	rng := rand.New(rand.NewPCG(e.cfg.Seed, e.start))
	e.cache = &prefixCache{timing: e.cfg.Timing, rng: rng}
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/prefill", e.handlePrefill)
	mux.HandleFunc("POST /engine/import", e.handleImport)
	mux.HandleFunc("GET /engine/kv", e.handleExport)
	mux.HandleFunc("POST /engine/decode", e.handleDecode)
	mux.HandleFunc("POST /engine/cancel", e.handleCancel)
	mux.HandleFunc("GET /engine/report", e.handleReport)
	mux.HandleFunc("GET /engine/events", e.handleEvents)
	mux.HandleFunc("POST /engine/order", e.handleOrder)
	mux.Handle("GET /fake/events", e.log)
	return mux
}

// Info returns the entry of the engine for the host list.
func (e *Engine) Info() engine.Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Held returns the number of requests for which the engine holds memory.
func (e *Engine) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

// Log returns the engine's log.
func (e *Engine) Log() *record.Log { return e.log }

// Close stops the engine.
func (e *Engine) Close() {
	e.srv.close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnationLocked()
	e.http.CloseIdleConnections()
}

func (e *Engine) endIncarnationLocked() {
	select {
	case <-e.incarnation.done:
	default:
		close(e.incarnation.done)
	}
}

// recordEvent adds a record of this engine to the log. Records of orders keep the
// model and version that the order names.
func (e *Engine) recordEvent(r record.Record) {
	r.Server = string(e.cfg.Info.ID)
	r.Group = e.info.Group
	if r.Kind != record.Order {
		r.Model = e.info.Model
		r.Version = e.info.Version
	}
	e.log.Add(r)
}

func (e *Engine) recordRequest(kind record.Kind, step string, h *heldRequest) {
	ref := h.ref
	r := record.Record{Kind: kind, Step: step, Ref: &ref, Content: h.kv.Content.String()}
	r.Prompt = h.kv.Prompt
	r.Tokens = h.produced
	e.recordEvent(r)
}

// sleep waits for d. It returns false if the engine crashes first.
func (inc *incarnation) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-inc.done:
		return false
	}
}

// admitLocked reports whether the engine accepts new work for a role. If it does
// not, it writes the error response.
func (e *Engine) admitLocked(w http.ResponseWriter, role engine.Role, m ident.Model, v ident.Version, ref ident.BackendRef) bool {
	status, code := 0, ""
	switch {
	case e.crashed:
		// The request arrived while the engine was crashing; close without an answer.
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
		return false
	case e.info.Leaving:
		status, code = http.StatusServiceUnavailable, engine.CodeLeaving
	case e.info.Role != role, m != e.info.Model, v != e.info.Version:
		status, code = http.StatusBadRequest, engine.CodeBadRequest
	case e.held[ref] != nil:
		status, code = http.StatusBadRequest, engine.CodeBadRequest
	case e.loading, len(e.held) >= e.info.Slots:
		status, code = http.StatusTooManyRequests, engine.CodeFull
	default:
		return true
	}
	e.recordEvent(record.Record{Kind: record.Refused, Step: string(role), Ref: &ref, Reason: code})
	writeError(w, status, code, fmt.Sprintf("engine %s serves %s %s as %s", e.info.ID, e.info.Model, e.info.Version, e.info.Role))
	return false
}

func (e *Engine) holdLocked(h *heldRequest, step string) {
	h.since = time.Now()
	h.changed = make(chan struct{})
	h.incarnation = e.incarnation
	e.held[h.ref] = h
	e.recordRequest(record.Hold, step, h)
}

// freeLocked releases the memory of a request. It does nothing if the memory is
// already released.
func (e *Engine) freeLocked(h *heldRequest, step string) {
	if h.released || e.incarnation != h.incarnation {
		return
	}
	h.released = true
	delete(e.held, h.ref)
	e.queue = without(e.queue, h)
	e.batch = without(e.batch, h)
	e.recordRequest(record.Free, step, h)
	h.notify()
}

func without(list []*heldRequest, h *heldRequest) []*heldRequest {
	out := list[:0]
	for _, x := range list {
		if x != h {
			out = append(out, x)
		}
	}
	return out
}

// notify wakes all goroutines that wait for a change of the request.
func (h *heldRequest) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// await waits until ready returns true. It returns false if the request is released,
// the engine crashes or the caller disconnects first.
func (e *Engine) await(r *http.Request, h *heldRequest, ready func() bool) bool {
	for {
		e.mu.Lock()
		released, ok, changed := h.released, ready(), h.changed
		e.mu.Unlock()
		if ok || released {
			return ok
		}
		select {
		case <-changed:
		case <-h.incarnation.done:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

func readBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	// net/http detects a lost connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, err.Error())
		return v, false
	}
	return v, true
}

func refFromQuery(r *http.Request) ident.BackendRef {
	q := r.URL.Query()
	attempt, _ := strconv.ParseUint(q.Get("attempt"), 10, 32)
	return ident.BackendRef{Request: ident.RequestID(q.Get("request")), Attempt: ident.Attempt(attempt)}
}
