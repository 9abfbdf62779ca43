// Package limits keeps every organisation within its rate and burst over all
// entry hosts together.
//
// Each host holds a token bucket per organisation. The bucket refills, or mints
// tokens, with the share of the rate that belongs to the host's slot. A host that is
// short of tokens borrows from others through a hub: the host that finds lenders for
// an organisation in a failure domain. Lost, duplicated, delayed and reordered
// messages can destroy tokens but never create any.
//
// A Limiter is a deterministic state machine without I/O: the caller passes in the
// time and received messages, and gets back decisions and the messages to send. It
// is not safe for concurrent use. docs/limits.md contains the safety argument.
package limits
