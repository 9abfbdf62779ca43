package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// throughput holds the measured processing rates of a server.
type throughput struct {
	prefillRate float64 // prompt tokens per second, 0 if unknown
}

// throughputWeight is the weight of one observation in a moving average, which reflects
// about the last ten requests.
const throughputWeight = 0.2

// updateAverage adds an observation to a moving average; 0 means no observation yet.
func updateAverage(avg *float64, v float64) {
	if *avg == 0 {
		*avg = v
		return
	}
	*avg += (v - *avg) * throughputWeight
}

// defaultPrefillRate, in tokens per second, is assumed for servers without observations.
// It only ranks them among each other.
const defaultPrefillRate = 40_000

// RecordPrefill records how long a server took to prefill a number of prompt tokens:
// those of the request and those queued before it.
func (d *Directory) RecordPrefill(id ident.BackendID, tokens int64, took time.Duration) {
	s := d.servers[id]
	if s == nil || took <= 0 || tokens <= 0 {
		return
	}
	updateAverage(&s.throughput.prefillRate, float64(tokens)/took.Seconds())
	f := d.prefillFits[s.Service]
	if f == nil {
		f = &linearFit{}
		d.prefillFits[s.Service] = f
	}
	f.add(float64(tokens), took.Seconds())
}

func (s *server) prefillRate() float64 {
	if s.throughput.prefillRate == 0 {
		return defaultPrefillRate
	}
	return s.throughput.prefillRate
}

// PrefillRate returns the prompt tokens per second that a server of a service prefills,
// without the fixed overhead per prompt.
func (d *Directory) PrefillRate(service ident.Route) float64 {
	if f := d.prefillFits[service]; f != nil {
		if slope := f.slope(); slope > 0 {
			return 1 / slope
		}
	}
	return defaultPrefillRate
}

// linearFit is a least-squares line through observations; newer ones weigh more.
type linearFit struct {
	count                        float64
	meanX, meanY, meanXX, meanXY float64 // exponentially decaying means
	minX, maxX                   float64 // range of x
}

// fitWeight is the weight of a new observation; the fit reflects about the last fifty.
const fitWeight = 0.02

// minFitObservations is the number of observations below which the slope is unreliable.
const minFitObservations = 8

func (f *linearFit) add(x, y float64) {
	if f.count == 0 {
		f.minX, f.maxX = x, x
	}
	f.count++
	w := max(fitWeight, 1/f.count)
	f.meanX += (x - f.meanX) * w
	f.meanY += (y - f.meanY) * w
	f.meanXX += (x*x - f.meanXX) * w
	f.meanXY += (x*y - f.meanXY) * w
	f.minX, f.maxX = min(f.minX, x), max(f.maxX, x)
}

// slope returns the change of y per unit of x, or 0 if there are too few observations or
// their range of x is too narrow.
func (f *linearFit) slope() float64 {
	if f.count < minFitObservations || f.maxX < minFitSpread*f.minX {
		return 0
	}
	variance := f.meanXX - f.meanX*f.meanX
	if variance <= 0 {
		return 0
	}
	return max(0, (f.meanXY-f.meanX*f.meanY)/variance)
}

// minFitSpread is the smallest ratio of the largest x to the smallest x that gives a
// slope.
const minFitSpread = 1.5
