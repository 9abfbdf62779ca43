package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Options configures a client.
type Options struct {
	Conn sendonce.Options
	// ChunkTimeout is the idle timeout of a decode stream, 1 s by default.
	// Engines send an empty line as keep-alive well within it. A shorter timeout
	// detects a dead connection sooner, a longer one tolerates a slow engine.
	ChunkTimeout time.Duration
	// OnStale is called for each answer that belongs to another attempt than the
	// one requested.
	OnStale func(step string, got ident.BackendRef)
}

func (o Options) withDefaults() Options {
	if o.ChunkTimeout <= 0 {
		o.ChunkTimeout = time.Second
	}
	if o.OnStale == nil {
		o.OnStale = func(string, ident.BackendRef) {}
	}
	return o
}

// Client calls the engine at one address.
type Client struct {
	conn *sendonce.Client
	opt  Options
}

var _ engine.Engine = (*Client)(nil)

// New returns a client of the engine at addr.
func New(addr string, opt Options) *Client {
	return &Client{conn: sendonce.New(addr, opt.Conn), opt: opt.withDefaults()}
}

// Close closes idle connections; running calls continue.
func (c *Client) Close() { c.conn.Close() }

// OpenConnections returns the number of connections to the engine, including idle
// ones.
func (c *Client) OpenConnections() int { return c.conn.Open() }

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, r engine.PrefillRequest) (engine.PrefillResult, error) {
	var out engine.PrefillResult
	if err := c.call(ctx, "prefill", r, &out); err != nil {
		return engine.PrefillResult{}, err
	}
	return out, c.checkRef("prefill", r.Ref, out.Ref)
}

// Import makes a decode engine fetch a KV cache.
func (c *Client) Import(ctx context.Context, r engine.ImportRequest) (engine.ImportResult, error) {
	var out engine.ImportResult
	if err := c.call(ctx, "import", r, &out); err != nil {
		return engine.ImportResult{}, err
	}
	return out, c.checkRef("import", r.Ref, out.Ref)
}

// Cancel releases the resources that the engine holds for an attempt.
func (c *Client) Cancel(ctx context.Context, ref ident.BackendRef) error {
	return c.call(ctx, "cancel", ref, nil)
}

// Order requests a change of model, adapter, version or role.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	return c.call(ctx, "order", o, nil)
}

// Report returns the engine's latest load report.
func (c *Client) Report(ctx context.Context) (engine.Report, error) {
	var out engine.Report
	err := c.get(ctx, "report", "/engine/report", &out)
	return out, err
}

// Events returns the cache events with a higher sequence number than after.
func (c *Client) Events(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	err := c.get(ctx, "events", fmt.Sprintf("/engine/events?after=%d", after), &out)
	return out, err
}

func (c *Client) checkRef(step string, want, got ident.BackendRef) error {
	if got == want {
		return nil
	}
	c.opt.OnStale(step, got)
	err := fmt.Errorf("answer for %s/%d, want %s/%d", got.Request, got.Attempt, want.Request, want.Attempt)
	return &engine.Error{Step: step, Peer: c.conn.Addr(), Code: engine.CodeWrongRef, Err: err}
}

// call posts in to /engine/STEP and decodes the answer into out unless it is nil.
func (c *Client) call(ctx context.Context, step string, in, out any) error {
	req, err := c.post(step, in)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseRequest(req)
	return c.do(ctx, step, req, out)
}

func (c *Client) get(ctx context.Context, step, path string, out any) error {
	req := newRequest(c.conn.Addr(), fasthttp.MethodGet, path)
	defer fasthttp.ReleaseRequest(req)
	return c.do(ctx, step, req, out)
}

func (c *Client) post(step string, in any) (*fasthttp.Request, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &engine.Error{Step: step, Peer: c.conn.Addr(), Code: engine.CodeBadRequest, NotRun: true, Err: err}
	}
	req := newRequest(c.conn.Addr(), fasthttp.MethodPost, "/engine/"+step)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return req, nil
}

func newRequest(addr, method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	// With host and URI set on the header, fasthttp sends the path unchanged.
	req.Header.SetHost(addr)
	req.Header.SetRequestURI(path)
	return req
}

func (c *Client) do(ctx context.Context, step string, req *fasthttp.Request, out any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.conn.Do(ctx, req, resp); err != nil {
		return connError(step, c.conn.Addr(), err)
	}
	if s := resp.StatusCode(); s < 200 || s > 299 {
		return statusError(step, c.conn.Addr(), s, resp.Body())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return &engine.Error{Step: step, Peer: c.conn.Addr(), Code: engine.CodeMalformed, Err: err}
	}
	return nil
}

// connError converts a connection failure to an engine.Error.
func connError(step, peer string, err error) *engine.Error {
	e := &engine.Error{Step: step, Peer: peer, Code: engine.CodeConnectionLost, Err: err}
	var se *sendonce.Error
	if errors.As(err, &se) {
		e.NotRun = !se.Sent
		if se.Step == "connect" {
			e.Code = engine.CodeConnect
		}
	}
	var ne net.Error
	switch {
	case errors.Is(err, context.Canceled):
		e.Code = engine.CodeCancelled
	case errors.As(err, &ne) && ne.Timeout():
		e.Code = engine.CodeTimeout
	}
	return e
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// statusError converts an answer with a status other than 2xx to an engine.Error.
// NotRun is set only for answers that the protocol defines as "nothing was
// started"; any other 503 may come from an engine that failed during the work.
func statusError(step, peer string, status int, body []byte) *engine.Error {
	var b errorBody
	if json.Unmarshal(body, &b) != nil || b.Code == "" {
		b.Code = engine.CodeUnexpected
	}
	e := &engine.Error{Step: step, Peer: peer, Code: b.Code}
	e.Err = fmt.Errorf("status %d: %s", status, b.Message)
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusNotFound:
		e.NotRun = true
	case fasthttp.StatusServiceUnavailable:
		e.NotRun = b.Code == engine.CodeLeaving
	case fasthttp.StatusConflict:
		e.NotRun = b.Code == engine.CodeStaleFence
	}
	return e
}
