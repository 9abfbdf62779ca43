package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	req, ok := readBody[engine.ImportRequest](w, r)
	if !ok {
		return
	}
	h := &held{ref: req.Ref, phase: importing}
	e.mu.Lock()
	e.note(record.Record{Kind: record.Arrival, Step: "import", Ref: &req.Ref, Headers: headerLines(r.Header)})
	if !e.admitLocked(w, engine.Decode, req.Model, req.Version, req.Ref) {
		e.mu.Unlock()
		return
	}
	e.holdLocked(h, "import")
	done := e.bookLinkLocked(req.Bytes)
	e.mu.Unlock()

	go e.transfer(h, req, done)
	if e.await(r, h, func() bool { return h.phase == imported }) {
		writeJSON(w, engine.ImportResult{Ref: h.ref, Checksum: h.kv.checksum()})
		return
	}
	e.mu.Lock()
	err := h.err
	e.mu.Unlock()
	if err != nil {
		writeError(w, http.StatusNotFound, engine.CodeUnknownAttempt, err.Error())
		return
	}
	writeError(w, http.StatusGone, "cancelled", "the import has ended")
}

// bookLinkLocked returns when a transfer ends: transfers share the link one after
// another.
func (e *Engine) bookLinkLocked(bytes int64) time.Time {
	from := time.Now()
	if e.linkFree.After(from) {
		from = e.linkFree
	}
	d := time.Duration(float64(e.cfg.Timing.transfer(bytes)) * e.faults.slowFactor())
	e.linkFree = from.Add(d)
	return e.linkFree
}

// transfer models the time of a transfer and then fetches the KV cache.
func (e *Engine) transfer(h *held, req engine.ImportRequest, done time.Time) {
	if !h.life.sleep(time.Until(done)) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), importTimeout)
	defer cancel()
	cache, err := e.fetch(ctx, h, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != h.life || h.gone {
		return
	}
	if err != nil {
		h.err = err
		e.freeLocked(h, "import")
		return
	}
	if e.faults.CorruptKV {
		cache.Seed ^= 1
		cache.Content ^= 1
	}
	h.kv = cache
	h.phase = imported
	e.noteHeld(record.End, "import", h)
	h.notify()
}

// importTimeout bounds a fetch from a prefill engine that does not answer.
const importTimeout = 30 * time.Second

// fetch gets a KV cache from a prefill engine; while the stall fault is on it
// waits instead.
func (e *Engine) fetch(ctx context.Context, h *held, req engine.ImportRequest) (kv, error) {
	if !e.awaitFault(h, func(f Faults) bool { return !f.StallTransfer }) {
		return kv{}, fmt.Errorf("cancelled")
	}
	q := url.Values{}
	q.Set("request", string(req.Ref.Request))
	q.Set("attempt", fmt.Sprint(req.Ref.Attempt))
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+req.Source+"/engine/kv?"+q.Encode(), nil)
	if err != nil {
		return kv{}, err
	}
	resp, err := e.http.Do(get)
	if err != nil {
		return kv{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return kv{}, fmt.Errorf("export: status %d", resp.StatusCode)
	}
	var cache kv
	err = json.NewDecoder(resp.Body).Decode(&cache)
	return cache, err
}

func (e *Engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	req, ok := readBody[engine.DecodeRequest](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	h := e.held[req.Ref]
	arrival := record.Record{Kind: record.Arrival, Step: "decode", Ref: &req.Ref, Headers: headerLines(r.Header)}
	if h != nil {
		arrival.Content = h.kv.Content.String()
	}
	e.note(arrival)
	if h == nil || h.phase < imported {
		e.note(record.Record{Kind: record.Refused, Step: "decode", Ref: &req.Ref, Reason: engine.CodeUnknownAttempt})
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, engine.CodeUnknownAttempt, "no KV cache for the attempt")
		return
	}
	if h.phase == imported {
		e.joinBatchLocked(h, req)
	}
	h.stream++
	mine := h.stream
	h.notify()
	e.mu.Unlock()
	e.stream(w, r, h, req.Offset, mine)
}

// joinBatchLocked adds a request to the batch. It starts after the output that the
// KV cache covers; output up to the offset of the call is produced again.
func (e *Engine) joinBatchLocked(h *held, req engine.DecodeRequest) {
	h.phase = decoding
	h.max = min(req.MaxTokens, h.kv.Stop)
	h.produced = min(h.kv.Output, h.max)
	e.noteHeld(record.Start, "decode", h)
	e.batch = append(e.batch, h)
	if !e.stepping {
		e.stepping = true
		go e.run(e.life)
	}
}

// run executes decode steps while the batch has requests. A step gives each of
// them one token.
func (e *Engine) run(l *life) {
	for {
		e.mu.Lock()
		if e.life != l {
			e.mu.Unlock()
			return
		}
		if len(e.batch) == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		d := e.cfg.Timing.step(len(e.batch), e.faults.slowFactor())
		stepped := append([]*held(nil), e.batch...)
		e.mu.Unlock()
		if !l.sleep(d) {
			return
		}
		e.mu.Lock()
		for _, h := range stepped {
			e.produceLocked(h)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) produceLocked(h *held) {
	if h.gone {
		return
	}
	if h.produced < h.max {
		h.produced++
	}
	if h.produced >= h.max {
		e.batch = without(e.batch, h)
	}
	h.notify()
}

// stream writes tokens as they are produced. The memory is free once the last
// chunk has been written; a stream that breaks leaves it held.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, h *held, offset, mine int) {
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = out.Flush()
	first := true
	for {
		next, ok := e.nextChunk(r, h, &offset, mine)
		if !ok {
			panic(http.ErrAbortHandler) // ends the connection without the end of the body
		}
		if next == nil {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			_ = out.Flush()
			continue
		}
		line, _ := json.Marshal(next)
		if _, err := w.Write(append(line, '\n')); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		e.noteChunk(h, next, first)
		first = false
		if next.Done {
			return
		}
	}
}

func (e *Engine) noteChunk(h *held, c *engine.Chunk, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if first && len(c.Tokens) > 0 {
		e.noteHeld(record.Token, "decode", h)
	}
	if c.Done {
		e.noteHeld(record.End, "decode", h)
		e.freeLocked(h, "decode")
	}
}

// nextChunk waits for tokens from offset on. It returns nil for a keep-alive, and
// false when the stream ends early.
func (e *Engine) nextChunk(r *http.Request, h *held, offset *int, mine int) (*engine.Chunk, bool) {
	t := e.cfg.Timing
	keepAlive := time.NewTimer(t.scaled(t.KeepAlive))
	defer keepAlive.Stop()
	for {
		e.mu.Lock()
		ended := h.gone || h.stream != mine
		c := h.chunkFrom(*offset)
		if e.faults.SilentStream {
			c = nil
		}
		changed, silent := h.changed, e.faults.SilentStream
		e.mu.Unlock()
		if ended {
			return nil, false
		}
		if c != nil {
			*offset += len(c.Tokens)
			return c, true
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if !silent {
				return nil, true
			}
		case <-h.life.done:
			return nil, false
		case <-r.Context().Done():
			return nil, false
		}
	}
}

// chunkFrom returns the tokens from offset on, or nil if there is nothing to say.
func (h *held) chunkFrom(offset int) *engine.Chunk {
	done := h.produced >= h.max
	if h.produced <= offset && !done {
		return nil
	}
	c := &engine.Chunk{Ref: h.ref, Offset: offset, Done: done}
	for i := offset; i < h.produced; i++ {
		c.Tokens = append(c.Tokens, content.Token(h.kv.Content, i))
	}
	if done {
		c.Finish = "length"
		if h.max == h.kv.Stop {
			c.Finish = "stop"
		}
	}
	return c
}
