package sendonce_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Guards against requests that were held up on the way and arrive after their call was
// given up, so that they run although nobody waits for them.
var _ = DescribeTable("resets the connection when it gives up a",
	func(start func(ctx context.Context, c *sendonce.Client, req *fasthttp.Request) error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		c := sendonce.New(ln.Addr().String(), sendonce.Options{})
		req := newCall(c, "1")
		req.Header.SetMethod("POST")
		req.SetBody(make([]byte, 8<<20)) // more than the buffers of the sockets hold
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- start(ctx, c, req) }()
		peer, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(peer.Close)
		_, err = io.ReadFull(peer, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(done, 10*time.Second).Should(Receive(MatchError(context.Canceled)))
		Expect(peer.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = io.Copy(io.Discard, peer)
		Expect(err).To(MatchError(syscall.ECONNRESET), "the peer reads what was held up")
	},
	Entry("call", func(ctx context.Context, c *sendonce.Client, req *fasthttp.Request) error {
		return c.Do(ctx, req, fasthttp.AcquireResponse())
	}),
	Entry("stream", func(ctx context.Context, c *sendonce.Client, req *fasthttp.Request) error {
		_, err := c.Stream(ctx, req, 0)
		return err
	}),
)
