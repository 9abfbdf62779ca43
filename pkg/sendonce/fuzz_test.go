package sendonce_test

import (
	"context"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// The grammar of a response, of RFC 9112, for bytes that stand for themselves as code points.
var (
	headGrammar = regexp.MustCompile("^HTTP/1\\.([01]) ([1-5][0-9][0-9])( [\t\x20-\x7e\u0080-\u00ff]*)?\r\n" +
		"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\u0080-\u00ff]*\r\n)*)\r\n")
	chunkGrammar   = regexp.MustCompile("^([0-9A-Fa-f]+)(?:;[\t\x20-\x7e\u0080-\u00ff]*)?\r\n")
	trailerGrammar = regexp.MustCompile("^(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\u0080-\u00ff]*\r\n)*\r\n")
)

// fieldValues returns the values of a field among the lines of a head.
func fieldValues(fields, name string) (values []string) {
	for line := range strings.SplitSeq(fields, "\r\n") {
		if n, v, _ := strings.Cut(line, ":"); strings.EqualFold(n, name) {
			values = append(values, strings.Trim(v, " \t"))
		}
	}
	return values
}

// bodyByGrammar returns the body of the first final response in what a peer sent before it
// closed the connection. ok is false if there is none, or not a whole one.
func bodyByGrammar(sent []byte) (body string, ok bool) {
	var s strings.Builder
	for _, b := range sent {
		s.WriteRune(rune(b))
	}
	rest := s.String()
	for {
		m := headGrammar.FindStringSubmatch(rest)
		if m == nil || m[2] == "101" {
			return "", false
		}
		rest = rest[len(m[0]):]
		lengths, codings := fieldValues(m[4], "Content-Length"), fieldValues(m[4], "Transfer-Encoding")
		switch {
		case len(lengths)+len(codings) > 1, len(codings) == 1 && (m[1] == "0" || !strings.EqualFold(codings[0], "chunked")):
			return "", false
		case m[2][0] == '1' || m[2] == "204":
			if len(codings) > 0 || len(lengths) > 0 && strings.Trim(lengths[0], "0") != "" {
				return "", false
			}
			if m[2][0] == '1' {
				continue
			}
			return "", true
		case m[2] == "304":
			return "", true
		case len(lengths) == 1:
			n, err := strconv.ParseUint(lengths[0], 10, 31)
			if err != nil || int(n) > len([]rune(rest)) {
				return "", false
			}
			return string([]rune(rest)[:n]), true
		case len(codings) == 0:
			return rest, true
		}
		return chunksByGrammar([]rune(rest))
	}
}

func chunksByGrammar(rest []rune) (body string, ok bool) {
	for {
		m := chunkGrammar.FindStringSubmatch(string(rest))
		if m == nil {
			return "", false
		}
		rest = rest[len([]rune(m[0])):]
		n, err := strconv.ParseUint(m[1], 16, 31)
		switch {
		case err != nil:
			return "", false
		case n == 0:
			return body, trailerGrammar.MatchString(string(rest))
		case int(n)+2 > len(rest) || string(rest[n:n+2]) != "\r\n":
			return "", false
		}
		body, rest = body+string(rest[:n]), rest[n+2:]
	}
}

// FuzzResponse checks that a call ends and releases its connection whatever the peer
// answers, that only a response by the grammar is accepted, whole and with its own body, and
// that a response that ends early is an error.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nextra"))
	f.Add([]byte("\x00\xff"))
	for _, m := range malformedAnswers {
		f.Add([]byte(m.answer))
	}
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
		whole, ok := bodyByGrammar(answer)
		for _, call := range []func(context.Context, *sendonce.Client) (string, error){readWhole, readStream} {
			c := sendonce.New(ln.Addr().String(), sendonce.Options{MaxBody: 4 << 10})
			answers <- answer
			body, err := call(ctx, c)
			if ctx.Err() != nil {
				t.Fatalf("the call did not end: %v", err)
			}
			c.Close()
			if c.Open() != 0 {
				t.Fatalf("%d connections are open", c.Open())
			}
			if err != nil {
				continue
			}
			var runes strings.Builder
			for _, b := range []byte(body) {
				runes.WriteRune(rune(b))
			}
			if !ok || runes.String() != whole {
				t.Fatalf("accepted %q with the body %q; by the grammar: %t, %q", answer, body, ok, whole)
			}
		}
	})
}

func getRequest(c *sendonce.Client) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + c.Addr() + "/x")
	return req
}

func readWhole(ctx context.Context, c *sendonce.Client) (string, error) {
	return doWhole(ctx, c, getRequest(c))
}

func readStream(ctx context.Context, c *sendonce.Client) (string, error) {
	return streamWithin(5*time.Second)(ctx, c, getRequest(c))
}

func doWhole(ctx context.Context, c *sendonce.Client, req *fasthttp.Request) (string, error) {
	resp := fasthttp.AcquireResponse()
	err := c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

// streamWithin returns a call that reads a whole stream, whose head has to arrive within a
// time unless that is 0.
func streamWithin(d time.Duration) func(context.Context, *sendonce.Client, *fasthttp.Request) (string, error) {
	return func(ctx context.Context, c *sendonce.Client, req *fasthttp.Request) (string, error) {
		s, err := c.Stream(ctx, req, d)
		if err != nil {
			return "", err
		}
		defer s.Close()
		body, err := io.ReadAll(s)
		return string(body), err
	}
}
