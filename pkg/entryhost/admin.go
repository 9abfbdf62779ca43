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

// adminTimeout bounds the answer to an operator.
const adminTimeout = 2 * time.Second

// adminServer serves operators. It is a listener of its own, so that callers
// never reach it.
func (h *Host) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", h.readyz)
	mux.HandleFunc("GET "+status.Path, h.status)
	mux.HandleFunc("GET "+slo.Path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.meter.report()) })
	mux.HandleFunc("GET /metrics", h.metrics)
	mux.Handle("/loglevel", h.level)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: adminTimeout,
		WriteTimeout:      2 * adminTimeout,
	}
}

func (h *Host) metrics(w http.ResponseWriter, r *http.Request) {
	h.meter.write(w)
	err := h.driver.Inspect(r.Context(), func(n *node.Node) { writeNode(w, n.Stats(), n.Status(time.Now())) })
	if err != nil {
		h.log.Warn("entryhost: metrics without the node's part", zap.Error(err))
	}
}

func (h *Host) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.driver.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *Host) status(w http.ResponseWriter, r *http.Request) {
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
