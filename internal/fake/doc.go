// Package fake implements in-process fakes of engines, plain services and the
// platform. They speak the protocols of docs/engines.md on loopback ports, simulate
// the timing of engines, support fault injection at run time and record events for
// the checkers.
//
// Every answer is derived from the request (see package content), so a caller can
// verify it. A KV cache is represented by a few bytes; its transfer time is computed
// from the simulated size.
package fake
