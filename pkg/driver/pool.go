package driver

import (
	"context"
	"strconv"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// HTTPBackends calls backend servers over HTTP, with one client per address.
type HTTPBackends struct {
	engines  *clients[*enginehttp.Client]
	services *clients[*enginehttp.ServiceClient]
}

// NewHTTPBackends returns an HTTPBackends that opens clients on demand.
func NewHTTPBackends(opt enginehttp.Options) *HTTPBackends {
	return &HTTPBackends{
		engines: newClients(func(addr string) *enginehttp.Client {
			return enginehttp.New(addr, opt)
		}, time.Now),
		services: newClients(func(addr string) *enginehttp.ServiceClient {
			return enginehttp.NewService(addr, sendonce.Options{})
		}, time.Now),
	}
}

// Engine returns the engine at addr.
func (b *HTTPBackends) Engine(addr string) engine.Engine { return b.engines.get(addr) }

// Forward sends a request to a plain service without retrying. The service
// receives the request ID and the attempt, but never the key.
func (b *HTTPBackends) Forward(ctx context.Context, addr string, ref ident.BackendRef, r *ServiceRequest) (*Response, error) {
	header := append(attemptHeaders(ref), r.Header...)
	status, h, body, err := b.services.get(addr).Forward(ctx, r.Method, r.URI, header, r.Body)
	if err != nil {
		return nil, err
	}
	return &Response{Status: status, Header: h, Body: body}, nil
}

func attemptHeaders(ref ident.BackendRef) []Header {
	return []Header{
		{Name: "X-Request-Id", Value: string(ref.Request)},
		{Name: "X-Attempt", Value: strconv.FormatUint(uint64(ref.Attempt), 10)},
	}
}
