package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Limits of a generation.
const (
	// MaxValueBytes is the platform's limit for the size of a value.
	MaxValueBytes = 1 << 20
	// MaxChunks bounds the memory that an invalid manifest can make a reader use.
	MaxChunks = 64
)

// maxHostList is the maximum size of a host list, in bytes. The target scale has
// 12,000 replicas of about 200 bytes each.
const maxHostList = 16 << 20

// ErrNoConfig is returned when no configuration has been published.
var ErrNoConfig = errors.New("no configuration published")

// ErrChunkMismatch is returned when the chunks do not match the manifest, which
// happens while a new generation is being written. The caller should read again
// later.
var ErrChunkMismatch = errors.New("chunks do not match the manifest")

// Options configures a client.
type Options struct {
	// Timeout bounds each call, in addition to the wait that it requests, 2 s by
	// default. A shorter timeout detects an unresponsive platform sooner.
	Timeout time.Duration
	Conn    sendonce.Options
}

// Client reads from the platform at one address.
type Client struct {
	conn    *sendonce.Client
	timeout time.Duration
}

// New returns a client of the platform at addr.
func New(addr string, opt Options) *Client {
	if opt.Timeout <= 0 {
		opt.Timeout = 2 * time.Second
	}
	if opt.Conn.MaxBody <= 0 {
		opt.Conn.MaxBody = maxHostList
	}
	return &Client{conn: sendonce.New(addr, opt.Conn), timeout: opt.Timeout}
}

// Close closes idle connections; running calls continue.
func (c *Client) Close() { c.conn.Close() }

// Generation is one published configuration.
type Generation struct {
	Revision ident.Revision
	Version  uint64 // the platform's version of the manifest, passed as after to the next watch
	Text     string
}

type manifest struct {
	Revision ident.Revision `json:"revision"`
	Chunks   []chunk        `json:"chunks"`
}

type chunk struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

// ReadConfig reads the configuration. If wait is zero, it reads at once; otherwise
// it waits for a manifest newer than version after, and returns notChanged if none
// was published in that time.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (g Generation, notChanged bool, err error) {
	v, err := c.getValue(ctx, "/config/manifest"+watchQuery(after, wait), wait)
	if err != nil || v.notChanged {
		return Generation{}, v.notChanged, err
	}
	var m manifest
	if err := json.Unmarshal(v.body, &m); err != nil {
		return Generation{}, false, c.wrapError("read manifest", err)
	}
	if len(m.Chunks) > MaxChunks {
		return Generation{}, false, c.wrapError("read manifest", fmt.Errorf("%d chunks, at most %d", len(m.Chunks), MaxChunks))
	}
	var text []byte
	for _, ch := range m.Chunks {
		b, err := c.readChunk(ctx, ch)
		if err != nil {
			return Generation{}, false, err
		}
		text = append(text, b...)
	}
	return Generation{Revision: m.Revision, Version: v.version, Text: string(text)}, false, nil
}

func (c *Client) readChunk(ctx context.Context, ch chunk) ([]byte, error) {
	if ch.Bytes < 0 || ch.Bytes > MaxValueBytes {
		return nil, c.wrapError("read chunk", fmt.Errorf("%s of %d bytes, at most %d", ch.Name, ch.Bytes, MaxValueBytes))
	}
	v, err := c.getValue(ctx, "/config/"+url.PathEscape(ch.Name), 0)
	if errors.Is(err, ErrNoConfig) {
		err = c.wrapError("read chunk", ErrChunkMismatch)
	}
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(v.body)
	if len(v.body) != ch.Bytes || hex.EncodeToString(sum[:]) != ch.SHA256 {
		return nil, c.wrapError("read chunk", fmt.Errorf("%s: %w", ch.Name, ErrChunkMismatch))
	}
	return v.body, nil
}

// Hosts reads the host list. If wait is zero, it reads at once; otherwise it waits
// for a list newer than version after, and returns notChanged if none was
// published in that time.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (l HostList, notChanged bool, err error) {
	v, err := c.get(ctx, "/hosts"+watchQuery(after, wait), wait)
	if err != nil || v.notChanged {
		return HostList{}, v.notChanged, err
	}
	if err := json.Unmarshal(v.body, &l); err != nil {
		return HostList{}, false, c.wrapError("read host list", err)
	}
	return l, false, nil
}

func watchQuery(after uint64, wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	seconds := strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	return "?after=" + strconv.FormatUint(after, 10) + "&wait=" + seconds
}

// response is a decoded answer of the platform.
type response struct {
	body       []byte
	version    uint64
	notChanged bool
}

// getValue reads a configuration value and requires its version, which is in a
// header.
func (c *Client) getValue(ctx context.Context, path string, wait time.Duration) (response, error) {
	v, err := c.get(ctx, path, wait)
	if err == nil && !v.notChanged && v.version == 0 {
		return response{}, c.wrapError("read "+path, errors.New("response has no X-Version header"))
	}
	return v, err
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.conn.Addr())
	req.Header.SetRequestURI(path)
	if err := c.conn.Do(ctx, req, resp); err != nil {
		return response{}, c.wrapError("read "+path, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotModified:
		return response{notChanged: true}, nil
	case fasthttp.StatusNotFound:
		return response{}, c.wrapError("read "+path, ErrNoConfig)
	default:
		return response{}, c.wrapError("read "+path, fmt.Errorf("status %d", resp.StatusCode()))
	}
	version, _ := strconv.ParseUint(string(resp.Header.Peek("X-Version")), 10, 64)
	return response{body: append([]byte(nil), resp.Body()...), version: version}, nil
}

func (c *Client) wrapError(step string, err error) error {
	return fmt.Errorf("platform %s: %s: %w", c.conn.Addr(), step, err)
}
