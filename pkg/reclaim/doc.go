// Package reclaim finds requests that hold engine memory, or a booking, without a
// live owner. A request id names the process that owns it. The tracker asks that
// process about claims that were not renewed for a while, and reports a claim as
// an orphan when the process disowns it, when a newer incarnation of the host is
// known, when membership says that the host is dead, or when the host has been
// silent for the grace period.
//
// The tracker is pure: the caller passes the time, sends the queries and executes
// the cancellations.
package reclaim
