// Package node is the reducer of an entry host. Step takes one event and returns
// the resulting effects as data. It has no clock, I/O, goroutines or global state:
// the same events at the same times give the same effects, byte for byte. The
// golden sessions in testdata rely on this.
//
// The reducer owns the life cycle of each request and composes these packages:
//
//	membership   which hosts are alive, which hold newer incarnations
//	confsync     which configuration generation is in force
//	hostlist     which entry hosts and backend servers exist
//	limits       token buckets of the organisations
//	placement    bookings of prefill, link and decode slot
//	idempotency  at-most-once execution of non-idempotent calls
//	retry        retry budget
//	orders       loading of model versions and role changes of engines
//
// A request passes through these phases:
//
//	reserving -> booking -> prefilling -> importing -> decoding -> done
//	reserving -> claiming -> calling -> done          (plain services)
//
// Prompts, answers and the secrets of keys never enter the reducer; the driver
// keeps them by request id. An effect that must not be carried out late has a
// Deadline, which the driver checks immediately before it acts.
package node
