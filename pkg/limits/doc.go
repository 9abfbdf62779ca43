// Package limits keeps every organisation within its rate and burst over all
// entry hosts together.
//
// Each host holds a token bucket per organisation that mints the share of its
// slot. A host that is short of tokens borrows from others through a hub, one
// per organisation and failure domain. Lost, duplicated, delayed and reordered
// messages can destroy tokens but never create any.
//
// A Limiter is a pure state machine: time is an argument, messages to other
// hosts and decisions are results. It is not safe for concurrent use.
// docs/limits.md contains the safety argument.
package limits
