package sendonce_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// malformedAnswers are bytes that are no response, each in one place.
var malformedAnswers = []struct{ place, answer string }{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"another version", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok"},
	{"empty line before the status line", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"blank in a name", okLine + "X y: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"blank before a colon", okLine + "X-Y : 1\r\nContent-Length: 2\r\n\r\nok"},
	{"tab before a colon", okLine + "X-Y\t: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"control byte in a name", okLine + "X\x01Y: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"byte above 127 in a name", okLine + "X\xffY: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"empty name", okLine + ": 1\r\nContent-Length: 2\r\n\r\nok"},
	{"field without a colon", okLine + "X-Y\r\nContent-Length: 2\r\n\r\nok"},
	{"continued line", okLine + "X-Y: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok"},
	{"NUL in a value", okLine + "X-Y: 1\x002\r\nContent-Length: 2\r\n\r\nok"},
	{"DEL in a value", okLine + "X-Y: 1\x7f2\r\nContent-Length: 2\r\n\r\nok"},
	{"carriage return in a value", okLine + "X-Y: 1\r2\r\nContent-Length: 2\r\n\r\nok"},
	{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"},
	{"blank before the colon of a coding, beside a length", okLine + "Transfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"coding beside a length", okLine + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"unknown coding", okLine + "Transfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"two codings", okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"two lengths", okLine + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
	{"list of lengths", okLine + "Content-Length: 2, 2\r\n\r\nok"},
	{"length with a sign", okLine + "Content-Length: +2\r\n\r\nok"},
	{"empty length", okLine + "Content-Length: \r\n\r\nok"},
	{"body of a status without one", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok"},
	{"chunk size with a sign", chunked + "+2\r\nok\r\n0\r\n\r\n"},
	{"chunk size with a blank", chunked + "2 \r\nok\r\n0\r\n\r\n"},
	{"empty chunk size", chunked + "\r\nok\r\n0\r\n\r\n"},
	{"control byte in a chunk extension", chunked + "2;a=\x00\r\nok\r\n0\r\n\r\n"},
	{"chunk longer than its size", chunked + "2\r\nokk\r\n0\r\n\r\n"},
	{"line feed alone after a chunk size", chunked + "2\nok\r\n0\r\n\r\n"},
	{"blank in the name of a trailer", chunked + "2\r\nok\r\n0\r\nX y: 1\r\n\r\n"},
	{"no end of the trailer", chunked + "2\r\nok\r\n0\r\n"},
}

var _ = Describe("bytes that are no response", func() {
	// Guards against a caller that gets such bytes as an answer, or a body that is not the
	// server's because another field framed it.
	It("fail the call, which may have run, and close the connection", func() {
		for _, m := range malformedAnswers {
			for _, call := range []func(context.Context, *sendonce.Client) (string, error){readWhole, readStream} {
				p := newPeer(func(_ int, c net.Conn) bool {
					_, err := io.WriteString(c, m.answer)
					// The end of the connection is not what makes the call fail.
					return err == nil && !strings.HasPrefix(m.place, "no end")
				})
				c := sendonce.New(p.addr(), sendonce.Options{})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				body, err := call(ctx, c)
				Expect(err).To(HaveOccurred(), "%s: body %q", m.place, body)
				Expect(ctx.Err()).NotTo(HaveOccurred(), "%s: the call waits for more", m.place)
				cancel()
				Expect(sent(err)).To(BeTrue(), m.place)
				if !strings.HasPrefix(m.place, "no end") {
					Expect(err).To(MatchError(sendonce.ErrMalformed), m.place)
				}
				Expect(c.Open()).To(BeZero(), m.place)
			}
		}
	})

	It("are not taken from the trailer for fields of the head", func() {
		p := newPeer(func(_ int, c net.Conn) bool {
			_, err := io.WriteString(c, chunked+"2\r\nok\r\n0\r\nSigned: yes\r\n\r\n")
			return err == nil
		})
		c := sendonce.New(p.addr(), sendonce.Options{})
		resp := fasthttp.AcquireResponse()
		Expect(c.Do(context.Background(), getRequest(c), resp)).To(Succeed())
		Expect(string(resp.Body())).To(Equal("ok"))
		Expect(resp.Header.Peek("Signed")).To(BeEmpty())
	})
})

var _ = Describe("an answer without a length to an upload that is still being written", func() {
	// Guards against a part of the answer that passes for all of it, because the write
	// of the request took the error of the reset.
	It("is not complete when the connection is reset", func() {
		const upload = 16 << 20 // more than the buffers of the sockets hold
		for _, call := range []func(context.Context, *sendonce.Client, *fasthttp.Request) (string, error){doWhole, streamWithin(0)} {
			for read := 1 << 10; read <= upload; read *= 2 {
				for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
					ln, err := net.Listen("tcp", "127.0.0.1:0")
					Expect(err).NotTo(HaveOccurred())
					go func() {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						_, _ = io.CopyN(io.Discard, c, int64(read))
						_, _ = io.WriteString(c, okLine+"Connection: close\r\n\r\npart")
						time.Sleep(pause)
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					}()
					c := sendonce.New(ln.Addr().String(), sendonce.Options{})
					req := getRequest(c)
					req.Header.SetMethod("POST")
					req.SetBody(make([]byte, upload))
					body, err := call(context.Background(), c, req)
					Expect(err).To(HaveOccurred(), "reset after %d bytes and %v: body %q", read, pause, body)
					Expect(sent(err)).To(BeTrue())
					Expect(ln.Close()).To(Succeed())
				}
			}
		}
	})

	It("is not complete when the connection is reset after the upload has been written", func() {
		for range 50 {
			p := newPeer(func(_ int, c net.Conn) bool {
				_, _ = io.WriteString(c, okLine+"Connection: close\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			})
			_, err := readWhole(context.Background(), sendonce.New(p.addr(), sendonce.Options{}))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
	})
})
