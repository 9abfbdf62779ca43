package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config sets the timing and the limits of the heartbeat exchange.
type Config struct {
	Self   ident.Process       // this process
	Addr   string              // address at which peers reach this process
	Domain ident.FailureDomain // local failure domain
	Slot   ident.Slot          // slot of this process; negative for none

	Interval     time.Duration // between heartbeats; shorter detects failures sooner and costs bandwidth
	SuspectAfter time.Duration // silence that makes a host suspect
	DeadAfter    time.Duration // silence that makes a host dead; must exceed SuspectAfter
	Fanout       int           // heartbeats per interval; smaller saves bandwidth and makes direct contact rarer
	Delegates    int           // hosts of a domain that exchange summaries with other domains

	RelayEvery   int // every n-th heartbeat relays a domain summary; smaller is fresher and costs bandwidth
	SummaryPools int // pools listed in one summary; later summaries list the rest
}

// DefaultConfig returns the default timing and limits.
func DefaultConfig(self ident.Process, addr string, domain ident.FailureDomain, slot ident.Slot) Config {
	return Config{
		Self:         self,
		Addr:         addr,
		Domain:       domain,
		Slot:         slot,
		Interval:     500 * time.Millisecond,
		SuspectAfter: 1500 * time.Millisecond,
		DeadAfter:    3 * time.Second,
		Fanout:       8,
		Delegates:    2,
		RelayEvery:   1,
		SummaryPools: 8,
	}
}

const (
	// pauseGap is the shortest gap between ticks that counts as a pause of the
	// process. With a long interval the limit is two intervals.
	pauseGap = time.Second
	// announceHeartbeats is the number of heartbeats sent to all peers after a start
	// or a pause. Two, so that one lost message does not delay the announcement
	// by a whole rotation.
	announceHeartbeats = 2
	// releaseWait is how long a new process collects what its peers know about
	// the last holder of its slot. A single peer may not know the newest holder.
	releaseWait = 1500 * time.Millisecond
	// newProcessPeriod is how long acknowledgements tell a new process about the
	// previous holder of its slot.
	newProcessPeriod = 10 * time.Second
	// retentionPeriod is how long the record of a dead host that is not listed is
	// kept, so that late heartbeats of an old incarnation are recognised. It also
	// applies to slot holders and to updates of other domains.
	retentionPeriod = 10 * time.Minute
	// freeExpiry is the age at which the free capacity of a pool is dropped if no
	// newer update lists the pool.
	freeExpiry = 30 * time.Second
	// flapWindow is the time without a flap after which the flap count restarts.
	flapWindow = time.Minute
	// maxFlaps bounds the hold-down of a flapping host to maxFlaps x DeadAfter.
	maxFlaps = 5
	// maxPeers bounds the memory that a flood of made-up host ids can take.
	maxPeers = 1024
	// maxOrigins is the number of delegates of another domain whose updates are
	// kept. A domain has two delegates by default, and more while they change.
	maxOrigins = 4
	// sentHistory is the number of sequence numbers of this process whose send time
	// is kept.
	sentHistory = 64
	// maxHolders is the number of processes remembered for a slot.
	maxHolders = 3
)

// domainTimeout is the silence after which another domain counts as unreachable.
// It is longer than DeadAfter because with 19 domains of 90 hosts an update of a
// domain reaches a host only every few seconds.
func (c Config) domainTimeout() time.Duration { return 4 * c.DeadAfter }
