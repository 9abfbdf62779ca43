package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
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
	out := make([]answer[T], len(h.Hosts))
	fetchEach(ctx, h, path, func(i int, a answer[T]) { out[i] = a })
	return out
}

// fetchEach reads the JSON at path from each host and calls use with the index
// of the host, one call at a time, in the order in which the answers come.
func fetchEach[T any](ctx context.Context, h hosts, path string, use func(int, answer[T])) {
	client := &fasthttp.Client{
		Name:                "mulberryctl",
		MaxResponseBodySize: maxAnswer,
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, h.Timeout)
		},
	}
	defer client.CloseIdleConnections()
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, host := range h.Hosts {
		group.Go(func() error {
			value, err := fetch[T](ctx, client, host, path, h.Timeout)
			mutex.Lock()
			defer mutex.Unlock()
			use(i, answer[T]{host, value, err})
			return nil
		})
	}
	_ = group.Wait()
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
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return value, fmt.Errorf("get %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return value, fmt.Errorf("get %s: status %d", path, resp.StatusCode())
	}
	body, err := resp.BodyUncompressedWithLimit(maxAnswer)
	if err != nil {
		return value, fmt.Errorf("get %s: uncompress answer: %w", path, err)
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("get %s: decode answer: %w", path, err)
	}
	return value, nil
}
