// Package load sends an open-loop load to entry hosts as their callers do,
// verifies each answer and computes the metrics of docs/design.md.
//
// All arrivals derive from the workload and its seed before the run, so that every
// policy meets the same requests at the same times, whatever its answers.
package load
