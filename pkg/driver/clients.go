package driver

import (
	"sync"
	"time"
)

// clientIdle is how long a client is kept without use. Hundreds of backend servers
// are replaced a day, each under an address of its own.
const clientIdle = 10 * time.Minute

// clients holds one client per address and closes those that are not used any more.
type clients[T interface{ Close() }] struct {
	open func(addr string) T
	now  func() time.Time

	mu     sync.Mutex
	byAddr map[string]*usedClient[T]
	swept  time.Time
}

type usedClient[T any] struct {
	client T
	used   time.Time
}

func newClients[T interface{ Close() }](open func(addr string) T, now func() time.Time) *clients[T] {
	return &clients[T]{open: open, now: now, byAddr: map[string]*usedClient[T]{}, swept: now()}
}

// get returns the client of an address.
func (c *clients[T]) get(addr string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.swept) > clientIdle {
		c.swept = now
		c.sweep(now)
	}
	u := c.byAddr[addr]
	if u == nil {
		u = &usedClient[T]{client: c.open(addr)}
		c.byAddr[addr] = u
	}
	u.used = now
	return u.client
}

// sweep closes idle clients. Running calls of a closed client go on.
func (c *clients[T]) sweep(now time.Time) {
	for addr, u := range c.byAddr {
		if now.Sub(u.used) > clientIdle {
			u.client.Close()
			delete(c.byAddr, addr)
		}
	}
}
