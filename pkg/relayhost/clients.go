package relayhost

import (
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// clients holds one HTTP client per backend address.
type clients struct {
	options sendonce.Options
	mu      sync.Mutex
	byAddr  map[string]*cachedClient
}

type cachedClient struct {
	*sendonce.Client
	lastUsed time.Time
}

// clientIdleTimeout is how long an unused client is kept. The address of a removed server
// may later be reused by another one.
const clientIdleTimeout = time.Minute

// clientOptions limits the connections to backend servers: an unreachable server is
// detected within half a second, and idle connections are closed before servers
// usually close them. Servers repeat the values of echoHeader.
func clientOptions(echoHeader string) sendonce.Options {
	return sendonce.Options{
		EchoHeader:     echoHeader,
		DialTimeout:    500 * time.Millisecond,
		IdleTimeout:    8 * time.Second,
		MaxIdle:        16,
		MaxConns:       256,
		MaxBody:        maxAnswerBytes,
		UnackedTimeout: time.Second,
	}
}

// maxAnswerBytes limits an answer that is not streamed.
const maxAnswerBytes = 8 << 20

// answerMemoryShare is the share of the memory limit that large answers may use together.
const answerMemoryShare = 1.0 / 8

// newClients returns clients for a process with a memory limit in bytes, or none if it is 0.
// Servers repeat the values of echoHeader.
func newClients(memoryLimit int64, echoHeader string) *clients {
	o := clientOptions(echoHeader)
	if memoryLimit > 0 {
		o.Budget = sendonce.NewBudget(int64(float64(memoryLimit) * answerMemoryShare))
	}
	return &clients{options: o, byAddr: map[string]*cachedClient{}}
}

// forAddr returns the client of an address.
func (c *clients) forAddr(addr string) *sendonce.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	u := c.byAddr[addr]
	if u == nil {
		c.dropUnused(now)
		u = &cachedClient{Client: sendonce.New(addr, c.options)}
		c.byAddr[addr] = u
	}
	u.lastUsed = now
	return u.Client
}

func (c *clients) dropUnused(now time.Time) {
	for addr, u := range c.byAddr {
		if now.Sub(u.lastUsed) > clientIdleTimeout {
			u.Close()
			delete(c.byAddr, addr)
		}
	}
}

// close closes all idle connections.
func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.byAddr {
		u.Close()
	}
}
