// Package soak runs a fleet of real entry host processes under seeded faults and
// load, and checks the ten invariants of docs/design.md against the records of
// callers and stand-ins.
//
// A run sends a few seconds of mixed load, injects one or two faults in the
// middle, publishes a configuration, repairs the faults, waits until the fleet is
// quiet and checks the records. The seed decides the load, the targets of the
// faults and their strength. The schedule of the processes is not under control,
// so a seed repeats the conditions of a failure, not always the failure itself.
package soak
