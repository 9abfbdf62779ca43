// Package relaysoak runs the mulberryrelay daemon as real processes in front of a
// simulated store and simulated backend servers, injects faults from outside and checks
// its guarantees from what callers and backend servers see.
//
// A run is generated from its seed: faults follow one another and overlap, callers keep using
// open connections until a process is gone, and some disconnect early.
package relaysoak
