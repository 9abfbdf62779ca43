//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica works on.
type run struct {
	ID, Replica, Resume string
	Began, Ended        time.Time
}

// replica is a stand-in of a backend server whose answers are written as bytes.
type replica struct {
	id, service, stage, zone string
	ln                       net.Listener
	answer                   func(r *replica, c net.Conn, q *http.Request)
	prefill                  func(r *replica, c net.Conn, id string, q *http.Request) // nil: at once
	born                     int64

	mu     sync.Mutex
	nextID int
	runs   []*run
	conns  map[net.Conn]bool
}

func newReplica(id, service, stage, zone string, answer func(*replica, net.Conn, *http.Request)) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, stage: stage, zone: zone, ln: ln, answer: answer, born: time.Now().UnixMilli()}
	go r.accept()
	return r, nil
}

func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.ln.Addr().String(), "zone": r.zone, "version": "v1", "slots": 128,
		"state": state, "stage": r.stage, "sequence": 1, "born": r.born, "cold_remaining_ms": 0,
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	}
}

func (r *replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.conns == nil {
			r.conns = map[net.Conn]bool{}
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		r.mu.Lock()
		r.conns[c] = false // waits for a request
		r.mu.Unlock()
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Attempt-Id")
		switch {
		case q.URL.Path == "/v1/hold-take":
			r.reply(c, 200, "", fmt.Sprintf(`{"hold":"%s"}`, r.newID("hold")))
		case q.Method == http.MethodDelete:
			r.reply(c, 200, "", "{}")
		case q.URL.Path == "/v1/order":
			r.reply(c, 202, "", "{}")
		case q.Header.Get("X-Expect-Instance") != r.id:
			r.reply(c, 421, "X-Instance-Id: "+r.id+"\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n", "")
		case q.Header.Get("X-Stage") == "prefill" && r.prefill != nil:
			r.prefill(r, c, id, q)
		case q.Header.Get("X-Stage") == "prefill":
			r.reply(c, 200, "X-Attempt-Id: "+id+"\r\n", fmt.Sprintf(`{"handle":"%s","tokens":%s,"version":1}`, r.newID("kv"), promptOf(q)))
		default:
			r.answer(r, c, q)
		}
	}
}

func promptOf(q *http.Request) string {
	var p, o int
	if _, err := fmt.Sscanf(q.Header.Get("X-Token-Usage"), "%d,%d", &p, &o); err != nil {
		return "0"
	}
	return fmt.Sprint(p)
}

func (r *replica) newID(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%s%d", kind, r.nextID)
}

func (r *replica) reply(c net.Conn, status int, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// begin records that the replica begins to work on a request.
func (r *replica) begin(q *http.Request) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{ID: q.Header.Get("X-Attempt-Id"), Replica: r.id, Resume: q.Header.Get("Last-Event-Id"), Began: time.Now()}
	r.runs = append(r.runs, x)
	return x
}

func (r *replica) end(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.Ended = time.Now()
}

// runsOf returns copies of the runs of a request.
func (r *replica) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.ID == id {
			out = append(out, *x)
		}
	}
	return out
}

// signed returns the headers of an answer of a replica to a request.
func signed(id string) string {
	return "X-Attempt-Id: " + id + "\r\nX-Response-Signature: sig." + id + "\r\n"
}

// down ends the process: its listener and idle connections are closed. Another one listens at
// the address after d.
func (r *replica) down(d time.Duration) {
	addr := r.ln.Addr().String()
	_ = r.ln.Close()
	r.mu.Lock()
	for c, busy := range r.conns {
		if !busy {
			_ = c.Close()
		}
	}
	r.mu.Unlock()
	time.Sleep(d)
	for range 100 {
		if ln, err := net.Listen("tcp", addr); err == nil {
			r.ln = ln
			go r.accept()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// restarted sets the start of the process that listens now.
func (r *replica) restarted() { r.born = time.Now().UnixMilli() }
