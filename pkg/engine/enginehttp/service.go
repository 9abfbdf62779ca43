package enginehttp

import (
	"context"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// ServiceClient calls the plain service at one address.
type ServiceClient struct {
	conn *sendonce.Client
}

// defaultServiceHeaderBytes is the default limit for the response header of a plain
// service. It is larger than that of engines because services set cookies.
const defaultServiceHeaderBytes = 16 << 10

// NewService returns a client of the plain service at addr.
func NewService(addr string, opt sendonce.Options) *ServiceClient {
	if opt.BufferSize <= 0 {
		opt.BufferSize = defaultServiceHeaderBytes
	}
	return &ServiceClient{conn: sendonce.New(addr, opt)}
}

// Close closes idle connections; running calls continue.
func (s *ServiceClient) Close() { s.conn.Close() }

var errBadTarget = errors.New("path must start with / and hold no spaces or control characters")

// Forward sends a request to the service at most once. An error is an
// *engine.Error; its NotRun is true only when no byte has been sent. Hop-by-hop
// headers are not forwarded. Authorization is never forwarded either, even if the
// caller of Forward left it in header: no backend server may see a key.
func (s *ServiceClient) Forward(
	ctx context.Context, method, path string, header []Header, body []byte,
) (status int, respHeader []Header, respBody []byte, err error) {
	if !validRequestTarget(path) || !validRequestTarget("/"+method) {
		return 0, nil, nil, &engine.Error{
			Step: "forward", Peer: s.conn.Addr(), Code: engine.CodeBadRequest, NotRun: true, Err: errBadTarget,
		}
	}
	req := newRequest(s.conn.Addr(), method, path)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetNoDefaultContentType(true)
	for _, h := range header {
		if !isDroppedHeader(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.SetBodyRaw(body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := s.conn.Do(ctx, req, resp); err != nil {
		return 0, nil, nil, connError("forward", s.conn.Addr(), err)
	}
	for name, value := range resp.Header.All() {
		if !isDroppedHeader(string(name)) {
			respHeader = append(respHeader, Header{Name: string(name), Value: string(value)})
		}
	}
	return resp.StatusCode(), respHeader, append([]byte(nil), resp.Body()...), nil
}

// validRequestTarget reports whether path can be written into the request line
// without changing its structure.
func validRequestTarget(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}

// isDroppedHeader reports whether a header is hop-by-hop or carries a key.
func isDroppedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "connection", "content-length", "expect", "host", "keep-alive",
		"proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
		"trailer", "transfer-encoding", "upgrade":
		return true
	}
	return false
}
