package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mulberrystream/mulberrystream/pkg/cborcodec"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// procedure is the URL path of the only RPC.
const procedure = "/mulberrystream.peer.v1.Peer/Deliver"

// MaxMessageBytes bounds one delivery. A batch holds at most one part of a
// generation and one host list, which stays well below it at the target size.
const MaxMessageBytes = 8 << 20

// gzipName is connect's default compression. It is disabled: nearly all deliveries
// are a few hundred bytes, and compressing their empty answers cost more than
// encoding the batch.
const gzipName = "gzip"

// maxClients bounds the cache of clients by address. A host talks to the hosts of
// its own domain and to the delegates of the other domains.
const maxClients = 1024

// Ack is the answer to a delivery. It confirms only that the batch arrived.
type Ack struct{}

// Client delivers batches to other entry hosts.
type Client struct {
	scheme string
	http   *http.Client

	mu      sync.Mutex
	clients map[string]*connect.Client[node.Batch, Ack]
}

// NewClient returns a client. A nil tlsConfig means plain text.
func NewClient(tlsConfig *tls.Config) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	scheme := "https"
	if tlsConfig == nil {
		scheme = "http"
	}
	transport := &http.Transport{
		TLSClientConfig:     tlsConfig,
		Protocols:           protocols,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		scheme:  scheme,
		http:    &http.Client{Transport: transport},
		clients: map[string]*connect.Client[node.Batch, Ack]{},
	}
}

// Deliver sends a batch to addr once.
func (c *Client) Deliver(ctx context.Context, addr string, b node.Batch) error {
	_, err := c.client(addr).CallUnary(ctx, connect.NewRequest(&b))
	if err != nil {
		return fmt.Errorf("peer: deliver to %s (%s): %w", b.To, addr, err)
	}
	return nil
}

func (c *Client) client(addr string) *connect.Client[node.Batch, Ack] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl := c.clients[addr]; cl != nil {
		return cl
	}
	if len(c.clients) >= maxClients {
		// Addresses of replaced hosts accumulate. Clearing the cache closes no
		// connection, because the transport holds them.
		clear(c.clients)
	}
	cl := connect.NewClient[node.Batch, Ack](
		c.http,
		c.scheme+"://"+addr+procedure,
		connect.WithCodec(cborcodec.Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithAcceptCompression(gzipName, nil, nil),
	)
	c.clients[addr] = cl
	return cl
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Receiver handles incoming batches.
type Receiver interface {
	Receive(b node.Batch)
}

// NewServer returns an HTTP server that passes batches to r. A nil tlsConfig
// means plain text. The caller must call Serve with a listener.
func NewServer(r Receiver, tlsConfig *tls.Config) *http.Server {
	deliver := func(_ context.Context, req *connect.Request[node.Batch]) (*connect.Response[Ack], error) {
		r.Receive(*req.Msg)
		return connect.NewResponse(&Ack{}), nil
	}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, deliver,
		connect.WithCodec(cborcodec.Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompression(gzipName, nil, nil),
	))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           mux,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
	}
}
