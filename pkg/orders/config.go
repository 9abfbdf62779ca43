package orders

import (
	"errors"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// ErrStaleFence is the outcome of an order that an engine refused because it has
// seen a higher fencing token.
var ErrStaleFence = errors.New("fencing token is lower than one that the engine has seen")

// Config sets the lease and limits the rate of changes for one pool.
type Config struct {
	Model ident.Model // model that the pool serves

	Lease      time.Duration // an owner whose heartbeats go unacknowledged for this long sends no more orders
	InFlight   time.Duration // longest time from an order's deadline to its arrival; added to a new owner's wait
	SendMargin time.Duration // deadlines of orders lie this long before the end of the lease

	MaxLoads    int           // concurrent loads, to limit the traffic of the weight store
	LoadTimeout time.Duration // a load that no report confirms within this time has failed
	RetryMin    time.Duration // initial back-off after a failed order to an engine
	RetryMax    time.Duration // maximum back-off
	ReportStale time.Duration // an engine whose last report is older gets no orders

	PrefillTokensPerSecond float64       // capacity of one prefill engine
	DecodeTokensPerSecond  float64       // capacity of one decode engine
	Smoothing              time.Duration // time constant of the exponential moving average of demand; a shorter one reacts to noise
	BusyUtilisation        float64       // roles change only if the utilisation of one role exceeds this
	BusyQueueLength        float64       // or if the smoothed queue is at least this long
	Hysteresis             float64       // number of engines, beyond rounding, by which the wanted count must differ from the actual one
	StabilisationWindow    time.Duration // how long the wanted count must differ before a role change
	Cooldown               time.Duration // minimum time between role changes
}

// DefaultConfig returns the default settings. The token rates of an engine depend on the
// model and must be set for it.
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
		BusyUtilisation:        0.7,
		BusyQueueLength:        1,
		Hysteresis:             0.25,
		StabilisationWindow:    20 * time.Second,
		Cooldown:               time.Minute,
	}
}

// Plan is the state that the rules require of the pool's engines.
type Plan struct {
	Version      ident.Version   // version that all engines must serve; empty for no change
	Adapters     []ident.Version // adapters that all engines must load
	IgnoresFence []string        // groups of engines that do not check fencing tokens
}

// Demand is the rate of work that arrives for a pool.
type Demand struct {
	Model                  ident.Model
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	Queue                  int // waiting requests
}

// OrderEffect asks the driver to send an order. The driver checks Deadline right
// before sending and reports the outcome with OrderDone.
type OrderEffect struct {
	ID       uint64
	Backend  engine.Info
	Order    engine.Order
	Deadline time.Time
}
