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
	// maxConnections limits the connections that a command opens at once.
	maxConnections = 32

	// maxResponseBytes limits the memory for the response of a host, before and
	// after decompression.
	maxResponseBytes = 64 << 20
)

// response is the decoded response of one host, or the error of the request.
type response[T any] struct {
	host  string
	value T
	err   error
}

// fetchAll gets the JSON document at path from each host and returns the responses
// in the order of the hosts.
func fetchAll[T any](ctx context.Context, h hostOptions, path string) []response[T] {
	out := make([]response[T], len(h.Hosts))
	fetchEach(ctx, h, path, func(i int, a response[T]) { out[i] = a })
	return out
}

// fetchEach gets the JSON document at path from each host and calls use with the
// index of the host, one call at a time, in the order in which responses arrive.
func fetchEach[T any](ctx context.Context, h hostOptions, path string, use func(int, response[T])) {
	client := &fasthttp.Client{
		Name:                "mulberryctl",
		MaxResponseBodySize: maxResponseBytes,
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, h.Timeout)
		},
	}
	defer client.CloseIdleConnections()
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConnections)
	for i, host := range h.Hosts {
		group.Go(func() error {
			value, err := fetch[T](ctx, client, host, path, h.Timeout)
			mutex.Lock()
			defer mutex.Unlock()
			use(i, response[T]{host, value, err})
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
	body, err := resp.BodyUncompressedWithLimit(maxResponseBytes)
	if err != nil {
		return value, fmt.Errorf("get %s: decompress response: %w", path, err)
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("get %s: decode response: %w", path, err)
	}
	return value, nil
}
