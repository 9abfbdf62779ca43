// Package quarantine finds what requests that crash backend servers have in common, and keeps
// further requests with it from the servers. Such a trait is a part of a prompt, which
// different requests share, or the digest of a whole request, which its repeats share.
//
// Hosts tell each other which servers crashed under which requests, and which of the
// accused traits have completed an answer since. Each host decides from these notes by
// itself: a trait is quarantined once several servers have crashed under it with no
// completed answer in between. Later, single requests probe whether it is still harmful.
//
// A Tracker is a state machine without clock or I/O.
package quarantine
