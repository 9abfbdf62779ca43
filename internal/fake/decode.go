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
	h := &heldRequest{ref: req.Ref, phase: importing}
	e.mu.Lock()
	e.recordEvent(record.Record{Kind: record.Arrival, Step: "import", Ref: &req.Ref, Headers: headerLines(r.Header)})
	if !e.admitLocked(w, engine.Decode, req.Model, req.Version, req.Ref) {
		e.mu.Unlock()
		return
	}
	e.holdLocked(h, "import")
	done := e.reserveLinkLocked(req.Bytes)
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

// reserveLinkLocked reserves the inbound link for a transfer and returns its end.
// Transfers use the link one at a time.
func (e *Engine) reserveLinkLocked(bytes int64) time.Time {
	from := time.Now()
	if e.linkFree.After(from) {
		from = e.linkFree
	}
	d := time.Duration(float64(e.cfg.Timing.transferTime(bytes)) * e.faults.slowFactor())
	e.linkFree = from.Add(d)
	return e.linkFree
}

// transfer waits for the simulated transfer time and then fetches the KV cache.
func (e *Engine) transfer(h *heldRequest, req engine.ImportRequest, done time.Time) {
	if !h.incarnation.sleep(time.Until(done)) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), importTimeout)
	defer cancel()
	cache, err := e.fetch(ctx, h, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != h.incarnation || h.released {
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
	e.recordRequest(record.End, "import", h)
	h.notify()
}

// importTimeout limits a fetch from a prefill engine that does not answer.
const importTimeout = 30 * time.Second

// fetch reads a KV cache from a prefill engine. It first waits for the end of a
// StallTransfer fault.
func (e *Engine) fetch(ctx context.Context, h *heldRequest, req engine.ImportRequest) (kv, error) {
	if !e.awaitFaultClear(h, func(f Faults) bool { return !f.StallTransfer }) {
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
	e.recordEvent(arrival)
	if h == nil || h.phase < imported {
		e.recordEvent(record.Record{Kind: record.Refused, Step: "decode", Ref: &req.Ref, Reason: engine.CodeUnknownAttempt})
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, engine.CodeUnknownAttempt, "no KV cache for the attempt")
		return
	}
	if h.phase == imported {
		e.joinBatchLocked(h, req)
	}
	h.decodeCalls++
	call := h.decodeCalls
	h.notify()
	e.mu.Unlock()
	e.stream(w, r, h, req.Offset, call)
}

// joinBatchLocked adds a request to the decode batch. Decoding starts after the
// output that the KV cache covers, so output between there and the offset of the
// call is generated again.
func (e *Engine) joinBatchLocked(h *heldRequest, req engine.DecodeRequest) {
	h.phase = decoding
	h.maxTokens = min(req.MaxTokens, h.kv.Stop)
	h.produced = min(h.kv.Output, h.maxTokens)
	e.recordRequest(record.Start, "decode", h)
	e.batch = append(e.batch, h)
	if !e.decodeRunning {
		e.decodeRunning = true
		go e.runDecode(e.incarnation)
	}
}

// runDecode executes decode steps while the batch is not empty. Each step produces
// one token per request.
func (e *Engine) runDecode(inc *incarnation) {
	for {
		e.mu.Lock()
		if e.incarnation != inc {
			e.mu.Unlock()
			return
		}
		if len(e.batch) == 0 {
			e.decodeRunning = false
			e.mu.Unlock()
			return
		}
		d := e.cfg.Timing.stepTime(len(e.batch), e.faults.slowFactor())
		stepped := append([]*heldRequest(nil), e.batch...)
		e.mu.Unlock()
		if !inc.sleep(d) {
			return
		}
		e.mu.Lock()
		for _, h := range stepped {
			e.produceTokenLocked(h)
		}
		e.mu.Unlock()
	}
}

func (e *Engine) produceTokenLocked(h *heldRequest) {
	if h.released {
		return
	}
	if h.produced < h.maxTokens {
		h.produced++
	}
	if h.produced >= h.maxTokens {
		e.batch = without(e.batch, h)
	}
	h.notify()
}

// stream writes tokens as they are produced. It releases the memory after writing
// the last chunk; a broken stream leaves the memory allocated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, h *heldRequest, offset, call int) {
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = out.Flush()
	first := true
	for {
		next, ok := e.nextChunk(r, h, &offset, call)
		if !ok {
			panic(http.ErrAbortHandler) // aborts the connection without terminating the body
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
		e.recordChunk(h, next, first)
		first = false
		if next.Done {
			return
		}
	}
}

func (e *Engine) recordChunk(h *heldRequest, c *engine.Chunk, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if first && len(c.Tokens) > 0 {
		e.recordRequest(record.Token, "decode", h)
	}
	if c.Done {
		e.recordRequest(record.End, "decode", h)
		e.freeLocked(h, "decode")
	}
}

// nextChunk waits for tokens from offset on. It returns nil for a keep-alive, and
// false if the stream must end early.
func (e *Engine) nextChunk(r *http.Request, h *heldRequest, offset *int, call int) (*engine.Chunk, bool) {
	t := e.cfg.Timing
	keepAlive := time.NewTimer(t.scaled(t.KeepAlive))
	defer keepAlive.Stop()
	for {
		e.mu.Lock()
		ended := h.released || h.decodeCalls != call
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
		case <-h.incarnation.done:
			return nil, false
		case <-r.Context().Done():
			return nil, false
		}
	}
}

// chunkFrom returns the tokens from offset on, or nil if there is nothing to send.
func (h *heldRequest) chunkFrom(offset int) *engine.Chunk {
	done := h.produced >= h.maxTokens
	if h.produced <= offset && !done {
		return nil
	}
	c := &engine.Chunk{Ref: h.ref, Offset: offset, Done: done}
	for i := offset; i < h.produced; i++ {
		c.Tokens = append(c.Tokens, content.Token(h.kv.Content, i))
	}
	if done {
		c.Finish = "length"
		if h.maxTokens == h.kv.Stop {
			c.Finish = "stop"
		}
	}
	return c
}
