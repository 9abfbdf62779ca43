package sendonce_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// echo is the header whose value the peers of these tests repeat.
const echo = "Request-Id"

// echoPeer accepts connections. For each request it writes what answer returns.
type echoPeer struct {
	ln     net.Listener
	answer func(conn, call int, id string) string // call counts those of the connection
	mu     sync.Mutex
	ids    [][]string // of the requests, by connection
	closed int
}

func newEchoPeer(answer func(conn, call int, id string) string) *echoPeer {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &echoPeer{ln: ln, answer: answer}
	DeferCleanup(ln.Close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.ids = append(p.ids, nil)
			n := len(p.ids)
			p.mu.Unlock()
			go p.serve(n, c)
		}
	}()
	return p
}

func (p *echoPeer) serve(conn int, c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed++
	}()
	br := bufio.NewReader(c)
	for call := 1; ; call++ {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		id := string(req.Header.Peek(echo))
		p.mu.Lock()
		p.ids[conn-1] = append(p.ids[conn-1], id)
		p.mu.Unlock()
		if _, err := io.WriteString(c, p.answer(conn, call, id)); err != nil {
			return
		}
	}
}

// conns returns the IDs of the calls by connection.
func (p *echoPeer) conns() [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([][]string(nil), p.ids...)
}

func (p *echoPeer) client(o sendonce.Options) *sendonce.Client {
	o.EchoHeader = echo
	return sendonce.New(p.ln.Addr().String(), o)
}

// answerTo is an answer that repeats id unless it is empty.
func answerTo(status int, id, body string) string {
	header := ""
	if id != "" {
		header = echo + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// caller makes a call with an ID, unless that is empty, and returns the answer.
type caller func(c *sendonce.Client, id string) (status int, body string, err error)

func newCall(c *sendonce.Client, id string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + c.Addr() + "/x")
	if id != "" {
		req.Header.Set(echo, id)
	}
	return req
}

const callTimeout = 2 * time.Second

func do(c *sendonce.Client, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp := fasthttp.AcquireResponse()
	err := c.Do(ctx, newCall(c, id), resp)
	return resp.StatusCode(), string(resp.Body()), err
}

func stream(c *sendonce.Client, id string) (int, string, error) {
	s, err := c.Stream(context.Background(), newCall(c, id), callTimeout)
	if err != nil {
		return 0, "", err
	}
	defer s.Close()
	body, err := io.ReadAll(s)
	return s.Status, string(body), err
}

var callers = []TableEntry{Entry("call", caller(do)), Entry("stream", caller(stream))}

// A caller must not get the answer to another call, nor lose its own answer because
// another one came first.
var _ = Describe("a late second answer", func() {
	DescribeTable("to an earlier call does not take the place of the right one in a",
		func(call caller) {
			p := newEchoPeer(func(_, n int, id string) string {
				if n == 1 {
					return answerTo(200, id, "answer to "+id)
				}
				return answerTo(200, "first", "answer to first") + answerTo(200, id, "answer to "+id)
			})
			c := p.client(sendonce.Options{})
			for _, id := range []string{"first", "second", "third"} {
				_, body, err := call(c, id)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("answer to " + id))
			}
			Expect(p.conns()).To(HaveLen(1))
		}, callers)

	DescribeTable("to a call without an ID does not take the place of the right one in a",
		func(call caller) {
			p := newEchoPeer(func(_, n int, id string) string {
				if n == 1 {
					return answerTo(503, id, "")
				}
				return answerTo(503, "", "") + answerTo(200, id, "answer to "+id)
			})
			c := p.client(sendonce.Options{})
			status, _, err := call(c, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(503))
			_, body, err := call(c, "second")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("answer to second"))
		}, callers)

	DescribeTable("to a call without an ID is not taken for the answer to another such",
		func(call caller) {
			var mu sync.Mutex
			calls, late := 0, map[int]string{}
			p := newEchoPeer(func(conn, _ int, _ string) string {
				mu.Lock()
				defer mu.Unlock()
				calls++
				answer := answerTo(200, "", fmt.Sprint("answer ", calls))
				defer func() { late[conn] = answer }()
				return late[conn] + answer
			})
			c := p.client(sendonce.Options{})
			for i := range 3 {
				_, body, err := call(c, "")
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal(fmt.Sprint("answer ", i+1)))
			}
		}, callers)

	DescribeTable("that no call on the connection explains fails a",
		func(call caller, id string) {
			p := newEchoPeer(func(_, n int, own string) string {
				if n == 1 {
					return answerTo(200, own, "")
				}
				return answerTo(503, id, "") + answerTo(200, own, "")
			})
			c := p.client(sendonce.Options{})
			_, _, err := call(c, "first")
			Expect(err).NotTo(HaveOccurred())
			_, _, err = call(c, "second")
			Expect(err).To(MatchError(sendonce.ErrUnrelated))
			Expect(sent(err)).To(BeTrue())
			Expect(c.Open()).To(BeZero())
		},
		Entry("call, with an ID of no call", caller(do), "another"),
		Entry("call, without an ID", caller(do), ""),
		Entry("stream, with an ID of no call", caller(stream), "another"),
		Entry("stream, without an ID", caller(stream), ""),
	)

	DescribeTable("is ruled out, even without an ID, on a connection with no earlier call, in a",
		func(call caller) {
			p := newEchoPeer(func(int, int, string) string { return answerTo(503, "", "") })
			status, _, err := call(p.client(sendonce.Options{}), "first")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(503))
		}, callers)

	DescribeTable("has a body that is read in full before that of the right one in a",
		func(call caller) {
			long := strings.Repeat("x", 20_000)
			p := newEchoPeer(func(_, n int, id string) string {
				if n == 1 {
					return answerTo(200, id, "")
				}
				chunked := "HTTP/1.1 200 OK\r\n" + echo + ": first\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: x\r\n\r\n"
				return chunked + answerTo(200, "first", long) + answerTo(204, "first", "") + answerTo(200, id, "answer to "+id)
			})
			c := p.client(sendonce.Options{})
			for _, id := range []string{"first", "second"} {
				_, _, err := call(c, id)
				Expect(err).NotTo(HaveOccurred())
			}
			_, body, err := call(c, "third")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("answer to third"))
			Expect(p.conns()).To(HaveLen(1))
		}, callers)
})
