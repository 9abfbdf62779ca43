// Package roster discovers the other entry hosts from a few seed addresses, which may
// be stale, and detects which of them are alive.
//
// Every host sends heartbeats to the hosts that it knows. A heartbeat carries the
// sender and a sample of the hosts that it considers alive, so that a new host is known
// everywhere after a few heartbeats. The heartbeats that a host sends per second are
// bounded: the interval grows with the fleet.
//
// The package does no I/O and reads no clock: times are arguments and messages are
// return values.
package roster
