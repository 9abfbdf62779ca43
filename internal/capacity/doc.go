// Package capacity measures the processor time, memory and traffic of an entry host as
// the fleet grows. A Cluster runs the reducers of one failure domain, and of the
// delegates of the others, in simulated time. Engines and platform are simulated by
// handling the effects that the reducers return. The Cluster times each kind of event
// and counts the encoded bytes of all messages between hosts. Fit derives a slope from
// measurements at several sizes. The command in report regenerates the tables of
// docs/CAPACITY.md.
//
// Only measurements and tests use the package.
package capacity
