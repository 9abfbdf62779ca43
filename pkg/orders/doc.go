// Package orders decides which engines of a pool load a version or an adapter,
// which engines change their role, and when these orders may be sent.
//
// Only one host at a time, the owner, sends orders to a pool. The owner holds a
// lease that acknowledged heartbeats renew. A new owner waits longer than the lease
// before its first order, and the deadline of each order lies inside the lease.
// Each order also carries a fencing token higher than all tokens that engines have
// reported, for engines that check it.
//
// The package does no I/O and reads no clock: times are arguments, orders are
// return values, and the same calls give the same results.
package orders
