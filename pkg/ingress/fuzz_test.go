package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
)

// FuzzConnection sends bytes on a connection and checks that the process answers with one of the
// statuses that it may use, that it closes the connection, and that it keeps no memory for it.
func FuzzConnection(f *testing.F) {
	for _, s := range []string{
		get, get + get, post("/", 5) + "12345", post("/early", 5) + "1", post("/", 1<<30),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\n12345\r\n0\r\nT: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 5000) + "\r\n",
		"GET / HTTP/1.0\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	} {
		f.Add([]byte(s))
	}
	guard := New(Config{Settings: DefaultSettings(), MemoryBytes: 16 << 20, Log: zap.NewNop()})
	ln := fasthttputil.NewInmemoryListener()
	srv := &http.Server{
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" || r.URL.Path == "/large" {
				r.URL.Path = "/"
			}
			serve(guard, nil, w, r)
		})),
		ConnContext: ConnContext, ConnState: ConnState, MaxHeaderBytes: DefaultSettings().HeaderBytes,
	}
	go func() { _ = srv.Serve(guard.Listen(ln, Callers, false)) }()
	f.Cleanup(func() { _ = srv.Close() })
	allowed := map[int]bool{100: true, 200: true, 400: true, 404: true, 408: true, 413: true, 417: true, 431: true, 501: true, 503: true, 505: true}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = c.Write(data)
			if w, ok := c.(interface{ CloseWrite() error }); ok {
				_ = w.CloseWrite()
				return
			}
			time.Sleep(5 * time.Millisecond)
			_ = c.Close()
		}()
		checkResponses(t, c, allowed)
		_ = c.Close()
		for i := 0; guard.listeners[0].size() > 0 || guard.budget.used.Load() > 0; i++ {
			if i > 2000 {
				t.Fatalf("%d connections and %d bytes remain", guard.listeners[0].size(), guard.budget.used.Load())
			}
			time.Sleep(time.Millisecond)
		}
	})
}

func checkResponses(t *testing.T, c net.Conn, allowed map[int]bool) {
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if !allowed[resp.StatusCode] {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		_ = resp.Body.Close()
	}
}
