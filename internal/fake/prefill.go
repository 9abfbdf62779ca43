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
	h := &heldRequest{ref: req.Ref, phase: queued, priority: req.Priority, prompt: req.Prompt}
	h.kv = newKV(req, e.cfg.Seed)

	e.mu.Lock()
	arrival := record.Record{Kind: record.Arrival, Step: "prefill", Ref: &req.Ref, Headers: headerLines(r.Header)}
	arrival.Content = h.kv.Content.String()
	arrival.Prompt = h.kv.Prompt
	e.recordEvent(arrival)
	if !e.admitLocked(w, engine.Prefill, req.Model, req.Version, req.Ref) {
		e.mu.Unlock()
		return
	}
	e.holdLocked(h, "prefill")
	e.queue = append(e.queue, h)
	e.startPrefillLocked()
	e.mu.Unlock()

	if !e.await(r, h, func() bool { return h.phase == cached }) {
		writeError(w, http.StatusGone, "cancelled", "prefill ended without a KV cache")
		return
	}
	t := e.cfg.Timing
	writeJSON(w, engine.PrefillResult{
		Ref:      h.ref,
		Tokens:   h.kv.tokens(),
		Cached:   h.cachedTokens,
		Checksum: h.kv.checksum(),
		Bytes:    int64(h.kv.tokens()) * t.KVBytesPerToken,
		Lifetime: t.scaled(t.KVLifetime),
	})
}

// newKV returns the KV cache for a prompt and the output so far. As with a real
// model, output that is not a prefix of the answer leads to a different answer.
func newKV(req engine.PrefillRequest, seed uint64) kv {
	k := kv{
		Content: content.PromptHash(req.Prompt),
		Prompt:  content.CountTokens(req.Prompt),
		Output:  content.CountTokens(req.Output),
		Stop:    content.OutputLength(req.Prompt, maxOutput),
	}
	if req.Output != content.Answer(req.Prompt, k.Output) {
		k.Content ^= content.PromptHash(req.Output)
	}
	k.Seed = seed ^ uint64(k.Content)
	return k
}

// maxOutput limits the answer to a prompt without a stop word, in tokens.
const maxOutput = 1 << 30

// startPrefillLocked starts the waiting prefill with the highest priority, the
// oldest first among equals, unless one is already running.
func (e *Engine) startPrefillLocked() {
	if e.prefillRunning || len(e.queue) == 0 {
		return
	}
	best := e.queue[0]
	for _, h := range e.queue {
		if h.priority > best.priority {
			best = h
		}
	}
	e.queue = without(e.queue, best)
	e.prefillRunning = true
	best.phase = computing
	e.recordRequest(record.Start, "prefill", best)
	go e.runPrefill(best, e.prefillTimeLocked(best))
}

// prefillTimeLocked returns the duration of a prefill, excluding its cached prefix.
func (e *Engine) prefillTimeLocked(h *heldRequest) time.Duration {
	t := e.cfg.Timing
	blocks := content.BlockHashes(h.prompt, t.BlockTokens)
	h.cachedTokens = e.cache.lookupAndStore(time.Now(), blocks) * t.BlockTokens
	work := time.Duration(h.kv.tokens()-h.cachedTokens) * t.PrefillPerToken
	return time.Duration(float64(t.scaled(work)) * e.faults.slowFactor())
}

// runPrefill runs a prefill to completion even if it is cancelled meanwhile, because
// a batch running on an accelerator cannot be interrupted.
func (e *Engine) runPrefill(h *heldRequest, d time.Duration) {
	if !h.incarnation.sleep(d) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != h.incarnation {
		return
	}
	e.prefillRunning = false
	e.recordRequest(record.End, "prefill", h)
	if !h.released {
		h.phase = cached
		h.notify()
		go e.expire(h)
	}
	e.startPrefillLocked()
}

// expire releases a KV cache at the end of its lifetime.
func (e *Engine) expire(h *heldRequest) {
	t := e.cfg.Timing
	if !h.incarnation.sleep(t.scaled(t.KVLifetime)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeLocked(h, "prefill")
}

// handleExport sends a KV cache to a decode engine and releases it.
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
	e.recordRequest(record.End, "export", h)
	e.freeLocked(h, "prefill")
}
