// Package fake has in-process stand-ins for engines, plain services and the
// platform. They speak the protocols of docs/engines.md on ports of the loopback
// interface, model the timing of engines, have switchable faults and record what
// happens to them.
//
// The answer of every stand-in derives from the request (package content), so a
// caller can verify its own answer. KV caches are represented by a few bytes; the
// time of their transfer follows from the modelled size.
package fake
