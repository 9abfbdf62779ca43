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
	IgnoreFence bool         // accept orders with a stale fencing number
	Log         *record.Log  // a new one if nil
	Weights     *WeightStore // no limit if nil
}

// Engine is a model engine. It takes prefill and decode work by its role, which
// an order can change.
//
// An engine that loses the connection of a call goes on with the work and keeps
// the memory until the work is cancelled or, for a KV cache on a prefill engine,
// until its lifetime has passed. A decode call with the BackendRef of a running
// attempt takes over its stream at the offset it asks for.
type Engine struct {
	cfg  EngineConfig
	log  *record.Log
	srv  *server
	http *http.Client // fetches KV caches from other engines

	mu        sync.Mutex
	info      engine.Info
	life      *life
	faults    Faults
	start     uint64
	fence     uint64
	loading   bool
	down      bool // crashed
	held      map[ident.BackendRef]*held
	queue     []*held // prefills that wait
	computing bool    // a prefill runs
	batch     []*held // decode batch
	stepping  bool
	linkFree  time.Time
	cache     *prefixCache
	reports   []timedReport
	reportSeq uint64
}

// life ends when the engine crashes.
type life struct {
	done chan struct{}
}

// kv represents a KV cache.
type kv struct {
	Content content.Hash `json:"content"`
	Prompt  int          `json:"prompt"` // tokens
	Output  int          `json:"output"` // output tokens that follow the prompt
	Stop    int          `json:"stop"`   // output tokens at most
	Seed    uint64       `json:"seed"`   // stands for the cached values
}

// tokens returns the tokens that the KV cache covers.
func (k kv) tokens() int { return k.Prompt + k.Output }

// checksum stands for a checksum over the cached values.
func (k kv) checksum() uint64 {
	return uint64(k.Content)*31 + k.Seed*17 + uint64(k.tokens())
}

type phase int

const (
	queued    phase = iota // prefill waits
	computing              // prefill runs
	cached                 // prefill ended, KV cache kept
	importing              // transfer runs
	imported               // ready to decode
	decoding               // in the batch
)

// held is a request for which the engine holds memory.
type held struct {
	ref      ident.BackendRef
	phase    phase
	since    time.Time
	priority int
	prompt   string
	kv       kv
	hit      int
	max      int           // output tokens of the whole answer
	produced int           // output tokens so far
	changed  chan struct{} // closed and replaced at each change
	gone     bool
	err      error // why an import failed
	stream   int   // counts decode calls; only the last one writes
	life     *life
}

// defaultSlots is the number of requests that an engine holds.
const defaultSlots = 20

// NewEngine starts an engine on a port that the kernel chooses.
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

// resetLocked gives the engine the state of a fresh process. Fencing numbers do
// not survive a restart of an engine.
func (e *Engine) resetLocked() {
	e.life = &life{done: make(chan struct{})}
	e.start++
	e.fence = 0
	e.loading = false
	e.held = map[ident.BackendRef]*held{}
	e.queue = nil
	e.computing = false
	e.batch = nil
	e.stepping = false
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

// Info describes the engine as the host list should.
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
	e.endLifeLocked()
	e.http.CloseIdleConnections()
}

func (e *Engine) endLifeLocked() {
	select {
	case <-e.life.done:
	default:
		close(e.life.done)
	}
}

// note records an event of this engine. An order names its own model and version.
func (e *Engine) note(r record.Record) {
	r.Server = string(e.cfg.Info.ID)
	r.Group = e.info.Group
	if r.Kind != record.Order {
		r.Model = e.info.Model
		r.Version = e.info.Version
	}
	e.log.Add(r)
}

func (e *Engine) noteHeld(kind record.Kind, step string, h *held) {
	ref := h.ref
	r := record.Record{Kind: kind, Step: step, Ref: &ref, Content: h.kv.Content.String()}
	r.Prompt = h.kv.Prompt
	r.Tokens = h.produced
	e.note(r)
}

// sleep waits for a modelled time. It returns false when the engine has crashed.
func (l *life) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}

// admitLocked checks whether the engine takes new work of a kind, and writes the
// refusal if not.
func (e *Engine) admitLocked(w http.ResponseWriter, role engine.Role, m ident.Model, v ident.Version, ref ident.BackendRef) bool {
	status, code := 0, ""
	switch {
	case e.down:
		// The request came in while the engine crashed and gets no answer.
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
	e.note(record.Record{Kind: record.Refused, Step: string(role), Ref: &ref, Reason: code})
	writeError(w, status, code, fmt.Sprintf("engine %s serves %s %s as %s", e.info.ID, e.info.Model, e.info.Version, e.info.Role))
	return false
}

func (e *Engine) holdLocked(h *held, step string) {
	h.since = time.Now()
	h.changed = make(chan struct{})
	h.life = e.life
	e.held[h.ref] = h
	e.noteHeld(record.Hold, step, h)
}

// freeLocked drops the memory of a request. It does nothing for one that is gone.
func (e *Engine) freeLocked(h *held, step string) {
	if h.gone || e.life != h.life {
		return
	}
	h.gone = true
	delete(e.held, h.ref)
	e.queue = without(e.queue, h)
	e.batch = without(e.batch, h)
	e.noteHeld(record.Free, step, h)
	h.notify()
}

func without(list []*held, h *held) []*held {
	out := list[:0]
	for _, x := range list {
		if x != h {
			out = append(out, x)
		}
	}
	return out
}

// notify wakes those who wait for a change of the request.
func (h *held) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// await waits until ready holds. It returns false when the request is gone, the
// engine has crashed or the caller has left.
func (e *Engine) await(r *http.Request, h *held, ready func() bool) bool {
	for {
		e.mu.Lock()
		gone, ok, changed := h.gone, ready(), h.changed
		e.mu.Unlock()
		if ok || gone {
			return ok
		}
		select {
		case <-changed:
		case <-h.life.done:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

func readBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	// net/http notices a lost connection only once the body has been read.
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
