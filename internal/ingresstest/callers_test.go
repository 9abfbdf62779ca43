package ingresstest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// target is what the callers of a test connect to.
type target struct {
	name string
	addr func(*platformtest.Host) string
	path string
}

func front(h *platformtest.Host) string { return h.Front }

var (
	routed    = target{"a route", front, "/post/x"}
	open      = target{"an open route", front, "/open/x"}
	unrouted  = target{"a path without a route", front, "/none/x"}
	readyPath = target{"the readiness path of the callers' port", front, "/v1/ready"}
	readyPort = target{"the readiness port", func(h *platformtest.Host) string { return h.Ready }, "/v1/ready"}
	peers     = target{"the peer port", func(h *platformtest.Host) string { return h.PeerAddr }, "/mulberrystream.reader.v1.Reader/List"}
	metrics   = target{"the metrics port", func(h *platformtest.Host) string { return h.MetricsAddr }, "/metrics"}
)

// head returns the beginning of a request's head, without its end.
func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: bad\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n",
		method, path, platformtest.Key)
}

func withLength(path string, n int) string {
	return head("POST", path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
}

func inChunks(path string) string { return head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n" }

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("b", n)) }

// load is what one caller sends. It returns at an error of the connection, or when it has
// sent everything; the connection stays open.
type load struct {
	name    string
	send    func(c net.Conn, path string) error
	targets []target
}

// pieces writes parts with a pause after each.
func pieces(c net.Conn, pause time.Duration, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

func write(c net.Conn, s ...string) error { return pieces(c, 0, strings.Join(s, "")) }

func repeat(s string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = s
	}
	return list
}

var loads = []load{
	{"a body with a length that stops short of its end, in one piece", func(c net.Conn, path string) error {
		return write(c, withLength(path, 65536), strings.Repeat("b", 65000))
	}, []target{routed, unrouted, readyPath, readyPort, peers, metrics}},
	{"a body with a length that stops short of its end, in small pieces", func(c net.Conn, path string) error {
		if err := write(c, withLength(path, 65536)); err != nil {
			return err
		}
		return pieces(c, 5*time.Millisecond, repeat(strings.Repeat("b", 650), 100)...)
	}, []target{routed, unrouted}},
	{"a body in one chunk that stops short of its end", func(c net.Conn, path string) error {
		return write(c, inChunks(path), chunk(65000))
	}, []target{routed, unrouted, readyPort, peers}},
	{"a body in small chunks that stops short of its end", func(c net.Conn, path string) error {
		if err := write(c, inChunks(path)); err != nil {
			return err
		}
		return pieces(c, 5*time.Millisecond, repeat(strings.Repeat(chunk(50), 13), 100)...)
	}, []target{routed, unrouted}},
	{"a larger body of which a part is sent", func(c net.Conn, path string) error {
		return write(c, withLength(path, 1<<20), strings.Repeat("b", 200_000))
	}, []target{routed, unrouted, readyPort, peers}},
	{"a body far over the limit", func(c net.Conn, path string) error {
		if err := write(c, withLength(path, 1<<30)); err != nil {
			return err
		}
		return pieces(c, 0, repeat(strings.Repeat("b", 1<<16), 40)...)
	}, []target{routed, unrouted, readyPort, peers}},
	{"a body far over the limit in chunks", func(c net.Conn, path string) error {
		if err := write(c, inChunks(path)); err != nil {
			return err
		}
		return pieces(c, 0, repeat(chunk(1<<16), 40)...)
	}, []target{routed, unrouted, peers}},
	{"many short header fields", func(c net.Conn, path string) error {
		return write(c, head("GET", path), strings.Repeat("a:\r\n", 9000), "\r\n")
	}, []target{open, unrouted, readyPort, peers, metrics}},
	{"a head with many short fields that stops half-way", func(c net.Conn, path string) error {
		return write(c, head("GET", path), strings.Repeat("a:\r\n", 15000))
	}, []target{open, readyPort, peers, metrics}},
	{"a head that stops half-way", func(c net.Conn, path string) error {
		return write(c, head("GET", path), "X-Long: ", strings.Repeat("b", 8000))
	}, []target{open, readyPort}},
	{"pipelined requests whose responses are not read", func(c net.Conn, path string) error {
		return write(c, strings.Repeat(head("GET", path)+"\r\n", 3000))
	}, []target{open, unrouted, readyPath, readyPort, metrics}},
	{"requests with long responses that are read slowly", func(c net.Conn, path string) error {
		go func() { _ = write(c, strings.Repeat(head("GET", path+strings.Repeat("x", 6000))+"\r\n", 200)) }()
		for {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}, []target{open, unrouted}},
	{"a head that is sent slowly", func(c net.Conn, path string) error {
		if err := write(c, head("POST", path), "X-Slow: "); err != nil {
			return err
		}
		return pieces(c, 100*time.Millisecond, repeat("b", 1000)...)
	}, []target{routed, readyPort}},
	{"a body that is sent slowly", func(c net.Conn, path string) error {
		if err := write(c, withLength(path, 60000)); err != nil {
			return err
		}
		return pieces(c, 100*time.Millisecond, repeat("b", 1000)...)
	}, []target{routed, unrouted, peers}},
	{"nothing", func(net.Conn, string) error { return nil }, []target{routed, readyPort, peers, metrics}},
}

// Guards against misbehaving callers taking more memory or descriptors than the process may
// use, or keeping it from answering others.
func TestMisbehavingCallers(t *testing.T) {
	for _, l := range loads {
		for _, to := range l.targets {
			t.Run(l.name+" to "+to.name, func(t *testing.T) { misbehave(t, l, to) })
		}
	}
}

func misbehave(t *testing.T, l load, to target) {
	g := gomega.NewWithT(t)
	p := startProcess(t)
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() { p.sample(stop) })

	var conns connections
	for range callers {
		go conns.call(l, to.addr(p.host), to.path)
	}
	time.Sleep(holdTime)
	answered := make(chan error, 1)
	go func() {
		deadline := time.Now().Add(answerTimeout)
		err := p.ordinaryRequest()
		for err != nil && time.Now().Before(deadline) && p.alive() {
			time.Sleep(50 * time.Millisecond)
			err = p.ordinaryRequest()
		}
		answered <- err
	}()
	err := <-answered
	conns.close()
	close(stop)
	sampling.Wait()
	t.Logf("peak resident memory %d kB of %d, descriptors %d of %d", p.peakKB, memoryMB<<10, p.fds, maxFDs)
	g.Expect(p.alive()).To(gomega.BeTrue(), "the process has ended")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the ordinary request was not answered")
	g.Expect(p.peakKB).To(gomega.BeNumerically(">", 0), "resident memory was not read")
	g.Expect(p.fds).To(gomega.BeNumerically(">", 0), "descriptors were not read")
	g.Expect(p.peakKB).To(gomega.BeNumerically("<", memoryMB<<10), "resident memory in kB")
	g.Expect(p.fds).To(gomega.BeNumerically("<", maxFDs), "open descriptors")
}

// connections are the open connections of the callers.
type connections struct {
	mu     sync.Mutex
	list   []net.Conn
	closed bool
}

// call connects to an address and sends a load. The connection stays open until close.
func (s *connections) call(l load, addr, path string) {
	c, err := net.DialTimeout("tcp4", addr, answerTimeout)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = c.Close()
		return
	}
	s.list = append(s.list, c)
	s.mu.Unlock()
	_ = l.send(c, path)
}

func (s *connections) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.list {
		_ = c.Close()
	}
}
