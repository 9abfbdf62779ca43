package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// Router executes the requests that the front end has parsed.
type Router interface {
	Complete(r *driver.Completion) *driver.Call
	Call(r *driver.ServiceRequest) *driver.Call
	Rules() *driver.Rules
	Ready() bool
}

// Server serves the caller API.
type Server struct {
	cfg    Config
	log    *zap.Logger
	router Router
	meter  Meter
	guard  *ingress.Guard
	http   *fasthttp.Server
}

// New returns a server that is not serving yet. Its listener must be one of guard.
func New(cfg Config, log *zap.Logger, r Router, m Meter, guard *ingress.Guard) *Server {
	s := &Server{cfg: cfg, log: log, router: r, meter: m, guard: guard}
	s.http = &fasthttp.Server{
		Name:                         "mulberrystream",
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		ReadTimeout:                  cfg.ReadTimeout,
		WriteTimeout:                 cfg.WriteTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		StreamRequestBody:            true, // bodies are read by readBody
		MaxRequestBodySize:           prefetchBytes,
		ConnState:                    connState,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		Concurrency:                  cfg.Concurrency,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's own log lines, which can quote parts of a request
// and thereby expose a key.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(&keepAliveListener{Listener: ln, cfg: s.cfg}); err != nil {
		return fmt.Errorf("frontend: serve on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for open requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("frontend: shutdown: %w", err)
	}
	return nil
}

// handleReadError responds to requests that fasthttp could not read or parse.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	refuse(ctx, codeBadRequest, "the request could not be read: "+fasthttp.StatusMessage(status))
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// prefetchBytes is how much of a body fasthttp reads before the request is decided from its
// head. It is the least that fasthttp allows.
const prefetchBytes = 1

func connState(c net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		ingress.Of(c).Idle()
	}
}

// unreadTime limits the time in which fasthttp reads the rest of a body that is not needed.
const unreadTime = 500 * time.Millisecond

// readBody reads the body of a request. If it cannot, it writes the error response and returns
// false. The caller must release the body after use.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (*ingress.Body, bool) {
	length := int64(ctx.Request.Header.ContentLength())
	if length < 0 && ctx.RequestBodyStream() == nil {
		length = 0
	}
	body, err := s.guard.ReadStream(ctx, ingress.Of(ctx.Conn()), ctx.RequestBodyStream(), length, int64(s.cfg.MaxBodyBytes))
	if err != nil {
		status := ingress.Status(err)
		code := codeBadRequest
		if status == fasthttp.StatusServiceUnavailable {
			code = node.CodeNotReady
		}
		refuse(ctx, code, "the request could not be read: "+fasthttp.StatusMessage(status))
		ctx.SetStatusCode(status)
		ctx.SetConnectionClose()
		return nil, false
	}
	ctx.Request.SetBodyRaw(body.Bytes)
	return body, true
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := ingress.Of(ctx.Conn())
	if !c.Begin(ctx.RequestBodyStream() != nil) {
		_ = ctx.Conn().Close()
		return
	}
	s.route(ctx)
	if c != nil && ctx.Request.IsBodyStream() {
		// The body has not been read. fasthttp reads the rest, to use the connection again.
		c.Answering()
		_ = c.SetReadDeadline(time.Now().Add(unreadTime))
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		s.handleReady(ctx)
	case path == "/v1/models":
		s.handleModels(ctx)
	case path == "/v1/completions":
		s.handleCompletion(ctx, false)
	case path == "/v1/chat/completions":
		s.handleCompletion(ctx, true)
	case strings.HasPrefix(path, "/v1/"):
		refuse(ctx, node.CodeUnknownRoute, "no such API call")
	default:
		s.handleService(ctx, path)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if s.router.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// identity is the key and organisation of a request.
type identity struct {
	key ident.KeyID
	org ident.Organisation
}

// authenticate verifies the key of a request. If the key is missing or invalid, it
// writes the error response and returns false.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (identity, bool) {
	rules := s.rules(ctx)
	if rules == nil {
		return identity{}, false
	}
	presented, ok := bearerToken(ctx)
	if !ok {
		refuse(ctx, codeMissingKey, "header Authorization must be: Bearer <key>")
		return identity{}, false
	}
	k, err := keyring.Verify(rules, presented)
	if err != nil {
		refuse(ctx, node.CodeInvalidKey, "the key is not accepted")
		return identity{}, false
	}
	return identity{key: k.ID, org: k.Organisation}, true
}

func (s *Server) rules(ctx *fasthttp.RequestCtx) *ruleset.Rules {
	r := s.router.Rules()
	if r == nil {
		refuse(ctx, node.CodeNotReady, "this host has no configuration yet")
		return nil
	}
	return r.Rules
}

func bearerToken(ctx *fasthttp.RequestCtx) (string, bool) {
	const scheme = "Bearer "
	h := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(h) <= len(scheme) || !strings.EqualFold(h[:len(scheme)], scheme) {
		return "", false
	}
	return strings.TrimSpace(h[len(scheme):]), true
}
