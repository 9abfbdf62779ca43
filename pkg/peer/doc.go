// Package peer carries batches of messages between entry hosts. The transport is
// a connect unary call with a CBOR codec, over HTTP/2 with mutual TLS, or in plain
// text when that has been set explicitly.
//
// A delivery is one-way and is never retried: the parts bear lost messages, and
// a repeated batch would only delay newer ones.
package peer
