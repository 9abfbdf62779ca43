package sendonce_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// endless sends head and then repeats block until the client closes the connection.
func endless(head, block string) func(int, net.Conn) bool {
	block = strings.Repeat(block, 1+4096/len(block))
	return func(_ int, c net.Conn) bool {
		if _, err := io.WriteString(c, head); err != nil {
			return false
		}
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return false
			}
		}
	}
}

const (
	okLine  = "HTTP/1.1 200 OK\r\n"
	chunked = okLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessBytes are the places in which a peer may send bytes without end.
var endlessBytes = []TableEntry{
	Entry("status line", "HTTP/1.1 200 ", "x"),
	Entry("bytes that are no response", "", "\x00\xff"),
	Entry("blank lines", "", "\r\n"),
	Entry("header field", okLine+"A: ", "x"),
	Entry("header fields", okLine, "A: b\r\n"),
	Entry("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
	Entry("chunk size", chunked, "0"),
	Entry("chunk extension", chunked+"5;a=", "x"),
	Entry("blanks after the chunk size", chunked+"5", " "),
	Entry("trailer", chunked+"0\r\n", "A: b\r\n"),
	Entry("one chunk", chunked+"7fffffff\r\n", "x"),
	Entry("chunks", chunked, "1\r\nx\r\n"),
	Entry("body without a length", okLine+"Connection: close\r\n\r\n", "x"),
	Entry("body longer than allowed", okLine+"Content-Length: 99999999\r\n\r\n", "x"),
}

var _ = Describe("a peer that sends bytes without end", func() {
	// Without a limit the call holds its connection, and the memory of what it has read,
	// until the deadline of the request.
	const maxBody = 64 << 10

	// request has no deadline: the limits alone must end the call.
	request := func(c *sendonce.Client) *fasthttp.Request {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + c.Addr() + "/x")
		return req
	}

	DescribeTable("fails a call, which may have run, and closes the connection",
		func(head, block string) {
			p := newPeer(endless(head, block))
			c := sendonce.New(p.addr(), sendonce.Options{MaxBody: maxBody})
			done := make(chan error, 1)
			go func() { done <- c.Do(context.Background(), request(c), fasthttp.AcquireResponse()) }()
			var err error
			Eventually(done, 10*time.Second).Should(Receive(&err))
			Expect(sent(err)).To(BeTrue())
			Expect(c.Open()).To(BeZero())
			Eventually(p.closedConns, 10*time.Second).Should(Equal(1))
		}, endlessBytes)

	DescribeTable("fails a stream that makes no progress",
		func(head, block string) {
			p := newPeer(endless(head, block))
			c := sendonce.New(p.addr(), sendonce.Options{})
			done := make(chan error, 1)
			go func() {
				s, err := c.Stream(context.Background(), request(c), 0)
				if err == nil {
					s.Progress(0, maxBody)
					_, err = io.Copy(io.Discard, s)
					s.Close()
				}
				done <- err
			}()
			var err error
			Eventually(done, 10*time.Second).Should(Receive(&err))
			Expect(sent(err)).To(BeTrue())
			Expect(c.Open()).To(BeZero())
			Eventually(p.closedConns, 10*time.Second).Should(Equal(1))
		}, endlessBytes)

	It("does not reuse a connection with bytes after a complete response", func() {
		extra := make(chan struct{}, 2)
		p := newPeer(func(n int, c net.Conn) bool {
			for _, part := range []string{okLine + "Content-Length: 2\r\n\r\nok", "x"} {
				if _, err := io.WriteString(c, part); err != nil {
					return false
				}
			}
			extra <- struct{}{}
			return endless("", "x")(n, c)
		})
		c := sendonce.New(p.addr(), sendonce.Options{})
		Expect(get(context.Background(), c, "GET")).To(Succeed())
		Eventually(p.requests).Should(Equal(1))
		Eventually(extra, 10*time.Second).Should(Receive())
		done := make(chan error, 1)
		go func() { done <- get(context.Background(), c, "GET") }()
		Eventually(p.requests, 10*time.Second).Should(Equal(2))
		Expect(p.conns).To(HaveLen(2))
		Eventually(p.closedConns, 10*time.Second).Should(BeNumerically(">=", 1))
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})

	It("cannot use more memory with many calls than the clients share", func() {
		p := newPeer(endless(okLine+"Connection: close\r\n\r\n", "x"))
		budget := sendonce.NewBudget(4 << 20)
		failed := make(chan error, 16)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range cap(failed) {
			c := sendonce.New(p.addr(), sendonce.Options{MaxBody: 64 << 20, Budget: budget})
			go func() { failed <- c.Do(context.Background(), request(c), &fasthttp.Response{}) }()
		}
		for range cap(failed) {
			var err error
			Eventually(failed, 10*time.Second).Should(Receive(&err))
			Expect(err).To(MatchError(sendonce.ErrOverBudget))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(after.HeapAlloc).To(BeNumerically("<", before.HeapAlloc+(16<<20)))
		q := newPeer(func(_ int, c net.Conn) bool {
			_, err := io.WriteString(c, okLine+"Content-Length: 2000000\r\n\r\n"+strings.Repeat("x", 2_000_000))
			return err == nil
		})
		c := sendonce.New(q.addr(), sendonce.Options{Budget: budget})
		Expect(get(context.Background(), c, "GET")).To(Succeed(), "the memory was not returned")
	})
})

var _ = Describe("a stream's progress", func() {
	drip := func(_ int, c net.Conn) bool {
		if _, err := io.WriteString(c, chunked); err != nil {
			return false
		}
		for {
			if _, err := io.WriteString(c, "1\r\n:\r\n"); err != nil {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
	}

	open := func(c *sendonce.Client, timeout time.Duration) *sendonce.Stream {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + c.Addr() + "/x")
		s, err := c.Stream(context.Background(), req, timeout)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		return s
	}

	It("ends a stream whose peer sends a byte now and then", func() {
		p := newPeer(drip)
		c := sendonce.New(p.addr(), sendonce.Options{})
		s := open(c, 50*time.Millisecond)
		done := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, s)
			done <- err
		}()
		Eventually(done, 10*time.Second).Should(Receive(HaveOccurred()))
	})

	It("keeps a slow stream whose progress is reported", func() {
		p := newPeer(drip)
		c := sendonce.New(p.addr(), sendonce.Options{})
		s := open(c, 10*time.Second)
		b := make([]byte, 1)
		for range 20 {
			s.Progress(10*time.Second, 100)
			_, err := io.ReadFull(s, b)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
