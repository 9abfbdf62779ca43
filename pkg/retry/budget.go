package retry

import "time"

// Config holds the settings of a Budget.
type Config struct {
	// Ratio is the number of retries per recent first attempt. A higher one recovers
	// more requests from sporadic failures and adds more load during an overload.
	Ratio float64
	// Floor is the number of retries per second that is allowed regardless of the
	// ratio, so that a host with little traffic can retry at all.
	Floor float64
	// Burst is the number of retries that the floor accumulates while none happen; 0
	// means those of one second. A larger burst covers a sudden failure but may be
	// spent all at once.
	Burst float64
	// PerRequest is the maximum number of retries of one request.
	PerRequest int
	// Window is the time over which first attempts and retries are counted. A longer
	// window allows larger bursts of retries.
	Window time.Duration
}

// DefaultConfig allows retries of 10% of the first attempts plus 2 per second, and two
// retries per request.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Floor: 2, PerRequest: 2, Window: 10 * time.Second}
}

// bucketCount is the number of buckets that the window is divided into.
const bucketCount = 10

// attempts counts the attempts in one bucket of the window.
type attempts struct {
	firstAttempts float64
	retries       float64
}

// Budget counts first attempts and retries in a sliding window. It is not safe
// for concurrent use.
type Budget struct {
	cfg          Config
	buckets      [bucketCount]attempts
	current      int       // index into buckets
	currentStart time.Time // start of the current bucket
	floorTokens  float64   // retries that the floor allows now, a token bucket
	refilledAt   time.Time // last refill of floorTokens
}

// New returns a budget without recorded attempts.
func New(cfg Config, now time.Time) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = cfg.Floor
	}
	return &Budget{cfg: cfg, currentStart: now, refilledAt: now, floorTokens: cfg.Burst}
}

// SetFloor changes the floor and its burst. A lower burst takes effect immediately.
func (b *Budget) SetFloor(now time.Time, floor, burst float64) {
	b.advance(now)
	b.cfg.Floor = floor
	b.cfg.Burst = burst
	b.floorTokens = min(b.floorTokens, burst)
}

// EmptyFloor takes away what the floor has accumulated, except for the time since it may be
// used; nothing if since is zero.
func (b *Budget) EmptyFloor(now, since time.Time) {
	b.advance(now)
	b.floorTokens = 0
	if !since.IsZero() {
		b.floorTokens = min(b.cfg.Burst, max(0, now.Sub(since).Seconds())*b.cfg.Floor)
	}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.advance(now)
	b.buckets[b.current].firstAttempts++
}

// Allow reports whether a request that has been retried this many times may be retried
// once more. If so, it counts the retry.
func (b *Budget) Allow(now time.Time, retries int) bool {
	if retries >= b.cfg.PerRequest {
		return false
	}
	b.advance(now)
	if b.withinRatio() {
		b.buckets[b.current].retries++
		return true
	}
	if b.floorTokens >= 1 {
		b.floorTokens--
		return true
	}
	return false
}

// withinRatio reports whether the ratio to first attempts allows one more retry.
func (b *Budget) withinRatio() bool {
	var sum attempts
	for _, c := range b.buckets {
		sum.firstAttempts += c.firstAttempts
		sum.retries += c.retries
	}
	return sum.retries+1 <= b.cfg.Ratio*sum.firstAttempts
}

// advance moves the window and refills the floor. A clock that is set back has the same
// effect as one that stands still.
func (b *Budget) advance(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.floorTokens = min(b.cfg.Burst, b.floorTokens+d.Seconds()*b.cfg.Floor)
		b.refilledAt = now
	}
	step := b.cfg.Window / bucketCount
	if now.Sub(b.currentStart) >= b.cfg.Window {
		b.buckets = [bucketCount]attempts{}
		b.currentStart = now
	}
	for now.Sub(b.currentStart) >= step {
		b.current = (b.current + 1) % bucketCount
		b.buckets[b.current] = attempts{}
		b.currentStart = b.currentStart.Add(step)
	}
}
