package sendonce_test

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// BenchmarkDo compares a small call with one through fasthttp's own client, which
// supports no cancellation and does not check idle connections.
func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown() }()
	addr := ln.Addr().String()
	call := func(do func(req *fasthttp.Request, resp *fasthttp.Response) error) func(b *testing.B) {
		return func(b *testing.B) {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/x")
			for b.Loop() {
				if err := do(req, resp); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	once := sendonce.New(addr, sendonce.Options{})
	defer once.Close()
	host := &fasthttp.HostClient{Addr: addr, MaxIdemponentCallAttempts: 1}
	defer host.CloseIdleConnections()
	b.Run("sendonce", call(func(req *fasthttp.Request, resp *fasthttp.Response) error { return once.Do(ctx, req, resp) }))
	b.Run("hostclient", call(host.Do))
}
