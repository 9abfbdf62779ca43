// Package idempotency runs a non-idempotent call with an idempotency key at most
// once in the fleet, and answers repeats from a record.
//
// Each key belongs to a slot that the rules fix. The process in that slot, the
// owner, records the begin of a call before the entry host sends it, and the
// outcome after it. When the record may have been lost, the answer is unknown.
//
// A Memory is a pure state machine: time is an argument, messages to other
// hosts and decisions are results. It is not safe for concurrent use.
// docs/idempotency.md contains the safety argument.
package idempotency
