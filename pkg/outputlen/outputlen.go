// Package outputlen predicts the cost of a generation: how many tokens it produces and
// how long it holds its KV cache. Predictions are learned from the answers that this
// host has relayed.
//
// The caller's limit of output tokens is a poor predictor, since most answers end far
// below it. The caller's estimate of the length is right at the median but often far
// off, so a prediction is the geometric mean of the estimate and the mean length of the
// route's answers.
package outputlen

import (
	"math"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// averagingWeight is the weight of one answer in a moving average, which reflects about
// the last twenty answers.
const averagingWeight = 0.05

// initialOutputShare is the fraction of the limit that answers are expected to use before
// any has completed.
const initialOutputShare = 0.5

// defaultTokenTime is the time per output token before any answer has completed.
const defaultTokenTime = 4 * time.Millisecond

// Predictor keeps moving averages of answer lengths and token times. It is not safe for
// concurrent use.
type Predictor struct {
	output    map[ident.Route]float64 // mean tokens of an answer
	tokenTime float64                 // seconds per output token, 0 if unknown
}

// New returns a predictor without observations.
func New() *Predictor {
	return &Predictor{output: map[ident.Route]float64{}}
}

// RecordAnswer records a complete answer to a request with this limit of output tokens.
// The first answers to complete are the short ones, so the average starts from the
// initial expectation rather than from the first answer.
func (p *Predictor) RecordAnswer(route ident.Route, limit, tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	mean := p.MeanOutput(route, limit)
	p.output[route] = mean + (float64(tokens)-mean)*averagingWeight
	secondsPerToken := took.Seconds() / float64(tokens)
	if p.tokenTime == 0 {
		p.tokenTime = secondsPerToken
	}
	p.tokenTime += (secondsPerToken - p.tokenTime) * averagingWeight
}

// MeanOutput returns the expected tokens of an answer of a route without an estimate of
// the caller.
func (p *Predictor) MeanOutput(route ident.Route, limit int64) float64 {
	if mean := p.output[route]; mean > 0 {
		return mean
	}
	return initialOutputShare * float64(limit)
}

// ExpectedOutput returns the expected tokens of an answer with this limit. hint is the
// caller's estimate, 0 if there is none.
func (p *Predictor) ExpectedOutput(route ident.Route, limit, hint int64) float64 {
	mean := p.MeanOutput(route, limit)
	if hint > 0 {
		mean = math.Sqrt(mean * float64(hint))
	}
	if limit > 0 {
		mean = min(mean, float64(limit))
	}
	return mean
}

// MemoryCost returns the expected KV cache use of an answer with this number of tokens,
// in token seconds: its prompt and, on average, half of its output while it runs.
func (p *Predictor) MemoryCost(prompt int64, tokens float64) float64 {
	return (float64(prompt) + tokens/2) * p.Duration(tokens).Seconds()
}

// Duration returns the expected run time of an answer with this number of tokens.
func (p *Predictor) Duration(tokens float64) time.Duration {
	secondsPerToken := p.tokenTime
	if secondsPerToken == 0 {
		secondsPerToken = defaultTokenTime.Seconds()
	}
	return time.Duration(tokens * secondsPerToken * float64(time.Second))
}
