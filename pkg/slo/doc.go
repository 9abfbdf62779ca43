// Package slo measures how well requests meet the two latency targets, time to
// first token and inter-token latency, and how fast each organisation and model
// uses up its error budget.
//
// A Tracker counts observations in rings of time buckets, one ring for each
// window, so its memory is bounded by the number of series and not by traffic.
// Report takes the counts of all windows, Merge adds up the reports of several
// hosts, and a Report renders as text, JSON and SVG.
//
// The burn rate is the share of misses divided by the share that the objective
// allows. At 1 the budget of a window lasts exactly as long as the window.
package slo
