// Package baseline compares pkg/placement with simple policies on one pool of
// fake engines: the same arrivals, the same engines, the same seed. It drives the
// Placers of a few hosts in one event loop with virtual time. It belongs to the
// test side.
package baseline
