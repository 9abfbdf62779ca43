package baseline

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Record is the outcome of one request.
type Record struct {
	At         time.Duration // arrival
	End        time.Duration
	Tenant     ident.Organisation
	Output     int
	Refused    bool // not run
	Failed     bool // broken after it was admitted
	Lost       bool // its entry host died
	Done       bool
	First      time.Duration // time to first token
	InterToken time.Duration // mean
	Retries    int
}

// Good tells whether both latency targets were met.
func (r *Record) Good() bool {
	return r.Done && r.First <= firstTokenTarget && r.InterToken <= interTokenTarget
}

// Summary holds the figures of one run. The warm-up is left out.
type Summary struct {
	Requests      int
	Open          int           // requests without an end
	Goodput       float64       // good requests per second, as a share of the capacity
	Wasted        float64       // share of the prefill time
	Worst         float64       // smallest share of admitted work inside the targets, well-behaved organisations
	Mean          float64       // its mean over the well-behaved organisations
	WronglyDenied float64       // share of the well-behaved requests that were refused or failed
	Retries       float64       // per request
	Recovered     float64       // with a loss: goodput from 3 s after it, share of the capacity
	Orphans       time.Duration // with a lost host: until engines had dropped its streams
}

const warmUp = 10 * time.Second

func (s *sim) summary() Summary {
	c := capacity(s.o)
	var out Summary
	var good, behaved, denied, late int
	admitted := map[ident.Organisation]float64{}
	inside := map[ident.Organisation]float64{}
	for _, r := range s.records {
		if r.At < warmUp {
			continue
		}
		out.Requests++
		out.Retries += float64(r.Retries)
		if r.Good() {
			good++
			if r.At >= s.o.Duration/2+3*time.Second {
				late++
			}
		}
		if r.Tenant != greedy {
			behaved++
			if !r.Done && !r.Lost {
				denied++
			}
		}
		if !r.Refused && !r.Lost {
			admitted[r.Tenant]++
			if r.Good() {
				inside[r.Tenant]++
			}
		}
	}
	var total time.Duration
	for _, e := range s.order {
		total += e.spent
	}
	out.Goodput = float64(good) / (s.o.Duration - warmUp).Seconds() / c
	out.Recovered = float64(late) / (s.o.Duration/2 - 3*time.Second).Seconds() / c
	out.Open = s.open
	out.Orphans = s.orphans
	out.Wasted = 1 - (s.useful+s.lost).Seconds()/total.Seconds()
	out.WronglyDenied = float64(denied) / float64(behaved)
	out.Retries /= float64(out.Requests)
	out.Worst = 1
	for _, t := range tenants {
		if t.name == greedy || admitted[t.name] == 0 {
			continue
		}
		share := inside[t.name] / admitted[t.name]
		out.Worst = min(out.Worst, share)
		out.Mean += share / float64(len(tenants)-1)
	}
	return out
}
