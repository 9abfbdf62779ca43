// Package idempotency runs a non-idempotent call with an idempotency key at most
// once in the fleet, and answers repeats from a record.
//
// Each key is hashed to one of the slots that the rules list. The process in that
// slot, the owner, records a call before the entry host sends it, and its outcome
// afterwards. When the record may have been lost, the answer is unknown.
//
// A Store is a deterministic state machine: the caller passes the time, and
// messages to other hosts and decisions are return values. It is not safe for
// concurrent use.
// docs/idempotency.md contains the safety argument.
package idempotency
