// Package orders decides which engines of an owned pool load a version or an
// adapter and which change their role, and when it is safe to tell them.
//
// One host at a time sends orders to a pool. An owner holds a lease that contact
// with peers renews; a new owner waits longer than that lease before its first
// order; each order carries a deadline inside the lease. An order also carries a
// fencing number above all that engines have reported, for engines that check it.
//
// The package is a pure part: times are arguments, orders are return values, and
// the same calls give the same results.
package orders
