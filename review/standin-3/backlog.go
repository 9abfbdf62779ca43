//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// gate forwards connections to the store and can cut them off.
type gate struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newGate(to string) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	go g.accept()
	return g, nil
}

func (g *gate) accept() {
	for {
		c, err := g.ln.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

func (g *gate) add(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		reset(c)
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

func (g *gate) serve(c net.Conn) {
	if !g.add(c) {
		return
	}
	s, err := net.Dial("tcp", g.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() { _, _ = io.Copy(s, c); _ = s.Close() }()
	_, _ = io.Copy(c, s)
	_ = c.Close()
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	if cut {
		for c := range g.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// manyRoutes is how many routes one big_config adds.
const manyRoutes = 1768

// grownConfig is a configuration with many routes, in which the open route leads to service.
func grownConfig(version int, service string, extraRoutes int) map[string]any {
	c := platformtest.Config(version, platformtest.Key)
	routes := c["routes"].([]any)
	for _, r := range routes {
		if r := r.(map[string]any); r["name"] == "open" {
			r["service"] = service
		}
	}
	for i := range extraRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": "x.example", "prefix": fmt.Sprintf("/extra%05d/", i), "kind": "safe", "timeout_ms": 5000,
			"target_latency_ms": 900, "priority": 1, "service": "app", "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false, "target_gap_ms": 300,
		})
	}
	c["routes"] = routes
	c["services"] = append(c["services"].([]any), map[string]any{"name": "app2", "health_path": "/healthz", "max_connections": 100})
	return c
}

const (
	versions   = 25                    // of a storm of configurations
	versionGap = 60 * time.Millisecond // between them
	stableTime = 4 * time.Second       // stable_window_ms of the deployment
	applyTime  = 3 * time.Second       // config_apply_ms
	history    = 20 * time.Second      // history_s
	firstLook  = stableTime + applyTime + 500*time.Millisecond
)

// backlog cuts a host off from the store while configurations come in quick succession, and then
// asks for an open route that the last of them has moved.
func backlog(w *world, trouble bool) error {
	w.store.KeepHistory(history)
	data, err := json.Marshal(grownConfig(1, "app", manyRoutes))
	if err != nil {
		return err
	}
	w.note("a configuration has %d bytes", len(data))
	w.store.PutBytes("op/config", data)
	ran := map[string]string{}
	var mu sync.Mutex
	for _, service := range []string{"app", "app2"} {
		id := "i-" + service
		s, err := platformtest.NewRawServer(id, service, "", func(c net.Conn, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			if r.Header.Get("X-Expect-Instance") != id {
				reply(c, attempt, http.StatusMisdirectedRequest, "")
				return
			}
			mu.Lock()
			ran[attempt] = service
			mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Length: 2\r\n\r\nok", attempt, id)
		})
		if err != nil {
			return err
		}
		if err := w.store.Put("servers/"+id, fullEntry(s.Entry("teku", "ready"))); err != nil {
			return err
		}
	}
	g, err := newGate(w.store.Addr())
	if err != nil {
		return err
	}
	w.storeAddr = g.ln.Addr().String()
	if err := w.startHosts("teku"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var storm [][]byte
	version := 1
	for i := range versions {
		version += 3
		service := "app"
		if i == versions-1 {
			service = "app2"
		}
		data, err := json.Marshal(grownConfig(version, service, manyRoutes))
		if err != nil {
			return err
		}
		storm = append(storm, data)
	}
	cutAt := time.Now()
	if trouble {
		w.note("the host is cut off from the store")
		g.setCut(true)
	}
	time.Sleep(500 * time.Millisecond)
	for _, data := range storm {
		w.store.PutBytes("op/config", data)
		time.Sleep(versionGap)
	}
	w.note("version %d, which moves the open route to app2, is acknowledged", version)
	time.Sleep(time.Second)
	g.setCut(false)
	healed := time.Now()
	if trouble {
		w.note("the host reaches the store again, after %.1f s", healed.Sub(cutAt).Seconds())
	}
	time.Sleep(firstLook)
	old, fresh := 0, 0
	for i := range 25 {
		attempt := fmt.Sprintf("look-%d", i+1)
		req, err := http.NewRequest(http.MethodGet, "http://"+w.hosts[0].Front+"/open/x", nil)
		if err != nil {
			return err
		}
		req.Host = "x.example"
		req.Header.Set("X-Attempt-Id", attempt)
		req.Header.Set("X-Deadline-Ms", "1000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		mu.Lock()
		by := ran[attempt]
		mu.Unlock()
		w.note("%s, sent %.1f s after the end of the cut: answer %d, run by %q", attempt, time.Since(healed).Seconds(), resp.StatusCode, by)
		switch by {
		case "app":
			old++
		case "app2":
			fresh++
		}
		time.Sleep(800 * time.Millisecond)
	}
	if old > 0 {
		return fmt.Errorf("%w: %d of 25 requests were run by the service to which only older versions lead", errBroken, old)
	}
	if fresh < 25 {
		return fmt.Errorf("only %d of 25 requests were run", fresh)
	}
	return nil
}
