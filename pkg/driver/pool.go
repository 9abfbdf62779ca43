package driver

import (
	"context"
	"strconv"
	"sync"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// HTTPBackends reaches backend servers over HTTP, with one client per address.
type HTTPBackends struct {
	opt enginehttp.Options

	mu       sync.Mutex
	engines  map[string]*enginehttp.Client
	services map[string]*enginehttp.ServiceClient
}

// NewHTTPBackends returns a pool without clients.
func NewHTTPBackends(opt enginehttp.Options) *HTTPBackends {
	return &HTTPBackends{
		opt:      opt,
		engines:  map[string]*enginehttp.Client{},
		services: map[string]*enginehttp.ServiceClient{},
	}
}

// Engine returns the engine at addr.
func (b *HTTPBackends) Engine(addr string) engine.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.engines[addr]
	if c == nil {
		c = enginehttp.New(addr, b.opt)
		b.engines[addr] = c
	}
	return c
}

func (b *HTTPBackends) service(addr string) *enginehttp.ServiceClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.services[addr]
	if c == nil {
		c = enginehttp.NewService(addr, sendonce.Options{})
		b.services[addr] = c
	}
	return c
}

// Forward sends a request to a plain service, once. The service learns request
// id and attempt, never the key.
func (b *HTTPBackends) Forward(ctx context.Context, addr string, ref ident.BackendRef, r *ServiceRequest) (*Response, error) {
	header := append(refHeader(ref), r.Header...)
	status, h, body, err := b.service(addr).Forward(ctx, r.Method, r.URI, header, r.Body)
	if err != nil {
		return nil, err
	}
	return &Response{Status: status, Header: h, Body: body}, nil
}

func refHeader(ref ident.BackendRef) []Header {
	return []Header{
		{Name: "X-Request-Id", Value: string(ref.Request)},
		{Name: "X-Attempt", Value: strconv.FormatUint(uint64(ref.Attempt), 10)},
	}
}
