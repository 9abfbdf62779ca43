package relayhost

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// peerHTTP makes the calls of connect's clients to other hosts, with the same check of what is a
// response as for all others.
type peerHTTP struct{ clients *clients }

func newPeerHTTP() *peerHTTP {
	return &peerHTTP{&clients{byAddr: map[string]*cachedClient{}, options: sendonce.Options{
		DialTimeout:    500 * time.Millisecond,
		IdleTimeout:    clientIdleTimeout,
		MaxIdle:        1,
		MaxConns:       4,
		MaxBody:        maxPageBytes,
		UnackedTimeout: time.Second,
	}}}
}

// Do makes a call to the host in the URL and reads the whole response.
func (p *peerHTTP) Do(r *http.Request) (*http.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URL.RequestURI())
	req.Header.SetHost(r.URL.Host)
	for name, values := range r.Header {
		for _, v := range values {
			req.Header.Add(name, v)
		}
	}
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("relayhost: body of a call to %s: %w", r.URL.Host, err)
		}
		req.SetBodyRaw(body)
	}
	if err := p.clients.forAddr(r.URL.Host).Do(r.Context(), req, resp); err != nil {
		return nil, err
	}
	header := http.Header{}
	for name, value := range resp.Header.All() {
		header.Add(string(name), string(value))
	}
	body := resp.Body()
	return &http.Response{
		Status: http.StatusText(resp.StatusCode()), StatusCode: resp.StatusCode(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r,
	}, nil
}
