package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is an HTTP server that can be closed and restarted at the same address.
type server struct {
	mu      sync.Mutex
	addr    string
	http    *http.Server
	handler http.Handler
	silent  bool // requests are accepted but not answered
}

func newServer(h http.Handler) (*server, error) {
	s := &server{addr: "127.0.0.1:0", handler: h}
	return s, s.listen()
}

// listen starts the server at its address. The kernel assigns the port at the first
// start.
func (s *server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return fmt.Errorf("server %s is already running", s.addr)
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.addr, err)
	}
	s.addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	s.http = srv
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// serve handles a request. While the server is silent, it leaves the request
// unanswered.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		// net/http detects a lost connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	s.handler.ServeHTTP(w, r)
}

func (s *server) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// close closes the listener and all connections at once.
func (s *server) close() {
	s.mu.Lock()
	srv := s.http
	s.http = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}{code, message})
}

// headerLines formats the headers of a request for the log.
func headerLines(h http.Header) []string {
	var out []string
	for name, values := range h {
		for _, v := range values {
			out = append(out, name+": "+v)
		}
	}
	return out
}
