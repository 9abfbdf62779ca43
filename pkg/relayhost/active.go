package relayhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// activeConns tracks the callers' connections on which a request is being received or
// answered.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newActiveConns() *activeConns { return &activeConns{conns: map[net.Conn]struct{}{}} }

// connState is an http.Server.ConnState hook.
func (a *activeConns) connState(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s == http.StateActive {
		a.conns[c] = struct{}{}
		return
	}
	delete(a.conns, c)
}

func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

const (
	// idleBeforeClose is how long no connection must have been active before the server is
	// closed. It covers a request that has arrived but has not been read yet.
	idleBeforeClose = 50 * time.Millisecond
	// activePollInterval is the interval at which the number of connections is checked.
	activePollInterval = 5 * time.Millisecond
)

// wait returns when no connection has been active for idleBeforeClose, or ctx ends. The
// end of a request in the relay is not the end of its answer, which may still be on its way
// to the caller.
func (a *activeConns) wait(ctx context.Context) {
	poll := time.NewTicker(activePollInterval)
	defer poll.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < idleBeforeClose {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		if a.count() > 0 {
			idleSince = time.Now()
		}
	}
}
