package sendonce_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// FuzzResponse checks that a call ends and releases its connection whatever the peer
// answers, and that a response that ends early is an error.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nextra"))
	f.Add([]byte("\x00\xff"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	answers := make(chan []byte, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			answer := <-answers
			_, _ = c.Read(make([]byte, 1024))
			_, _ = c.Write(answer)
			_ = c.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, answer []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c := sendonce.New(ln.Addr().String(), sendonce.Options{MaxBody: 4 << 10})
		answers <- answer
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + c.Addr() + "/x")
		s, err := c.Stream(ctx, req, 5*time.Second)
		if err == nil {
			_, err = io.Copy(io.Discard, s)
			s.Close()
		}
		if ctx.Err() != nil {
			t.Fatalf("the call did not end: %v", err)
		}
		c.Close()
		if c.Open() != 0 {
			t.Fatalf("%d connections are open", c.Open())
		}
	})
}
