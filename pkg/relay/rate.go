package relay

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// rate is a decaying average of an amount per second.
type rate struct {
	perSecond float64
	at        time.Time
}

// rateMemory is the time in which an old amount loses most of its weight: long
// enough for a few requests, short against a burst.
const rateMemory = 4 * time.Second

func (a *rate) add(now time.Time, amount float64) {
	a.decay(now)
	a.perSecond += amount / rateMemory.Seconds()
}

func (a *rate) decay(now time.Time) {
	if !a.at.IsZero() {
		a.perSecond *= math.Exp(-now.Sub(a.at).Seconds() / rateMemory.Seconds())
	}
	a.at = now
}

func (a *rate) value(now time.Time) float64 {
	a.decay(now)
	return a.perSecond
}

// admitted returns the rate of the requests for a service that this host has accepted.
func (r *Relay) admitted(service ident.Route) *rate {
	a := r.rates[service]
	if a == nil {
		a = &rate{}
		r.rates[service] = a
	}
	return a
}

// unseen returns the number of requests for a service that other hosts are expected to
// have placed since their last beats: on average half an interval's. The load balancer
// gives all hosts about the same.
func (r *Relay) unseen(service ident.Route) float64 {
	others := float64(r.roster.Others(r.now))
	return r.admitted(service).value(r.now) * others * r.roster.Interval().Seconds() / 2
}
