package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// maxParallel bounds the connections that a command opens at once.
	maxParallel = 32

	// maxAnswer bounds the memory for the answer of a host, in bytes.
	maxAnswer = 64 << 20
)

// answer is what one host replied, or why it did not.
type answer[T any] struct {
	host  string
	value T
	err   error
}

// fetchAll reads the JSON at path from each host and returns the answers in the
// order of the hosts.
func fetchAll[T any](ctx context.Context, h hosts, path string) []answer[T] {
	client := &fasthttp.Client{
		Name:                "mulberryctl",
		MaxResponseBodySize: maxAnswer,
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, h.Timeout)
		},
	}
	defer client.CloseIdleConnections()
	out := make([]answer[T], len(h.Hosts))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, host := range h.Hosts {
		group.Go(func() error {
			value, err := fetch[T](ctx, client, host, path, h.Timeout)
			out[i] = answer[T]{host, value, err}
			return nil
		})
	}
	_ = group.Wait()
	return out
}

func fetch[T any](ctx context.Context, c *fasthttp.Client, host, path string, timeout time.Duration) (T, error) {
	var value T
	if err := ctx.Err(); err != nil {
		return value, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host + path)
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return value, fmt.Errorf("get %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return value, fmt.Errorf("get %s: status %d", path, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &value); err != nil {
		return value, fmt.Errorf("get %s: decode answer: %w", path, err)
	}
	return value, nil
}
