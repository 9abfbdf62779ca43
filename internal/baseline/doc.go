// Package baseline compares pkg/placement with simple policies on one pool of fake
// engines, with the same arrivals, engines and seed for each policy. It is a
// discrete-event simulation in virtual time that drives the Placers of several
// hosts, and is used by tests and benchmarks only.
package baseline
