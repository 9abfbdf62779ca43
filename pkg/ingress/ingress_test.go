package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// testTimeout limits how long tests wait. It is not a limit under test.
const testTimeout = 20 * time.Second

// server serves requests through a guard. It answers with the size of the body, or the status
// of the guard's refusal; paths with /early are refused from the head, /wait runs until the
// test ends.
func server(t *testing.T, s Settings, memory int64) (guard *Guard, addr string) {
	g := gomega.NewWithT(t)
	guard = New(Config{Settings: s, MemoryBytes: memory, Log: zap.NewNop()})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan struct{})
	srv := &http.Server{
		Handler:     Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(guard, done, w, r) })),
		ConnContext: ConnContext, ConnState: ConnState, MaxHeaderBytes: s.HeaderBytes,
	}
	go func() { _ = srv.Serve(guard.Listen(ln, Callers, false)) }()
	go func() { _ = guard.Run(t.Context()) }()
	t.Cleanup(func() {
		close(done)
		_ = srv.Close()
	})
	return guard, ln.Addr().String()
}

func serve(guard *Guard, done <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/early":
		if !Discard(r) {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusNotFound)
		return
	case "/wait":
		<-done
		return
	case "/large":
		_, _ = w.Write(make([]byte, 8<<20))
		return
	}
	body, err := guard.ReadBody(r, 1<<20)
	if err == nil {
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
		return
	}
	w.Header().Set("Connection", "close")
	Abandon(r)
	w.WriteHeader(Status(err))
}

func connect(t *testing.T, addr, send string) (net.Conn, *bufio.Reader) {
	g := gomega.NewWithT(t)
	c, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
	_, err = io.WriteString(c, send)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c, bufio.NewReader(c)
}

// status reads a response and returns its status and body, or 0 if the connection ends.
func status(r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against refusing heads at the limit of fields, and accepting those above it.
func TestHeaderFields(t *testing.T) {
	g := gomega.NewWithT(t)
	s := DefaultSettings()
	_, addr := server(t, s, 0)
	for _, c := range []struct{ fields, want int }{{s.HeaderFields - 1, 200}, {8 * s.HeaderFields, 431}} {
		_, r := connect(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:b\r\n", c.fields)+"\r\n")
		got, _ := status(r)
		g.Expect(got).To(gomega.Equal(c.want), "%d fields", c.fields)
	}
}

// Guards against counting the lines of pipelined requests as one head.
func TestPipelinedHeadsAreCountedApart(t *testing.T) {
	g := gomega.NewWithT(t)
	const requests = 2000
	_, addr := server(t, DefaultSettings(), 0)
	_, r := connect(t, addr, strings.Repeat("GET / HTTP/1.1\r\nHost:h\r\n\r\n", requests))
	for range requests {
		got, _ := status(r)
		g.Expect(got).To(gomega.Equal(200))
	}
}

// Guards against callers that stop within the head or the body keeping their connection, and
// against an answer that does not tell them that the request has not run.
func TestSlowSendersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := DefaultSettings()
	s.HeaderTimeout, s.BodyTimeout = 300*time.Millisecond, 300*time.Millisecond
	guard, addr := server(t, s, 0)
	for _, send := range []string{"GET / HTTP/1.1\r\nHo", post("/", 10) + "12345", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12"} {
		_, r := connect(t, addr, send)
		got, _ := status(r)
		g.Expect(got).To(gomega.Equal(http.StatusRequestTimeout), send)
	}
	g.Eventually(func() int { return len(guard.connections()) }, testTimeout).Should(gomega.BeZero())
}

// Guards against a minimum rate that does not let a caller finish who sends in time.
func TestMinimumRate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := DefaultSettings()
	s.RateGrace, s.BodyRate = 300*time.Millisecond, 100_000
	_, addr := server(t, s, 0)
	_, slow := connect(t, addr, post("/", 100_000)+strings.Repeat("b", 1000))
	_, fast := connect(t, addr, post("/", 100_000)+strings.Repeat("b", 100_000))
	got, body := status(fast)
	g.Expect(got).To(gomega.Equal(200))
	g.Expect(body).To(gomega.Equal("100000"))
	got, _ = status(slow)
	g.Expect(got).To(gomega.Equal(http.StatusRequestTimeout))
}

// Guards against closing a running request, or refusing a new caller, while connections are
// idle, when connections run short.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := DefaultSettings()
	s.MaxCallers = 8
	guard, addr := server(t, s, 0)
	for range 4 {
		connect(t, addr, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	runs := func() int {
		n := 0
		for _, c := range guard.connections() {
			c.mu.Lock()
			if c.phase == running && !c.evicted {
				n++
			}
			c.mu.Unlock()
		}
		return n
	}
	g.Eventually(runs, testTimeout).Should(gomega.Equal(4))
	for i := range 40 {
		_, r := connect(t, addr, get)
		got, _ := status(r)
		g.Expect(got).To(gomega.Equal(200), "connection %d, %d open", i, guard.listeners[0].size())
	}
	// The last response may be read before its request has ended.
	g.Eventually(runs, testTimeout).Should(gomega.Equal(4))
	g.Expect(guard.listeners[0].size()).To(gomega.BeNumerically("<=", s.MaxCallers+minClosing))
}

// Guards against bodies that nobody needs closing the connection of an ordinary caller, or
// holding it for long.
func TestDiscard(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr := server(t, DefaultSettings(), 0)
	c, r := connect(t, addr, post("/early", 60_000)+strings.Repeat("b", 60_000))
	got, _ := status(r)
	g.Expect(got).To(gomega.Equal(404))
	_, err := io.WriteString(c, get)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, _ = status(r)
	g.Expect(got).To(gomega.Equal(200), "the connection is used again")
	for _, send := range []string{post("/early", 60_000) + "b", post("/early", 1<<30) + "b"} {
		_, r := connect(t, addr, send)
		got, _ := status(r)
		g.Expect(got).To(gomega.Equal(404))
		_, err := r.ReadByte()
		g.Expect(err).To(gomega.HaveOccurred(), "the connection is closed")
	}
}

// Guards against slow callers with bodies keeping the memory from one that sends at once.
func TestSlowBodiesGiveTheirMemoryBack(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr := server(t, DefaultSettings(), 4<<20)
	var slow []*bufio.Reader
	for range 4 {
		_, r := connect(t, addr, post("/", 1<<20)+"b")
		slow = append(slow, r)
	}
	time.Sleep(slowAfter + 100*time.Millisecond)
	_, r := connect(t, addr, post("/", 1<<20)+strings.Repeat("b", 1<<20))
	got, _ := status(r)
	g.Expect(got).To(gomega.Equal(200))
	refused := make(chan int, len(slow))
	for _, r := range slow {
		go func() { got, _ := status(r); refused <- got }()
	}
	g.Eventually(refused, testTimeout).Should(gomega.Receive(gomega.Equal(503)))
}

// Guards against a caller that does not read a response keeping the goroutine that writes it.
func TestWriteStall(t *testing.T) {
	g := gomega.NewWithT(t)
	s := DefaultSettings()
	s.WriteStall = 200 * time.Millisecond
	guard, addr := server(t, s, 0)
	connect(t, addr, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Eventually(func() int { return len(guard.connections()) }, testTimeout).Should(gomega.Equal(1))
	g.Eventually(func() int { return len(guard.connections()) }, testTimeout).Should(gomega.BeZero())
}

// Guards against a host with the smallest memory of the platform taking fewer callers than it
// is used by, or more than it has memory for.
func TestPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlan(DefaultSettings(), 112<<20, 4100)
	g.Expect(p.conns[Callers]).To(gomega.BeNumerically(">=", 400))
	total := 0
	for _, n := range p.conns {
		total += n
	}
	planned := int64(float64(total)*(1+closingShare)*connBytes) + p.body
	g.Expect(planned).To(gomega.BeNumerically("<", 112<<20*3/5))
	g.Expect(float64(total) * (1 + closingShare)).To(gomega.BeNumerically("<", 4100-fileFDs))
}
