//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	pieces      = 40
	pieceGap    = 50 * time.Millisecond
	halfPause   = time.Second
	ofEach      = 4 // servers of each service, one of which crashes
	atOnce      = 8 // requests in flight when it crashes
	bookingEnd  = "end of booking"
	pieceFormat = "id: %d\ndata: piece %d of %d\n\n"
)

// serveReplica is the process of a backend server whose answers have no length and end with
// their connection.
func serveReplica(addr, id string) int {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return 0
		}
		go serveConn(c, id)
	}
}

func serveConn(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		switch {
		case r.URL.Path == "/v1/hold-take":
			reply(c, attempt, http.StatusOK, `{"hold":"h-`+id+`"}`)
		case strings.HasPrefix(r.URL.Path, "/v1/"):
			reply(c, attempt, http.StatusOK, "{}")
		case r.Header.Get("X-Expect-Instance") != id:
			reply(c, attempt, http.StatusMisdirectedRequest, "")
		default:
			fmt.Printf("runs %s\n", attempt)
			answer(c, r, attempt, id)
			return
		}
	}
}

func reply(c net.Conn, attempt string, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, attempt, len(body), body)
}

// answer writes an answer without a length.
func answer(c net.Conn, r *http.Request, attempt, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nConnection: close\r\n", attempt, id)
	if r.URL.Path != "/verdict/2f" {
		_, _ = fmt.Fprintf(c, "Content-Type: text/plain\r\n\r\nbooking of %s, first half\n", attempt)
		time.Sleep(halfPause)
		_, _ = fmt.Fprintf(c, "second half, %s\n", bookingEnd)
		return
	}
	_, _ = fmt.Fprint(c, "Content-Type: text/event-stream\r\n\r\n")
	for i := 1; i <= pieces; i++ {
		if _, err := fmt.Fprintf(c, pieceFormat, i, i, pieces); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
}

// replica is a process of serveReplica.
type replica struct {
	id  string
	cmd *exec.Cmd

	mu   sync.Mutex
	runs int
}

func (w *world) startReplica(id, service, stage string) (*replica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, cmd: exec.Command(self, "-case", "replica", "-addr", addr, "-id", id)}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.start(r.cmd); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			w.note("server %s %s", id, lines.Text())
			r.mu.Lock()
			r.runs++
			r.mu.Unlock()
		}
	}()
	return r, w.store.Put("servers/"+id, map[string]any{
		"service": service, "address": addr, "zone": "teku", "version": "1", "slots": 128, "state": "ready", "stage": stage,
		"sequence": 1, "born": time.Now().UnixMilli(), "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// ended lets a server of each service crash while it sends answers that have no length.
func ended(w *world, trouble bool) error {
	if err := w.store.Put("op/config", platformtest.Config(1, platformtest.Key)); err != nil {
		return err
	}
	groups := map[string][]*replica{}
	for i := range ofEach {
		for service, stage := range map[string]string{"lm": "decode", "app": ""} {
			r, err := w.startReplica(fmt.Sprintf("i-%s-%d", service, i+1), service, stage)
			if err != nil {
				return err
			}
			groups[service] = append(groups[service], r)
		}
	}
	if err := w.startHosts("teku"); err != nil {
		return err
	}
	cut := 0
	for _, part := range []struct {
		service, path, name string
		whole               func(body string) bool
	}{
		{"lm", "/verdict/2f", "stream", func(b string) bool { return strings.Contains(b, fmt.Sprintf(pieceFormat, pieces, pieces, pieces)) }},
		{"app", "/post/2f", "booking", func(b string) bool { return strings.Contains(b, bookingEnd) }},
	} {
		n, err := w.crashUnder(part.path, part.name, groups[part.service], trouble, part.whole)
		if err != nil {
			return err
		}
		cut += n
	}
	if cut > 0 {
		return fmt.Errorf("%w: %d answers that were cut off reached the client as complete", errBroken, cut)
	}
	return nil
}

// crashUnder sends requests, kills a server that runs one, and returns how many answers ended
// early and looked complete.
func (w *world) crashUnder(path, name string, servers []*replica, trouble bool, whole func(string) bool) (cut int, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range atOnce {
		id := fmt.Sprintf("%s-%d", name, i+1)
		wg.Go(func() {
			w.note("the client sends %s", id)
			status, signature, body, err := w.post(path, id)
			w.note("the client gets %d for %s, signature %q, %d bytes, end of the body: %v, whole: %v", status, id, signature, len(body), err, whole(body))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK && err == nil && whole(body) {
				served++
			}
			if status == http.StatusOK && err == nil && !whole(body) {
				cut++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, r := range servers {
			r.mu.Lock()
			runs := r.runs
			r.mu.Unlock()
			if runs > 0 {
				w.note("the process of server %s is killed", r.id)
				_ = r.cmd.Process.Kill()
				break
			}
		}
	}
	wg.Wait()
	if !trouble && served < atOnce {
		return 0, fmt.Errorf("%d of %d requests served without the disruption", served, atOnce)
	}
	return cut, nil
}

// post sends a request and reads its answer. The error is that of the body.
func (w *world) post(path, id string) (status int, signature, body string, err error) {
	return w.postTo(w.hosts[0], path, id)
}

func (w *world) postTo(h *platformtest.Host, path, id string) (status int, signature, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Front+path, strings.NewReader("report of "+id))
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "x.example"
	for k, v := range map[string]string{
		"Authorization": "Bearer " + platformtest.Key, "X-Attempt-Id": id, "X-Deadline-Ms": "5000",
		"X-Model": "m", "X-Token-Usage": "100,40", "X-Prefix-Hash": "aa:50,bb:50",
	} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(data), err
}
