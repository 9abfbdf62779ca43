// Package ingresstest holds tests in which many misbehaving callers connect to the system's own
// process, or backend servers answer it without an end, with low limits in its settings. They check that the process stays alive, that its
// resident memory and its open descriptors stay below the limits of its settings, and that one
// ordinary request is answered afterwards. They check no times and no share of served requests.
//
// The tests use much of the machine for a short time, so `make test` runs them after all others
// and one at a time. The numbers of callers and the limits are fixed.
package ingresstest
