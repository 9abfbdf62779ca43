// Package peer carries batches of messages between entry hosts. The transport is
// a connect unary call with a CBOR codec, over HTTP/1.1 with mutual TLS, or in plain
// text when that has been set explicitly. The messages to one host follow one
// another, so HTTP/2 would multiplex nothing and cost twice the time.
//
// A delivery is one-way and is never retried: the parts bear lost messages, and
// a repeated batch would only delay newer ones. A delivery that is not answered in
// the caller's time closes its connection, so that one that has gone silent is
// replaced by a new one.
package peer
