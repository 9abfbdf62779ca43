// Package confsync distributes configuration generations to all hosts.
//
// A few hosts of each failure domain, the readers, watch the platform's
// configuration service. Heartbeats carry revision and digest. A host that learns of
// a higher revision fetches the text from that peer in parts of bounded size, as a
// delta against its own generation if the peer still has that one. A text comes into
// force only when it is complete, matches its digest and validates, and the highest
// revision wins. Order, loss and duplication of messages therefore do not matter.
//
// The package is a deterministic state machine: the caller passes the time, messages,
// platform reads and alarms are return values, and the same calls give the same
// results.
package confsync
