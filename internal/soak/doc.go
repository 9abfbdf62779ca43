// Package soak runs a fleet of real entry host processes under seeded faults and
// load, and checks the ten invariants of docs/design.md against the records of the
// callers and the simulated deployment.
//
// A run sends a few seconds of mixed load, injects one or two faults in the
// middle, publishes a configuration, repairs the faults, waits until the fleet is
// idle and checks the records. The seed determines the load, the targets of the
// faults and their severity. Process scheduling is not deterministic, so a seed
// repeats the conditions of a failure, but not always the failure itself.
package soak
