// Package quarantine finds parts of prompts that crash the backend servers and keeps
// further requests with them from the servers.
//
// Hosts tell each other which servers crashed under which requests, and which of the
// accused parts have completed an answer since. Each host decides from these notes by
// itself: a part is quarantined once several servers have crashed under it with no
// completed answer in between. Later, single requests probe whether it is still harmful.
//
// A Tracker is a state machine without clock or I/O.
package quarantine
