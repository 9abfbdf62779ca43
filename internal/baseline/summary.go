package baseline

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Record is the outcome of one request.
type Record struct {
	At           time.Duration // arrival
	End          time.Duration
	Organisation ident.Organisation
	Output       int
	Refused      bool // denied before it ran
	Failed       bool // failed after it was admitted
	Lost         bool // its entry host crashed
	Done         bool
	First        time.Duration // time to first token
	InterToken   time.Duration // mean time between tokens
	Retries      int
}

// Good reports whether the request completed within both latency targets.
func (r *Record) Good() bool {
	return r.Done && r.First <= firstTokenTarget && r.InterToken <= interTokenTarget
}

// Summary holds the figures of one run, without the warm-up.
type Summary struct {
	Requests       int
	Unfinished     int           // requests without an outcome
	Goodput        float64       // good requests per second, as a share of the capacity
	WastedPrefill  float64       // wasted share of the prefill time
	WorstShare     float64       // lowest share of admitted requests within the targets, over the well-behaved organisations
	MeanShare      float64       // mean of that share over the well-behaved organisations
	WronglyRefused float64       // share of the well-behaved requests that were refused or failed
	Retries        float64       // per request
	Recovered      float64       // goodput from 3 s after the middle of the run, when crashes happen, as a share of the capacity
	OrphanTime     time.Duration // after a host crash: time until engines had dropped its streams
}

const warmUp = 10 * time.Second

func (s *sim) summary() Summary {
	c := capacity(s.options)
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
			if r.At >= s.options.Duration/2+3*time.Second {
				late++
			}
		}
		if r.Organisation != greedy {
			behaved++
			if !r.Done && !r.Lost {
				denied++
			}
		}
		if !r.Refused && !r.Lost {
			admitted[r.Organisation]++
			if r.Good() {
				inside[r.Organisation]++
			}
		}
	}
	var total time.Duration
	for _, e := range s.engineList {
		total += e.prefillBusy
	}
	out.Goodput = float64(good) / (s.options.Duration - warmUp).Seconds() / c
	out.Recovered = float64(late) / (s.options.Duration/2 - 3*time.Second).Seconds() / c
	out.Unfinished = s.unfinished
	out.OrphanTime = s.orphanTime
	out.WastedPrefill = 1 - (s.usefulPrefill+s.lostPrefill).Seconds()/total.Seconds()
	out.WronglyRefused = float64(denied) / float64(behaved)
	out.Retries /= float64(out.Requests)
	out.WorstShare = 1
	for _, t := range organisations {
		if t.name == greedy || admitted[t.name] == 0 {
			continue
		}
		share := inside[t.name] / admitted[t.name]
		out.WorstShare = min(out.WorstShare, share)
		out.MeanShare += share / float64(len(organisations)-1)
	}
	return out
}
