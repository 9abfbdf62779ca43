//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// request is one attempt of a client.
type request struct {
	id, path, body string
	tokens         string // prompt and output tokens, for model requests
	deadline       time.Duration
}

// answer is what a client got.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	complete   bool
	retryAfter time.Duration
	err        error
}

// send sends a request on a new connection and reads the answer.
func (f *front) send(q request) answer {
	c, err := net.DialTimeout("tcp", f.callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.path, q.id, q.deadline.Milliseconds(), platformtest.Key)
	if q.tokens != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: 5c1e07a2:200,%s:4800\r\n", q.tokens, q.id)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, err = io.ReadAll(resp.Body)
	a.complete, a.err = err == nil, err
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
