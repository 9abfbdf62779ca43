package drills_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

// relayTimeout is the timeout for the delivery of one batch, which a cut link blocks.
const relayTimeout = 2 * time.Second

// partitions puts a fault proxy on each path from one failure domain to another and on
// each path to the platform. Peers connect to the relay of a host, which forwards each
// batch through the proxy for the sender's domain. In the host list that a domain reads,
// the backend servers of other domains have the addresses of their proxies.
type partitions struct {
	mu              sync.Mutex
	domains         map[ident.HostID]ident.FailureDomain
	relays          map[ident.HostID]*relay
	platformProxies map[ident.FailureDomain]*platformProxy
	links           []*domainLink
	platform        *fake.Platform
	cut             ident.FailureDomain // the domain that is cut off; empty if none
}

// domainLink is a path between two domains.
type domainLink struct {
	from, to ident.FailureDomain
	proxy    *faultproxy.Proxy
}

// toPlatform is the destination of the links to the platform.
const toPlatform ident.FailureDomain = "platform"

func newPartitions() *partitions {
	return &partitions{
		domains:         map[ident.HostID]ident.FailureDomain{},
		relays:          map[ident.HostID]*relay{},
		platformProxies: map[ident.FailureDomain]*platformProxy{},
	}
}

func (p *partitions) start(d *fake.Deployment) error {
	p.platform = d.Platform
	return nil
}

// link creates a proxy on a path between domains and returns its address.
func (p *partitions) link(from, to ident.FailureDomain, addr string) (string, error) {
	proxy, err := faultproxy.New(addr, uint64(len(p.links)))
	if err != nil {
		return "", err
	}
	c := &domainLink{from: from, to: to, proxy: proxy}
	p.links = append(p.links, c)
	p.apply(c)
	return proxy.Addr(), nil
}

func (p *partitions) apply(c *domainLink) {
	cut := p.cut != "" && c.from != c.to && (c.from == p.cut || c.to == p.cut)
	c.proxy.Set(faultproxy.Faults{Cut: cut})
}

// set cuts one domain off from the others and from the platform. An empty name removes
// the partition.
func (p *partitions) set(domain ident.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = domain
	for _, c := range p.links {
		p.apply(c)
	}
}

// Attach implements fleet.Network.
func (p *partitions) Attach(id ident.HostID, domain ident.FailureDomain) (string, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[id] = domain
	f, err := p.platformProxyFor(domain)
	if err != nil {
		return "", "", err
	}
	r := p.relays[id]
	if r == nil {
		if r, err = newRelay(p, domain); err != nil {
			return "", "", err
		}
		p.relays[id] = r
	}
	return f.addr, r.addr, nil
}

// Connect implements fleet.Network.
func (p *partitions) Connect(id ident.HostID, addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.relays[id]
	r.target = addr
	clear(r.paths)
	return nil
}

// relay is a peer server in front of the peer listener of a host.
type relay struct {
	net    *partitions
	domain ident.FailureDomain
	addr   string
	target string // empty until the host listens
	paths  map[ident.FailureDomain]path
}

// path leads from a domain to a host.
type path struct {
	addr   string
	client *peer.Client
}

func newRelay(p *partitions, domain ident.FailureDomain) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{net: p, domain: domain, addr: ln.Addr().String(), paths: map[ident.FailureDomain]path{}}
	go func() { _ = peer.NewServer(r, nil).Serve(ln) }()
	return r, nil
}

// Receive forwards a batch. A batch that cannot be delivered is dropped.
func (r *relay) Receive(b node.Batch) {
	to, ok := r.path(b.From.Host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	_ = to.client.Deliver(ctx, to.addr, b)
}

func (r *relay) path(from ident.HostID) (path, bool) {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	domain := r.net.domains[from]
	if to, ok := r.paths[domain]; ok {
		return to, true
	}
	if r.target == "" {
		return path{}, false
	}
	addr, err := r.net.link(domain, r.domain, r.target)
	if err != nil {
		return path{}, false
	}
	to := path{addr: addr, client: peer.NewClient(nil)}
	r.paths[domain] = to
	return to, true
}

// platformProxy is the reverse proxy through which one domain reaches the platform.
type platformProxy struct {
	net      *partitions
	domain   ident.FailureDomain
	addr     string
	backends map[string]string // proxy addresses by backend server address
	proxy    *httputil.ReverseProxy
}

func (p *partitions) platformProxyFor(domain ident.FailureDomain) (*platformProxy, error) {
	if f := p.platformProxies[domain]; f != nil {
		return f, nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform proxy: %w", err)
	}
	f := &platformProxy{net: p, domain: domain, backends: map[string]string{}}
	f.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.platform.Addr()})
	f.proxy.ModifyResponse = f.rewrite
	go func() { _ = http.Serve(ln, f.proxy) }()
	if f.addr, err = p.link(domain, toPlatform, ln.Addr().String()); err != nil {
		return nil, err
	}
	p.platformProxies[domain] = f
	return f, nil
}

// rewrite replaces the addresses of other domains' backend servers by their proxies.
func (f *platformProxy) rewrite(resp *http.Response) error {
	if resp.Request.URL.Path != "/hosts" || resp.StatusCode != http.StatusOK {
		return nil
	}
	var l platform.HostList
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return err
	}
	_ = resp.Body.Close()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for i, b := range l.Backends {
		if b.Domain == f.domain {
			continue
		}
		if f.backends[b.Addr] == "" {
			addr, err := f.net.link(f.domain, b.Domain, b.Addr)
			if err != nil {
				return err
			}
			f.backends[b.Addr] = addr
		}
		l.Backends[i].Addr = f.backends[b.Addr]
	}
	return setBody(resp, l)
}

func setBody(resp *http.Response, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}
