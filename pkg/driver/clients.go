package driver

import (
	"sync"
	"time"
)

// clientIdleTimeout is how long an unused client is kept. Hundreds of backend
// servers are replaced per day, each with a new address.
const clientIdleTimeout = 10 * time.Minute

// clients caches one client per address and closes idle clients.
type clients[T interface{ Close() }] struct {
	open func(addr string) T
	now  func() time.Time

	mu        sync.Mutex
	byAddr    map[string]*usedClient[T]
	lastSweep time.Time
}

type usedClient[T any] struct {
	client   T
	lastUsed time.Time
}

func newClients[T interface{ Close() }](open func(addr string) T, now func() time.Time) *clients[T] {
	return &clients[T]{open: open, now: now, byAddr: map[string]*usedClient[T]{}, lastSweep: now()}
}

// get returns the client for an address and opens it if necessary.
func (c *clients[T]) get(addr string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.lastSweep) > clientIdleTimeout {
		c.lastSweep = now
		c.closeIdle(now)
	}
	u := c.byAddr[addr]
	if u == nil {
		u = &usedClient[T]{client: c.open(addr)}
		c.byAddr[addr] = u
	}
	u.lastUsed = now
	return u.client
}

// closeIdle closes idle clients. Calls in progress on a closed client continue.
func (c *clients[T]) closeIdle(now time.Time) {
	for addr, u := range c.byAddr {
		if now.Sub(u.lastUsed) > clientIdleTimeout {
			u.client.Close()
			delete(c.byAddr, addr)
		}
	}
}
