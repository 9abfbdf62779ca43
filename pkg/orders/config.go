package orders

import (
	"errors"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ErrStaleFence is the outcome of an order that an engine refused for its fencing
// number.
var ErrStaleFence = errors.New("fencing number is below one that the engine has seen")

// Config sets the lease and the pace of changes of one pool.
type Config struct {
	Model ident.Model // of the pool

	Lease      time.Duration // an owner without contact for so long sends nothing more
	InFlight   time.Duration // longest time an order may be under way after its deadline; a new owner waits for it too
	SendMargin time.Duration // deadlines end this long before the lease

	MaxLoads    int           // loads at once, for the weight store
	LoadTimeout time.Duration // a load that no report confirms by then has failed
	RetryMin    time.Duration // first delay after a failed order to an engine
	RetryMax    time.Duration // longest such delay
	ReportStale time.Duration // an engine silent for so long gets no orders

	PrefillTokensPerSecond float64       // of one prefill engine
	DecodeTokensPerSecond  float64       // of one decode engine
	Smoothing              time.Duration // time constant of the mean of demand; shorter reacts to noise
	Busy                   float64       // utilisation of a role below which roles stay as they are
	QueueBusy              float64       // smoothed queue length that counts as busy too
	Hysteresis             float64       // engines by which the wanted count must differ beyond rounding
	Hold                   time.Duration // how long it must differ
	Cooldown               time.Duration // between role changes
}

// DefaultConfig returns the settings of the design page. The rates of an engine
// must be set to its model's.
func DefaultConfig(model ident.Model) Config {
	return Config{
		Model:                  model,
		Lease:                  2 * time.Second,
		InFlight:               500 * time.Millisecond,
		SendMargin:             200 * time.Millisecond,
		MaxLoads:               2,
		LoadTimeout:            10 * time.Minute,
		RetryMin:               time.Second,
		RetryMax:               time.Minute,
		ReportStale:            5 * time.Second,
		PrefillTokensPerSecond: 20_000,
		DecodeTokensPerSecond:  1_000,
		Smoothing:              15 * time.Second,
		Busy:                   0.7,
		QueueBusy:              1,
		Hysteresis:             0.25,
		Hold:                   20 * time.Second,
		Cooldown:               time.Minute,
	}
}

// Plan is what the rules want of the pool's engines.
type Plan struct {
	Version      ident.Version   // to be served by all; empty for no change
	Adapters     []ident.Version // to be loaded on all
	IgnoresFence []string        // groups of engines that do not check fencing numbers
}

// Demand is the work that arrives for a pool.
type Demand struct {
	Model                  ident.Model
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	Queue                  int // requests that wait
}

// OrderEffect is an order to be sent. The driver checks Deadline right before it
// sends and reports the outcome with OrderDone.
type OrderEffect struct {
	ID       uint64
	Backend  engine.Info
	Order    engine.Order
	Deadline time.Time
}
