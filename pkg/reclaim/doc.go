// Package reclaim finds requests that hold engine memory, or a reservation, without a
// live owner. A request id names the process that owns the request. The tracker asks
// that process about claims that have not been renewed for a while. It reports a claim as
// an orphan when the process no longer owns it, when a newer incarnation of the host is
// known, when membership reports the host as dead, or when the host has not answered for
// the grace period.
//
// A tracker runs at a pool owner, the entry host that reserves the engines of a pool. It
// has no clock and does no I/O: the caller passes the time, sends the queries and executes
// the cancellations.
package reclaim
