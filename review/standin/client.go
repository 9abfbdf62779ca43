//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// verdictUsage is the X-Token-Usage of a mean request of the site's verdicts.
const verdictUsage = "5000,72"

// call is one request of a client on a connection of its own.
type call struct {
	id, method, path string
	usage            string // X-Token-Usage of a stream; empty for other requests
	deadline         time.Duration
	// leaveAfter is when the client leaves; 0 is never. It then closes its sending side and
	// reads until the host closes, as programs do that want to see how a connection ends.
	leaveAfter time.Duration
}

// result is what a client has seen on its socket.
type result struct {
	call
	status    int // 0: the connection ended without an answer
	signature string
	body      string
	complete  bool // the answer has its end, by length or by chunks
	err       error
}

func (c call) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, routeHost, c.id, c.deadline.Milliseconds(), apiKey)
	body := strings.Repeat("b", 600)
	if c.usage != "" {
		head += fmt.Sprintf("X-Model: m\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: 5c1e07a2:200,%s:%s\r\n", c.usage, c.id[:8], strings.Split(c.usage, ",")[0])
	}
	if c.method == http.MethodGet {
		return head + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// do sends a request to a host and reads its answer.
func (w *world) do(h *host, c call) result {
	res := result{call: c}
	conn, err := net.DialTimeout("tcp4", at(h.ip, h.ports.front), time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 2*time.Second))
	w.record("send     %s to %s: %s %s", c.id, h.name, c.method, c.path)
	if _, err := io.WriteString(conn, c.text()); err != nil {
		res.err = err
		return res
	}
	if c.leaveAfter > 0 {
		t := time.AfterFunc(c.leaveAfter, func() {
			w.record("leave    %s: the client closes its sending side", c.id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
		defer t.Stop()
	}
	req, _ := http.NewRequest(c.method, "http://"+routeHost+c.path, nil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		res.err = err
		w.record("seen     %s: no answer: %v", c.id, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	res.status, res.signature, res.body, res.err = resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body), err
	res.complete = err == nil
	w.record("seen     %s: %d, signature %q, %d bytes, %d events, complete %v", c.id, res.status, res.signature, len(body), strings.Count(res.body, "\n\n"), res.complete)
	return res
}
