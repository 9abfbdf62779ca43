package driver

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Config sets up a Driver.
type Config struct {
	Node node.Config
	// TickInterval is the time between two ticks of the reducer. It bounds how
	// late the reducer sees a timeout; each tick costs processor time.
	TickInterval time.Duration
	// ChunkTimeout is how long an output stream may be silent, keep-alives
	// included, before its connection counts as lost.
	ChunkTimeout time.Duration
	// CallTimeout bounds cancels, reports and other short calls to engines.
	CallTimeout time.Duration
	// PeerTimeout bounds one delivery to a peer. A silent connection is replaced
	// after it.
	PeerTimeout time.Duration
	// PeerQueue is the number of messages that wait for a peer at most. Messages
	// beyond it are dropped, which every part has to bear.
	PeerQueue int
	// ReadSlack is added to the wait of a watch before it counts as lost.
	ReadSlack time.Duration
	// CallerTimeout is how long a caller may stop reading before it counts as
	// gone.
	CallerTimeout time.Duration
}

// DefaultConfig returns the settings of a production host.
func DefaultConfig(n node.Config) Config {
	return Config{
		Node:          n,
		TickInterval:  20 * time.Millisecond,
		ChunkTimeout:  2 * time.Second,
		CallTimeout:   time.Second,
		PeerTimeout:   time.Second,
		PeerQueue:     1024,
		ReadSlack:     2 * time.Second,
		CallerTimeout: 10 * time.Second,
	}
}
