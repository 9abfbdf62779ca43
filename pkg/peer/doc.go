// Package peer carries batches of messages between entry hosts. The transport is
// a connect unary call with a CBOR codec, over HTTP/1.1 with mutual TLS, or in plain
// text if that is configured explicitly. Deliveries to one host are sequential, so
// HTTP/2 has nothing to multiplex and takes twice the time.
//
// A delivery is one-way and is never retried: the protocols on top tolerate lost
// messages, and a repeated batch would only delay newer ones. A delivery that
// exceeds the caller's deadline closes its connection, so that a dead connection
// is replaced by a new one.
package peer
