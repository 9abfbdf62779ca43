package membership

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Config sets the timing and the bounds of the exchange.
type Config struct {
	Self   ident.Process       // this process
	Addr   string              // address at which peers reach this process
	Domain ident.FailureDomain // own failure domain
	Slot   ident.Slot          // own slot; negative for none

	Interval     time.Duration // between heartbeats; shorter detects sooner and costs bytes
	SuspectAfter time.Duration // silence that makes a host suspect
	DeadAfter    time.Duration // silence that makes a host dead; must exceed SuspectAfter
	Fanout       int           // heartbeats per interval; bounds bytes, slows direct contact
	Delegates    int           // hosts of a domain that talk to other domains

	RelayEvery  int // every n-th heartbeat relays a domain summary; smaller is fresher and larger in bytes
	SummaryFree int // pools named in one summary; the rest follow in later summaries
}

// DefaultConfig returns the settings of the design page.
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
		SummaryFree:  8,
	}
}

const (
	// pauseGap is the gap between ticks that counts as a pause of the process.
	pauseGap = time.Second
	// announceBeats is the number of heartbeats sent to all peers after a start
	// or a pause. Two, so that one lost message does not delay the news by a
	// whole rotation.
	announceBeats = 2
	// releaseWait is the time in which a new process collects what its peers know
	// of its slot's last holder. One peer may not have heard the newest holder.
	releaseWait = 1500 * time.Millisecond
	// youngFor is how long acknowledgements tell a new process of the earlier
	// holder of its slot.
	youngFor = 10 * time.Second
	// forgetAfter is how long a dead host that is in no list is remembered, so
	// that late heartbeats of an old incarnation are recognised.
	forgetAfter = 10 * time.Minute
	// freeExpiry drops the free capacity of a pool that no summary has named.
	freeExpiry = 30 * time.Second
	// flapWindow is the time after which a flap no longer counts.
	flapWindow = time.Minute
	// maxFlaps bounds the hold-down of a flapping host to maxFlaps x DeadAfter.
	maxFlaps = 5
	// maxPeers bounds the state against a flood of made-up host ids.
	maxPeers = 1024
	// maxOrigins is the number of delegates of another domain whose summaries are
	// kept. Two are delegates; more appear while delegates change.
	maxOrigins = 4
	// sentTimes is the number of own sequence numbers whose send time is kept.
	sentTimes = 64
	// maxHolders is the number of processes remembered for a slot.
	maxHolders = 3
)

// domainSilent is the silence after which another domain counts as unreachable.
// At 19 domains of 90 hosts news of a domain reaches a host every few seconds,
// so it is longer than DeadAfter.
func (c Config) domainSilent() time.Duration { return 4 * c.DeadAfter }
