package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Info  engine.Info   // Addr is set when the service starts
	Scale float64       // factor on all durations; 1 if zero
	Time  time.Duration // duration of a call; 5 ms if zero
	Log   *record.Log   // a new one if nil
}

// Service is a replica of a fake plain service. It runs every call that it receives,
// whatever the method and path, and answers with content.CallAnswer.
type Service struct {
	cfg ServiceConfig
	log *record.Log
	srv *server

	mu     sync.Mutex
	info   engine.Info
	faults Faults
}

// NewService starts a replica on a port assigned by the kernel.
func NewService(cfg ServiceConfig) (*Service, error) {
	if cfg.Log == nil {
		cfg.Log = &record.Log{}
	}
	if cfg.Scale <= 0 {
		cfg.Scale = 1
	}
	if cfg.Time <= 0 {
		cfg.Time = 5 * time.Millisecond
	}
	s := &Service{cfg: cfg, log: cfg.Log, info: cfg.Info}
	mux := http.NewServeMux()
	mux.Handle("GET /fake/events", s.log)
	mux.HandleFunc("/", s.handle)
	srv, err := newServer(mux)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", cfg.Info.ID, err)
	}
	s.srv = srv
	s.info.Addr = srv.addr
	return s, nil
}

// Info returns the entry of the replica for the host list.
func (s *Service) Info() engine.Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info
}

// Log returns the replica's log.
func (s *Service) Log() *record.Log { return s.log }

// Close stops the replica.
func (s *Service) Close() { s.srv.close() }

// SetFaults replaces the faults of the replica.
func (s *Service) SetFaults(f Faults) {
	s.srv.setSilent(f.Silent)
	s.log.Add(record.Record{Kind: record.FaultSet, Server: string(s.cfg.Info.ID), Reason: f.reason()})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving makes the replica reject new calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info.Leaving = leaving
}

// Crash closes all connections. Calls in progress still complete.
func (s *Service) Crash() {
	s.log.Add(record.Record{Kind: record.Crash, Server: string(s.cfg.Info.ID)})
	s.srv.close()
}

// Restart starts a crashed replica at the same address.
func (s *Service) Restart() error {
	s.log.Add(record.Record{Kind: record.Restart, Server: string(s.cfg.Info.ID)})
	return s.srv.listen()
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete call is not run
	}
	s.mu.Lock()
	faults, info := s.faults, s.info
	s.mu.Unlock()
	call := content.CallHash(r.Method, r.URL.RequestURI(), body)
	seen := record.Record{
		Server:  string(info.ID),
		Model:   info.Model,
		Group:   info.Group,
		Step:    "call",
		Content: call.String(),
		Path:    r.Method + " " + r.URL.RequestURI(),
		Ref:     &ident.BackendRef{Request: ident.RequestID(r.Header.Get("X-Request-Id"))},
	}
	s.recordEvent(seen, record.Arrival, headerLines(r.Header))
	if info.Leaving {
		seen.Reason = engine.CodeLeaving
		s.recordEvent(seen, record.Refused, nil)
		writeError(w, http.StatusServiceUnavailable, engine.CodeLeaving, "the replica is leaving")
		return
	}
	s.recordEvent(seen, record.Start, nil)
	time.Sleep(time.Duration(float64(s.cfg.Time) * s.cfg.Scale * faults.slowFactor()))
	s.recordEvent(seen, record.End, nil)
	if faults.DropAnswer {
		panic(http.ErrAbortHandler) // aborts the connection without an answer
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, content.CallAnswer(call))
}

func (s *Service) recordEvent(r record.Record, kind record.Kind, headers []string) {
	r.Kind = kind
	r.Headers = headers
	s.log.Add(r)
}
