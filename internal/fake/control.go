package fake

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// WeightStore is the store that engines load model versions from. It limits the load
// rate by serving one load at a time.
type WeightStore struct {
	slot chan struct{} // holds an element during a load
}

// NewWeightStore returns a store.
func NewWeightStore() *WeightStore {
	return &WeightStore{slot: make(chan struct{}, 1)}
}

// load waits until the store is free and then for d. It returns false if the engine
// crashes first.
func (s *WeightStore) load(inc *incarnation, d time.Duration) bool {
	if s == nil {
		return inc.sleep(d)
	}
	select {
	case s.slot <- struct{}{}:
	case <-inc.done:
		return false
	}
	defer func() { <-s.slot }()
	return inc.sleep(d)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	ref, ok := readBody[ident.BackendRef](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordEvent(record.Record{Kind: record.Cancel, Ref: &ref, Headers: headerLines(r.Header)})
	if h := e.held[ref]; h != nil {
		e.freeLocked(h, "cancel")
	}
	w.WriteHeader(http.StatusNoContent)
}

// timedReport is a report with the time it was made.
type timedReport struct {
	report engine.Report
	at     time.Time
}

// handleReport serves the newest report that is at least ReportLag old. Reports are
// made on request, at most one per quarter of the lag.
func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := e.cfg.Timing.scaled(e.cfg.Timing.ReportLag)
	if n := len(e.reports); n == 0 || now.Sub(e.reports[n-1].at) >= lag/4 {
		e.reports = append(e.reports, timedReport{report: e.reportLocked(now), at: now})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= lag {
		e.reports = e.reports[1:]
	}
	writeJSON(w, e.reports[0].report)
}

func (e *Engine) reportLocked(now time.Time) engine.Report {
	e.reportSeq++
	out := engine.Report{
		ID:       e.info.ID,
		Sequence: e.reportSeq,
		Start:    e.start,
		Role:     e.info.Role,
		Model:    e.info.Model,
		Version:  e.info.Version,
		Slots:    e.info.Slots,
		Running:  len(e.batch),
		Queued:   len(e.queue),
		Fence:    e.fence,
		Leaving:  e.info.Leaving,
	}
	if e.prefillRunning {
		out.Running++
	}
	for _, h := range e.held {
		out.Held = append(out.Held, engine.HeldRequest{Ref: h.ref, Age: now.Sub(h.since)})
	}
	slices.SortFunc(out.Held, func(a, b engine.HeldRequest) int { return int(b.Age - a.Age) })
	return out
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.after(time.Now(), after))
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := readBody[engine.Order](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordEvent(record.Record{Kind: record.Order, Reason: string(o.Kind), Fence: o.Fence, Model: o.Model, Version: o.Version})
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		e.recordEvent(record.Record{Kind: record.Refused, Step: "order", Fence: o.Fence, Reason: engine.CodeStaleFence})
		writeError(w, http.StatusConflict, engine.CodeStaleFence, "a higher fencing number has been seen")
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.OrderChangeRole:
		e.info.Role = o.Role
	case engine.OrderLoadVersion:
		e.loading = true
		go e.load(e.incarnation, o)
	case engine.OrderLoadAdapter:
		go e.load(e.incarnation, o)
	default:
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// load loads a model version or an adapter from the weight store. The engine accepts
// no new work while it loads a model version.
func (e *Engine) load(inc *incarnation, o engine.Order) {
	t := e.cfg.Timing
	e.recordLoad(record.Start, o)
	if !e.cfg.Weights.load(inc, t.scaled(t.LoadTime)) {
		return
	}
	e.mu.Lock()
	if e.incarnation == inc && o.Kind == engine.OrderLoadVersion {
		e.info.Model = o.Model
		e.info.Version = o.Version
		e.loading = false
	}
	e.mu.Unlock()
	e.recordLoad(record.End, o)
}

func (e *Engine) recordLoad(kind record.Kind, o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordEvent(record.Record{Kind: kind, Step: "load", Fence: o.Fence, Reason: string(o.Version)})
}
