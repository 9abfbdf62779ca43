// Package node is the reducer of an entry host. Step takes one event and returns
// the effects that follow from it as data. It has no clock, no I/O, no goroutine
// and no global state: the same events at the same times give the same effects,
// byte for byte, which is what the golden sessions in testdata rely on.
//
// The reducer owns the life cycle of each request and composes the parts, each
// of which is a package of its own:
//
//	membership   which hosts live, which hold newer incarnations
//	confsync     which configuration generation is in force
//	limits       token buckets of the organisations
//	placement    bookings of prefill, link and decode slot
//	idempotency  at-most-once memory of non-idempotent calls
//	retry        budget for further attempts
//
// A request runs through these states:
//
//	reserving -> booking -> prefilling -> importing -> decoding -> done
//	reserving -> claiming -> calling -> done          (plain services)
//
// Prompts, answers and caller keys never enter the reducer; the driver keeps
// them by request id. An effect that must not act late carries a Deadline, which
// the driver checks immediately before it acts.
package node
