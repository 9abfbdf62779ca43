package driver

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Config is the configuration of a Driver.
type Config struct {
	Node node.Config
	// TickInterval is the interval between ticks of the reducer. It bounds the
	// delay in detecting a timeout; each tick costs CPU time.
	TickInterval time.Duration
	// ChunkTimeout is how long an output stream may send nothing, not even a
	// keep-alive, before its connection is considered lost.
	ChunkTimeout time.Duration
	// CallTimeout is the timeout of cancels, reports and other short engine calls.
	CallTimeout time.Duration
	// PeerTimeout is the timeout of one delivery to a peer. An unresponsive
	// connection is replaced after it.
	PeerTimeout time.Duration
	// PeerQueue is the queue limit for messages to one peer. Messages beyond it
	// are dropped; every component must tolerate lost messages.
	PeerQueue int
	// WatchTimeoutMargin is added to the wait time of a watch to get its timeout.
	WatchTimeoutMargin time.Duration
	// CallerTimeout is how long a caller may stop reading before it is treated as
	// disconnected.
	CallerTimeout time.Duration
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig(n node.Config) Config {
	return Config{
		Node:               n,
		TickInterval:       20 * time.Millisecond,
		ChunkTimeout:       2 * time.Second,
		CallTimeout:        time.Second,
		PeerTimeout:        time.Second,
		PeerQueue:          1024,
		WatchTimeoutMargin: 2 * time.Second,
		CallerTimeout:      10 * time.Second,
	}
}
