package enginehttp_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

func TestEngineHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginehttp")
}

func serve(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func engineError(err error) *engine.Error {
	var e *engine.Error
	ExpectWithOffset(1, errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	ref := ident.BackendRef{Request: "teku-0@1#1", Attempt: 2}
	chunk := func(attempt, offset int, rest string) string {
		return fmt.Sprintf(`{"ref":{"Request":"teku-0@1#1","Attempt":%d},"offset":%d%s}`+"\n", attempt, offset, rest)
	}
	decode := func(addr string, opt enginehttp.Options) ([]string, error) {
		var got []string
		err := enginehttp.New(addr, opt).Decode(ctx, engine.DecodeRequest{Ref: ref}, func(c engine.Chunk) error {
			got = append(got, c.Tokens...)
			return nil
		})
		return got, err
	}
	serveLines := func(lines ...string) string {
		return serve(func(w http.ResponseWriter, _ *http.Request) {
			for _, l := range lines {
				_, _ = w.Write([]byte(l))
				w.(http.Flusher).Flush()
			}
		})
	}

	DescribeTable("sets NotRun only for answers that guarantee it, so that no call runs twice",
		func(status int, body string, notRun bool) {
			addr := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			_, err := enginehttp.New(addr, enginehttp.Options{}).Prefill(ctx, engine.PrefillRequest{Ref: ref})
			Expect(engineError(err).NotRun).To(Equal(notRun))
			_, err = decode(addr, enginehttp.Options{})
			Expect(engineError(err).NotRun).To(Equal(notRun))
		},
		Entry("full", 429, `{"code":"full"}`, true),
		Entry("leaving", 503, `{"code":"leaving"}`, true),
		Entry("unknown attempt", 404, `{"code":"unknown_attempt"}`, true),
		Entry("503 with another cause", 503, `overloaded`, false),
		Entry("failure during the work", 500, `{"code":"internal"}`, false),
		Entry("cancelled", 410, `{"code":"cancelled"}`, false),
	)

	It("sets NotRun when the connection is refused", func() {
		s := httptest.NewServer(nil)
		addr := strings.TrimPrefix(s.URL, "http://")
		s.Close()
		_, err := decode(addr, enginehttp.Options{})
		Expect(engineError(err).NotRun).To(BeTrue())
		Expect(engineError(err).Code).To(Equal(engine.CodeConnect))
	})

	It("does not set NotRun when the connection breaks before the answer", func() {
		addr := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err := enginehttp.New(addr, enginehttp.Options{}).Prefill(ctx, engine.PrefillRequest{Ref: ref})
		Expect(engineError(err).NotRun).To(BeFalse())
		Expect(engineError(err).Code).To(Equal(engine.CodeConnectionLost))
	})

	It("rejects a result of another attempt and calls OnStale", func() {
		addr := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"ref":{"Request":"teku-0@1#1","Attempt":1}}`))
		})
		var stale atomic.Int32
		opt := enginehttp.Options{OnStale: func(string, ident.BackendRef) { stale.Add(1) }}
		_, err := enginehttp.New(addr, opt).Prefill(ctx, engine.PrefillRequest{Ref: ref})
		Expect(engineError(err).Code).To(Equal(engine.CodeWrongRef))
		Expect(stale.Load()).To(BeEquivalentTo(1))
	})

	It("drops the chunks of another attempt, so that a caller never gets tokens of another answer", func() {
		var stale atomic.Int32
		opt := enginehttp.Options{OnStale: func(string, ident.BackendRef) { stale.Add(1) }}
		addr := serveLines(chunk(2, 0, `,"tokens":["a "]`), chunk(1, 1, `,"tokens":["x "]`), "\n", chunk(2, 1, `,"tokens":["b "],"done":true`))
		got, err := decode(addr, opt)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal([]string{"a ", "b "}))
		Expect(stale.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("fails an incomplete stream, so that its end is never taken for the end of the answer",
		func(code string, l ...string) {
			_, err := decode(serveLines(l...), enginehttp.Options{})
			Expect(engineError(err).Code).To(Equal(code))
			Expect(engineError(err).NotRun).To(BeFalse())
		},
		Entry("no last chunk", engine.CodeIncomplete, chunk(2, 0, `,"tokens":["a "]`)),
		Entry("a repeated token", engine.CodeWrongOffset, chunk(2, 0, `,"tokens":["a "]`), chunk(2, 0, `,"done":true`)),
		Entry("a skipped token", engine.CodeWrongOffset, chunk(2, 1, `,"done":true`)),
		Entry("a truncated line", engine.CodeIncomplete, `{"ref":`),
		Entry("a complete chunk without a newline", engine.CodeIncomplete, strings.TrimSpace(chunk(2, 0, `,"done":true`))),
		Entry("a line that is not JSON", engine.CodeMalformed, `{"ref":`+"\n"),
	)

	It("ends a stream without data after the chunk timeout and leaves no goroutine or connection", func() {
		addr := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(chunk(2, 0, `,"tokens":["a "]`)))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		before := runtime.NumGoroutine()
		c := enginehttp.New(addr, enginehttp.Options{ChunkTimeout: 20 * time.Millisecond})
		err := c.Decode(ctx, engine.DecodeRequest{Ref: ref}, func(engine.Chunk) error { return nil })
		Expect(engineError(err).Code).To(Equal(engine.CodeTimeout))
		Expect(c.OpenConnections()).To(BeZero())
		Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before))
	})

	DescribeTable("reports a stream over a faulty network as neither complete nor NotRun",
		func(code string, fault func(p *faultproxy.Proxy)) {
			release := make(chan struct{})
			p, err := faultproxy.New(serve(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte(chunk(2, 0, `,"tokens":["a "]`)))
				w.(http.Flusher).Flush()
				select {
				case <-release:
				case <-r.Context().Done():
				}
				_, _ = w.Write([]byte(chunk(2, 1, `,"tokens":["b "],"done":true`)))
			}), 1)
			Expect(err).NotTo(HaveOccurred())
			defer p.Close()
			c := enginehttp.New(p.Addr(), enginehttp.Options{ChunkTimeout: 100 * time.Millisecond})
			err = c.Decode(ctx, engine.DecodeRequest{Ref: ref}, func(engine.Chunk) error {
				fault(p)
				close(release) // the second chunk must not arrive; a second close would panic
				return nil
			})
			Expect(engineError(err).Code).To(Equal(code))
			Expect(engineError(err).NotRun).To(BeFalse())
			Expect(c.OpenConnections()).To(BeZero())
		},
		Entry("connection lost", engine.CodeConnectionLost, (*faultproxy.Proxy).Reset),
		Entry("connection stalled", engine.CodeTimeout, (*faultproxy.Proxy).Silence),
		Entry("cut in the middle of a chunk", engine.CodeConnectionLost, func(p *faultproxy.Proxy) { p.CutAfter(faultproxy.ToClient, 10) }),
		Entry("half-closed", engine.CodeConnectionLost, func(p *faultproxy.Proxy) { p.HalfClose(faultproxy.ToClient) }),
	)

	It("reuses the connection of a complete stream for the next call", func() {
		c := enginehttp.New(serveLines(chunk(2, 0, `,"done":true`)), enginehttp.Options{})
		for range 3 {
			Expect(c.Decode(ctx, engine.DecodeRequest{Ref: ref}, func(engine.Chunk) error { return nil })).To(Succeed())
		}
		Expect(c.OpenConnections()).To(Equal(1))
	})
})

var _ = Describe("ServiceClient", func() {
	ctx := context.Background()

	It("forwards a call without the key and without hop-by-hop headers", func() {
		var got http.Request
		addr := serve(func(w http.ResponseWriter, r *http.Request) {
			got = *r
			w.Header().Set("X-Answer", "yes")
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write([]byte("body"))
		})
		s := enginehttp.NewService(addr, sendonce.Options{})
		header := []enginehttp.Header{
			{Name: "Authorization", Value: "Bearer id.secret"},
			{Name: "Connection", Value: "close"},
			{Name: "X-Request-Id", Value: "r"},
			{Name: "X-Note", Value: "a\r\nX-Injected: b"},
		}
		status, out, body, err := s.Forward(ctx, "PUT", "/a/../b?c=%20d", header, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusTeapot))
		Expect(string(body)).To(Equal("body"))
		Expect(out).To(ContainElement(enginehttp.Header{Name: "X-Answer", Value: "yes"}))
		Expect(got.Header).NotTo(HaveKey("Authorization"))
		Expect(got.Header).NotTo(HaveKey("X-Injected"))
		Expect(got.RequestURI).To(Equal("/a/../b?c=%20d"))
		Expect(got.Header.Get("X-Request-Id")).To(Equal("r"))
	})

	It("sends a call once and does not set NotRun when the connection breaks", func() {
		var calls atomic.Int32
		addr := serve(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, _, _, err := enginehttp.NewService(addr, sendonce.Options{}).Forward(ctx, "GET", "/", nil, nil)
		Expect(engineError(err).NotRun).To(BeFalse())
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("rejects a target that would change the request line", func(method, path string) {
		_, _, _, err := enginehttp.NewService("127.0.0.1:1", sendonce.Options{}).Forward(ctx, method, path, nil, nil)
		Expect(engineError(err).Code).To(Equal(engine.CodeBadRequest))
	},
		Entry("line break", "GET", "/a\r\nX: y"),
		Entry("space", "GET", "/a b"),
		Entry("no slash", "GET", "a"),
		Entry("method", "GET /x", "/a"),
	)
})
