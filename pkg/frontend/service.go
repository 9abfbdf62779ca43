package frontend

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// maxIdempotencyKey limits the length of the Idempotency-Key header, in bytes.
const maxIdempotencyKey = 255

// handleService forwards a request to a plain service.
func (s *Server) handleService(ctx *fasthttp.RequestCtx, path string) {
	rules := s.rules(ctx)
	if rules == nil {
		return
	}
	route, ok := rules.Route(path)
	if !ok {
		refuse(ctx, node.CodeUnknownRoute, "no rule names this route")
		return
	}
	var caller identity
	if !route.Open {
		if caller, ok = s.authenticate(ctx); !ok {
			return
		}
	}
	body, ok := s.readBody(ctx)
	if !ok {
		return
	}
	defer body.Release()
	if containsKey(ctx) {
		refuse(ctx, codeBadRequest, "the key may stand in header Authorization only, since the rest goes to the service")
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(key) > maxIdempotencyKey {
		refuse(ctx, codeBadRequest, "header Idempotency-Key is longer than 255 bytes")
		return
	}
	disconnected, stop := watchDisconnect(ctx.Conn(), s.cfg.DisconnectPollInterval)
	defer stop()
	call := s.router.Call(&driver.ServiceRequest{
		Key:            caller.key,
		Organisation:   caller.org,
		Method:         string(ctx.Method()),
		Path:           path,
		URI:            string(ctx.RequestURI()),
		Header:         forwardedHeader(ctx),
		Body:           append([]byte(nil), ctx.PostBody()...),
		IdempotencyKey: key,
		BodyDigest:     bodyDigest(ctx),
	})
	select {
	case <-call.Done():
		writeEnd(ctx, call.End())
	case <-disconnected.Done():
		call.CallerDisconnected()
		ctx.SetConnectionClose()
	}
}

// containsKey reports whether the presented key also appears in the URI, the
// body or another header, where it would be exposed to the service.
func containsKey(ctx *fasthttp.RequestCtx) bool {
	presented, ok := bearerToken(ctx)
	if !ok {
		return false
	}
	key := []byte(presented)
	if bytes.Contains(ctx.RequestURI(), key) || bytes.Contains(ctx.PostBody(), key) {
		return true
	}
	for name, value := range ctx.Request.Header.All() {
		if !strings.EqualFold(string(name), fasthttp.HeaderAuthorization) && bytes.Contains(value, key) {
			return true
		}
	}
	return false
}

// bodyDigest hashes method, URI and body, so that reuse of an idempotency key for
// a different request is detected.
func bodyDigest(ctx *fasthttp.RequestCtx) uint64 {
	h := xxhash.New()
	_, _ = h.Write(ctx.Method())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.PostBody())
	return h.Sum64()
}

// forwardedHeader copies the request headers without credentials. A request ID and
// an attempt sent by the caller are dropped, since the router sets these headers.
func forwardedHeader(ctx *fasthttp.RequestCtx) []driver.Header {
	var out []driver.Header
	for name, value := range ctx.Request.Header.All() {
		switch strings.ToLower(string(name)) {
		case "authorization", "proxy-authorization", "cookie", "x-request-id", "x-attempt":
			continue
		}
		out = append(out, driver.Header{Name: string(name), Value: string(value)})
	}
	return out
}

func writeEnd(ctx *fasthttp.RequestCtx, end driver.End) {
	if end.Refusal != nil {
		writeRefusal(ctx, *end.Refusal)
		return
	}
	ctx.SetStatusCode(end.Response.Status)
	for _, h := range end.Response.Header {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.SetBody(end.Response.Body)
}
