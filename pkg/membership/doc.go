// Package membership detects which entry hosts of the own failure domain are
// alive and keeps a summary of every other domain.
//
// Hosts of a domain exchange heartbeats. When the domain has more peers than the
// fan-out, each interval reaches a rotating part of them, and a bounded digest of
// the sequence numbers of other hosts carries the news to the rest. A sequence
// number only grows by the act of its own host, so no delay or duplicate can make
// a dead host look alive for longer than one detection time. Delegates exchange
// summaries with the delegates of other domains; heartbeats relay them.
//
// The package is a pure part: times are arguments, messages and events are
// return values, and the same calls give the same results.
package membership
