package entryhost

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// adminTimeout limits reading a request header; writing a response may take twice
// as long.
const adminTimeout = 2 * time.Second

// maxAdminBody limits a request's body, which names a log level.
const maxAdminBody = 4 << 10

// adminServer returns the HTTP server for operators. It has its own listener, so
// that callers cannot reach it.
func (h *Host) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", h.handleReady)
	mux.HandleFunc("GET "+status.Path, h.handleStatus)
	mux.HandleFunc("GET "+slo.Path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.meter.report()) })
	mux.HandleFunc("GET /metrics", h.handleMetrics)
	mux.Handle("/loglevel", h.level)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: adminTimeout,
		WriteTimeout:      2 * adminTimeout,
	}
}

func (h *Host) handleMetrics(w http.ResponseWriter, r *http.Request) {
	h.meter.write(w)
	err := h.driver.Inspect(r.Context(), func(n *node.Node) { writeNodeMetrics(w, n.Stats(), n.Status(time.Now())) })
	if err != nil {
		h.log.Warn("entryhost: node metrics unavailable", zap.Error(err))
	}
}

func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !h.driver.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *Host) handleStatus(w http.ResponseWriter, r *http.Request) {
	s, err := h.driver.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
