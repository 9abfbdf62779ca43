// Package slo measures how well requests meet the two latency targets, time to
// first token and inter-token latency, and how fast each pair of organisation and
// model uses up its error budget.
//
// A Tracker counts observations in ring buffers of time buckets, one for each
// series and window, so its memory is bounded by the number of series and not by
// traffic. Tracker.Report returns the counts of all windows, Merge adds up the
// reports of several hosts, and a Report can be written as text, JSON or SVG.
//
// The burn rate is the share of misses divided by the share of misses that the
// objective allows. At a burn rate of 1 the error budget of a window lasts exactly
// as long as the window.
package slo
