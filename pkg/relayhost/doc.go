// Package relayhost runs a relay on a host: it reads requests from callers, calls
// backend servers, exchanges messages with other hosts and follows the platform's
// store. All decisions are made by the reducer in pkg/relay.
//
// A Dialect defines the headers and calls of callers and backend servers, and a
// Decoder the format of the store's values.
package relayhost
