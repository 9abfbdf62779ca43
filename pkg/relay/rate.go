package relay

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// rate is an exponentially decaying average of an amount per second.
type rate struct {
	perSecond float64
	at        time.Time
}

// rateTimeConstant is the time in which the weight of an amount decays to 1/e: long
// enough to average a few requests, but shorter than a burst.
const rateTimeConstant = 4 * time.Second

func (a *rate) add(now time.Time, amount float64) {
	a.decay(now)
	a.perSecond += amount / rateTimeConstant.Seconds()
}

func (a *rate) decay(now time.Time) {
	if !a.at.IsZero() {
		a.perSecond *= math.Exp(-now.Sub(a.at).Seconds() / rateTimeConstant.Seconds())
	}
	a.at = now
}

func (a *rate) value(now time.Time) float64 {
	a.decay(now)
	return a.perSecond
}

// admissionRate returns the rate at which this host admits requests for a service.
func (r *Relay) admissionRate(service ident.Route) *rate {
	a := r.admissionRates[service]
	if a == nil {
		a = &rate{}
		r.admissionRates[service] = a
	}
	return a
}

// unreportedRequests estimates how many requests for a service the other hosts have
// placed since their last heartbeats, which on average is half a heartbeat interval ago.
// It assumes that the load balancer sends all hosts about the same load.
func (r *Relay) unreportedRequests(service ident.Route) float64 {
	others := float64(r.roster.AliveCount(r.now))
	return r.admissionRate(service).value(r.now) * others * r.roster.Interval().Seconds() / 2
}
