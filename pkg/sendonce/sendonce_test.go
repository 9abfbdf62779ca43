package sendonce_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

func TestSendOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sendonce")
}

// peer accepts connections, reads requests and answers them with serve.
type peer struct {
	ln     net.Listener
	serve  func(n int, c net.Conn) bool // false closes the connection
	mu     sync.Mutex
	conns  []net.Conn
	seen   int
	closed int
}

func newPeer(serve func(n int, c net.Conn) bool) *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{ln: ln, serve: serve}
	go p.accept()
	DeferCleanup(p.close)
	return p
}

func (p *peer) addr() string { return p.ln.Addr().String() }

func (p *peer) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *peer) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.handle(c)
	}
}

func (p *peer) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		p.closed++
		p.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		p.mu.Lock()
		p.seen++
		n := p.seen
		p.mu.Unlock()
		if !p.serve(n, c) {
			return
		}
	}
}

func (p *peer) requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

// closedConns returns the number of connections that the peer has closed.
func (p *peer) closedConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func reply(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func get(ctx context.Context, c *sendonce.Client, method string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr() + "/x")
	return c.Do(ctx, req, resp)
}

func sent(err error) bool {
	var e *sendonce.Error
	Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e.Sent
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	DescribeTable("sends a request only once when its keep-alive connection is closed during the call",
		func(method string) {
			p := newPeer(func(n int, c net.Conn) bool {
				if n == 1 {
					return reply(c)
				}
				return false // closes after reading the second request
			})
			c := sendonce.New(p.addr(), sendonce.Options{})
			Expect(get(ctx, c, method)).To(Succeed())
			Expect(sent(get(ctx, c, method))).To(BeTrue())
			Expect(c.Open()).To(BeZero())
			Consistently(p.requests, 50*time.Millisecond, 5*time.Millisecond).Should(Equal(2))
		},
		Entry("GET, which fasthttp's own client would resend", "GET"),
		Entry("PUT, which fasthttp's own client would resend", "PUT"),
		Entry("POST", "POST"),
	)

	It("does not use an idle connection that the peer has closed, since the outcome of the call would be unknown", func() {
		p := newPeer(func(n int, c net.Conn) bool { return reply(c) && n > 1 })
		c := sendonce.New(p.addr(), sendonce.Options{})
		Expect(get(ctx, c, "POST")).To(Succeed())
		Eventually(p.closedConns).Should(Equal(1))
		Expect(get(ctx, c, "POST")).To(Succeed())
		Expect(p.requests()).To(Equal(2))
	})

	It("reports a refused connection as not sent", func() {
		p := newPeer(nil)
		p.close()
		Expect(sent(get(ctx, sendonce.New(p.addr(), sendonce.Options{}), "POST"))).To(BeFalse())
	})

	It("reuses a connection instead of opening one per call", func() {
		p := newPeer(func(_ int, c net.Conn) bool { return reply(c) })
		c := sendonce.New(p.addr(), sendonce.Options{})
		for range 5 {
			Expect(get(ctx, c, "GET")).To(Succeed())
		}
		Expect(p.conns).To(HaveLen(1))
	})

	It("fails calls beyond MaxConns unsent, so that one stuck peer cannot exhaust the file descriptors", func() {
		p := newPeer(func(_ int, c net.Conn) bool { return true })
		c := sendonce.New(p.addr(), sendonce.Options{MaxConns: 1})
		stuck, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- get(stuck, c, "GET") }()
		Eventually(p.requests).Should(Equal(1))
		err := get(ctx, c, "GET")
		Expect(err).To(MatchError(sendonce.ErrTooManyConns))
		Expect(sent(err)).To(BeFalse())
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
	})

	DescribeTable("ends a stalled stream and releases its connection and goroutines",
		func(prepare func(context.Context) (context.Context, context.CancelFunc), readTimeout time.Duration) {
			p := newPeer(func(_ int, c net.Conn) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n\n\r\n")
				return err == nil
			})
			before := runtime.NumGoroutine()
			c := sendonce.New(p.addr(), sendonce.Options{})
			cctx, cancel := prepare(ctx)
			defer cancel()
			req := fasthttp.AcquireRequest()
			req.SetRequestURI("http://" + p.addr() + "/s")
			s, err := c.Stream(cctx, req, readTimeout)
			Expect(err).NotTo(HaveOccurred())
			b := make([]byte, 3)
			_, err = io.ReadFull(s, b)
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Read(b)
			Expect(err).To(HaveOccurred())
			Expect(err).NotTo(Equal(io.EOF))
			s.Close()
			Expect(c.Open()).To(BeZero())
			Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before))
		},
		Entry("at the read timeout", context.WithCancel, 20*time.Millisecond),
		Entry("at the deadline", func(c context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(c, 20*time.Millisecond)
		}, time.Hour),
		Entry("at cancellation", func(c context.Context) (context.Context, context.CancelFunc) {
			cctx, cancel := context.WithCancel(c)
			time.AfterFunc(20*time.Millisecond, cancel)
			return cctx, cancel
		}, time.Hour),
	)
})
