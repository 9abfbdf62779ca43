// Package membership detects which entry hosts of the local failure domain are
// alive and keeps a summary of every other domain.
//
// Hosts of a domain exchange heartbeats. When the domain has more peers than the
// fan-out, each interval reaches a rotating subset of them, and a bounded digest
// of the sequence numbers of other hosts informs the rest. Only the host itself
// increments its sequence number, so no delayed or duplicated message can make a
// dead host look alive for longer than one detection time. Delegates exchange
// summaries with the delegates of other domains; heartbeats relay them.
//
// The package does no I/O and reads no clock: times are arguments, messages and
// events are return values, and the same calls give the same results.
package membership
