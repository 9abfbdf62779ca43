package frontend

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// maxIdempotencyKey bounds the Idempotency-Key header, in bytes.
const maxIdempotencyKey = 255

// service passes a request on to a plain service.
func (s *Server) service(ctx *fasthttp.RequestCtx, path string) {
	rules := s.rules(ctx)
	if rules == nil {
		return
	}
	route, ok := rules.Route(path)
	if !ok {
		refuse(ctx, node.CodeUnknownRoute, "no rule names this route")
		return
	}
	var who identity
	if !route.Open {
		if who, ok = s.authenticate(ctx); !ok {
			return
		}
	}
	if revealsKey(ctx) {
		refuse(ctx, codeBadRequest, "the key may stand in header Authorization only, since the rest goes to the service")
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(key) > maxIdempotencyKey {
		refuse(ctx, codeBadRequest, "header Idempotency-Key is longer than 255 bytes")
		return
	}
	gone, stop := watchCaller(ctx.Conn(), s.cfg.WatchInterval)
	defer stop()
	call := s.router.Call(&driver.ServiceRequest{
		Key:            who.key,
		Organisation:   who.org,
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
	case <-gone.Done():
		call.Gone()
		ctx.SetConnectionClose()
	}
}

// revealsKey reports whether the presented key also stands in the URI, the body
// or another header, which the service would see.
func revealsKey(ctx *fasthttp.RequestCtx) bool {
	presented, ok := bearer(ctx)
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

// bodyDigest tells calls apart that use the same idempotency key for different
// requests.
func bodyDigest(ctx *fasthttp.RequestCtx) uint64 {
	h := xxhash.New()
	_, _ = h.Write(ctx.Method())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.PostBody())
	return h.Sum64()
}

// forwardedHeader copies the header without the key. A request id of the
// caller's own is dropped, since the router sets these headers.
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
