// Package backends tracks the backend servers of each service, their load and their
// health, and picks the server for the next request.
//
// A server's load is the sum of this host's requests and the load that other hosts
// report. Its health score falls with failed requests and recovers over time. The
// package does no I/O and reads no clock: times are arguments, and the same calls give
// the same results.
package backends
