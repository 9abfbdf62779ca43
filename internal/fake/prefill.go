package fake

import (
	"net/http"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

func (e *Engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	req, ok := readBody[engine.PrefillRequest](w, r)
	if !ok {
		return
	}
	h := &held{ref: req.Ref, phase: queued, priority: req.Priority, prompt: req.Prompt}
	h.kv = newKV(req, e.cfg.Seed)

	e.mu.Lock()
	arrival := record.Record{Kind: record.Arrival, Step: "prefill", Ref: &req.Ref, Headers: headerLines(r.Header)}
	arrival.Content = h.kv.Content.String()
	arrival.Prompt = h.kv.Prompt
	e.note(arrival)
	if !e.admitLocked(w, engine.Prefill, req.Model, req.Version, req.Ref) {
		e.mu.Unlock()
		return
	}
	e.holdLocked(h, "prefill")
	e.queue = append(e.queue, h)
	e.computeLocked()
	e.mu.Unlock()

	if !e.await(r, h, func() bool { return h.phase == cached }) {
		writeError(w, http.StatusGone, "cancelled", "prefill ended without a KV cache")
		return
	}
	t := e.cfg.Timing
	writeJSON(w, engine.PrefillResult{
		Ref:      h.ref,
		Tokens:   h.kv.tokens(),
		Cached:   h.hit,
		Checksum: h.kv.checksum(),
		Bytes:    int64(h.kv.tokens()) * t.KVBytesPerToken,
		Lifetime: t.scaled(t.KVLifetime),
	})
}

// newKV returns the KV cache of a prompt and the output that follows it. Output
// that is not the begin of the answer leads to another answer, as in a model.
func newKV(req engine.PrefillRequest, seed uint64) kv {
	k := kv{
		Content: content.Of(req.Prompt),
		Prompt:  content.Count(req.Prompt),
		Output:  content.Count(req.Output),
		Stop:    content.Length(req.Prompt, maxOutput),
	}
	if req.Output != content.Answer(req.Prompt, k.Output) {
		k.Content ^= content.Of(req.Output)
	}
	k.Seed = seed ^ uint64(k.Content)
	return k
}

// maxOutput bounds the answer of a prompt without a stop word.
const maxOutput = 1 << 30

// computeLocked starts the waiting prefill of the highest priority, the oldest of
// equals, unless one runs.
func (e *Engine) computeLocked() {
	if e.computing || len(e.queue) == 0 {
		return
	}
	best := e.queue[0]
	for _, h := range e.queue {
		if h.priority > best.priority {
			best = h
		}
	}
	e.queue = without(e.queue, best)
	e.computing = true
	best.phase = computing
	e.noteHeld(record.Start, "prefill", best)
	go e.compute(best, e.prefillTimeLocked(best))
}

// prefillTimeLocked returns the time of a prefill less its cached prefix.
func (e *Engine) prefillTimeLocked(h *held) time.Duration {
	t := e.cfg.Timing
	blocks := content.Blocks(h.prompt, t.BlockTokens)
	h.hit = e.cache.use(time.Now(), blocks) * t.BlockTokens
	work := time.Duration(h.kv.tokens()-h.hit) * t.PrefillPerToken
	return time.Duration(float64(t.scaled(work)) * e.faults.slowFactor())
}

// compute runs a prefill to its end, also when it has been cancelled meanwhile:
// a batch that runs on the accelerator is not interrupted.
func (e *Engine) compute(h *held, d time.Duration) {
	if !h.life.sleep(d) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != h.life {
		return
	}
	e.computing = false
	e.noteHeld(record.End, "prefill", h)
	if !h.gone {
		h.phase = cached
		h.notify()
		go e.expire(h)
	}
	e.computeLocked()
}

// expire drops a KV cache at the end of its lifetime.
func (e *Engine) expire(h *held) {
	t := e.cfg.Timing
	if !h.life.sleep(t.scaled(t.KVLifetime)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeLocked(h, "prefill")
}

// handleExport gives a KV cache to a decode engine and drops it.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	ref := refFromQuery(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[ref]
	if h == nil || h.phase != cached {
		writeError(w, http.StatusNotFound, engine.CodeUnknownAttempt, "no KV cache for the attempt")
		return
	}
	writeJSON(w, h.kv)
	e.noteHeld(record.End, "export", h)
	e.freeLocked(h, "prefill")
}
