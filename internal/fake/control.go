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

// WeightStore is the rate-limited store that engines load versions from: it
// serves one load at a time.
type WeightStore struct {
	turn chan struct{}
}

// NewWeightStore returns a store.
func NewWeightStore() *WeightStore {
	return &WeightStore{turn: make(chan struct{}, 1)}
}

// load takes d from the time that the store is free. It returns false when the
// engine crashes first.
func (s *WeightStore) load(l *life, d time.Duration) bool {
	if s == nil {
		return l.sleep(d)
	}
	select {
	case s.turn <- struct{}{}:
	case <-l.done:
		return false
	}
	defer func() { <-s.turn }()
	return l.sleep(d)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	ref, ok := readBody[ident.BackendRef](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(record.Record{Kind: record.Cancel, Ref: &ref, Headers: headerLines(r.Header)})
	if h := e.held[ref]; h != nil {
		e.freeLocked(h, "cancel")
	}
	w.WriteHeader(http.StatusNoContent)
}

// timedReport is a report that is served once it is old enough.
type timedReport struct {
	report engine.Report
	at     time.Time
}

// handleReport serves the newest report that is at least the lag old. The engine
// makes at most one report each quarter of the lag, when it is asked.
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
	if e.computing {
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
	e.note(record.Record{Kind: record.Order, Reason: string(o.Kind), Fence: o.Fence, Model: o.Model, Version: o.Version})
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		e.note(record.Record{Kind: record.Refused, Step: "order", Fence: o.Fence, Reason: engine.CodeStaleFence})
		writeError(w, http.StatusConflict, engine.CodeStaleFence, "a higher fencing number has been seen")
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.OrderChangeRole:
		e.info.Role = o.Role
	case engine.OrderLoadVersion:
		e.loading = true
		go e.load(e.life, o)
	case engine.OrderLoadAdapter:
		go e.load(e.life, o)
	default:
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// load loads a version from the weight store. The engine takes no new work while
// it changes its model version.
func (e *Engine) load(l *life, o engine.Order) {
	t := e.cfg.Timing
	e.noteStep(record.Start, o)
	if !e.cfg.Weights.load(l, t.scaled(t.LoadTime)) {
		return
	}
	e.mu.Lock()
	if e.life == l && o.Kind == engine.OrderLoadVersion {
		e.info.Model = o.Model
		e.info.Version = o.Version
		e.loading = false
	}
	e.mu.Unlock()
	e.noteStep(record.End, o)
}

func (e *Engine) noteStep(kind record.Kind, o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(record.Record{Kind: kind, Step: "load", Fence: o.Fence, Reason: string(o.Version)})
}
