// Package load generates an open-loop load for entry hosts, verifies each answer
// and computes the metrics of docs/design.md.
//
// All arrivals are computed from the workload and its seed before the run, so that
// every policy receives the same requests at the same times, independent of its
// answers.
package load
